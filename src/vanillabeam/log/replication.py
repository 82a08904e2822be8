"""Log replication: append requests and replies, the commit index, and reads."""

from vanillabeam.exceptions import InvariantBroken
from vanillabeam.log.absence import note_silences, silences
from vanillabeam.log.events import (
    Effect,
    ReadConfirmed,
    Refused,
    Role,
    SendChunk,
)
from vanillabeam.log.exceptions import LeaderChanged, LogError
from vanillabeam.log.messages import AppendReply, AppendRequest, TimeoutNow
from vanillabeam.log.records import Entry, EntryKind
from vanillabeam.log.replica import PendingRead, Progress, Replica

__all__ = [
    "add_entry",
    "advance_leader_commit",
    "become_leader",
    "confirm_reads",
    "refuse_pending",
    "follow_leader",
    "is_overtaken",
    "on_append_reply",
    "on_append_request",
    "replicate",
    "add_pending_read",
]


def become_leader(state: Replica, now_s: float) -> list[Effect]:
    """Become leader and append a no-op entry.

    Committing it also commits the entries of earlier terms.
    """
    state.role = Role.LEADER
    state.leader = state.member_id
    state.term_leader = (state.term, state.member_id)
    state.votes = set()
    state.transfer_to = ""
    state.pending_reads = []
    next_index = state.log.last_index + 1
    state.progress = {
        peer.member_id: Progress(next_index, now_s, state.read_round())
        for peer in state.peers
    }
    state.led_since_s = now_s
    state.resigned = set()
    state.heard_s = {
        peer.member_id: state.heard_s.get(peer.member_id, now_s) for peer in state.peers
    }
    state.term_start_index = next_index
    return add_entry(state, EntryKind.NOOP, "")


def add_entry(state: Replica, kind: EntryKind, body: str) -> list[Effect]:
    """Append an entry to the leader's own log."""
    if state.role is not Role.LEADER:
        raise InvariantBroken("only a leader adds entries")
    entry = Entry(state.log.last_index + 1, state.term, kind, body)
    return [state.append_entries([entry])]


def is_overtaken(state: Replica, command: str, after: int | None) -> bool:
    """Return whether the log has another command about the same subject.

    What a leader finds before it appends holds for all replicas, as they commit an
    entry only with the same ones before it.

    :param after: index of the last entry that doesn't count; ``None`` counts nothing.
        Entries that are compacted count, as what they were is no longer known.
    """
    subject_of = state.settings.subject
    subject = subject_of(command) if after is not None else ""
    if not subject:
        return False
    if after < state.log.base_index:
        return True
    return any(
        entry.kind is EntryKind.COMMAND and subject_of(entry.body) == subject
        for entry in state.log.after(after)
    )


def replicate(state: Replica, now_s: float) -> list[Effect]:
    """Send missing entries to each member, and a heartbeat if one is due."""
    heartbeat_due = now_s >= state.round_sent_s + state.settings.heartbeat_s
    if heartbeat_due or state.round_requested:
        state.round += 1
        state.round_sent_s = now_s
    heartbeat = heartbeat_due or state.round_requested
    state.round_requested = False
    effects: list[Effect] = []
    for peer in state.peers:
        progress = state.progress[peer.member_id]
        effects += _replicate_to(state, peer.member_id, progress, heartbeat, now_s)
    return effects + advance_leader_commit(state) + confirm_reads(state)


def _replicate_to(
    state: Replica, to: str, progress: Progress, heartbeat: bool, now_s: float
) -> list[Effect]:
    resend_s = 2 * state.settings.heartbeat_s
    resend_s += progress.sent_bytes / state.settings.slowest_bytes_s
    in_flight = progress.sent_s is not None and now_s - progress.sent_s < resend_s
    if progress.next_index <= state.log.base_index:
        return _replicate_snapshot(state, to, progress, in_flight, heartbeat, now_s)
    if progress.next_index <= state.log.last_index and not in_flight:
        entries = _next_entries(state, progress)
        progress.sent_s = now_s
        progress.sent_bytes = sum(len(entry.body) for entry in entries)
        return [_append_request(state, to, progress.next_index - 1, entries, now_s)]
    if not heartbeat:
        return []
    previous = min(
        progress.match_index if in_flight else progress.next_index - 1,
        progress.next_index - 1,
    )
    if state.log.term_at(previous) is None:
        previous = progress.next_index - 1
    return [_append_request(state, to, previous, (), now_s)]


def _replicate_snapshot(
    state: Replica,
    to: str,
    progress: Progress,
    in_flight: bool,
    heartbeat: bool,
    now_s: float,
) -> list[Effect]:
    if progress.snapshot_offset is None:
        progress.snapshot_offset = 0
    if not in_flight:
        progress.sent_s = now_s
        progress.sent_bytes = state.settings.chunk_bytes
        return [SendChunk(to, progress.snapshot_offset, state.round)]
    if not heartbeat:
        return []
    return [_append_request(state, to, state.log.base_index, (), now_s)]


def _next_entries(state: Replica, progress: Progress) -> tuple[Entry, ...]:
    entries = state.log.after(progress.next_index - 1, state.settings.batch_entries)
    size_bytes = 0
    for count, entry in enumerate(entries, start=1):
        size_bytes += len(entry.body)
        if size_bytes >= state.settings.batch_bytes:
            return tuple(entries[:count])
    return tuple(entries)


def _append_request(
    state: Replica, to: str, previous: int, entries: tuple[Entry, ...], now_s: float
) -> Effect:
    previous_term = state.log.term_at(previous)
    if previous_term is None:
        raise InvariantBroken(f"entry {previous} is not held")
    message = AppendRequest(
        state.term,
        previous,
        previous_term,
        entries,
        state.commit,
        state.round,
        silences(state, now_s),
    )
    return state.send(to, message)


def follow_leader(state: Replica, leader: str, term: int, now_s: float) -> list[Effect]:
    """Follow the leader of ``term``, which must not be older than the own term.

    :raises InvariantBroken: if the term already has another leader.
    """
    newest_term, its_leader = state.term_leader
    if newest_term == term and its_leader != leader:
        raise InvariantBroken(f"two leaders in term {term}")
    effects: list[Effect] = refuse_pending(state, LeaderChanged())
    if term != state.term:
        effects.append(state.set_term(term))
    state.term_leader = (term, leader)
    state.become_follower(leader, now_s)
    return effects


def on_append_request(
    message: AppendRequest, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Store a leader's entries if they match this log; reply once synced."""
    if message.term < state.term:
        stale = AppendReply(state.term, False, 0, 0, 0)
        return [state.send(sender, stale)]
    effects = follow_leader(state, sender, message.term, now_s)
    if not _matches_log(state, message):
        hint = _conflict_hint(state, message)
        reply = AppendReply(state.term, False, 0, hint, message.round)
        return [*effects, state.send(sender, reply)]
    new_entries = _new_entries(state, message.entries)
    if new_entries:
        effects.append(state.append_entries(new_entries))
    match = message.previous_index + len(message.entries)
    effects += state.advance_commit(max(state.commit, min(message.commit, match)))
    note_silences(message.silent, state, now_s)
    reply = AppendReply(state.term, True, match, 0, message.round)
    return [*effects, state.send(sender, reply)]


def _matches_log(state: Replica, message: AppendRequest) -> bool:
    if message.previous_index < state.log.base_index:
        return True
    return state.log.term_at(message.previous_index) == message.previous_term


def _conflict_hint(state: Replica, message: AppendRequest) -> int:
    index = min(message.previous_index, state.log.last_index + 1) - 1
    term = state.log.term_at(index + 1)
    while index > state.commit and state.log.term_at(index) == term:
        index -= 1
    return max(index, state.commit)


def _new_entries(state: Replica, entries: tuple[Entry, ...]) -> list[Entry]:
    for position, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        if state.log.term_at(entry.index) != entry.term:
            return list(entries[position:])
    return []


def on_append_reply(
    message: AppendReply, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Update a member's progress, then the commit index and pending reads."""
    progress = state.record_reply(sender, message.round, now_s)
    if progress is None:
        return []
    if not message.success:
        if message.hint >= progress.match_index and progress.snapshot_offset is None:
            progress.next_index = min(message.hint, progress.next_index - 1) + 1
            progress.sent_s = None
        return confirm_reads(state)
    if message.match > progress.match_index:
        progress.match_index = message.match
        progress.sent_s = None
        progress.snapshot_offset = None
    progress.next_index = max(progress.next_index, progress.match_index + 1)
    return advance_leader_commit(state) + confirm_reads(state) + _finish_transfer(state)


def advance_leader_commit(state: Replica) -> list[Effect]:
    """Advance the commit index to the newest entry that a quorum has stored.

    As in Raft, only an entry of the current term is committed this way.
    """
    if state.role is not Role.LEADER:
        return []
    match_indexes = sorted(
        state.log.last_index
        if voter.member_id == state.member_id
        else state.progress[voter.member_id].match_index
        for voter in state.membership.voters
    )
    if not match_indexes:
        return []
    index = match_indexes[len(match_indexes) - state.membership.quorum]
    if index <= state.commit or state.log.term_at(index) != state.term:
        return []
    return state.advance_commit(index)


def add_pending_read(state: Replica, request_id: int) -> list[Effect]:
    """Queue a read until a quorum has replied to a round that starts after now."""
    index = max(state.commit, state.term_start_index)
    state.pending_reads.append(PendingRead(request_id, index, state.read_round()))
    state.round_requested = True
    return []


def confirm_reads(state: Replica) -> list[Effect]:
    """Confirm the reads to whose round a quorum has replied."""
    if not state.pending_reads:
        return []
    rounds = sorted(
        state.round
        if voter.member_id == state.member_id
        else state.progress[voter.member_id].round
        for voter in state.membership.voters
    )
    confirmed = rounds[len(rounds) - state.membership.quorum]
    ready = [read for read in state.pending_reads if read.round <= confirmed]
    state.pending_reads = [
        read for read in state.pending_reads if read.round > confirmed
    ]
    return [ReadConfirmed(read.request_id, read.index) for read in ready]


def refuse_pending(state: Replica, failure: LogError) -> list[Effect]:
    """Refuse all pending reads and the pending membership change."""
    request_ids = [read.request_id for read in state.pending_reads]
    if state.pending_change is not None and state.pending_change.request_id is not None:
        request_ids.append(state.pending_change.request_id)
    state.pending_reads = []
    state.pending_change = None
    return [Refused(request_id, failure) for request_id in request_ids]


def _finish_transfer(state: Replica) -> list[Effect]:
    progress = state.progress.get(state.transfer_to)
    if progress is None or progress.match_index < state.log.last_index:
        return []
    return [state.send(state.transfer_to, TimeoutNow(state.term))]
