"""Functional core: fetches the newest configuration and forwards it to peers."""

import random
from collections.abc import Iterable
from functools import singledispatch

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.spread.copy import ConfigCopy
from vanillabeam.spread.events import (
    CopyOffered,
    DigestSeen,
    Effect,
    Event,
    FetchFailed,
    FetchPage,
    FetchSteps,
    PageFetched,
    PeersChanged,
    PushReceived,
    PutInForce,
    Ready,
    SendPush,
    StepAccepted,
    StepsFetched,
    StoreCopy,
    StoreSteps,
    Tick,
)
from vanillabeam.spread.messages import (
    PageReply,
    PageRequest,
    Push,
    StepsRequest,
)
from vanillabeam.tickets import ConfigStep

__all__ = ["SpreadState", "handle"]

#: VMs of this data centre to which a VM forwards new steps.
LOCAL_FANOUT = 3

#: VMs of each other data centre to which a control VM pushes new steps.
REMOTE_FANOUT = 2

#: Commands beyond this size are left out of a push; receivers fetch the steps.
MAX_PUSH_BYTES = 4 * 1024

#: A VM that applies more steps than this at once doesn't forward them.
MAX_FORWARDED_STEPS = 8

#: VMs with the same or a newer index that are kept as sources to fetch from.
MAX_HOLDERS = 8

#: Seconds after its start for which a VM waits for the digests of all peers. If
#: it has any peers, it waits at least half of this.
STARTUP_WAIT_S = 3.0

#: Seconds after its start from which a VM may serve with a configuration older than
#: the highest index seen.
STARTUP_LIMIT_S = 15.0

#: Seconds between two requests for the digest of the same peer.
DIGEST_RETRY_S = 1.0

#: Seconds between two pages of workspaces that a serving VM still misses.
PAGE_PERIOD_S = 1.0


class SpreadState:
    """State of config dissemination on one VM.

    :param address: address of this VM.
    :param control_addresses: addresses of the VMs that have the ticket log.
    :param stored: copy loaded from disk, if there was one.
    :param started_s: monotonic time in seconds at which the VM started.
    :ivar copy: the copy in force.
    :ivar pending_copy: copy that is being fetched in pages to replace ``copy``.
    :ivar highest_index: highest index seen on any VM.
    :ivar holders: index of each VM that has at least this VM's index, by address.
    :ivar answered: addresses of the VMs that have answered since the start.
    :ivar requested_s: time of the last digest request to each address.
    :ivar fetching_from: address of the open fetch, if there is one.

    >>> state = SpreadState("10.0.0.1:7002", (), None, random.Random(1), 0.0)
    >>> state.ready, state.copy.index
    (False, 0)
    """

    def __init__(
        self,
        address: str,
        control_addresses: Iterable[str],
        stored: ConfigCopy | None,
        rng: random.Random,
        started_s: float,
    ):
        self.address = address
        self.control_addresses = frozenset(control_addresses)
        self.rng = rng
        self.started_s = started_s
        self.had_stored_copy = stored is not None
        self.copy = stored or ConfigCopy()
        self.pending_copy: ConfigCopy | None = None
        self.in_force_index = self.copy.index
        self.ready = False
        self.local_peers: tuple[str, ...] = ()
        self.remote_peers: dict[str, tuple[str, ...]] = {}
        self.highest_index = self.copy.index
        self.holders: dict[str, int] = {}
        self.answered: set[str] = set()
        self.requested_s: dict[str, float] = {}
        self.fetching_from: str | None = None
        self.next_page_s = 0.0


@singledispatch
def handle(event: Event, state: SpreadState, now_s: float) -> list[Effect]:
    """Apply ``event`` to ``state`` and return the effects for the shell.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if one index has two hashes, if the index in force
        would go back, or if the type of ``event`` is unknown.
    """
    raise InvariantBroken(f"spread does not take {type(event).__name__}")


@handle.register
def _(event: PeersChanged, state: SpreadState, now_s: float) -> list[Effect]:
    state.local_peers = tuple(a for a in event.local_peers if a != state.address)
    state.remote_peers = event.remote_peers
    return _next_requests(state, now_s)


@handle.register
def _(event: Tick, state: SpreadState, now_s: float) -> list[Effect]:
    return _next_requests(state, now_s)


@handle.register
def _(event: StepAccepted, state: SpreadState, now_s: float) -> list[Effect]:
    state.answered.add(state.address)
    if event.step.index <= state.copy.index:
        state.copy.check_hash(event.step.index, event.step.hash)
        return []
    effects = _apply(state, [event.step], from_address=state.address)
    return effects + _next_requests(state, now_s)


@handle.register
def _(event: CopyOffered, state: SpreadState, now_s: float) -> list[Effect]:
    state.answered.add(state.address)
    state.copy.check_hash(event.config.index, event.hash)
    if event.config.index < state.copy.index:
        return _next_requests(state, now_s)
    if event.config.index == state.copy.index and state.copy.is_complete:
        return _next_requests(state, now_s)
    effects = _replace_copy(state, ConfigCopy(event.config, event.hash))
    return effects + _next_requests(state, now_s)


@handle.register
def _(event: PushReceived, state: SpreadState, now_s: float) -> list[Effect]:
    message = event.message
    _record_digest(state, message["address"], message["index"], message["hash"])
    effects = _apply(state, message["steps"], message["address"])
    return effects + _next_requests(state, now_s)


@handle.register
def _(event: DigestSeen, state: SpreadState, now_s: float) -> list[Effect]:
    _record_digest(state, event.address, event.index, event.hash)
    return _next_requests(state, now_s)


@handle.register
def _(event: StepsFetched, state: SpreadState, now_s: float) -> list[Effect]:
    reply = event.reply
    _clear_fetch(state, event.address)
    state.answered.add(event.address)
    _record_digest(state, event.address, reply["index"], reply["hash"])
    effects = _apply(state, reply["steps"], event.address)
    if reply["too_old"] and reply["index"] > state.copy.index:
        state.pending_copy = state.pending_copy or ConfigCopy(cursor=[])
    return effects + _next_requests(state, now_s)


@handle.register
def _(event: PageFetched, state: SpreadState, now_s: float) -> list[Effect]:
    _clear_fetch(state, event.address)
    _record_digest(state, event.address, event.reply["index"], event.reply["hash"])
    if state.pending_copy is not None:
        return _add_pending_page(state, event.reply) + _next_requests(state, now_s)
    if state.copy.is_complete:
        return []
    # A copy in force adds records only at its own index; a newer peer sends the steps
    # first.
    if event.reply["steps"]:
        effects = _apply(state, event.reply["steps"], event.address)
        return effects + _next_requests(state, now_s)
    if not state.copy.add_page(event.reply):
        return []
    return _put_in_force(state, store=state.copy.is_complete)


def _add_pending_page(state: SpreadState, page: PageReply) -> list[Effect]:
    pending_copy = state.pending_copy
    if not pending_copy.add_page(page):
        state.pending_copy = None
        return []
    # Workspaces come last: with the first of them all other records are present.
    if not pending_copy.can_serve:
        return []
    state.pending_copy = None
    if pending_copy.index <= state.copy.index:
        return []
    return _replace_copy(state, pending_copy)


@handle.register
def _(event: FetchFailed, state: SpreadState, now_s: float) -> list[Effect]:
    _clear_fetch(state, event.address)
    state.holders.pop(event.address, None)
    return []


def _clear_fetch(state: SpreadState, address: str) -> None:
    if state.fetching_from == address:
        state.fetching_from = None


def _record_digest(state: SpreadState, address: str, index: int, hash: str) -> None:
    state.copy.check_hash(index, hash)
    state.highest_index = max(state.highest_index, index)
    if index < state.copy.index or address == state.address:
        state.holders.pop(address, None)
        return
    state.holders[address] = index
    if len(state.holders) > MAX_HOLDERS:
        del state.holders[min(state.holders, key=state.holders.get)]


def _apply(
    state: SpreadState, steps: list[ConfigStep], from_address: str
) -> list[Effect]:
    applied = tuple([step for step in steps if state.copy.apply(step)])
    if not applied:
        return []
    effects = [StoreSteps(applied), *_put_in_force(state, store=False)]
    if len(applied) <= MAX_FORWARDED_STEPS:
        effects += _forward_steps(state, applied, from_address)
    return effects


def _replace_copy(state: SpreadState, copy: ConfigCopy) -> list[Effect]:
    if copy.index < state.copy.index:
        raise InvariantBroken(f"copy of {copy.index} after {state.copy.index}")
    state.copy = copy
    return _put_in_force(state, store=True)


def _put_in_force(state: SpreadState, store: bool) -> list[Effect]:
    copy = state.copy
    if copy.index < state.in_force_index:
        raise InvariantBroken(
            f"index {copy.index} in force after {state.in_force_index}"
        )
    state.in_force_index = copy.index
    state.highest_index = max(state.highest_index, copy.index)
    in_force = PutInForce(copy.config, copy.hash, copy.is_complete)
    if not store:
        return [in_force]
    return [StoreCopy(copy.config, copy.hash, copy.cursor), in_force]


def _forward_steps(
    state: SpreadState, steps: tuple[ConfigStep, ...], from_address: str
) -> list[Effect]:
    local = [address for address in state.local_peers if address != from_address]
    receivers = state.rng.sample(local, min(LOCAL_FANOUT, len(local)))
    if from_address == state.address:
        for remote in state.remote_peers.values():
            receivers += state.rng.sample(remote, min(REMOTE_FANOUT, len(remote)))
    fits = sum(len(step.command) for step in steps) <= MAX_PUSH_BYTES
    message: Push = {
        "address": state.address,
        "index": state.copy.index,
        "hash": state.copy.hash,
        "steps": list(steps) if fits else [],
    }
    return [SendPush(address, message) for address in receivers]


def _next_requests(state: SpreadState, now_s: float) -> list[Effect]:
    effects = [] if state.ready else _check_readiness(state, now_s)
    if state.fetching_from is None:
        effects += _fetch(state, now_s)
    return effects


def _fetch(state: SpreadState, now_s: float) -> list[Effect]:
    holders = [a for a, index in state.holders.items() if index > state.copy.index]
    if state.pending_copy is not None:
        return _fetch_page(state, state.pending_copy, holders)
    if holders:
        state.fetching_from = state.rng.choice(holders)
        message: StepsRequest = {"index": state.copy.index, "digest_only": False}
        return [FetchSteps(state.fetching_from, message)]
    if state.copy.is_complete or now_s < state.next_page_s:
        return []
    state.next_page_s = now_s + PAGE_PERIOD_S
    local_control = [a for a in state.local_peers if a in state.control_addresses]
    others = sorted(state.control_addresses - {state.address}) + list(state.local_peers)
    return _fetch_page(state, state.copy, local_control or others)


def _fetch_page(
    state: SpreadState, copy: ConfigCopy, addresses: list[str]
) -> list[Effect]:
    if not addresses:
        return []
    state.fetching_from = state.rng.choice(addresses)
    message: PageRequest = {"index": copy.index, "after": list(copy.cursor)}
    return [FetchPage(state.fetching_from, message)]


def _check_readiness(state: SpreadState, now_s: float) -> list[Effect]:
    peers = _startup_peers(state)
    waited_s = now_s - state.started_s
    if _can_become_ready(state, peers, waited_s):
        state.ready = True
        return [Ready(state.copy.index)]
    effects: list[Effect] = []
    for address in sorted(peers - state.answered):
        if now_s - state.requested_s.get(address, -DIGEST_RETRY_S) < DIGEST_RETRY_S:
            continue
        state.requested_s[address] = now_s
        message: StepsRequest = {"index": state.copy.index, "digest_only": True}
        effects.append(FetchSteps(address, message))
    return effects


def _startup_peers(state: SpreadState) -> set[str]:
    return (state.control_addresses | set(state.local_peers)) - {state.address}


def _can_become_ready(state: SpreadState, peers: set[str], waited_s: float) -> bool:
    if peers and waited_s < STARTUP_WAIT_S / 2:
        return False
    # Only a control VM can confirm that no ticket has been accepted yet.
    control_answered = not state.control_addresses.isdisjoint(state.answered)
    if state.copy.index == 0 and not control_answered:
        return False
    if waited_s >= STARTUP_LIMIT_S and state.copy.can_serve:
        return state.copy.index > 0 or state.highest_index == 0
    if state.copy.index < state.highest_index or not state.copy.can_serve:
        return False
    return peers <= state.answered or waited_s >= STARTUP_WAIT_S
