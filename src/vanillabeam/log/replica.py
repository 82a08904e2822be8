"""State of one replica and the rules that its steps share."""

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

#: Of the usual time before asking for votes, until a leader has been known.
FIRST_ELECTION_FACTOR = 1 / 3


class Progress:
    """What a leader knows of one member.

    :ivar match_index: highest index that the member holds, synced.
    :ivar next_index: first index to send.
    :ivar sent_s: when entries were sent that are not answered yet.
    :ivar last_contact_s: when the member last answered.
    :ivar round: newest heartbeat round that it answered.
    :ivar snapshot_offset: bytes of the snapshot that it holds, ``None``
        while it needs none.
    """

    def __init__(self, next_index: int, now_s: float):
        self.match_index = 0
        self.next_index = next_index
        self.sent_s: float | None = None
        self.last_contact_s = now_s
        self.round = 0
        self.snapshot_offset: int | None = None


class PendingRead(NamedTuple):
    """A read that waits for a quorum to answer ``round`` or a newer one."""

    request_id: int
    index: int
    round: int


class PendingChange(NamedTuple):
    """A change of members that waits for fresh answers to ``round``.

    :param request_id: who asked for it; ``None`` if the leader itself did.
    """

    request_id: int | None
    membership: Membership
    round: int
    deadline_s: float


class Replica:
    """State of one replica.

    :param member_id: id of the data folder.
    :param group_id: empty until the replica is part of a group.
    :param rng: seeded; spreads the election timeouts.
    :param log: what the data folder holds.
    :param commit: an index known to be committed, from the data folder.
    :param now_s: monotonic time in seconds.
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
        self.votes: set[str] = set()
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
        """Return the newest membership in the log."""
        return self.log.membership

    @property
    def is_voter(self) -> bool:
        """Return whether this replica's vote counts."""
        return self.membership.is_voter(self.member_id)

    @property
    def is_sole_voter(self) -> bool:
        """Return whether this replica makes a quorum alone."""
        return self.is_voter and len(self.membership.voters) == 1

    @property
    def has_known_leader(self) -> bool:
        """Return whether any leader has been known since the start."""
        return bool(self.term_leader[1])

    @property
    def peers(self) -> list[Member]:
        """Return the other members."""
        members = self.membership.members
        return [m for m in members if m.member_id != self.member_id]

    def restart_election_timer(self, now_s: float) -> None:
        """Wait a random time before asking for votes.

        A replica that has known no leader since its start waits less: where
        all have restarted there is none, and where there is one the others
        answer so.
        """
        timeout_s = self.settings.election_s
        if not self.has_known_leader:
            timeout_s *= FIRST_ELECTION_FACTOR
        self.election_due_s = now_s + self.rng.uniform(timeout_s, 2 * timeout_s)

    def has_active_leader(self, now_s: float) -> bool:
        """Return whether a leader is there, so that no vote is given away."""
        if self.role is Role.LEADER:
            return True
        silent_s = now_s - self.leader_contact_s
        return bool(self.leader) and silent_s < self.settings.election_s

    def needs_pre_vote(self) -> bool:
        """Return whether an election is preceded by a question."""
        return True

    def read_round(self) -> int:
        """Return the heartbeat round whose answers confirm a read from now."""
        return self.round + 1

    def may_vote_for(self, candidate: str, term: int) -> bool:
        """Return whether the vote of ``term`` is free or ``candidate``'s."""
        return term == self.term and self.voted_for in ("", candidate)

    def is_up_to_date(self, last_term: int, last_index: int) -> bool:
        """Return whether a log that ends so holds all that this one may know."""
        mine = (self.log.last_term, self.log.last_index)
        return (last_term, last_index) >= mine

    def send(self, to: str, message: Message) -> Send:
        """Return the effect that sends ``message``."""
        return Send(Envelope(self.group_id, self.member_id, to, message))

    def set_term(self, term: int, voted_for: str = "") -> SaveTerm:
        """Enter ``term``, or give this term's vote.

        :raises InvariantBroken: if the term goes back or a vote changes.
        """
        changes_vote = term == self.term and self.voted_for not in ("", voted_for)
        if term < self.term or changes_vote:
            raise InvariantBroken(f"vote {voted_for!r} in term {term}")
        self.term, self.voted_for = term, voted_for
        return SaveTerm(term, voted_for)

    def become_follower(self, leader: str, now_s: float) -> None:
        """Become a follower; of nobody if ``leader`` is empty."""
        self.role = Role.FOLLOWER
        self.leader = leader
        self.votes = set()
        self.progress = {}
        self.transfer_to = ""
        self.round_requested = False
        if leader:
            self.leader_contact_s = now_s
        self.restart_election_timer(now_s)

    def append_entries(self, entries: list[Entry]) -> SaveEntries:
        """Put new entries at the log's end, cutting what conflicts.

        :raises InvariantBroken: if a committed entry would be cut.
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
        """Commit up to ``index`` and apply what is new.

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
