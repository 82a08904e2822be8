"""Leader election: pre-votes, votes, and leaders that lose their quorum."""

from vanillabeam.log.events import Effect, QuorumMissed, Role
from vanillabeam.log.exceptions import LeaderChanged
from vanillabeam.log.messages import TimeoutNow, VoteReply, VoteRequest
from vanillabeam.log.records import Member
from vanillabeam.log.replica import Replica
from vanillabeam.log.replication import become_leader, refuse_pending

__all__ = [
    "check_quorum",
    "hears_quorum",
    "on_timeout_now",
    "on_vote_reply",
    "on_vote_request",
    "start_election_if_due",
    "step_down",
]

#: Times the wait for the votes after which replies to a leader are overdue.
SLOW_ANSWERS = 2.0


def start_election_if_due(state: Replica, now_s: float) -> list[Effect]:
    """Start an election if a voter's election timeout has elapsed."""
    if state.role is Role.LEADER or now_s < state.election_due_s:
        return []
    state.restart_election_timer(now_s)
    state.leader = ""
    if not state.is_voter:
        return []
    if state.is_sole_voter or not state.needs_pre_vote():
        return _start_election(state, now_s, transfer=False)
    state.role = Role.PRE_CANDIDATE
    state.votes = {state.member_id}
    return _request_votes(state, state.term + 1, pre=True, transfer=False)


def on_timeout_now(
    message: TimeoutNow, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Start an election immediately, as this term's leader transfers leadership."""
    if message.term != state.term or state.leader != sender or not state.is_voter:
        return []
    return _start_election(state, now_s, transfer=True)


def on_vote_request(
    message: VoteRequest, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Reply to a candidate; a granted vote is stored before the reply is sent."""
    if state.has_active_leader(now_s) and not message.transfer:
        return _reply(state, sender, message, granted=False)
    effects: list[Effect] = []
    if message.term > state.term and not message.pre:
        effects += step_down(state, message.term, now_s)
    up_to_date = state.is_up_to_date(message.last_term, message.last_index)
    if message.pre:
        granted = up_to_date and message.term > state.term
        return effects + _reply(state, sender, message, granted)
    granted = up_to_date and state.may_vote_for(sender, message.term)
    if granted and state.voted_for != sender:
        effects.append(state.set_term(message.term, sender))
    if granted:
        state.restart_election_timer(now_s)
    return effects + _reply(state, sender, message, granted)


def on_vote_reply(
    message: VoteReply, sender: str, state: Replica, now_s: float
) -> list[Effect]:
    """Count a vote; with a quorum, start the election or become leader."""
    if message.term > state.term and not (message.pre and message.granted):
        return step_down(state, message.term, now_s)
    role = Role.PRE_CANDIDATE if message.pre else Role.CANDIDATE
    election_term = state.term + 1 if message.pre else state.term
    if state.role is not role or message.for_term != election_term:
        return []
    if not message.granted or not state.membership.is_voter(sender):
        return []
    state.votes.add(sender)
    if len(state.votes) < state.membership.quorum:
        return []
    if message.pre:
        return _start_election(state, now_s, transfer=False)
    state.answer_s = now_s - state.election_began_s
    return become_leader(state, now_s)


def step_down(state: Replica, term: int, now_s: float) -> list[Effect]:
    """Become a follower without a leader in ``term``; refuse pending requests."""
    effects: list[Effect] = refuse_pending(state, LeaderChanged())
    if term > state.term:
        effects.append(state.set_term(term))
    state.become_follower("", now_s)
    return effects


def check_quorum(state: Replica, now_s: float) -> list[Effect]:
    """Step down as leader if no quorum has replied in time.

    That is ``election_s``, or more where the votes took longer: the replies to a new
    leader take as long. A leader whose removal from the group is committed steps down
    too.
    """
    removed = state.membership.index <= state.commit and not state.is_voter
    if removed:
        return step_down(state, state.term, now_s)
    limit_s = max(state.settings.election_s, SLOW_ANSWERS * state.answer_s)
    if hears_quorum(state, now_s, limit_s):
        return []
    silent = _silent_voters(state, now_s, limit_s)
    report = QuorumMissed(state.term, state.membership, silent)
    return [*step_down(state, state.term, now_s), report]


def hears_quorum(state: Replica, now_s: float, limit_s: float) -> bool:
    """Return whether a quorum, this leader included, replied within ``limit_s``."""
    active = sum(
        1
        for voter in state.membership.voters
        if voter.member_id == state.member_id
        or now_s - state.progress[voter.member_id].last_contact_s < limit_s
    )
    return active >= state.membership.quorum


def _silent_voters(
    state: Replica, now_s: float, limit_s: float
) -> tuple[tuple[Member, float], ...]:
    """Return the voters silent for ``limit_s`` or more, with the seconds."""
    others = [m for m in state.membership.voters if m.member_id != state.member_id]
    silences = [(m, now_s - state.progress[m.member_id].last_contact_s) for m in others]
    return tuple(each for each in silences if each[1] >= limit_s)


def _start_election(state: Replica, now_s: float, transfer: bool) -> list[Effect]:
    effects: list[Effect] = [state.set_term(state.term + 1, state.member_id)]
    state.role = Role.CANDIDATE
    state.election_began_s = now_s
    state.leader = ""
    state.votes = {state.member_id}
    state.restart_election_timer(now_s)
    if state.membership.quorum == 1:
        return effects + become_leader(state, now_s)
    return effects + _request_votes(state, state.term, pre=False, transfer=transfer)


def _request_votes(
    state: Replica, term: int, pre: bool, transfer: bool
) -> list[Effect]:
    message = VoteRequest(
        term, state.log.last_index, state.log.last_term, pre, transfer
    )
    return [
        state.send(voter.member_id, message)
        for voter in state.membership.voters
        if voter.member_id != state.member_id
    ]


def _reply(
    state: Replica, to: str, message: VoteRequest, granted: bool
) -> list[Effect]:
    reply = VoteReply(state.term, message.term, granted, message.pre)
    return [state.send(to, reply)]
