"""Notices of targets in their answers: no more work at all, or none for some time.

A notice is about one incarnation of a target and binds only the VM that received it. It
counts before every announcement, which is older or was made to another VM.
"""

import math
import random
from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "AppliedNotice",
    "Incarnation",
    "LeftOut",
    "Notice",
    "PauseReading",
    "Reason",
    "TargetNotices",
    "read_pause",
]

#: Pause for a value that can't be read: the target has asked for one.
DEFAULT_PAUSE_S = 1.0
#: Longest pause; a target that still can't work then says so again.
MAX_PAUSE_S = 120.0
#: Random share that is added to a pause, and its limit, so that the VMs that a
#: target has turned away don't all return at the same time.
JITTER_SHARE = 0.5
MAX_JITTER_S = 2.0
#: Answers after which a target that was paused takes any number of requests.
RETURN_ANSWERS = 4
#: Seconds after a pause from which on it takes any number anyway, so that answers
#: that take long don't keep it idle.
RETURN_S = 5.0
#: Seconds after a target's last refusal with a pause for which it counts as busy.
BUSY_S = 10.0
#: Incarnations whose notices are kept.
MAX_NOTICES = 4_096

#: Name of a target and what identifies its start.
Incarnation = tuple[str, int | str]


class Reason(StrEnum):
    """Reason for which a target gets no request.

    :cvar LEAVING: it has said that it leaves.
    :cvar PAUSED: it has asked for a pause that hasn't ended.
    :cvar RETURNING: its pause has ended, and it takes a few requests at a time.
    :cvar FULL: it has refused a request lately, and this VM has enough open there.
    :cvar LIMITED: it names a limit, and all that it takes now has been granted.
    """

    LEAVING = "leaving"
    PAUSED = "paused"
    RETURNING = "returning"
    FULL = "full"
    LIMITED = "limited"


class Notice(NamedTuple):
    """Statement of a target about itself in one answer.

    :param leaving: whether it takes no more work until it starts again.
    :param pause: value of ``Retry-After`` in a refusal; ``None`` without one.
    :param limits: values of the field that names the requests a second that it takes
        from all VMs together; empty if it names no limit.
    """

    leaving: bool = False
    pause: str | None = None
    limits: tuple[str, ...] = ()


class PauseReading(NamedTuple):
    """Seconds that a target is left alone.

    :param is_literal: whether the target's value could be taken as it is.
    """

    seconds: float
    is_literal: bool


class LeftOut(NamedTuple):
    """Why a target gets no request at present.

    :param age_s: seconds since the target said so.
    :param remaining_s: seconds until it may get one; infinite if it leaves.
    """

    reason: Reason
    age_s: float
    remaining_s: float


class AppliedNotice(NamedTuple):
    """Effect of a notice.

    :param is_leaving: whether the target now counts as leaving and did not before.
    :param reading: reading of the pause; ``None`` without one.
    :param pause_s: seconds until the target may get requests again.
    """

    is_leaving: bool = False
    reading: PauseReading | None = None
    pause_s: float = 0.0


class _Pause(NamedTuple):
    received_s: float
    until_s: float


class _Return(NamedTuple):
    """Requests after a pause: open ones and answered ones."""

    open: int = 0
    answered: int = 0


class TargetNotices:
    """Notices of targets that this VM has received, by incarnation.

    :param rng: seeded; spreads the ends of pauses.

    >>> notices = TargetNotices(random.Random(1))
    >>> notices.record_pause(("t-1", 1), 2.0, now_s=10.0)
    >>> notices.left_out(("t-1", 1), now_s=11.0).reason
    <Reason.PAUSED: 'paused'>
    >>> notices.left_out(("t-1", 2), now_s=11.0)
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._leaving_since_s: dict[Incarnation, float] = {}
        self._pauses: dict[Incarnation, _Pause] = {}
        self._returns: dict[Incarnation, _Return] = {}
        self._refused_s: dict[Incarnation, float] = {}

    def apply(
        self, incarnation: Incarnation, notice: Notice, now_s: float
    ) -> AppliedNotice:
        """Record what a target said in one answer."""
        is_leaving = notice.leaving and self.record_leaving(incarnation, now_s)
        if notice.pause is None:
            return AppliedNotice(is_leaving)
        reading = read_pause(notice.pause)
        pause_s = self.record_pause(incarnation, reading.seconds, now_s)
        return AppliedNotice(is_leaving, reading, pause_s)

    def record_leaving(self, incarnation: Incarnation, now_s: float) -> bool:
        """Record that a target leaves; return whether that is new."""
        if incarnation in self._leaving_since_s:
            return False
        self._leaving_since_s[incarnation] = now_s
        _limit(self._leaving_since_s)
        return True

    def record_pause(
        self, incarnation: Incarnation, pause_s: float, now_s: float
    ) -> float:
        """Record that a target wants nothing for some time.

        A pause that would end before one that runs already doesn't shorten it:
        answers on different connections overtake each other.

        :returns: seconds from now until the target may get requests again.
        """
        jitter_s = min(MAX_JITTER_S, JITTER_SHARE * pause_s) * self._rng.random()
        until_s = now_s + pause_s + jitter_s
        running = self._pauses.pop(incarnation, None)
        if running is not None:
            until_s = max(until_s, running.until_s)
        self._pauses[incarnation] = _Pause(now_s, until_s)
        self._returns.pop(incarnation, None)
        self._refused_s[incarnation] = now_s
        _limit(self._pauses)
        _limit(self._refused_s)
        return until_s - now_s

    def left_out(self, incarnation: Incarnation, now_s: float) -> LeftOut | None:
        """Return why a target gets no request now; ``None`` if it may get one."""
        since_s = self._leaving_since_s.get(incarnation)
        if since_s is not None:
            return LeftOut(Reason.LEAVING, now_s - since_s, math.inf)
        pause = self._pauses.get(incarnation)
        if pause is None:
            return None
        age_s = now_s - pause.received_s
        if now_s < pause.until_s:
            return LeftOut(Reason.PAUSED, age_s, pause.until_s - now_s)
        returning = self._returns.get(incarnation, _Return())
        is_recent = now_s < pause.until_s + RETURN_S
        if is_recent and returning.open > returning.answered:
            return LeftOut(Reason.RETURNING, age_s, 0.0)
        return None

    def busy_for_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Return the seconds since a target's last pause; ``None`` if it was long ago.

        Such a target is near its limit: what it is sent beyond that costs another
        pause, in which the others get its requests too.
        """
        refused_s = self._refused_s.get(incarnation)
        if refused_s is None or now_s - refused_s > BUSY_S:
            return None
        return now_s - refused_s

    def may_send(self, incarnation: Incarnation, now_s: float) -> bool:
        """Return whether a request that has chosen a target may still be sent."""
        left_out = self.left_out(incarnation, now_s)
        return left_out is None or left_out.reason is Reason.RETURNING

    def record_sent(self, incarnation: Incarnation) -> bool:
        """Count a request if the target's pause has ended; return whether it has."""
        if incarnation not in self._pauses:
            return False
        returning = self._returns.get(incarnation, _Return())
        self._returns[incarnation] = returning._replace(open=returning.open + 1)
        return True

    def record_end(self, incarnation: Incarnation, is_answered: bool) -> None:
        """Count the end of a counted request.

        :param is_answered: whether the target ran it and answered.
        """
        returning = self._returns.get(incarnation)
        if returning is None:
            return
        answered = returning.answered + is_answered
        if answered >= RETURN_ANSWERS:
            del self._pauses[incarnation], self._returns[incarnation]
            return
        self._returns[incarnation] = _Return(max(0, returning.open - 1), answered)

    def keep_only(self, incarnations: set[Incarnation], now_s: float) -> None:
        """Forget ended pauses of all other incarnations.

        A target that leaves stays on record: a late announcement may name it again.
        """
        for incarnation in set(self._pauses) - incarnations:
            if now_s >= self._pauses[incarnation].until_s:
                del self._pauses[incarnation]
                self._returns.pop(incarnation, None)
        self._refused_s = {
            incarnation: refused_s
            for incarnation, refused_s in self._refused_s.items()
            if now_s - refused_s <= BUSY_S
        }

    @property
    def is_empty(self) -> bool:
        """Whether no target has asked for anything."""
        return not (self._leaving_since_s or self._pauses or self._refused_s)

    def leaving(self, incarnations: set[Incarnation]) -> set[Incarnation]:
        """Return those of the targets that have said that they leave."""
        return incarnations & self._leaving_since_s.keys()

    def paused(self, incarnations: set[Incarnation], now_s: float) -> set[Incarnation]:
        """Return those of the targets whose pause has not ended."""
        known = incarnations & self._pauses.keys()
        return {each for each in known if now_s < self._pauses[each].until_s}


def read_pause(text: str) -> PauseReading:
    """Return the pause that a value of ``Retry-After`` stands for, within bounds."""
    try:
        seconds = float(text)
    except ValueError:
        return PauseReading(DEFAULT_PAUSE_S, False)
    if math.isnan(seconds):
        return PauseReading(DEFAULT_PAUSE_S, False)
    if seconds < 0:
        return PauseReading(0.0, False)
    return PauseReading(min(seconds, MAX_PAUSE_S), seconds <= MAX_PAUSE_S)


def _limit(notices: dict) -> None:
    """Drop the oldest notice above the limit."""
    if len(notices) > MAX_NOTICES:
        del notices[next(iter(notices))]
