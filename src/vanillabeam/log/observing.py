"""Log lines about a group: its membership, its majority and its leader."""

from collections.abc import Iterable

from vanillabeam.decisions import (
    LeaderKnown,
    LeaderMissing,
    MembershipChanged,
    QuorumLost,
    log_record,
)
from vanillabeam.log.events import MembershipReplaced, QuorumMissed, Role
from vanillabeam.log.records import Member
from vanillabeam.log.replica import Replica

__all__ = ["LeaderWatch", "changed_line", "log_report"]

#: Seconds without a leader after which a replica reports it; an election takes less.
MISSING_S = 3.0
#: Seconds between two such reports.
REPEAT_S = 10.0
#: Election timeouts within which a voter that is asked for its vote has answered. A
#: replica without a leader asks after at most two.
ANSWER_ELECTIONS = 4


class LeaderWatch:
    """Reports that a replica has a group and no leader, and who answers it.

    :param group: name of the group.
    :param now_s: monotonic time in seconds.
    """

    def __init__(self, group: str, now_s: float):
        self._group = group
        self._known_s = now_s
        self._reported_s: float | None = None
        self._heard_s: dict[str, float] = {}

    def hear(self, member_id: str, now_s: float) -> None:
        """Record a message of another replica.

        :param now_s: monotonic time in seconds.
        """
        self._heard_s[member_id] = now_s

    def leaderless_s(self, state: Replica, now_s: float) -> float:
        """Return the seconds for which a replica with a group has had no leader."""
        return now_s - self._known_s if _lacks_leader(state) else 0.0

    def check(self, state: Replica, now_s: float) -> None:
        """Log a line if one is due.

        :param now_s: monotonic time in seconds.
        """
        if not _lacks_leader(state):
            self._end(state, now_s)
            return
        due_s = self._known_s + MISSING_S
        if self._reported_s is not None:
            due_s = self._reported_s + REPEAT_S
        if now_s >= due_s:
            self._reported_s = now_s
            log_record(self._missing(state, now_s))

    def _end(self, state: Replica, now_s: float) -> None:
        missing_s, self._known_s = now_s - self._known_s, now_s
        self._heard_s.clear()
        if self._reported_s is None:
            return
        self._reported_s = None
        leader = state.membership.member(state.leader)
        name = leader.vm if leader else ""
        log_record(LeaderKnown(self._group, state.term, name, round(missing_s, 3)))

    def _missing(self, state: Replica, now_s: float) -> LeaderMissing:
        membership = state.membership
        since_s = now_s - ANSWER_ELECTIONS * state.settings.election_s
        silent = [
            voter
            for voter in membership.voters
            if voter.member_id != state.member_id
            and self._heard_s.get(voter.member_id, float("-inf")) < since_s
        ]
        return LeaderMissing(
            self._group,
            _role(state),
            state.term,
            round(now_s - self._known_s, 3),
            _names(membership.voters),
            membership.quorum,
            _names(silent) if state.is_voter else [],
        )


def log_report(group: str, report: MembershipReplaced | QuorumMissed) -> None:
    """Log the line for what the core reports.

    :param group: name of the group.
    """
    if isinstance(report, QuorumMissed):
        voters = report.membership.voters
        silent = {member.vm: round(silent_s, 3) for member, silent_s in report.silent}
        majority = report.membership.quorum
        log_record(QuorumLost(group, report.term, _names(voters), majority, silent))
        return
    line = changed_line(group, report)
    if line is not None:
        log_record(line)


def changed_line(group: str, report: MembershipReplaced) -> MembershipChanged | None:
    """Return the line for a change, ``None`` if all members stay what they were."""
    before, after = report.before, report.after
    voters = _difference(before.voters, after.voters)
    learners = _difference(before.learners, after.learners)
    if voters == learners == ([], []):
        return None
    promoted = _names(set(before.learners) & set(after.voters))
    return MembershipChanged(
        group=group,
        reason=report.reason,
        term=report.term,
        index=after.index,
        added_voters=voters[0],
        removed_voters=voters[1],
        added_learners=learners[0],
        removed_learners=[vm for vm in learners[1] if vm not in promoted],
        voters_before=_names(before.voters),
        majority_before=before.quorum,
        voters=_names(after.voters),
        majority=after.quorum,
        losses_left=report.losses_left,
    )


def _difference(
    before: tuple[Member, ...], after: tuple[Member, ...]
) -> tuple[list[str], list[str]]:
    """Return the VMs of the members that were added, and of those removed.

    One VM is in both if its disk was replaced: members are told apart by their ids.
    """
    old_ids = {member.member_id for member in before}
    new_ids = {member.member_id for member in after}
    added = _names(m for m in after if m.member_id not in old_ids)
    return added, _names(m for m in before if m.member_id not in new_ids)


def _names(members: Iterable[Member]) -> list[str]:
    return sorted(member.vm for member in members)


def _lacks_leader(state: Replica) -> bool:
    has_one = state.role is Role.LEADER or bool(state.leader)
    return bool(state.group_id) and not has_one


def _role(state: Replica) -> str:
    if state.is_voter:
        return "voter"
    return "learner" if state.membership.member(state.member_id) else "removed"
