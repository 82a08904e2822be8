"""Weight versions that targets use, those of targets that were lately heard too.

Parts that are cached under weights that no target uses are freed. A target of which
this VM no longer hears may be in use at entry VMs that do.
"""

from vanillabeam.fleet.directory import Directory, TargetRecord

__all__ = ["SILENT_TARGET_S", "WeightHolders"]

#: Seconds since its last announcement for which a target that is no longer listed
#: counts: other VMs may still hear of it.
SILENT_TARGET_S = 60.0


class WeightHolders:
    """The targets of a directory, and those that it has dropped as silent.

    >>> holders = WeightHolders()
    >>> holders.update(directory, now_s=10.0)
    >>> holders.lowest_versions()
    {'m': 2}
    """

    def __init__(self):
        self._records: dict[str, TargetRecord] = {}

    def update(self, directory: Directory, now_s: float) -> None:
        """Record the present targets; forget those that leave or are long silent."""
        unlisted = {
            name: record
            for name, record in self._records.items()
            if name not in directory.records
            and not directory.is_leaving(record.target.incarnation)
            and now_s - record.last_seen_s < SILENT_TARGET_S
        }
        self._records = unlisted | directory.records

    def lowest_versions(self) -> dict[str, int]:
        """Return the lowest weight version in use, by model."""
        lowest: dict[str, int] = {}
        for record in self._records.values():
            for model, version in record.target.versions.items():
                lowest[model] = min(version, lowest.get(model, version))
        return lowest
