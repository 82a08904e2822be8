"""Replication: a leader's appends, a follower's answers, commit and reads."""

from vanillabeam.exceptions import InvariantBroken
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
    "advance_leader",
    "become_leader",
    "confirm_reads",
    "fail_waiting",
    "follow_leader",
    "on_append_reply",
    "on_append_request",
    "replicate",
    "wait_for_read",
]


def become_leader(state: Replica, now_s: float) -> list[Effect]:
    """Lead this term; its first entry commits what earlier terms left."""
    state.role = Role.LEADER
    state.leader = state.member_id
    state.term_leader = (state.term, state.member_id)
    state.votes = set()
    state.transfer_to = ""
    state.reads = []
    next_index = state.log.last_index + 1
    state.progress = {
        peer.member_id: Progress(next_index, now_s) for peer in state.peers
    }
    state.term_start = next_index
    return add_entry(state, EntryKind.NOOP, "")


def add_entry(state: Replica, kind: EntryKind, body: str) -> list[Effect]:
    """Put an entry into the leader's own log."""
    if state.role is not Role.LEADER:
        raise InvariantBroken("only a leader adds entries")
    entry = Entry(state.log.last_index + 1, state.term, kind, body)
    return [state.store([entry])]


def replicate(state: Replica, now_s: float) -> list[Effect]:
    """Send each member what it lacks, and a heartbeat when one is due."""
    heartbeat_due = now_s >= state.round_sent_s + state.settings.heartbeat_s
    if heartbeat_due or state.round_wanted:
        state.round += 1
        state.round_sent_s = now_s
    beats = heartbeat_due or state.round_wanted
    state.round_wanted = False
    effects: list[Effect] = []
    for peer in state.peers:
        progress = state.progress[peer.member_id]
        effects += _replicate_to(state, peer.member_id, progress, beats, now_s)
    return effects + advance_leader(state) + confirm_reads(state)


def _replicate_to(
    state: Replica, to: str, progress: Progress, beats: bool, now_s: float
) -> list[Effect]:
    resend_s = 2 * state.settings.heartbeat_s
    waiting = progress.sent_s is not None and now_s - progress.sent_s < resend_s
    if progress.next <= state.log.base_index:
        return _replicate_snapshot(state, to, progress, waiting, beats, now_s)
    if progress.next <= state.log.last_index and not waiting:
        progress.sent_s = now_s
        return [_append_request(state, to, progress.next - 1, _batch(state, progress))]
    if not beats:
        return []
    previous = min(progress.match if waiting else progress.next - 1, progress.next - 1)
    if state.log.term_at(previous) is None:
        previous = progress.next - 1
    return [_append_request(state, to, previous, ())]


def _replicate_snapshot(
    state: Replica,
    to: str,
    progress: Progress,
    waiting: bool,
    beats: bool,
    now_s: float,
) -> list[Effect]:
    if progress.snapshot_offset is None:
        progress.snapshot_offset = 0
    if not waiting:
        progress.sent_s = now_s
        return [SendChunk(to, progress.snapshot_offset, state.round)]
    if not beats:
        return []
    return [_append_request(state, to, state.log.base_index, ())]


def _batch(state: Replica, progress: Progress) -> tuple[Entry, ...]:
    entries = state.log.after(progress.next - 1, state.settings.batch_entries)
    size_bytes = 0
    for count, entry in enumerate(entries, start=1):
        size_bytes += len(entry.body)
        if size_bytes >= state.settings.batch_bytes:
            return tuple(entries[:count])
    return tuple(entries)


def _append_request(
    state: Replica, to: str, previous: int, entries: tuple[Entry, ...]
) -> Effect:
    previous_term = state.log.term_at(previous)
    if previous_term is None:
        raise InvariantBroken(f"entry {previous} is not held")
    message = AppendRequest(
        state.term, previous, previous_term, entries, state.commit, state.round
    )
    return state.send(to, message)


def follow_leader(state: Replica, leader: str, term: int, now_s: float) -> list[Effect]:
    """Accept the leader of a term that is not older than this replica's.

    :raises InvariantBroken: if the term has a leader already.
    """
    known_term, known_leader = state.term_leader
    if known_term == term and known_leader != leader:
        raise InvariantBroken(f"two leaders in term {term}")
    effects: list[Effect] = fail_waiting(state, LeaderChanged())
    if term != state.term:
        effects.append(state.set_term(term))
    state.term_leader = (term, leader)
    state.follow(leader, now_s)
    return effects


def on_append_request(
    message: AppendRequest, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Store a leader's entries if they fit this log; answer once synced."""
    if message.term < state.term:
        stale = AppendReply(state.term, False, 0, 0, 0)
        return [state.send(sender, stale)]
    effects = follow_leader(state, sender, message.term, now_s)
    if not _fits(state, message):
        hint = _hint(state, message)
        reply = AppendReply(state.term, False, 0, hint, message.round)
        return [*effects, state.send(sender, reply)]
    new = _new_entries(state, message.entries)
    if new:
        effects.append(state.store(new))
    match = message.previous_index + len(message.entries)
    effects += state.advance_commit(max(state.commit, min(message.commit, match)))
    reply = AppendReply(state.term, True, match, 0, message.round)
    return [*effects, state.send(sender, reply)]


def _fits(state: Replica, message: AppendRequest) -> bool:
    if message.previous_index < state.log.base_index:
        return True
    return state.log.term_at(message.previous_index) == message.previous_term


def _hint(state: Replica, message: AppendRequest) -> int:
    index = min(message.previous_index, state.log.last_index + 1) - 1
    term = state.log.term_at(index + 1)
    while index > state.commit and state.log.term_at(index) == term:
        index -= 1
    return max(index, state.commit)


def _new_entries(state: Replica, entries: tuple[Entry, ...]) -> list[Entry]:
    for place, entry in enumerate(entries):
        if entry.index <= state.log.base_index:
            continue
        if state.log.term_at(entry.index) != entry.term:
            return list(entries[place:])
    return []


def on_append_reply(
    message: AppendReply, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Learn what a member holds."""
    progress = state.progress.get(sender)
    if state.role is not Role.LEADER or progress is None:
        return []
    progress.contact_s = now_s
    progress.round = max(progress.round, message.round)
    if not message.success:
        if message.hint >= progress.match and progress.snapshot_offset is None:
            progress.next = min(message.hint, progress.next - 1) + 1
            progress.sent_s = None
        return confirm_reads(state)
    if message.match > progress.match:
        progress.match = message.match
        progress.sent_s = None
        progress.snapshot_offset = None
    progress.next = max(progress.next, progress.match + 1)
    return advance_leader(state) + confirm_reads(state) + _finish_transfer(state)


def advance_leader(state: Replica) -> list[Effect]:
    """Commit what a quorum holds, counting only entries of this term."""
    if state.role is not Role.LEADER:
        return []
    held = sorted(
        state.log.last_index
        if voter.member_id == state.member_id
        else state.progress[voter.member_id].match
        for voter in state.membership.voters
    )
    if not held:
        return []
    index = held[len(held) - state.membership.quorum]
    if index <= state.commit or state.log.term_at(index) != state.term:
        return []
    return state.advance_commit(index)


def wait_for_read(state: Replica, request_id: int) -> list[Effect]:
    """Take a read; it is confirmed by a round that starts after now."""
    index = max(state.commit, state.term_start)
    state.reads.append(PendingRead(request_id, index, state.read_round()))
    state.round_wanted = True
    return []


def confirm_reads(state: Replica) -> list[Effect]:
    """Confirm the reads whose round a quorum has answered."""
    if not state.reads:
        return []
    rounds = sorted(
        state.round
        if voter.member_id == state.member_id
        else state.progress[voter.member_id].round
        for voter in state.membership.voters
    )
    confirmed = rounds[len(rounds) - state.membership.quorum]
    ready = [read for read in state.reads if read.round <= confirmed]
    state.reads = [read for read in state.reads if read.round > confirmed]
    return [ReadConfirmed(read.request_id, read.index) for read in ready]


def fail_waiting(state: Replica, failure: LogError) -> list[Effect]:
    """Refuse the reads and the change of members that wait for a round."""
    waiting = [read.request_id for read in state.reads]
    if state.change is not None and state.change.request_id is not None:
        waiting.append(state.change.request_id)
    state.reads = []
    state.change = None
    return [Refused(request_id, failure) for request_id in waiting]


def _finish_transfer(state: Replica) -> list[Effect]:
    progress = state.progress.get(state.transfer_to)
    if progress is None or progress.match < state.log.last_index:
        return []
    return [state.send(state.transfer_to, TimeoutNow(state.term))]
