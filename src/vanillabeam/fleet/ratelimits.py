"""Requests a second that targets take from all VMs together: a functional core.

A target names its limit in its answers, and it holds until a later answer of the same
start names another one or none. Answers overtake each other on different connections,
so one counts as later only if its request was sent after the other had arrived. Of
answers that may have been made at the same time the lower limit counts.
"""

import math
from collections.abc import Iterable
from typing import NamedTuple

__all__ = [
    "KEPT_AFTER_END_S",
    "LimitReading",
    "RateChange",
    "RateLimits",
    "RateReport",
    "read_rate",
]

#: Lowest rate at which a target is asked: a limit of 0 could never be taken back.
MIN_RATE_S = 0.1
#: Highest limit that is believed; a higher one is no limit that a target needs.
MAX_RATE_S = 1_000_000.0
#: Seconds after the end of a limit in which the rate returns by steps.
RETURN_S = 4.0
#: Seconds in which the rate doubles meanwhile.
DOUBLING_S = 0.5
#: Seconds for which the end of a limit is told to other VMs.
KEPT_AFTER_END_S = 10.0
#: Share of a limit below which a new one is told at once.
URGENT_SHARE = 0.8
#: Targets whose limits are kept.
MAX_LIMITS = 4_096

#: Name of a target and what identifies its start.
Incarnation = tuple[str, int]


class LimitReading(NamedTuple):
    """Limit that one answer names.

    :param rate_s: requests a second; ``None`` if the answer names no limit, or none
        that can be believed.
    :param is_odd: whether a value can't be believed, or there are several.
    """

    rate_s: float | None
    is_odd: bool = False


class RateReport(NamedTuple):
    """Belief of one VM about a target's limit, for others.

    :param rate_s: requests a second, the last ones if the limit has ended.
    :param has_ended: whether the target no longer names a limit.
    :param sent_age_s: seconds since the request was sent whose answer said so.
    :param heard_age_s: seconds since that answer arrived.
    """

    target: str
    born_ms: int
    rate_s: float
    has_ended: bool
    sent_age_s: float
    heard_age_s: float


class RateChange(NamedTuple):
    """A limit that was first heard, has changed or has ended.

    :param rate_s: requests a second; the last ones if the limit has ended.
    :param before_rate_s: requests a second before; ``None`` if there was no limit.
    :param held_s: seconds since the belief before was first heard.
    :param age_s: seconds since the answer that said so arrived.
    """

    incarnation: Incarnation
    rate_s: float
    has_ended: bool
    before_rate_s: float | None
    held_s: float
    age_s: float

    @property
    def is_urgent(self) -> bool:
        """Whether other VMs must hear of it at once: a limit is new or much lower.

        A target may change its limit with each answer; all else can wait for the next
        regular message.
        """
        if self.has_ended:
            return False
        return (
            self.before_rate_s is None
            or self.rate_s < URGENT_SHARE * self.before_rate_s
        )


class _Belief(NamedTuple):
    """Limit by one answer, and when that answer came and its request was sent."""

    rate_s: float
    has_ended: bool
    sent_s: float
    heard_s: float


class RateLimits:
    """Limits of targets that this VM has heard of, by incarnation.

    >>> limits = RateLimits()
    >>> limits.record_answer(("t-1", 1), 2.0, sent_s=9.9, now_s=10.0).rate_s
    2.0
    >>> limits.rate_s(("t-1", 1), now_s=10.5)
    2.0
    >>> limits.record_answer(("t-1", 1), None, sent_s=10.1, now_s=10.2).has_ended
    True
    """

    def __init__(self):
        self._beliefs: dict[Incarnation, _Belief] = {}

    def record_answer(
        self,
        incarnation: Incarnation,
        rate_s: float | None,
        sent_s: float,
        now_s: float,
    ) -> RateChange | None:
        """Apply an answer to a request of this VM; return what it changed, if anything.

        :param rate_s: the limit that it names; ``None`` if it names none.
        :param sent_s: monotonic time at which its request was sent.
        """
        known = self._beliefs.get(incarnation)
        if rate_s is not None:
            belief = _Belief(rate_s, False, sent_s, now_s)
        elif known is not None and not known.has_ended:
            belief = _Belief(known.rate_s, True, sent_s, now_s)
        else:
            return None
        return self._apply(incarnation, belief, now_s)

    def merge(self, reports: Iterable[RateReport], now_s: float) -> list[RateChange]:
        """Apply what another VM believes; return what that changed."""
        changes = []
        for report in reports:
            belief = _Belief(
                report.rate_s,
                report.has_ended,
                now_s - report.sent_age_s,
                now_s - report.heard_age_s,
            )
            incarnation = (report.target, report.born_ms)
            if incarnation not in self._beliefs and _is_over(belief, now_s):
                continue
            change = self._apply(incarnation, belief, now_s)
            if change is not None:
                changes.append(change)
        return changes

    def reports(self, now_s: float) -> list[RateReport]:
        """Return all that this VM believes, for others."""
        return [
            RateReport(
                *incarnation,
                belief.rate_s,
                belief.has_ended,
                round(now_s - belief.sent_s, 4),
                round(now_s - belief.heard_s, 4),
            )
            for incarnation, belief in self._beliefs.items()
        ]

    def rate_s(self, incarnation: Incarnation, now_s: float) -> float | None:
        """Return the requests a second that a target takes; ``None`` for no limit.

        After the end of a limit the rate grows for some seconds, as all VMs would
        return to the target at once.
        """
        belief = self._beliefs.get(incarnation)
        if belief is None:
            return None
        rate_s = max(MIN_RATE_S, belief.rate_s)
        if not belief.has_ended:
            return rate_s
        since_s = now_s - belief.heard_s
        if since_s >= RETURN_S:
            return None
        return max(1.0, rate_s) * 2 ** (max(0.0, since_s) / DOUBLING_S)

    def age_s(self, incarnation: Incarnation, now_s: float) -> float:
        """Return the seconds since a target's limit was first heard as it is."""
        return now_s - self._beliefs[incarnation].heard_s

    def limited(self, now_s: float) -> dict[Incarnation, float]:
        """Return the requests a second of all targets that have a limit now."""
        rates = {each: self.rate_s(each, now_s) for each in self._beliefs}
        return {each: rate_s for each, rate_s in rates.items() if rate_s is not None}

    def expire(self, now_s: float) -> None:
        """Forget limits that ended long ago."""
        for incarnation, belief in list(self._beliefs.items()):
            if _is_over(belief, now_s):
                del self._beliefs[incarnation]

    def forget(self, ended: Iterable[Incarnation]) -> None:
        """Forget the limits of starts that have ended."""
        for incarnation in ended:
            self._beliefs.pop(incarnation, None)

    @property
    def is_empty(self) -> bool:
        """Whether no limit is known, nor the recent end of one."""
        return not self._beliefs

    def _apply(
        self, incarnation: Incarnation, belief: _Belief, now_s: float
    ) -> RateChange | None:
        known = self._beliefs.get(incarnation)
        if known is not None and not _supersedes(belief, known):
            return None
        self._beliefs[incarnation] = belief
        if len(self._beliefs) > MAX_LIMITS:
            del self._beliefs[next(iter(self._beliefs))]
        before_rate_s, held_s = None, 0.0
        if known is not None:
            held_s = now_s - known.heard_s
            before_rate_s = None if known.has_ended else known.rate_s
        age_s = now_s - belief.heard_s
        return RateChange(
            incarnation, belief.rate_s, belief.has_ended, before_rate_s, held_s, age_s
        )


def read_rate(texts: Iterable[str]) -> LimitReading:
    """Return the limit that an answer names, by the values of its header fields.

    A value that is no number, negative or beyond all sense says nothing. Of several
    the lowest counts.
    """
    texts = list(texts)
    values = [value for value in map(_read_number, texts) if value is not None]
    rate_s = min(values, default=None)
    return LimitReading(rate_s, len(texts) > 1 or len(values) < len(texts))


def _read_number(text: str) -> float | None:
    try:
        value = float(text)
    except ValueError:
        return None
    is_sound = math.isfinite(value) and 0.0 <= value <= MAX_RATE_S
    return value if is_sound else None


def _supersedes(belief: _Belief, known: _Belief) -> bool:
    """Return whether a belief replaces the one that is known.

    What says the same as before changes nothing: it counts since it was first heard.
    """
    if belief[:2] == known[:2] or (belief.has_ended and known.has_ended):
        return False
    if belief.sent_s >= known.heard_s:
        return True
    if known.sent_s >= belief.heard_s:
        return False
    if known.has_ended or belief.has_ended:
        return known.has_ended
    return belief.rate_s < known.rate_s


def _is_over(belief: _Belief, now_s: float) -> bool:
    return belief.has_ended and now_s - belief.heard_s > KEPT_AFTER_END_S
