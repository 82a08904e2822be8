"""A VM's knowledge of its data centre and of the others."""

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

__all__ = ["DEAD_KEPT_S", "MembersConfig", "MembersState"]

DEAD_KEPT_S = 600.0
MAX_SUMMARIES = 2
MAX_CONTACTS = 3
MAX_DATA_CENTRES = 64
HASH_BYTES = 8


class MembersConfig(NamedTuple):
    """Times and bounds of membership.

    :param period_s: a heartbeat to one VM of the data centre each period.
    :param far_period_s: one to a VM elsewhere each of these.
    :param timeout_s: an answer later than this counts as none.
    :param suspicion_s: from suspicion to death, unless refuted.
    :param indirect_probes: VMs that are asked to try a silent one.
    :param delta_bytes: most bytes of records in one heartbeat.
    :param join_bytes: most bytes of records in the answer to a join.
    :param retransmits: sends of a change, times the logarithm of the VMs.
    :param state_period_s: least time between two changes of load alone.
    :param summary_s: age at which a data centre counts as cut off.
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


class _Known(NamedTuple):
    summary: DataCentreSummary
    received_s: float


class MembersState:
    """State of the membership core.

    :param name: this VM's name; the others tell it by that.
    :param rng: picks the peers.

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
        cfg: MembersConfig | None = None,
    ):
        self.cfg = cfg or MembersConfig()
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
        self.waiting: dict[str, float] = {}
        self.probing: dict[str, float] = {}
        self.suspected_s: dict[str, float] = {}
        self.load_sent_s = -1e9
        self._sends_left: dict[str, int] = {}
        self._encoded: dict[str, bytes] = {}
        self._hash = 0
        self._cursor = 0
        self._peer_views: dict[str, str] = {}
        self._summaries: dict[str, _Known] = {}
        self._add_to_hash(own)

    @property
    def own(self) -> Member:
        """This VM's own record."""
        return self.members[self.name]

    def alive(self) -> tuple[Member, ...]:
        """Return the VMs of the data centre that are not dead, by name.

        A suspected VM counts until its suspicion ends.
        """
        found = (m for m in self.members.values() if m.status <= Status.SUSPECT)
        return tuple(sorted(found))

    def summaries(self, now_s: float) -> dict[str, DataCentreSummary]:
        """Return the other data centres with the ages that they have now."""
        return {
            name: known.summary._replace(age_s=_age(known, now_s))
            for name, known in self._summaries.items()
        }

    def view_hash(self) -> str:
        """Return a hash of all records of the data centre that are kept."""
        return f"{self._hash:0{2 * HASH_BYTES}x}"

    def merge_member(self, member: Member, now_s: float) -> None:
        """Take in a record, whoever sent it."""
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
        # An earlier life of this VM, a suspicion or a death: refuted.
        self.set_own_record(own._replace(incarnation=member.incarnation + 1))

    def set_own_record(self, own: Member) -> None:
        """Store this VM's own record, and have it told to the others.

        :raises InvariantBroken: if its incarnation or version goes back.
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
        """Drop VMs that have been dead or gone for long."""
        for name, member in list(self.members.items()):
            gone = member.status >= Status.DEAD and name != self.name
            if gone and now_s - self.changed_s.get(name, now_s) >= DEAD_KEPT_S:
                self._hash ^= _record_hash(member)
                del self.members[name]
                for table in (self._sends_left, self._encoded, self._peer_views):
                    table.pop(name, None)
                self.changed_s.pop(name, None)
                self.view_version += 1

    def merge_summaries(self, summaries: list[DataCentreSummary], now_s: float) -> None:
        """Take in what is younger than what is known."""
        for summary in summaries[:MAX_SUMMARIES]:
            name = summary.data_centre
            if name == self.own.data_centre or summary.age_s < 0:
                continue
            known = self._summaries.get(name)
            if known is None and len(self._summaries) >= MAX_DATA_CENTRES:
                continue
            if known is None or _age(known, now_s) > summary.age_s:
                self._summaries[name] = _Known(summary, now_s)
                self.view_version += 1

    def own_summary(self) -> DataCentreSummary:
        """Return this data centre as this VM sees it."""
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
        """Return a heartbeat for a VM.

        :param to: its name, if known.
        :param near: whether it is in this data centre.
        :param join: whether every record is to go along, for a newcomer.
        """
        members: list[Member] = []
        if join:
            members = self._every_record()
        elif is_local:
            members = self._changes(to)
        message: Heartbeat = {
            "sender": self.own,
            "members": members,
            "view": self.view_hash(),
            "summaries": self._some_summaries(now_s, is_local),
        }
        return message

    def record_peer_view(self, name: str, view: str) -> None:
        """Remember the hash of what another VM of the data centre knows."""
        self._peer_views[name] = view

    def _every_record(self) -> list[Member]:
        names = [name for name in self.members if name != self.name]
        self.rng.shuffle(names)
        return self._within(names, self.cfg.join_bytes)

    def _changes(self, to: str | None) -> list[Member]:
        fresh = sorted(
            (name for name, left in self._sends_left.items() if left and name != to),
            key=lambda name: -self._sends_left[name],
        )
        names = [name for name in fresh if name != self.name]
        # What is said of the receiver itself goes first: it may refute it.
        if to in self.members and self.members[to].status is not Status.ALIVE:
            names.insert(0, to)
        chosen = self._within(names, self.cfg.delta_bytes)
        for member in chosen:
            left = self._sends_left.get(member.name, 0)
            self._sends_left[member.name] = max(0, left - 1)
        if not chosen and self._peer_views.get(to or "") != self.view_hash():
            return self._next_records()
        return chosen

    def _next_records(self) -> list[Member]:
        # The views differ and no change is on its way: go through them all.
        names = [name for name in sorted(self.members) if name != self.name]
        if not names:
            return []
        start = self._cursor % len(names)
        chosen = self._within(names[start:] + names[:start], self.cfg.delta_bytes)
        self._cursor = start + len(chosen)
        return chosen

    def _within(self, names: list[str], most_bytes: int) -> list[Member]:
        chosen = []
        for name in names:
            most_bytes -= len(self._encoded[name]) + 1
            if most_bytes < 0:
                break
            chosen.append(self.members[name])
        return chosen

    def _some_summaries(self, now_s: float, is_local: bool) -> list[DataCentreSummary]:
        known = list(self.summaries(now_s).values())
        known = [s for s in known if s.age_s < self.cfg.summary_s]
        count = min(len(known), MAX_SUMMARIES if is_local else MAX_SUMMARIES - 1)
        chosen = self.rng.sample(known, count)
        return chosen if is_local else [self.own_summary(), *chosen]


def _age(known: _Known, now_s: float) -> float:
    return known.summary.age_s + now_s - known.received_s


def _record_hash(member: Member) -> int:
    # Load and the like differ for a while; who lives, and where, must not.
    text = f"{member.name} {member.incarnation} {member.status} {member.version}"
    digest = blake2b(text.encode(), digest_size=HASH_BYTES).digest()
    return int.from_bytes(digest, "big")
