"""Heartbeats, suspicion and death: the core of membership."""

from functools import singledispatch
from typing import NamedTuple

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.members.records import AppState, Heartbeat, Member, Status
from vanillabeam.members.state import MembersState

__all__ = [
    "AppStateChanged",
    "Effect",
    "Event",
    "HeartbeatAnswered",
    "HeartbeatFailed",
    "HeartbeatReceived",
    "Leave",
    "ProbeEnded",
    "Reply",
    "StateReceived",
    "SendHeartbeat",
    "SendProbe",
    "Tick",
    "handle",
]

DEAD_RETRY_SHARE = 0.1
SEED_RETRY_SHARE = 0.1


class Tick(NamedTuple):
    """Time has passed; a few a period."""


class AppStateChanged(NamedTuple):
    """This VM's own state is now this."""

    state: AppState


class HeartbeatReceived(NamedTuple):
    """Another VM's heartbeat came in and waits for its answer."""

    message: Heartbeat


class HeartbeatAnswered(NamedTuple):
    """A VM answered this one's heartbeat."""

    message: Heartbeat


class HeartbeatFailed(NamedTuple):
    """No answer in time, or a failed call.

    :param name: the VM, ``None`` for a seed that is not known yet.
    """

    name: str | None


class ProbeEnded(NamedTuple):
    """A VM that was asked to try a silent one has said how it went."""

    name: str
    answered: bool


class Leave(NamedTuple):
    """This VM stops as planned."""


class SendHeartbeat(NamedTuple):
    """Call a VM and report the answer or the failure.

    :param name: ``None`` for a seed that is not known yet.
    """

    name: str | None
    address: str
    message: Heartbeat


class SendProbe(NamedTuple):
    """Ask a VM to try a silent one.

    :param via: address of the VM that is asked.
    """

    via: str
    name: str
    address: str


class Reply(NamedTuple):
    """Answer the heartbeat that came in."""

    message: Heartbeat


class StateReceived(NamedTuple):
    """A VM said this of itself, just now."""

    member: Member


Event = (
    Tick
    | AppStateChanged
    | HeartbeatReceived
    | HeartbeatAnswered
    | HeartbeatFailed
    | ProbeEnded
    | Leave
)
Effect = SendHeartbeat | SendProbe | Reply | StateReceived


@singledispatch
def handle(event: Event, state: MembersState, now_s: float) -> list[Effect]:
    """Change ``state`` by ``event`` and return what the shell must do.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: on an event that no shell sends.
    """
    raise InvariantBroken(f"membership does not take {type(event).__name__}")


@handle.register
def _(event: AppStateChanged, state: MembersState, now_s: float) -> list[Effect]:
    own = state.own
    only_load = event.state._replace(load=own.state.load) == own.state
    too_soon = now_s - state.load_sent_s < state.cfg.state_period_s
    if event.state == own.state or (only_load and too_soon):
        return []
    if event.state.config_index < own.state.config_index:
        raise InvariantBroken(
            f"index in force {event.state.config_index} after {own.state.config_index}"
        )
    state.load_sent_s = now_s
    state.set_own_record(own._replace(version=own.version + 1, state=event.state))
    return []


@handle.register
def _(event: Leave, state: MembersState, now_s: float) -> list[Effect]:
    own = state.own
    state.set_own_record(own._replace(version=own.version + 1, status=Status.LEFT))
    peers = [m for m in state.alive() if m.name != state.name]
    told = state.rng.sample(peers, min(len(peers), state.cfg.retransmits))
    return [_heartbeat_to(state, member, now_s) for member in told]


@handle.register
def _(event: Tick, state: MembersState, now_s: float) -> list[Effect]:
    _forgive_own_pause(state, now_s)
    _end_probes(state, now_s)
    _end_suspicions(state, now_s)
    state.remove_dead(now_s)
    effects: list[Effect] = []
    if now_s >= state.next_local_s:
        state.next_local_s = now_s + state.cfg.period_s
        effects += _near_heartbeats(state, now_s)
    if now_s >= state.next_remote_s:
        state.next_remote_s = now_s + state.cfg.remote_period_s
        effects += _far_heartbeat(state, now_s)
    return effects


def _forgive_own_pause(state: MembersState, now_s: float) -> None:
    last_s, state.last_tick_s = state.last_tick_s, now_s
    if last_s is None or now_s - last_s < 2 * state.cfg.period_s:
        return
    # This VM itself stood still: silence meanwhile says nothing of the others.
    state.waiting.clear()
    state.probing.clear()
    for name in state.suspected_s:
        state.suspected_s[name] = now_s


def _end_probes(state: MembersState, now_s: float) -> None:
    for name, ends_s in list(state.probing.items()):
        if now_s >= ends_s:
            del state.probing[name]
            _suspect(state, name, now_s)


def _suspect(state: MembersState, name: str, now_s: float) -> None:
    member = state.members.get(name)
    if member is not None and member.status is Status.ALIVE:
        state.merge_member(member._replace(status=Status.SUSPECT), now_s)


def _end_suspicions(state: MembersState, now_s: float) -> None:
    for name, since_s in list(state.suspected_s.items()):
        if now_s - since_s >= state.cfg.suspicion_s:
            del state.suspected_s[name]
            member = state.members[name]
            state.merge_member(member._replace(status=Status.DEAD), now_s)


def _near_heartbeats(state: MembersState, now_s: float) -> list[Effect]:
    effects = [] if state.joined else _join(state, now_s)
    member = _next_in_rotation(state)
    if member is not None:
        effects.append(_heartbeat_to(state, member, now_s))
    # Whoever is held dead may live behind a partition that has healed.
    dead = [m for m in state.members.values() if m.status is Status.DEAD]
    if dead and state.rng.random() < DEAD_RETRY_SHARE:
        effects.append(_heartbeat_to(state, state.rng.choice(dead), now_s))
    near = [s for s in state.seeds if s.data_centre == state.own.data_centre]
    if near and (member is None or state.rng.random() < SEED_RETRY_SHARE / len(near)):
        effects.append(_heartbeat_to_seed(state, state.rng.choice(near).address, now_s))
    return effects


def _join(state: MembersState, now_s: float) -> list[Effect]:
    near = [s for s in state.seeds if s.data_centre == state.own.data_centre]
    state.joined = not near
    chosen = state.rng.sample(near, min(len(near), 3))
    return [_heartbeat_to_seed(state, seed.address, now_s) for seed in chosen]


def _heartbeat_to_seed(state: MembersState, address: str, now_s: float) -> Effect:
    message = state.message(None, now_s, is_local=True, join=False)
    if not state.joined:
        message["join"] = True
    return SendHeartbeat(None, address, message)


def _next_in_rotation(state: MembersState) -> Member | None:
    # Each VM once in a round, in an order of its own: every silence is
    # noticed within one round.
    while state.rotation:
        member = state.members.get(state.rotation.pop())
        if member is not None and member.status <= Status.SUSPECT:
            return member
    state.rotation = [m.name for m in state.alive() if m.name != state.name]
    state.rng.shuffle(state.rotation)
    return state.members[state.rotation.pop()] if state.rotation else None


def _heartbeat_to(state: MembersState, member: Member, now_s: float) -> Effect:
    state.waiting[member.name] = now_s
    message = state.message(member.name, now_s, is_local=True, join=False)
    return SendHeartbeat(member.name, member.address, message)


def _far_heartbeat(state: MembersState, now_s: float) -> list[Effect]:
    own = state.own.data_centre
    places: dict[str, list[str]] = {}
    for seed in state.seeds:
        places.setdefault(seed.data_centre, []).append(seed.address)
    for name, summary in state.summaries(now_s).items():
        contacts = [address for _, address in summary.contacts]
        fresh = summary.age_s < state.cfg.summary_s and contacts
        places[name] = contacts if fresh else contacts + places.get(name, [])
    places.pop(own, None)
    places = {name: found for name, found in places.items() if found}
    if not places:
        return []
    address = state.rng.choice(places[state.rng.choice(sorted(places))])
    message = state.message(None, now_s, is_local=False, join=False)
    return [SendHeartbeat(None, address, message)]


@handle.register
def _(event: HeartbeatReceived, state: MembersState, now_s: float) -> list[Effect]:
    sender = event.message["sender"]
    effects = _take_in(state, event.message, now_s)
    near = sender.data_centre == state.own.data_centre
    join = near and event.message.get("join", False)
    reply = state.message(sender.name if near else None, now_s, near, join)
    held = state.members.get(sender.name)
    if near and held is not None and held != sender and held not in reply["members"]:
        # An earlier life of the sender, or a suspicion that it may refute.
        reply["members"] = [held, *reply["members"]]
    return [*effects, Reply(reply)]


@handle.register
def _(event: HeartbeatAnswered, state: MembersState, now_s: float) -> list[Effect]:
    name = event.message["sender"].name
    state.waiting.pop(name, None)
    state.probing.pop(name, None)
    if event.message["sender"].data_centre == state.own.data_centre:
        state.joined = True
    return _take_in(state, event.message, now_s)


def _take_in(state: MembersState, message: Heartbeat, now_s: float) -> list[Effect]:
    sender = message["sender"]
    if sender.name == state.name:
        return []
    for member in message["members"]:
        state.merge_member(member, now_s)
    state.merge_member(sender, now_s)
    state.merge_summaries(message["summaries"], now_s)
    if sender.data_centre == state.own.data_centre:
        state.record_peer_view(sender.name, message["view"])
    return [StateReceived(sender)]


@handle.register
def _(event: HeartbeatFailed, state: MembersState, now_s: float) -> list[Effect]:
    member = state.members.get(event.name or "")
    sent_s = state.waiting.pop(event.name or "", None)
    if member is None or sent_s is None or member.status is not Status.ALIVE:
        return []
    helpers = [m for m in state.alive() if m.name not in (state.name, member.name)]
    asked = state.rng.sample(helpers, min(len(helpers), state.cfg.indirect_probes))
    if not asked:
        _suspect(state, member.name, now_s)
        return []
    state.probing[member.name] = now_s + 2 * state.cfg.timeout_s
    return [SendProbe(m.address, member.name, member.address) for m in asked]


@handle.register
def _(event: ProbeEnded, state: MembersState, now_s: float) -> list[Effect]:
    if event.answered:
        state.probing.pop(event.name, None)
    return []
