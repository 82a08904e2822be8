"""How a VM comes to the newest configuration and passes it on."""

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

LOCAL_FANOUT = 3
REMOTE_FANOUT = 2
PUSH_BYTES = 4 * 1024
MOST_STEPS_PASSED_ON = 8
MAX_HOLDERS = 8
START_WAIT_S = 3.0
START_GIVE_UP_S = 15.0
ASK_AGAIN_S = 1.0
PAGE_PERIOD_S = 1.0


class SpreadState:
    """State of config spread on one VM.

    :param address: of this VM.
    :param control: addresses of the VMs that have the ticket log.
    :param stored: the copy that was on disk, if there was one.
    :param began_s: monotonic time at which the VM started.

    >>> state = SpreadState("10.0.0.1:7002", (), None, random.Random(1), 0.0)
    >>> state.ready, state.copy.index
    (False, 0)
    """

    def __init__(
        self,
        address: str,
        control: Iterable[str],
        stored: ConfigCopy | None,
        rng: random.Random,
        began_s: float,
    ):
        self.address = address
        self.control = frozenset(control)
        self.rng = rng
        self.began_s = began_s
        self.had_disk_copy = stored is not None
        self.copy = stored or ConfigCopy()
        self.pending: ConfigCopy | None = None
        self.in_force = self.copy.index
        self.ready = False
        self.near: tuple[str, ...] = ()
        self.far: dict[str, tuple[str, ...]] = {}
        self.highest_seen = self.copy.index
        self.holders: dict[str, int] = {}
        self.answered: set[str] = set()
        self.asked_s: dict[str, float] = {}
        self.fetching: str | None = None
        self.next_page_s = 0.0


@singledispatch
def handle(event: Event, state: SpreadState, now_s: float) -> list[Effect]:
    """Change ``state`` by ``event`` and return what the shell must do.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if an index has two hashes or would go back, or
        on an event that no shell sends.
    """
    raise InvariantBroken(f"spread does not take {type(event).__name__}")


@handle.register
def _(event: PeersChanged, state: SpreadState, now_s: float) -> list[Effect]:
    state.near = tuple(a for a in event.near if a != state.address)
    state.far = event.far
    return _go_on(state, now_s)


@handle.register
def _(event: Tick, state: SpreadState, now_s: float) -> list[Effect]:
    return _go_on(state, now_s)


@handle.register
def _(event: StepAccepted, state: SpreadState, now_s: float) -> list[Effect]:
    state.answered.add(state.address)
    if event.step.index <= state.copy.index:
        state.copy.check(event.step.index, event.step.hash)
        return []
    effects = _apply(state, [event.step], from_address=state.address)
    return effects + _go_on(state, now_s)


@handle.register
def _(event: CopyOffered, state: SpreadState, now_s: float) -> list[Effect]:
    state.answered.add(state.address)
    state.copy.check(event.config.index, event.hash)
    if event.config.index < state.copy.index:
        return _go_on(state, now_s)
    if event.config.index == state.copy.index and state.copy.whole:
        return _go_on(state, now_s)
    effects = _adopt(state, ConfigCopy(event.config, event.hash))
    return effects + _go_on(state, now_s)


@handle.register
def _(event: PushReceived, state: SpreadState, now_s: float) -> list[Effect]:
    message = event.message
    _note(state, message["address"], message["index"], message["hash"])
    effects = _apply(state, message["steps"], message["address"])
    return effects + _go_on(state, now_s)


@handle.register
def _(event: DigestSeen, state: SpreadState, now_s: float) -> list[Effect]:
    _note(state, event.address, event.index, event.hash)
    return _go_on(state, now_s)


@handle.register
def _(event: StepsFetched, state: SpreadState, now_s: float) -> list[Effect]:
    reply = event.reply
    _fetch_ended(state, event.address)
    state.answered.add(event.address)
    _note(state, event.address, reply["index"], reply["hash"])
    effects = _apply(state, reply["steps"], event.address)
    if reply["too_old"] and reply["index"] > state.copy.index:
        state.pending = state.pending or ConfigCopy(after=[])
    return effects + _go_on(state, now_s)


@handle.register
def _(event: PageFetched, state: SpreadState, now_s: float) -> list[Effect]:
    _fetch_ended(state, event.address)
    _note(state, event.address, event.reply["index"], event.reply["hash"])
    if state.pending is not None:
        return _take_pending_page(state, event.reply) + _go_on(state, now_s)
    if state.copy.whole:
        return []
    # Records of a copy that is in force go in only at its own index.
    if event.reply["steps"]:
        effects = _apply(state, event.reply["steps"], event.address)
        return effects + _go_on(state, now_s)
    if not state.copy.take_page(event.reply):
        return []
    return _put_in_force(state, store=state.copy.whole)


def _take_pending_page(state: SpreadState, page: PageReply) -> list[Effect]:
    pending = state.pending
    if not pending.take_page(page):
        state.pending = None
        return []
    # All but workspaces is there once a workspace or the end has come.
    if not pending.can_serve:
        return []
    state.pending = None
    if pending.index <= state.copy.index:
        return []
    return _adopt(state, pending)


@handle.register
def _(event: FetchFailed, state: SpreadState, now_s: float) -> list[Effect]:
    _fetch_ended(state, event.address)
    state.holders.pop(event.address, None)
    return []


def _fetch_ended(state: SpreadState, address: str) -> None:
    if state.fetching == address:
        state.fetching = None


def _note(state: SpreadState, address: str, index: int, hash: str) -> None:
    state.copy.check(index, hash)
    state.highest_seen = max(state.highest_seen, index)
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
    if len(applied) <= MOST_STEPS_PASSED_ON:
        effects += _pass_on(state, applied, from_address)
    return effects


def _adopt(state: SpreadState, copy: ConfigCopy) -> list[Effect]:
    if copy.index < state.copy.index:
        raise InvariantBroken(f"copy of {copy.index} after {state.copy.index}")
    state.copy = copy
    return _put_in_force(state, store=True)


def _put_in_force(state: SpreadState, store: bool) -> list[Effect]:
    copy = state.copy
    if copy.index < state.in_force:
        raise InvariantBroken(f"index {copy.index} in force after {state.in_force}")
    state.in_force = copy.index
    state.highest_seen = max(state.highest_seen, copy.index)
    in_force = PutInForce(copy.config, copy.hash, copy.whole)
    if not store:
        return [in_force]
    return [StoreCopy(copy.config, copy.hash, copy.after), in_force]


def _pass_on(
    state: SpreadState, steps: tuple[ConfigStep, ...], from_address: str
) -> list[Effect]:
    near = [address for address in state.near if address != from_address]
    chosen = state.rng.sample(near, min(LOCAL_FANOUT, len(near)))
    if from_address == state.address:
        for far in state.far.values():
            chosen += state.rng.sample(far, min(REMOTE_FANOUT, len(far)))
    small = sum(len(step.command) for step in steps) <= PUSH_BYTES
    message: Push = {
        "address": state.address,
        "index": state.copy.index,
        "hash": state.copy.hash,
        "steps": list(steps) if small else [],
    }
    return [SendPush(address, message) for address in chosen]


def _go_on(state: SpreadState, now_s: float) -> list[Effect]:
    effects = [] if state.ready else _start(state, now_s)
    if state.fetching is None:
        effects += _fetch(state, now_s)
    return effects


def _fetch(state: SpreadState, now_s: float) -> list[Effect]:
    holders = [a for a, index in state.holders.items() if index > state.copy.index]
    if state.pending is not None:
        return _fetch_page(state, state.pending, holders)
    if holders:
        state.fetching = state.rng.choice(holders)
        message: StepsRequest = {"index": state.copy.index, "digest_only": False}
        return [FetchSteps(state.fetching, message)]
    if state.copy.whole or now_s < state.next_page_s:
        return []
    state.next_page_s = now_s + PAGE_PERIOD_S
    near = [address for address in state.near if address in state.control]
    others = sorted(state.control - {state.address}) + list(state.near)
    return _fetch_page(state, state.copy, near or others)


def _fetch_page(
    state: SpreadState, copy: ConfigCopy, addresses: list[str]
) -> list[Effect]:
    if not addresses:
        return []
    state.fetching = state.rng.choice(addresses)
    message: PageRequest = {"index": copy.index, "after": list(copy.after)}
    return [FetchPage(state.fetching, message)]


def _start(state: SpreadState, now_s: float) -> list[Effect]:
    known = _to_be_asked(state)
    waited_s = now_s - state.began_s
    if _may_begin(state, known, waited_s):
        state.ready = True
        return [Ready(state.copy.index)]
    effects: list[Effect] = []
    for address in sorted(known - state.answered):
        if now_s - state.asked_s.get(address, -ASK_AGAIN_S) < ASK_AGAIN_S:
            continue
        state.asked_s[address] = now_s
        message: StepsRequest = {"index": state.copy.index, "digest_only": True}
        effects.append(FetchSteps(address, message))
    return effects


def _to_be_asked(state: SpreadState) -> set[str]:
    return (state.control | set(state.near)) - {state.address}


def _may_begin(state: SpreadState, known: set[str], waited_s: float) -> bool:
    if known and waited_s < START_WAIT_S / 2:
        return False
    # Nothing in force is an answer only if it comes from the ticket log.
    control_answered = not state.control.isdisjoint(state.answered)
    if state.copy.index == 0 and not control_answered:
        return False
    if waited_s >= START_GIVE_UP_S and state.copy.can_serve:
        return state.copy.index > 0 or state.highest_seen == 0
    if state.copy.index < state.highest_seen or not state.copy.can_serve:
        return False
    return known <= state.answered or waited_s >= START_WAIT_S
