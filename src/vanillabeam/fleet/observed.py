"""Weight versions that the leader has read from targets between two announcements."""

from vanillabeam.fleet.directory import (
    READ_MARGIN_S,
    Directory,
    Incarnation,
    TargetRecord,
)

__all__ = ["ObservedVersions"]


class ObservedVersions:
    """Model and version that were read last, by incarnation.

    :param directory: announcements to all control VMs.
    :ivar versions: model and version of each incarnation.

    >>> observed = ObservedVersions(directory)
    >>> observed.record(("t-1", 1), "m", 2)
    >>> observed.forget_outdated()
    """

    def __init__(self, directory: Directory):
        self.versions: dict[Incarnation, tuple[str, int]] = {}
        self._directory = directory
        #: Time of the newest announcement before a version was read.
        self._after_s: dict[Incarnation, float] = {}

    def record(self, incarnation: Incarnation, model: str, version: int) -> None:
        """Record a target's version before its next announcement."""
        self.versions[incarnation] = (model, version)
        record = self._directory.records.get(incarnation[0])
        if record is not None:
            self._after_s[incarnation] = record.last_seen_s
        self._directory.update_weight_version(incarnation, model, version)

    def forget_outdated(self) -> None:
        """Forget versions that no longer count.

        Their incarnation is no longer known, or has announced a lower one since.
        """
        kept = {
            record.target.incarnation
            for record in self._directory.records.values()
            if not self._is_contradicted(record)
        }
        for known in (self.versions, self._after_s):
            for incarnation in known.keys() - kept:
                del known[incarnation]

    def _is_contradicted(self, record: TargetRecord) -> bool:
        """Return whether a target has announced a lower version than was read."""
        incarnation = record.target.incarnation
        if incarnation not in self._after_s:
            return False
        model, version = self.versions[incarnation]
        age_s = record.last_seen_s - self._after_s[incarnation]
        is_lower = record.announced_versions.get(model, 0) < version
        return is_lower and age_s > READ_MARGIN_S
