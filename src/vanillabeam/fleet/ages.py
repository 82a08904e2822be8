"""Ages of targets' announcements, merged over all control VMs for an entry VM."""

from typing import NamedTuple

from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.watch import WatchReply

__all__ = ["MergedAges", "add_merged_ages", "merge_ages"]


class MergedAges(NamedTuple):
    """Age of each target's newest announcement to any control VM.

    :param ages_s: age in seconds by name.
    :param starts: start time, in Unix milliseconds, that the age belongs to; only of
        names under which several starts were listed.
    """

    ages_s: dict[str, float]
    starts: dict[str, int]


def merge_ages(own: Directory, others: Directory, now_s: float) -> MergedAges:
    """Return the newest age of each target, and of which start where that is unclear.

    :param own: announcements to this control VM.
    :param others: announcements to any control VM, as this one has heard of them.
    """
    newest = dict(others.records)
    for name, record in own.records.items():
        other = newest.get(name)
        if other is None or record.last_seen_s >= other.last_seen_s:
            newest[name] = record
    return MergedAges(
        {name: round(now_s - record.last_seen_s, 3) for name, record in newest.items()},
        {
            name: record.target.born_ms
            for name, record in newest.items()
            if not own.is_only_start(record.target.incarnation)
            or not others.is_only_start(record.target.incarnation)
        },
    )


def add_merged_ages(
    reply: WatchReply, own: Directory, others: Directory, now_s: float
) -> None:
    """Put the ages of the targets that any control VM hears into a reply.

    It is for entry VMs only: between control VMs, each answer would make the age that
    it passes on a little younger, and a lost target would stay.
    """
    merged = merge_ages(own, others, now_s)
    reply["ages_s"] = merged.ages_s
    if merged.starts:
        reply["starts"] = merged.starts
