"""Functional core of SWIM membership: heartbeats, probes, suspicion and death."""

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
    "SendHeartbeat",
    "SendProbe",
    "StateReceived",
    "Tick",
    "handle",
]

#: Probability per period of a heartbeat to a VM that was declared dead.
DEAD_RETRY_PROBABILITY = 0.1
#: Probability per period of a heartbeat to a seed of this data centre, divided
#: by the number of these seeds.
SEED_RETRY_PROBABILITY = 0.1


class Tick(NamedTuple):
    """Timer tick, several times per heartbeat period."""


class AppStateChanged(NamedTuple):
    """This VM's own application state has changed."""

    state: AppState


class HeartbeatReceived(NamedTuple):
    """A heartbeat of another VM was received and needs a reply."""

    message: Heartbeat


class HeartbeatAnswered(NamedTuple):
    """A VM answered this one's heartbeat."""

    message: Heartbeat


class HeartbeatFailed(NamedTuple):
    """A heartbeat call failed or timed out.

    :param name: name of the VM called; ``None`` if only its address is known.
    """

    name: str | None


class ProbeEnded(NamedTuple):
    """An indirect probe through another VM has ended.

    :param name: name of the probed VM.
    :param answered: whether the probed VM answered.
    """

    name: str
    answered: bool


class Leave(NamedTuple):
    """This VM begins a planned stop."""


class SendHeartbeat(NamedTuple):
    """Send a heartbeat to a VM and report the answer or the failure.

    :param name: name of the VM; ``None`` if only its address is known.
    """

    name: str | None
    address: str
    message: Heartbeat


class SendProbe(NamedTuple):
    """Ask another VM to probe a VM that does not answer.

    :param via: address of the VM that sends the probe.
    :param name: name of the probed VM.
    :param address: address of the probed VM.
    """

    via: str
    name: str
    address: str


class Reply(NamedTuple):
    """Reply to the received heartbeat."""

    message: Heartbeat


class StateReceived(NamedTuple):
    """A VM's own record was received from that VM."""

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
    """Apply ``event`` to ``state`` and return the effects for the shell.

    :param now_s: monotonic time in seconds.
    :raises InvariantBroken: if the type of ``event`` is unknown.
    """
    raise InvariantBroken(f"membership does not take {type(event).__name__}")


@handle.register
def _(event: AppStateChanged, state: MembersState, now_s: float) -> list[Effect]:
    own = state.own
    only_load_differs = event.state._replace(load=own.state.load) == own.state
    too_soon = now_s - state.load_sent_s < state.cfg.state_period_s
    if event.state == own.state or (only_load_differs and too_soon):
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
    receivers = state.rng.sample(peers, min(len(peers), state.cfg.retransmits))
    return [_heartbeat_to(state, member, now_s) for member in receivers]


@handle.register
def _(event: Tick, state: MembersState, now_s: float) -> list[Effect]:
    _reset_after_own_pause(state, now_s)
    _expire_probes(state, now_s)
    _expire_suspicions(state, now_s)
    state.remove_dead(now_s)
    effects: list[Effect] = []
    if now_s >= state.next_local_s:
        state.next_local_s = now_s + state.cfg.period_s
        effects += _local_heartbeats(state, now_s)
    if now_s >= state.next_remote_s:
        state.next_remote_s = now_s + state.cfg.remote_period_s
        effects += _remote_heartbeat(state, now_s)
    return effects


def _reset_after_own_pause(state: MembersState, now_s: float) -> None:
    last_s, state.last_tick_s = state.last_tick_s, now_s
    if last_s is None or now_s - last_s < 2 * state.cfg.period_s:
        return
    # This VM itself was paused, so missing answers are no evidence of failed peers.
    state.awaiting_reply.clear()
    state.probe_deadlines_s.clear()
    for name in state.suspected_s:
        state.suspected_s[name] = now_s


def _expire_probes(state: MembersState, now_s: float) -> None:
    for name, ends_s in list(state.probe_deadlines_s.items()):
        if now_s >= ends_s:
            del state.probe_deadlines_s[name]
            _suspect(state, name, now_s)


def _suspect(state: MembersState, name: str, now_s: float) -> None:
    member = state.members.get(name)
    if member is not None and member.status is Status.ALIVE:
        state.merge_member(member._replace(status=Status.SUSPECT), now_s)


def _expire_suspicions(state: MembersState, now_s: float) -> None:
    for name, since_s in list(state.suspected_s.items()):
        if now_s - since_s >= state.cfg.suspicion_s:
            del state.suspected_s[name]
            member = state.members[name]
            state.merge_member(member._replace(status=Status.DEAD), now_s)


def _local_heartbeats(state: MembersState, now_s: float) -> list[Effect]:
    effects = [] if state.joined else _join(state, now_s)
    member = _next_in_rotation(state)
    if member is not None:
        effects.append(_heartbeat_to(state, member, now_s))
    # A VM declared dead may be alive if a network partition has healed.
    dead = [m for m in state.members.values() if m.status is Status.DEAD]
    if dead and state.rng.random() < DEAD_RETRY_PROBABILITY:
        effects.append(_heartbeat_to(state, state.rng.choice(dead), now_s))
    local = [s for s in state.seeds if s.data_centre == state.own.data_centre]
    if local and (
        member is None or state.rng.random() < SEED_RETRY_PROBABILITY / len(local)
    ):
        effects.append(
            _heartbeat_to_seed(state, state.rng.choice(local).address, now_s)
        )
    return effects


def _join(state: MembersState, now_s: float) -> list[Effect]:
    local = [s for s in state.seeds if s.data_centre == state.own.data_centre]
    state.joined = not local
    chosen = state.rng.sample(local, min(len(local), 3))
    return [_heartbeat_to_seed(state, seed.address, now_s) for seed in chosen]


def _heartbeat_to_seed(state: MembersState, address: str, now_s: float) -> Effect:
    message = state.message(None, now_s, is_local=True, join=False)
    if not state.joined:
        message["join"] = True
    return SendHeartbeat(None, address, message)


def _next_in_rotation(state: MembersState) -> Member | None:
    # Contact each VM once per round in random order, so that a failed VM is
    # detected within one round.
    while state.rotation:
        member = state.members.get(state.rotation.pop())
        if member is not None and member.status <= Status.SUSPECT:
            return member
    state.rotation = [m.name for m in state.alive() if m.name != state.name]
    state.rng.shuffle(state.rotation)
    return state.members[state.rotation.pop()] if state.rotation else None


def _heartbeat_to(state: MembersState, member: Member, now_s: float) -> Effect:
    state.awaiting_reply[member.name] = now_s
    message = state.message(member.name, now_s, is_local=True, join=False)
    return SendHeartbeat(member.name, member.address, message)


def _remote_heartbeat(state: MembersState, now_s: float) -> list[Effect]:
    own = state.own.data_centre
    addresses: dict[str, list[str]] = {}
    for seed in state.seeds:
        addresses.setdefault(seed.data_centre, []).append(seed.address)
    for name, summary in state.summaries(now_s).items():
        contacts = [address for _, address in summary.contacts]
        fresh = summary.age_s < state.cfg.summary_s and contacts
        addresses[name] = contacts if fresh else contacts + addresses.get(name, [])
    addresses.pop(own, None)
    addresses = {name: known for name, known in addresses.items() if known}
    if not addresses:
        return []
    address = state.rng.choice(addresses[state.rng.choice(sorted(addresses))])
    message = state.message(None, now_s, is_local=False, join=False)
    return [SendHeartbeat(None, address, message)]


@handle.register
def _(event: HeartbeatReceived, state: MembersState, now_s: float) -> list[Effect]:
    sender = event.message["sender"]
    effects = _merge_message(state, event.message, now_s)
    local = sender.data_centre == state.own.data_centre
    join = local and event.message.get("join", False)
    reply = state.message(sender.name if local else None, now_s, local, join)
    held = state.members.get(sender.name)
    if local and held is not None and held != sender and held not in reply["members"]:
        # This VM holds a record of an earlier incarnation or a suspicion; send it
        # so that the sender can refute it.
        reply["members"] = [held, *reply["members"]]
    return [*effects, Reply(reply)]


@handle.register
def _(event: HeartbeatAnswered, state: MembersState, now_s: float) -> list[Effect]:
    name = event.message["sender"].name
    state.awaiting_reply.pop(name, None)
    state.probe_deadlines_s.pop(name, None)
    if event.message["sender"].data_centre == state.own.data_centre:
        state.joined = True
    return _merge_message(state, event.message, now_s)


def _merge_message(
    state: MembersState, message: Heartbeat, now_s: float
) -> list[Effect]:
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
    sent_s = state.awaiting_reply.pop(event.name or "", None)
    if member is None or sent_s is None or member.status is not Status.ALIVE:
        return []
    candidates = [m for m in state.alive() if m.name not in (state.name, member.name)]
    probers = state.rng.sample(
        candidates, min(len(candidates), state.cfg.indirect_probes)
    )
    if not probers:
        _suspect(state, member.name, now_s)
        return []
    state.probe_deadlines_s[member.name] = now_s + 2 * state.cfg.timeout_s
    return [SendProbe(m.address, member.name, member.address) for m in probers]


@handle.register
def _(event: ProbeEnded, state: MembersState, now_s: float) -> list[Effect]:
    if event.answered:
        state.probe_deadlines_s.pop(event.name, None)
    return []
