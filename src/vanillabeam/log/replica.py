"""Raft state of one replica and the rules that all its handlers share."""

import random
from typing import NamedTuple

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.log.entries import EntryLog
from vanillabeam.log.events import (
    Apply,
    Effect,
    Role,
    SaveEntries,
    SaveTerm,
    Send,
)
from vanillabeam.log.messages import Envelope, Message
from vanillabeam.log.records import Entry, LogSettings, Member, Membership

__all__ = ["PendingChange", "PendingRead", "Progress", "Replica"]

#: Factor on the election timeout while a replica has had no leader since its
#: start, so that a group whose replicas have all restarted elects one sooner.
FIRST_ELECTION_FACTOR = 1 / 3


class Progress:
    """A leader's replication progress for one member.

    :param first_round: first heartbeat round of which the member is told.
    :ivar match_index: highest index known to be stored and synced on the
        member.
    :ivar next_index: index of the next entry to send.
    :ivar sent_s: monotonic time at which unacknowledged entries were sent,
        ``None`` if there are none.
    :ivar sent_bytes: size of these entries, or of the snapshot chunk.
    :ivar last_contact_s: monotonic time of the member's last reply.
    :ivar round: newest heartbeat round to which it has replied.
    :ivar snapshot_offset: number of snapshot bytes that it has received,
        ``None`` while it needs no snapshot.
    """

    def __init__(self, next_index: int, now_s: float, first_round: int):
        self.match_index = 0
        self.next_index = next_index
        self.sent_s: float | None = None
        self.sent_bytes = 0
        self.last_contact_s = now_s
        self.first_round = first_round
        self.round = 0
        self.snapshot_offset: int | None = None


class PendingRead(NamedTuple):
    """A read that waits until a quorum has replied to ``round`` or a newer one."""

    request_id: int
    index: int
    round: int


class PendingChange(NamedTuple):
    """A membership change that waits for replies to ``round``.

    :param request_id: id of the request, ``None`` if the leader itself started
        the change.
    :param membership: the new membership.
    :param deadline_s: monotonic time in seconds at which it is given up.
    :param reason: what it was started for, for operators.
    """

    request_id: int | None
    membership: Membership
    round: int
    deadline_s: float
    reason: str


class Replica:
    """State of one replica.

    :param member_id: id of the data folder.
    :param group_id: id of the group, empty until the replica has joined one.
    :param rng: seeded generator that randomises election timeouts.
    :param log: stored log.
    :param term: stored term.
    :param voted_for: member id that received the stored vote in ``term``.
    :param commit: stored index that is known to be committed.
    :param now_s: monotonic time in seconds.
    :ivar applied: highest index passed to the state machine.
    :ivar leader: member id of the current leader, empty if unknown.
    :ivar term_leader: newest term with a known leader, and that leader.
    :ivar leader_contact_s: monotonic time of the leader's last message.
    :ivar heard_s: monotonic time at which each member was last heard, by this replica
        or by a leader that has said so.
    :ivar resigned: members that have told this leader that they stop as planned.
    :ivar led_since_s: monotonic time at which this replica last became leader.
    :ivar votes: member ids that have granted their vote or pre-vote.
    :ivar election_began_s: monotonic time at which this replica last asked for votes.
    :ivar answer_s: seconds until enough of them had come, the last time.
    :ivar progress: a leader's replication progress by member id.
    :ivar round: number of the leader's newest heartbeat round.
    :ivar round_sent_s: monotonic time at which that round was sent.
    :ivar round_requested: whether a read or a membership change needs a new
        round before the next heartbeat is due.
    :ivar term_start_index: index of the leader's first entry of its term.
    :ivar transfer_to: member id that leadership is being transferred to, else
        empty.
    :ivar incoming_snapshot: index, term and received data of a snapshot that is
        being received.
    """

    def __init__(
        self,
        member_id: str,
        group_id: str,
        settings: LogSettings,
        rng: random.Random,
        log: EntryLog,
        *,
        term: int = 0,
        voted_for: str = "",
        commit: int = 0,
        now_s: float = 0.0,
    ):
        self.member_id = member_id
        self.group_id = group_id
        self.settings = settings
        self.rng = rng
        self.log = log
        self.term = term
        self.voted_for = voted_for
        self.commit = max(commit, log.base_index)
        self.applied = log.base_index
        self.role = Role.FOLLOWER
        self.leader = ""
        self.term_leader = (0, "")
        self.leader_contact_s = -settings.election_s
        self.heard_s: dict[str, float] = {}
        self.resigned: set[str] = set()
        self.led_since_s = now_s
        self.votes: set[str] = set()
        self.election_began_s = now_s
        self.answer_s = 0.0
        self.progress: dict[str, Progress] = {}
        self.round = 0
        self.round_sent_s = now_s
        self.term_start_index = 0
        self.pending_reads: list[PendingRead] = []
        self.round_requested = False
        self.pending_change: PendingChange | None = None
        self.transfer_to = ""
        self.transfer_deadline_s = 0.0
        self.incoming_snapshot: tuple[int, int, bytearray] | None = None
        self.election_due_s = now_s
        if not self.is_sole_voter:
            self.restart_election_timer(now_s)

    @property
    def membership(self) -> Membership:
        """Return the newest membership in the log, whether or not it is committed."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Return whether this replica is a voter."""
        return self.membership.is_voter(self.member_id)

    @property
    def is_sole_voter(self) -> bool:
        """Return whether this replica alone is a quorum."""
        return self.is_voter and len(self.membership.voters) == 1

    @property
    def has_known_leader(self) -> bool:
        """Return whether this replica has had a leader since its start."""
        return bool(self.term_leader[1])

    @property
    def peers(self) -> list[Member]:
        """Return the other members."""
        members = self.membership.members
        return [m for m in members if m.member_id != self.member_id]

    def silence_s(self, member_id: str, now_s: float) -> float:
        """Return for how many seconds a member has not been heard; 0 if unknown.

        One that has resigned counts as silent for long enough to be replaced.
        """
        if member_id == self.member_id:
            return 0.0
        silence_s = now_s - self.heard_s.get(member_id, now_s)
        if member_id in self.resigned:
            return max(silence_s, self.settings.replace_after_s or 0.0)
        return silence_s

    def hear(self, member_id: str, now_s: float) -> None:
        """Record that a member was heard; after a pause it has started again.

        A leader hears only replies: one that asks for votes may receive nothing.
        """
        heard_s = self.heard_s.get(member_id, now_s)
        if now_s - heard_s >= self.settings.election_s:
            self.resigned.discard(member_id)
        self.heard_s[member_id] = now_s

    def restart_election_timer(self, now_s: float) -> None:
        """Restart the election timer with a random timeout.

        The timeout is shorter while the replica has had no leader since its
        start. If all replicas have restarted, there is no leader to wait for;
        if there is a leader, the other replicas refuse the pre-vote.
        """
        timeout_s = self.settings.election_s
        if not self.has_known_leader:
            timeout_s *= FIRST_ELECTION_FACTOR
        self.election_due_s = now_s + self.rng.uniform(timeout_s, 2 * timeout_s)

    def has_active_leader(self, now_s: float) -> bool:
        """Return whether a leader is active, so that vote requests are refused."""
        if self.role is Role.LEADER:
            return True
        contact_age_s = now_s - self.leader_contact_s
        return bool(self.leader) and contact_age_s < self.settings.election_s

    def needs_pre_vote(self) -> bool:
        """Return whether a pre-vote precedes an election."""
        return True

    def read_round(self) -> int:
        """Return the heartbeat round whose replies confirm a read started now."""
        return self.round + 1

    def may_vote_for(self, candidate: str, term: int) -> bool:
        """Return whether the vote in ``term`` is unused or went to ``candidate``."""
        return term == self.term and self.voted_for in ("", candidate)

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Return whether a log with this last entry is at least as up to date."""
        own_last = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= own_last

    def send(self, to: str, message: Message) -> Send:
        """Return the effect that sends ``message`` to the member ``to``."""
        return Send(Envelope(self.group_id, self.member_id, to, message))

    def set_term(self, term: int, voted_for: str = "") -> SaveTerm:
        """Set the current term and the vote cast in it.

        :raises InvariantBroken: if the term decreases or a vote changes.
        """
        changes_vote = term == self.term and self.voted_for not in ("", voted_for)
        if term < self.term or changes_vote:
            raise InvariantBroken(f"vote {voted_for!r} in term {term}")
        self.term, self.voted_for = term, voted_for
        return SaveTerm(term, voted_for)

    def become_follower(self, leader: str, now_s: float) -> None:
        """Become a follower of ``leader``, or without a leader if it is empty."""
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = set()
        self.progress = {}
        self.transfer_to = ""
        self.round_requested = False
        if leader:
            self.leader_contact_s = now_s
        self.restart_election_timer(now_s)

    def record_reply(self, sender: str, round_: int, now_s: float) -> Progress | None:
        """Record a member's reply to its leader.

        :param round_: heartbeat round that the member replies to.
        :returns: the member's progress, ``None`` if this replica does not lead it.
        """
        progress = self.progress.get(sender)
        if self.role is not Role.LEADER or progress is None:
            return None
        progress.last_contact_s = now_s
        self.hear(sender, now_s)
        progress.round = max(progress.round, round_)
        return progress

    def append_entries(self, entries: list[Entry]) -> SaveEntries:
        """Append entries to the log, after removing entries that conflict.

        :raises InvariantBroken: if a committed entry would be replaced.
        """
        first = entries[0].index
        if first <= self.commit:
            raise InvariantBroken(f"entry {first} replaced below {self.commit}")
        if first <= self.log.last_index:
            self.log.truncate_from(first)
        for entry in entries:
            self.log.append(entry)
        return SaveEntries(tuple(entries))

    def advance_commit(self, index: int) -> list[Effect]:
        """Advance the commit index to ``index`` and apply the new entries.

        :raises InvariantBroken: if ``index`` is not in the log.
        """
        if index > self.log.last_index:
            raise InvariantBroken(f"commit {index} past {self.log.last_index}")
        self.commit = max(self.commit, index)
        if self.applied >= self.commit:
            return []
        count = self.commit - self.applied
        entries = self.log.after(self.applied, count)
        if len(entries) != count or entries[0].index != self.applied + 1:
            raise InvariantBroken(f"apply after {self.applied} has a gap")
        self.applied = self.commit
        return [Apply(tuple(entries))]
