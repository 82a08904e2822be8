"""Status of a replica and its group, for operators."""

from vanillabeam.log.events import Role
from vanillabeam.log.exceptions import LogError
from vanillabeam.log.members import losses_left
from vanillabeam.log.records import Member
from vanillabeam.log.replica import Replica
from vanillabeam.log.requests import LogStatus, MemberStatus

__all__ = ["replica_status", "stopped_status"]


def replica_status(
    group: str,
    state: Replica,
    snapshot_index: int,
    failure: LogError | None,
    now_s: float,
) -> LogStatus:
    """Return the status of a replica.

    :param snapshot_index: index of the newest snapshot on disk.
    :param failure: failure that stopped the replica, ``None`` while it runs.
    :param now_s: monotonic time in seconds.
    """
    leader = state.membership.member(state.leader)
    return LogStatus(
        group=group,
        group_id=state.group_id,
        member_id=state.member_id,
        role="stopped" if failure else _role(state),
        term=state.term,
        leader=leader.vm if leader else "",
        commit=state.commit,
        applied=state.applied,
        snapshot_index=snapshot_index,
        opened=state.membership.opened,
        members=[_member(member, state, now_s) for member in state.membership.members],
        losses_left=losses_left(state, now_s),
        failure=failure.type if failure else "",
        last_index=state.log.last_index,
        last_term=state.log.last_term,
    )


def stopped_status(group: str, failure: LogError | None) -> LogStatus:
    """Return the status of a replica whose data folder is not open."""
    return LogStatus(
        group=group,
        group_id="",
        member_id="",
        role="stopped" if failure else "starting",
        term=0,
        leader="",
        commit=0,
        applied=0,
        snapshot_index=0,
        opened=False,
        members=[],
        losses_left=None,
        failure=failure.type if failure else "",
    )


def _role(state: Replica) -> str:
    if not state.group_id:
        return "joining"
    return state.role.value if state.is_voter else "learner"


def _member(member: Member, state: Replica, now_s: float) -> MemberStatus:
    match: int | None = None
    active: bool | None = None
    if state.role is Role.LEADER and member.member_id == state.member_id:
        match, active = state.log.last_index, True
    elif state.role is Role.LEADER:
        progress = state.progress[member.member_id]
        match = progress.match_index
        active = now_s - progress.last_contact_s < state.settings.election_s
    return MemberStatus(
        vm=member.vm,
        address=member.address,
        member_id=member.member_id,
        votes=state.membership.is_voter(member.member_id),
        match=match,
        active=active,
    )
