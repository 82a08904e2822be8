"""Targets that have told a control VM that they leave, and what ends that belief.

A target that leaves says so in all its answers, and announces it or leaves soon. An
answer may also be spoiled or be meant for another start. So what one answer says counts
until the target has announced itself as ready for several heartbeats since.
"""

from typing import NamedTuple

from vanillabeam.fleet.directory import Directory, Incarnation

__all__ = ["READY_ANNOUNCEMENTS", "LeavingNotices", "Withdrawn"]

#: Announcements as ready, one a heartbeat, that end the belief that a target leaves: an
#: announcement that was made before the answer may arrive seconds after it.
READY_ANNOUNCEMENTS = 5
#: Share of a heartbeat between two announcements that count.
MIN_HEARTBEAT_SHARE = 0.5
#: Incarnations whose notices are kept.
MAX_NOTICES = 4_096


class Withdrawn(NamedTuple):
    """A notice that no longer counts.

    :param age_s: seconds since the target last gave it.
    """

    incarnation: Incarnation
    age_s: float


class _Notice(NamedTuple):
    """A notice and the announcements as ready since.

    :param counted_s: monotonic time of the last one that counts.
    """

    heard_s: float
    counted_s: float
    announcements: int = 0


class LeavingNotices:
    """Notices in answers to calls of this control VM, by incarnation.

    :param heartbeat_s: seconds between two announcements of a target.

    >>> notices = LeavingNotices(heartbeat_s=1.2)
    >>> notices.record(("t-1", 1), now_s=10.0)
    True
    >>> notices.weigh(directory, now_s=10.6)
    []
    """

    def __init__(self, heartbeat_s: float):
        self._min_interval_s = MIN_HEARTBEAT_SHARE * heartbeat_s
        self._notices: dict[Incarnation, _Notice] = {}

    def record(self, incarnation: Incarnation, now_s: float) -> bool:
        """Record that a target says that it leaves; return whether that is new.

        Announcements before a repeated notice no longer count.
        """
        is_new = incarnation not in self._notices
        self._notices[incarnation] = _Notice(now_s, now_s)
        if len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        return is_new

    def incarnations(self) -> frozenset[Incarnation]:
        """Return the targets that are believed to leave."""
        return frozenset(self._notices)

    def weigh(self, directory: Directory, now_s: float) -> list[Withdrawn]:
        """Count the announcements since; return the notices that they have ended.

        To be called more often than targets announce themselves.

        :param directory: announcements to all control VMs.
        """
        for incarnation, notice in list(self._notices.items()):
            record = directory.records.get(incarnation[0])
            if record is None or record.target.incarnation != incarnation:
                continue
            if record.target.draining:
                continue
            if record.last_seen_s >= notice.counted_s + self._min_interval_s:
                self._notices[incarnation] = notice._replace(
                    counted_s=record.last_seen_s,
                    announcements=notice.announcements + 1,
                )
        ended = [
            Withdrawn(incarnation, now_s - notice.heard_s)
            for incarnation, notice in self._notices.items()
            if notice.announcements >= READY_ANNOUNCEMENTS
        ]
        for each in ended:
            del self._notices[each.incarnation]
        return ended
