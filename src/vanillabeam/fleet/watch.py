"""What entry VMs ask of control VMs, again and again, and the answers."""

from collections.abc import Sequence
from typing import NotRequired, TypedDict

from vanillabeam.fleet.directory import Directory, TargetRecord
from vanillabeam.fleet.loads import EntryLoad
from vanillabeam.fleet.machine import FleetState
from vanillabeam.fleet.parts import PartChanges, PartRequest
from vanillabeam.fleet.records import Target

__all__ = ["WATCH_PATH", "TargetReport", "WatchReply", "WatchRequest", "make_reply"]

WATCH_PATH = "/peer/fleet/watch"


class WatchRequest(TypedDict):
    """What the asking VM has already heard from this control VM.

    :param vm: the asking VM.
    :param sends: whether it sends work to targets.
    :param epoch: of the control VM's process; empty at first.
    :param version: of its directory.
    :param index: of the fleet state that the asking VM holds.
    :param wait_s: how long the answer may wait for news.
    :param parts: what the asking VM has of the index of kept parts.
    :param load: what it has open at targets.
    :param fetched: salt and id of parts that it had fetched lately, and how
        many seconds ago.
    """

    vm: str
    sends: bool
    epoch: str
    version: int
    index: int
    wait_s: float
    parts: PartRequest
    load: EntryLoad
    fetched: list[tuple[str, str, float]]


class TargetReport(TypedDict):
    """A target and the age of its newest word in seconds."""

    target: Target
    age_s: float


class WatchReply(TypedDict):
    """News since the request.

    :param state: the fleet state, where it is newer than the asked index.
    :param targets: records that have changed.
    :param ages_s: age of the newest word of every target, by name.
    :param ended: lives that have ended.
    :param control: peers' addresses of the control VMs, as far as known.
    :param entries: entry VMs that have asked lately.
    :param parts: news of the index of kept parts, from the leader only.
    :param others: what all other entry VMs have open at targets.
    :param named: age in seconds of each weight version, by model, with
        ``state`` only.
    :param paused: targets that are about to load weights, from the leader.
    :param seen: name, start, model and weight version of targets that the
        leader has asked since they announced themselves.
    """

    epoch: str
    version: int
    index: int
    state: NotRequired[FleetState]
    targets: list[TargetReport]
    ages_s: dict[str, float]
    ended: list[tuple[str, int]]
    control: list[str]
    entries: list[str]
    parts: NotRequired[PartChanges]
    others: EntryLoad
    named: NotRequired[dict[str, list[tuple[int, float]]]]
    paused: NotRequired[list[str]]
    seen: NotRequired[list[tuple[str, int, str, int]]]


def make_reply(
    request: WatchRequest,
    epoch: str,
    directory: Directory,
    state: FleetState,
    control: Sequence[str],
    entries: Sequence[str],
    others: EntryLoad,
    now_s: float,
) -> WatchReply:
    """Return what ``request`` has not heard yet.

    :param now_s: monotonic time in seconds.
    """
    since = request["version"] if request["epoch"] == epoch else 0
    changed = directory.changed_after(since)
    reply = WatchReply(
        epoch=epoch,
        version=directory.version,
        index=state["index"],
        targets=[_seen(record, now_s) for record in changed],
        ages_s={
            name: round(now_s - each.last_seen_s, 3)
            for name, each in directory.records.items()
        },
        ended=directory.ended_after(since),
        control=list(control),
        entries=list(entries),
        others=others,
    )
    if state["index"] > request["index"]:
        reply["state"] = state
    return reply


def _seen(record: TargetRecord, now_s: float) -> TargetReport:
    left_s = max(0.0, record.cold_until_s - now_s)
    target = record.target._replace(cold_ms=round(1000 * left_s, 1))
    return TargetReport(target=target, age_s=round(now_s - record.last_seen_s, 3))
