"""Membership changes, one at a time: members join as learners, then vote."""

from vanillabeam.log.absence import due_change
from vanillabeam.log.entries import encode_membership
from vanillabeam.log.events import (
    AllowVm,
    Effect,
    JoinRequest,
    MembershipReplaced,
    NoChangeNeeded,
    Proposed,
    Refused,
    RemoveVm,
    Resign,
    Role,
)
from vanillabeam.log.exceptions import (
    ChangePending,
    LeaderChanged,
    LogError,
    NotAllowed,
    NotLeader,
    UnknownMember,
    WouldLoseQuorum,
)
from vanillabeam.log.messages import TimeoutNow
from vanillabeam.log.records import EntryKind, Member, Membership
from vanillabeam.log.replica import PendingChange, Progress, Replica
from vanillabeam.log.replication import add_entry

__all__ = [
    "allow_vm",
    "begin_leadership_transfer",
    "cancel_overdue_transfer",
    "finish_change",
    "handle_join_request",
    "handle_resignation",
    "losses_left",
    "refuse_unless_leader",
    "remove_vm",
    "start_due_change",
]


def refuse_unless_leader(state: Replica, request_id: int) -> list[Effect]:
    """Refuse a request that only a leader without a pending transfer can handle."""
    if state.role is not Role.LEADER:
        leader = state.membership.member(state.leader)
        address = leader.address if leader else ""
        return [Refused(request_id, NotLeader(leader=address))]
    if state.transfer_to:
        return [Refused(request_id, LeaderChanged("leadership is handed over"))]
    return []


def allow_vm(event: AllowVm, state: Replica, now_s: float) -> list[Effect]:
    """Allow a VM to join; it becomes a voter once its log is up to date."""
    if event.vm in state.membership.allowed:
        return [NoChangeNeeded(event.request_id)]
    allowed = (*state.membership.allowed, event.vm)
    changed = state.membership._replace(allowed=allowed)
    return _start_change(event.request_id, changed, "VM allowed", state, now_s)


def remove_vm(event: RemoveVm, state: Replica, now_s: float) -> list[Effect]:
    """Remove a VM and its replica; a leader first transfers its leadership."""
    membership = state.membership
    member = membership.member_on(event.vm)
    if member is None and event.vm not in membership.allowed:
        return [Refused(event.request_id, UnknownMember(event.vm))]
    if member and member.member_id == state.member_id:
        effects = begin_leadership_transfer(state, now_s)
        failure = LeaderChanged("the leader hands over before it is removed")
        return [*effects, Refused(event.request_id, failure)]
    allowed = tuple(vm for vm in membership.allowed if vm != event.vm)
    changed = _without_vm(membership._replace(allowed=allowed), event.vm)
    return _start_change(event.request_id, changed, "removal requested", state, now_s)


def handle_join_request(
    event: JoinRequest, state: Replica, now_s: float
) -> list[Effect]:
    """Add a replica with a new disk as a learner.

    If its VM already has a member that is inactive, this request only removes
    that member; the replica is added when it asks again.
    """
    membership, member = state.membership, event.member
    if membership.member(member.member_id):
        return [NoChangeNeeded(event.request_id)]
    if not state.settings.allow_any_vm and member.vm not in membership.allowed:
        return [Refused(event.request_id, NotAllowed(member.vm))]
    current = membership.member_on(member.vm)
    if current is None:
        learners = (*membership.learners, member)
        changed = membership._replace(learners=learners)
        return _start_change(event.request_id, changed, "join requested", state, now_s)
    if current.member_id == state.member_id or _is_active(state, current, now_s):
        failure = NotAllowed(f"{member.vm} is a member with another disk")
        return [Refused(event.request_id, failure)]
    changed = _without_vm(membership, member.vm)
    reason = "new disk of the same VM"
    return _start_change(event.request_id, changed, reason, state, now_s)


def handle_resignation(event: Resign, state: Replica, now_s: float) -> list[Effect]:
    """Remove a voter that is about to stop, if enough voters remain.

    It may be one that never returns, and as it stops in any case, the others bear no
    fewer losses without it. One that does return joins again. Where too few would
    remain it counts as silent from now on, so that a learner replaces it at once.
    """
    membership, member = state.membership, event.member
    voters = membership.voters
    if member not in voters:
        return [NoChangeNeeded(event.request_id)]
    if member.member_id == state.member_id:
        effects = begin_leadership_transfer(state, now_s)
        failure = LeaderChanged("the leader hands over before it resigns")
        return [*effects, Refused(event.request_id, failure)]
    state.resigned.add(member.member_id)
    if not membership.opened or len(voters) - 1 < 2 * state.settings.losses + 1:
        return [NoChangeNeeded(event.request_id)]
    changed = membership.without(member)
    return _start_change(event.request_id, changed, "planned stop", state, now_s)


def start_due_change(state: Replica, now_s: float) -> list[Effect]:
    """Start the membership change that is due without a request, if there is one."""
    if _is_changing(state):
        return []
    learners = state.membership.learners
    caught_up = [m for m in learners if _is_caught_up(state, m, now_s)]
    due = due_change(caught_up[0] if caught_up else None, state, now_s)
    if due is None or _change_failure(due.membership, state, now_s):
        return []
    return _start_change(None, due.membership, due.reason, state, now_s)


def finish_change(state: Replica, now_s: float) -> list[Effect]:
    """Append the pending membership change once its voters have replied.

    A quorum of the new voters, and every added voter, must reply to a heartbeat
    round that began after the change was requested: a voter may have lost its
    disk since its earlier replies.
    """
    change = state.pending_change
    if change is None:
        return []
    if _has_replies(state, change):
        state.pending_change = None
        effects = _append_change(change.membership, change.reason, state, now_s)
        if change.request_id is None:
            return effects
        index = state.log.last_index
        return [*effects, Proposed(change.request_id, index, state.term)]
    if now_s < change.deadline_s:
        return []
    state.pending_change = None
    if change.request_id is None:
        return []
    return [Refused(change.request_id, WouldLoseQuorum("too few voters answer"))]


def _has_replies(state: Replica, change: PendingChange) -> bool:
    answered = {
        member_id
        for member_id, progress in state.progress.items()
        if progress.round >= change.round
    } | {state.member_id}
    voters = {voter.member_id for voter in change.membership.voters}
    added = voters - {voter.member_id for voter in state.membership.voters}
    enough = len(voters & answered) >= change.membership.quorum
    return enough and added <= answered


def begin_leadership_transfer(state: Replica, now_s: float) -> list[Effect]:
    """Start a leadership transfer to the active voter with the longest log."""
    if state.role is not Role.LEADER:
        return []
    candidates = [
        voter
        for voter in state.membership.voters
        if voter.member_id != state.member_id and _is_active(state, voter, now_s)
    ]
    if not candidates:
        return []
    successor = max(candidates, key=lambda m: state.progress[m.member_id].match_index)
    state.transfer_to = successor.member_id
    state.transfer_deadline_s = now_s + state.settings.election_s
    if state.progress[successor.member_id].match_index < state.log.last_index:
        return []
    return [state.send(successor.member_id, TimeoutNow(state.term))]


def cancel_overdue_transfer(state: Replica, now_s: float) -> None:
    """Accept requests again if a leadership transfer has timed out."""
    if state.transfer_to and now_s >= state.transfer_deadline_s:
        state.transfer_to = ""


def losses_left(state: Replica, now_s: float) -> int | None:
    """Return how many voters can fail now without losing the quorum.

    Only voters that are active and have all committed entries count as healthy.
    While a membership change is uncommitted or pending, the result is the
    minimum over the old and the new membership.

    :returns: 0 or more; ``None`` if this replica is not the leader.
    """
    if state.role is not Role.LEADER:
        return None
    committed = state.log.membership_at(state.commit)
    changed = state.pending_change.membership if state.pending_change else committed
    memberships = (state.membership, committed, changed)
    return max(min(_spare_voters(each, state, now_s) for each in memberships), 0)


def _spare_voters(membership: Membership, state: Replica, now_s: float) -> int:
    """Return the number of healthy voters beyond a quorum."""
    healthy = sum(1 for m in membership.voters if _is_caught_up(state, m, now_s))
    return healthy - membership.quorum


def _start_change(
    request_id: int | None,
    changed: Membership,
    reason: str,
    state: Replica,
    now_s: float,
) -> list[Effect]:
    failure = _change_failure(changed, state, now_s)
    if failure is not None:
        return [Refused(request_id, failure)]
    deadline_s = now_s + state.settings.election_s
    state.pending_change = PendingChange(
        request_id, changed, state.read_round(), deadline_s, reason
    )
    state.round_requested = True
    return []


def _is_changing(state: Replica) -> bool:
    """Return whether a change is pending or uncommitted, or the leader too new."""
    pending = state.pending_change is not None or state.membership.index > state.commit
    return pending or state.commit < state.term_start_index


def _change_failure(
    changed: Membership, state: Replica, now_s: float
) -> LogError | None:
    if _is_changing(state):
        return ChangePending()
    active = sum(1 for voter in changed.voters if _is_active(state, voter, now_s))
    if active < changed.quorum:
        return WouldLoseQuorum(f"{active} of {len(changed.voters)} voters answer")
    return None


def _append_change(
    changed: Membership, reason: str, state: Replica, now_s: float
) -> list[Effect]:
    before = state.membership
    opened = changed.opened or _may_open(changed, state.settings.open_requires_all)
    changed = changed._replace(index=state.log.last_index + 1, opened=opened)
    effects = add_entry(state, EntryKind.MEMBERS, encode_membership(changed))
    previous = state.progress
    state.progress = {
        peer.member_id: previous.get(peer.member_id)
        or Progress(state.log.last_index + 1, now_s, state.read_round())
        for peer in state.peers
    }
    state.heard_s = {
        peer.member_id: state.heard_s.get(peer.member_id, now_s) for peer in state.peers
    }
    left = max(_spare_voters(changed, state, now_s), 0)
    report = MembershipReplaced(reason, state.term, before, changed, left)
    return [*effects, report]


def _may_open(membership: Membership, requires_all: bool) -> bool:
    """Return whether a group of these members may open.

    Where all are required, it is each VM of the initial membership by name: one that
    belongs to no group then knows that none has opened.
    """
    voters = membership.voters
    if not requires_all:
        return len(voters) >= membership.founding // 2 + 1
    names = {voter.vm for voter in voters}
    return len(voters) >= membership.founding and names.issuperset(membership.allowed)


def _without_vm(membership: Membership, vm: str) -> Membership:
    return membership._replace(
        voters=tuple(m for m in membership.voters if m.vm != vm),
        learners=tuple(m for m in membership.learners if m.vm != vm),
    )


def _is_caught_up(state: Replica, member: Member, now_s: float) -> bool:
    if member.member_id == state.member_id:
        return True
    progress = state.progress.get(member.member_id)
    has_committed = progress is not None and progress.match_index >= state.commit
    return has_committed and _is_active(state, member, now_s)


def _is_active(state: Replica, member: Member, now_s: float) -> bool:
    if member.member_id == state.member_id:
        return True
    progress = state.progress.get(member.member_id)
    if progress is None:
        return False
    silent_s = now_s - progress.last_contact_s
    return silent_s < state.settings.election_s
