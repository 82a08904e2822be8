"""Absent members: how long each has been silent, and which changes that calls for.

A leader's heartbeats tell which voters are silent to it and for how long, so that a
leader that is elected goes on counting where the one before has stopped.
"""

from typing import NamedTuple

from vanillabeam.log.records import Member, Membership
from vanillabeam.log.replica import Replica

__all__ = ["DueChange", "due_change", "note_silences", "silences"]

#: Seconds to which the age of a silence is rounded in messages.
AGE_DIGITS = 3


class DueChange(NamedTuple):
    """A change of membership that is due, and the reason for it."""

    membership: Membership
    reason: str


def silences(state: Replica, now_s: float) -> tuple[tuple[str, float], ...]:
    """Return the voters that don't answer this leader, with the age of their silence.

    :returns: member ids and seconds.
    """
    return tuple(
        (voter.member_id, round(state.silence_s(voter.member_id, now_s), AGE_DIGITS))
        for voter in state.membership.voters
        if state.silence_s(voter.member_id, now_s) >= state.settings.election_s
    )


def note_silences(
    silent: tuple[tuple[str, float], ...], state: Replica, now_s: float
) -> None:
    """Record on a follower which members its leader hears.

    :param silent: what :func:`silences` returned there.
    """
    ages_s = dict(silent)
    for member in state.membership.members:
        age_s = ages_s.get(member.member_id, 0.0)
        state.heard_s[member.member_id] = now_s - age_s


def due_change(
    learner: Member | None, state: Replica, now_s: float
) -> DueChange | None:
    """Return the change that silent members or a learner call for.

    :param learner: a learner that holds all committed entries, if there is one.
    """
    membership = state.membership
    absent = None
    if membership.opened:
        absent = _absent_voter(state, now_s) or _absent_learner(state, now_s)
    if absent is not None:
        return DueChange(membership.without(absent), "absent")
    return _admission(learner, state, now_s) if learner else None


def _admission(learner: Member, state: Replica, now_s: float) -> DueChange | None:
    """Return the next change on the way to ``learner`` being a voter.

    A voter that it replaces is removed first; the promotion follows at once. So the
    number of voters doesn't grow with each replacement, and neither change makes the
    group bear fewer losses.

    :returns: ``None`` while it is not known whether a voter is to be replaced.
    """
    membership = state.membership
    if membership.opened:
        replaced = _replaceable_voter(state, now_s)
        if replaced is not None:
            return DueChange(membership.without(replaced), "replaced")
        if _has_undecided_voter(learner, state, now_s):
            return None
    return DueChange(membership.promoted(learner), "caught up")


def _replaceable_voter(state: Replica, now_s: float) -> Member | None:
    """Return the voter that has been silent for longest, if a learner may replace it.

    As it is removed before the learner is promoted, the voters that remain must suffice
    without it: each committed entry is on more disks than may be lost.
    """
    voters, cfg = state.membership.voters, state.settings
    if cfg.replace_after_s is None or len(voters) - 1 < 2 * cfg.losses:
        return None
    return _longest_silent(voters, cfg.replace_after_s, state, now_s)


def _absent_voter(state: Replica, now_s: float) -> Member | None:
    """Return a voter to remove although no learner is there to replace it.

    A group with an even number of voters bears no more losses than without one of
    them, and fewer if that one is silent: there the shorter time counts.
    """
    voters, cfg = state.membership.voters, state.settings
    is_even = len(voters) % 2 == 0
    limit_s = cfg.replace_after_s if is_even else cfg.remove_after_s
    if limit_s is None or len(voters) - 1 < 2 * cfg.losses + 1:
        return None
    return _longest_silent(voters, limit_s, state, now_s)


def _absent_learner(state: Replica, now_s: float) -> Member | None:
    """Return a learner that has been silent for too long; it may join again."""
    limit_s = state.settings.remove_after_s
    if limit_s is None:
        return None
    return _longest_silent(state.membership.learners, limit_s, state, now_s)


def _has_undecided_voter(learner: Member, state: Replica, now_s: float) -> bool:
    """Return whether a voter may be found absent soon, and replaced by ``learner``.

    Promoting the learner meanwhile would make the group larger by a lost member. A
    voter is known to be there once it has answered a round that began after the learner
    had joined.
    """
    if state.settings.replace_after_s is None:
        return False
    first_round = state.progress[learner.member_id].first_round
    others = [v for v in state.membership.voters if v.member_id != state.member_id]
    return any(_is_undecided(voter, first_round, state, now_s) for voter in others)


def _is_undecided(
    voter: Member, first_round: int, state: Replica, now_s: float
) -> bool:
    cfg = state.settings
    silence_s = state.silence_s(voter.member_id, now_s)
    if _has_waited(state, now_s) and silence_s >= cfg.replace_after_s:
        return False
    answers = state.progress[voter.member_id].round >= first_round
    return not answers or silence_s >= cfg.election_s


def _longest_silent(
    members: tuple[Member, ...], limit_s: float, state: Replica, now_s: float
) -> Member | None:
    """Return the member that has been silent for longest, and at least ``limit_s``."""
    if not members or not _has_waited(state, now_s):
        return None
    member = max(members, key=lambda m: state.silence_s(m.member_id, now_s))
    is_absent = state.silence_s(member.member_id, now_s) >= limit_s
    return member if is_absent else None


def _has_waited(state: Replica, now_s: float) -> bool:
    """Return whether all members have had the time to answer this leader."""
    return now_s - state.led_since_s >= state.settings.election_s
