"""State of membership: records of one data centre, summaries of the others."""

import random
from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple

import msgspec

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.members.records import (
    AppState,
    DataCentreSummary,
    Heartbeat,
    Member,
    Seed,
    Status,
    merge,
)

__all__ = ["DEAD_KEPT_S", "MembersSettings", "MembersState"]

#: Seconds for which the record of a dead VM is kept.
DEAD_KEPT_S = 600.0
#: Maximum number of summaries in a heartbeat.
MAX_SUMMARIES = 2
#: Maximum number of contacts in a summary.
MAX_CONTACTS = 3
MAX_DATA_CENTRES = 64
HASH_BYTES = 8


class MembersSettings(NamedTuple):
    """Periods, timeouts and size limits of membership.

    :param period_s: seconds between heartbeats to VMs of this data centre.
    :param remote_period_s: seconds between heartbeats to VMs of other data centres.
    :param timeout_s: seconds to wait for the answer to a heartbeat.
    :param suspicion_s: seconds after which a suspect VM that has not refuted the
        suspicion is declared dead.
    :param indirect_probes: number of VMs asked to probe a VM that does not answer.
    :param delta_bytes: maximum bytes of records in one heartbeat.
    :param join_bytes: maximum bytes of records in the answer to a join request.
    :param retransmits: times that a change is sent, multiplied by the logarithm
        of the number of VMs.
    :param state_period_s: minimum seconds between two updates that change only
        the load.
    :param summary_s: age in seconds of a summary from which its data centre
        counts as unreachable.
    """

    period_s: float = 1.0
    remote_period_s: float = 2.0
    timeout_s: float = 0.6
    suspicion_s: float = 4.0
    indirect_probes: int = 2
    delta_bytes: int = 1_200
    join_bytes: int = 65_536
    retransmits: int = 3
    state_period_s: float = 20.0
    summary_s: float = 30.0


class _ReceivedSummary(NamedTuple):
    summary: DataCentreSummary
    received_s: float


class MembersState:
    """State of the membership core.

    :param name: this VM's name, by which the other VMs identify it.
    :param address: ``host:port`` of this VM's listener for peers.
    :param seeds: VMs from the settings.
    :param rng: selects peers.
    :ivar members: records of this data centre's VMs by name, with this VM's own.
    :ivar changed_s: monotonic time of each VM's last change of status.
    :ivar view_version: incremented at each change of a record or summary.
    :ivar joined: whether a VM of this data centre has answered, or no seed of it
        is configured.
    :ivar rotation: names of the VMs still to be contacted in this round.
    :ivar awaiting_reply: monotonic time of the last heartbeat sent to each VM
        that has not answered it.
    :ivar probe_deadlines_s: monotonic time by which an indirect probe of each VM
        must succeed.
    :ivar suspected_s: monotonic time since which each VM is suspect.

    >>> state = MembersState("vm-1", "10.0.0.1:7002", "kgl-1", (), random.Random(1))
    >>> [member.name for member in state.alive()]
    ['vm-1']
    """

    def __init__(
        self,
        name: str,
        address: str,
        data_centre: str,
        seeds: Iterable[Seed],
        rng: random.Random,
        cfg: MembersSettings | None = None,
    ):
        self.cfg = cfg or MembersSettings()
        self.rng = rng
        self.name = name
        self.seeds = tuple(seed for seed in seeds if seed.address != address)
        own = Member(name, address, data_centre, 0, Status.ALIVE, 0, AppState())
        self.members: dict[str, Member] = {name: own}
        self.changed_s: dict[str, float] = {}
        self.view_version = 0
        self.joined = False
        self.next_local_s = 0.0
        self.next_remote_s = 0.0
        self.last_tick_s: float | None = None
        self.rotation: list[str] = []
        self.awaiting_reply: dict[str, float] = {}
        self.probe_deadlines_s: dict[str, float] = {}
        self.suspected_s: dict[str, float] = {}
        self.load_sent_s = -1e9
        self._sends_left: dict[str, int] = {}
        self._encoded: dict[str, bytes] = {}
        self._hash = 0
        self._cursor = 0
        self._peer_views: dict[str, str] = {}
        self._summaries: dict[str, _ReceivedSummary] = {}
        self._add_to_hash(own)

    @property
    def own(self) -> Member:
        """This VM's own record."""
        return self.members[self.name]

    def alive(self) -> tuple[Member, ...]:
        """Return the records of the live VMs of this data centre, sorted by name.

        A suspect VM counts as alive until it is declared dead.
        """
        alive = (m for m in self.members.values() if m.status <= Status.SUSPECT)
        return tuple(sorted(alive))

    def summaries(self, now_s: float) -> dict[str, DataCentreSummary]:
        """Return the summaries of the other data centres with their current age."""
        return {
            name: received.summary._replace(age_s=_age(received, now_s))
            for name, received in self._summaries.items()
        }

    def view_hash(self) -> str:
        """Return a hash of all records of this data centre."""
        return f"{self._hash:0{2 * HASH_BYTES}x}"

    def merge_member(self, member: Member, now_s: float) -> None:
        """Merge a received record into the state.

        Ignore records of other data centres, and records of dead VMs that are not
        in the state.
        """
        if member.name == self.name:
            self._merge_own_record(member)
            return
        if member.data_centre != self.own.data_centre:
            return
        held = self.members.get(member.name)
        if held is None and member.status >= Status.DEAD:
            return
        merged = member if held is None else merge(held, member)
        if merged != held:
            self._store(merged, now_s)

    def _merge_own_record(self, member: Member) -> None:
        own = self.own
        if member.incarnation < own.incarnation:
            return
        same = member.incarnation == own.incarnation
        if same and member.status <= own.status and member.version <= own.version:
            return
        if own.status is Status.LEFT:
            return
        # The record is from an earlier incarnation of this VM, or declares it
        # suspect or dead: refute it by a higher incarnation.
        self.set_own_record(own._replace(incarnation=member.incarnation + 1))

    def set_own_record(self, own: Member) -> None:
        """Store this VM's own record and queue it for dissemination.

        :raises InvariantBroken: if its incarnation or version decreases.
        """
        held = self.own
        if (own.incarnation, own.version) < (held.incarnation, held.version):
            raise InvariantBroken(f"own record of {own.name} goes back")
        self._store(own, None)

    def _store(self, member: Member, now_s: float | None) -> None:
        held = self.members.get(member.name)
        if held is not None:
            self._hash ^= _record_hash(held)
        self._add_to_hash(member)
        self.members[member.name] = member
        self._encoded[member.name] = msgspec.json.encode(member)
        self._sends_left[member.name] = self._retransmits()
        self.view_version += 1
        if now_s is None:
            return
        if held is None or held.status is not member.status:
            self.changed_s[member.name] = now_s
        if member.status is not Status.SUSPECT:
            self.suspected_s.pop(member.name, None)
        else:
            self.suspected_s.setdefault(member.name, now_s)

    def _add_to_hash(self, member: Member) -> None:
        self._hash ^= _record_hash(member)

    def _retransmits(self) -> int:
        return self.cfg.retransmits * len(self.members).bit_length()

    def remove_dead(self, now_s: float) -> None:
        """Remove the records of VMs that have been dead or left for too long.

        They are kept for ``DEAD_KEPT_S`` seconds.
        """
        for name, member in list(self.members.items()):
            has_ended = member.status >= Status.DEAD and name != self.name
            if has_ended and now_s - self.changed_s.get(name, now_s) >= DEAD_KEPT_S:
                self._hash ^= _record_hash(member)
                del self.members[name]
                for table in (self._sends_left, self._encoded, self._peer_views):
                    table.pop(name, None)
                self.changed_s.pop(name, None)
                self.view_version += 1

    def merge_summaries(self, summaries: list[DataCentreSummary], now_s: float) -> None:
        """Store the received summaries that are more recent than the stored ones."""
        for summary in summaries[:MAX_SUMMARIES]:
            name = summary.data_centre
            if name == self.own.data_centre or summary.age_s < 0:
                continue
            stored = self._summaries.get(name)
            if stored is None and len(self._summaries) >= MAX_DATA_CENTRES:
                continue
            if stored is None or _age(stored, now_s) > summary.age_s:
                self._summaries[name] = _ReceivedSummary(summary, now_s)
                self.view_version += 1

    def own_summary(self) -> DataCentreSummary:
        """Return the summary of this data centre from this VM's records."""
        alive = self.alive()
        ready = [m for m in alive if m.state.ready]
        highest = max(alive, key=lambda m: m.state.config_index).state
        count = min(MAX_CONTACTS, len(alive))
        contacts = self.rng.sample(alive, count)
        return DataCentreSummary(
            self.own.data_centre,
            0.0,
            len(alive),
            len(ready),
            sum(m.state.load for m in ready) // max(1, len(ready)),
            min(m.state.config_index for m in alive),
            highest.config_index,
            highest.config_hash,
            tuple((m.name, m.address) for m in contacts),
        )

    def message(
        self, to: str | None, now_s: float, is_local: bool, join: bool
    ) -> Heartbeat:
        """Return a heartbeat to send to a VM.

        :param to: name of the receiver, if known.
        :param is_local: whether the receiver is in this data centre.
        :param join: whether to include all records, for a VM that joins.
        """
        members: list[Member] = []
        if join:
            members = self._all_records()
        elif is_local:
            members = self._changed_records(to)
        message: Heartbeat = {
            "sender": self.own,
            "members": members,
            "view": self.view_hash(),
            "summaries": self._select_summaries(now_s, is_local),
        }
        return message

    def record_peer_view(self, name: str, view: str) -> None:
        """Store the hash of another VM's records, to detect differing views."""
        self._peer_views[name] = view

    def _all_records(self) -> list[Member]:
        names = [name for name in self.members if name != self.name]
        self.rng.shuffle(names)
        return self._take_up_to(names, self.cfg.join_bytes)

    def _changed_records(self, to: str | None) -> list[Member]:
        changed = sorted(
            (n for n, count in self._sends_left.items() if count and n != to),
            key=lambda name: -self._sends_left[name],
        )
        names = [name for name in changed if name != self.name]
        # The receiver's own record goes first if it is suspect or dead, so that
        # the receiver can refute it.
        if to in self.members and self.members[to].status is not Status.ALIVE:
            names.insert(0, to)
        chosen = self._take_up_to(names, self.cfg.delta_bytes)
        for member in chosen:
            sends_left = self._sends_left.get(member.name, 0)
            self._sends_left[member.name] = max(0, sends_left - 1)
        if not chosen and self._peer_views.get(to or "") != self.view_hash():
            return self._next_records()
        return chosen

    def _next_records(self) -> list[Member]:
        # The views differ although no change is pending: send all records in turn.
        names = [name for name in sorted(self.members) if name != self.name]
        if not names:
            return []
        start = self._cursor % len(names)
        chosen = self._take_up_to(names[start:] + names[:start], self.cfg.delta_bytes)
        self._cursor = start + len(chosen)
        return chosen

    def _take_up_to(self, names: list[str], max_bytes: int) -> list[Member]:
        chosen = []
        for name in names:
            max_bytes -= len(self._encoded[name]) + 1
            if max_bytes < 0:
                break
            chosen.append(self.members[name])
        return chosen

    def _select_summaries(
        self, now_s: float, is_local: bool
    ) -> list[DataCentreSummary]:
        fresh = list(self.summaries(now_s).values())
        fresh = [s for s in fresh if s.age_s < self.cfg.summary_s]
        count = min(len(fresh), MAX_SUMMARIES if is_local else MAX_SUMMARIES - 1)
        chosen = self.rng.sample(fresh, count)
        return chosen if is_local else [self.own_summary(), *chosen]


def _age(received: _ReceivedSummary, now_s: float) -> float:
    return received.summary.age_s + now_s - received.received_s


def _record_hash(member: Member) -> int:
    # Leave out the application state such as load, which differs between views for
    # a while; the VMs and their status must agree.
    text = f"{member.name} {member.incarnation} {member.status} {member.version}"
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
