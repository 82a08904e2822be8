"""Messages with which entry VMs poll control VMs for changes."""

from collections import namedtuple
from collections.abc import Iterable, Sequence
from hashlib import blake2b
from typing import NotRequired, TypedDict

from vanillabeam.canary.records import RolloutReport
from vanillabeam.fleet.directory import Directory, TargetRecord
from vanillabeam.fleet.documents import INLINE_CHARACTERS, DocumentRef, make_ref
from vanillabeam.fleet.evidence import Evidence
from vanillabeam.fleet.loads import EntryLoad, LoadsByGroup, LoadScope
from vanillabeam.fleet.machine import FleetState
from vanillabeam.fleet.parts import PartChanges, PartRequest
from vanillabeam.fleet.ratelimits import RateReport
from vanillabeam.fleet.records import Target

__all__ = [
    "WATCH_PATH",
    "TargetReport",
    "WatchReply",
    "WatchRequest",
    "digest_names",
    "make_reply",
]

WATCH_PATH = "/peer/fleet/watch"
DIGEST_BYTES = 8
#: Fields of the state that watchers don't need: they hear of targets and of stores
#: otherwise.
KEPT_BACK = ("departures", "sharers", "store_epochs")


class WatchRequest(TypedDict):
    """Request for all changes since the requesting VM's last reply.

    :param vm: name of the requesting VM.
    :param sends: whether it sends work to targets.
    :param epoch: process id of the control VM in its last reply; empty at first.
    :param version: directory version in that reply.
    :param index: index of the fleet state that the requesting VM holds.
    :param wait_s: seconds that the control VM may wait for a change.
    :param parts: position of the requesting VM's copy of the index of stored
        parts.
    :param load: its open work at targets.
    :param fetched: salt and id of parts that it had targets fetch recently, and
        how many seconds ago.
    :param scope: control VMs that it reports its load to; every one if omitted.
    :param entries_digest: digest of the names of entry VMs that it knows.
    :param evidence: what it has seen of targets that ended; omitted if nothing.
    :param limits: limits of targets that it knows of; omitted for none.
    :param peer: address at which it receives the loads of other entry VMs; omitted if
        it doesn't exchange loads with them.
    :param data_centre: its data centre; only with ``peer``.
    :param group: group that it exchanges loads with; only with ``peer``.
    :param peers_digest: digest of the names of the VMs of that group that it knows.
    :param rollouts: what it has seen of running rollouts; omitted if none is running.
    :param document: digest of the document that it has, empty for none; omitted by a
        release that takes documents with the state only.
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
    scope: NotRequired[LoadScope]
    entries_digest: NotRequired[str]
    evidence: NotRequired[Evidence]
    limits: NotRequired[list[RateReport]]
    peer: NotRequired[str]
    data_centre: NotRequired[str]
    group: NotRequired[str]
    peers_digest: NotRequired[str]
    rollouts: NotRequired[list[RolloutReport]]
    document: NotRequired[str]


#: A target as it is reported: releases of before the software version read targets of
#: exactly these fields, so the version stands beside them.
SentTarget = namedtuple(
    "SentTarget", [name for name in Target._fields if name != "software"]
)


class TargetReport(TypedDict):
    """A target and the age of its newest announcement in seconds.

    :param software: version of its software; omitted for none.
    """

    target: Target
    age_s: float
    software: NotRequired[str]


class WatchReply(TypedDict):
    """Changes since the version and index of the request.

    :param data_centre: data centre of the control VM.
    :param state: fleet state, if newer than the index of the request; its document is
        empty if the requesting VM has it, or fetches it by its name.
    :param document: name of the state's document, for VMs that fetch documents.
    :param targets: targets whose records have changed.
    :param ages_s: age of every target's newest announcement, by name; for entry VMs
        as far as the control VM knows from the others too.
    :param starts: start time that an age in ``ages_s`` belongs to, where several starts
        were listed under a name; for entry VMs only.
    :param ended: incarnations that have ended.
    :param control: peer addresses of the known control VMs.
    :param entries: entry VMs that sent requests recently; empty if the requesting VM
        knows exactly these.
    :param entries_same: false if ``entries`` is empty because there are none.
    :param parts: changes to the index of stored parts, from the leader only.
    :param others: summed open work of all other entry VMs at targets; empty if the
        requesting VM reports its load elsewhere.
    :param reported: load that entry VMs report to this control VM only; for other
        control VMs.
    :param named: age in seconds of each weight version, by model; only with
        ``state``.
    :param paused: targets that are about to load weights, from the leader only.
    :param seen: name, start time, model and weight version of targets whose
        version the leader has read since their last announcement; from the
        leader only.
    :param accused: parts that the leader asks entry VMs about, with the number of
        targets that ended under them one after the other; from the leader only.
    :param leaving: name and start time of all targets that have told this control VM
        that they leave; omitted for none.
    :param limits: limits of targets that this control VM knows of; omitted for none.
    :param reported_groups: the open work in ``reported``, by group of entry VMs.
    :param nearby: number of entry VMs of the requesting VM's data centre that exchange
        loads; omitted if it doesn't.
    :param peers: addresses of the other VMs of its group by name; omitted if the
        requesting VM knows exactly these.
    """

    epoch: str
    data_centre: NotRequired[str]
    version: int
    index: int
    state: NotRequired[FleetState]
    document: NotRequired[DocumentRef]
    targets: list[TargetReport]
    ages_s: dict[str, float]
    starts: NotRequired[dict[str, int]]
    ended: list[tuple[str, int]]
    control: list[str]
    entries: list[str]
    entries_same: NotRequired[bool]
    parts: NotRequired[PartChanges]
    others: EntryLoad
    reported: NotRequired[EntryLoad]
    named: NotRequired[dict[str, list[tuple[int, float]]]]
    paused: NotRequired[list[str]]
    seen: NotRequired[list[tuple[str, int, str, int]]]
    accused: NotRequired[dict[str, int]]
    leaving: NotRequired[list[tuple[str, int]]]
    limits: NotRequired[list[RateReport]]
    reported_groups: NotRequired[LoadsByGroup]
    nearby: NotRequired[int]
    peers: NotRequired[dict[str, str]]


def make_reply(
    request: WatchRequest,
    epoch: str,
    directory: Directory,
    state: FleetState,
    control: Sequence[str],
    entries: Sequence[str],
    others: EntryLoad,
    now_s: float,
    news_index: int | None = None,
) -> WatchReply:
    """Return the changes that the sender of ``request`` has not received yet.

    :param epoch: process id of this control VM.
    :param control: peer addresses of the known control VMs.
    :param entries: entry VMs that sent requests recently.
    :param others: summed open work of all other entry VMs.
    :param now_s: monotonic time in seconds.
    :param news_index: index of the last command that changed what the state in a reply
        has; ``None`` for that of the state.
    """
    since = request["version"] if request["epoch"] == epoch else 0
    changed = directory.changed_after(since)
    reply = WatchReply(
        epoch=epoch,
        version=directory.version,
        index=state["index"],
        targets=[_target_report(record, now_s) for record in changed],
        ages_s={
            name: round(now_s - record.last_seen_s, 3)
            for name, record in directory.records.items()
        },
        ended=directory.ended_after(since),
        control=list(control),
        entries=[] if _knows(request, entries) else list(entries),
        others=others,
    )
    if not entries and not _knows(request, entries):
        reply["entries_same"] = False
    if directory.leaving:
        reply["leaving"] = sorted(directory.leaving)
    newest = state["index"] if news_index is None else news_index
    if newest > request["index"]:
        _add_state(reply, state, request.get("document"))
    return reply


def _add_state(reply: WatchReply, state: FleetState, known: str | None) -> None:
    """Add a state without what only control VMs need, or the VM has or fetches.

    :param known: digest of the document that the requesting VM has.
    """
    fields = {key: state[key] for key in state if key not in KEPT_BACK}
    if known is not None:
        reply["document"] = ref = make_ref(state)
        is_long = len(state["document"]) > INLINE_CHARACTERS
        if is_long or known == ref["digest"]:
            fields["document"] = ""
    reply["state"] = FleetState(**fields)


def digest_names(names: Iterable[str]) -> str:
    """Return a digest of a set of names."""
    text = "\0".join(sorted(names)).encode()
    return blake2b(text, digest_size=DIGEST_BYTES).hexdigest()


def _knows(request: WatchRequest, entries: Sequence[str]) -> bool:
    return request.get("entries_digest") == digest_names(entries)


def _target_report(record: TargetRecord, now_s: float) -> TargetReport:
    cold_s = max(0.0, record.cold_until_s - now_s)
    target = record.target._replace(cold_ms=round(1000 * cold_s, 1))
    fields = target._asdict()
    software = fields.pop("software")
    report = TargetReport(
        target=SentTarget(**fields), age_s=round(now_s - record.last_seen_s, 3)
    )
    if software:
        report["software"] = software
    return report
