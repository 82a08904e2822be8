"""Judgement of a new software version by what all entry VMs have seen of it.

The new version is compared with the old one over the same period, for failures and for
slow responses, on all routes together and on each. Beside the whole rollout so far, the
periods that began at several earlier times are judged, so that a version that turns bad
is not excused by what it did before.
"""

from math import inf, log, log2, sqrt
from typing import NamedTuple

from vanillabeam.canary.odds import PRIOR_SHARE, base_share, log_odds
from vanillabeam.canary.tally import Counts, Sums, add_counts

__all__ = ["MAX_PERIODS", "Judge", "Verdict", "bad_responses"]

#: Probability with which each of the tests calls a sound version bad.
ERROR_RATE = 1e-4
#: Periods that are judged beside the whole rollout.
MAX_PERIODS = 16
#: Seconds between the starts of two periods at least.
MIN_PERIOD_S = 0.5
#: A response this many times slower than the old version's median is slow.
SLOW_FACTOR = 4.0
#: Targets and entry VMs, at least, of which the worst one is left out.
MIN_TARGETS = 3
MIN_VMS = 2
#: Answers of all others below which their share is not known.
MIN_OTHERS = 8
#: Standard errors above the others' share at which the worst one stands out.
OUTLIER_ERRORS = 3.0
#: Logarithm of the odds from which on the worst target and VM are looked for.
WORTH_A_LOOK = 2.0
#: Answers of the old version in a period below which it says nothing.
MIN_BASELINE = 50


class Verdict(NamedTuple):
    """Judgement of the new version.

    :param reason: ``bad`` or ``slow`` if it is shown to be worse; else empty.
    :param suspicion: highest logarithm of the odds against it, relative to the bound
        at which it is shown to be worse: 0 there, negative before.
    :param evidence: one line for operators on the test with these odds.
    """

    reason: str = ""
    suspicion: float = -inf
    evidence: str = ""

    @property
    def odds(self) -> float:
        """Logarithm of the odds against the new version, for a bound of 1 in 10,000."""
        return self.suspicion - log(ERROR_RATE)


class _Sample(NamedTuple):
    """Bad responses of the new version, and the share of the baseline."""

    bad: float
    responses: float
    base: float


class _Period(NamedTuple):
    """Time from a start to now.

    :param counts: what was counted in it.
    :param trial_targets: targets of the new version that requests go to.
    """

    start: Sums
    now: Sums
    counts: Sums
    trial_targets: int


class Judge:
    """Judges one rollout at successive times.

    :param duration_s: seconds that the rollout may take; periods are spread over them.

    >>> judge = Judge(duration_s=12.0)
    >>> judge.update(tally.sums(), now_s=1.0).reason
    ''
    """

    def __init__(self, duration_s: float):
        self._period_s = max(MIN_PERIOD_S, duration_s / MAX_PERIODS)
        self._starts: list[Sums] = []
        self._started_s = -inf

    def update(self, sums: Sums, now_s: float, trial_targets: int = 0) -> Verdict:
        """Return the judgement of all that was counted so far.

        :param trial_targets: targets of the new version that requests go to; some may
            not have responded yet.
        """
        bound = -log(ERROR_RATE)
        verdicts = [_judge(_Period(Sums(), sums, sums, trial_targets), bound)]
        # Each further test has a smaller error rate, so that all have the one above.
        bound += log(MAX_PERIODS)
        verdicts += [
            _judge(_Period(start, sums, sums.minus(start), trial_targets), bound)
            for start in self._starts
        ]
        if now_s - self._started_s >= self._period_s and sums.new:
            self._starts = [*self._starts, sums][-MAX_PERIODS:]
            self._started_s = now_s
        return max(verdicts, key=lambda verdict: verdict.suspicion)


def bad_responses(sums: Sums) -> float:
    """Return the new version's failures and slow responses."""
    new, old = sums.all_new, sums.all_old
    limit = _slow_limit(old.slowness)
    return new.failures + _count_slow(new.slowness, limit)


def _judge(period: _Period, bound: float) -> Verdict:
    """Return the judgement of one period.

    :param bound: logarithm of the odds at which the new version is worse.
    """
    new = period.counts.new
    by_route = bound + log(max(1, len(new)))
    best = Verdict()
    for route in ("", *sorted(new)):
        limit = by_route if route else bound
        for reason in ("bad", "slow"):
            sample = _sample(period, reason, route)
            odds = log_odds(*sample)
            if odds > WORTH_A_LOOK:
                excess = _worst_excess(period, reason, route, sample.base)
                sample = sample._replace(bad=sample.bad - excess)
                odds = log_odds(*sample)
            if odds - limit > best.suspicion:
                found = reason if odds >= limit else ""
                best = Verdict(found, odds - limit, _describe(reason, route, sample))
    return best


def _sample(period: _Period, reason: str, route: str) -> _Sample:
    """Return the bad responses on a route, empty for all, and their baseline.

    The baseline is the higher one of the old version's shares in the period and over
    the whole rollout: in the shift the old version has hardly any requests.
    """
    limit = _limit(period, reason, route)
    bad, responses = _bad(_of(period.counts.new, route), limit)
    prior = PRIOR_SHARE
    if route:
        prior = base_share(*_bad(_of(period.now.old, ""), _limit(period, reason, "")))
    base = base_share(*_bad(_of(period.now.old, route), limit), prior)
    old_bad, old_responses = _bad(_of(period.counts.old, route), limit)
    if old_responses >= MIN_BASELINE:
        base = max(base, base_share(old_bad, old_responses, prior))
    return _Sample(bad, responses, base)


def _worst_excess(period: _Period, reason: str, route: str, base: float) -> float:
    """Return the bad responses of the worst target and VM beyond the others' share."""
    excess = 0.0
    if max(period.trial_targets, _count_tried(period.now.targets)) >= MIN_TARGETS:
        # Targets are not counted by route, so their excess on all routes is taken.
        limit = _limit(period, reason, "")
        targets = [_bad(of, limit) for of in period.counts.targets.values()]
        excess += _excess(targets, base)
    limit = _limit(period, reason, route)
    whole, before = (
        {vm: _bad_on(of, route, limit) for vm, of in sums.vms.items()}
        for sums in (period.now, period.start)
    )
    if sum(1 for _, responses in whole.values() if responses) >= MIN_VMS:
        vms = []
        for vm, (bad, responses) in whole.items():
            bad_before, responses_before = before.get(vm, (0.0, 0.0))
            vms.append((bad - bad_before, responses - responses_before))
        excess += _excess(vms, base)
    return excess


def _bad_on(
    by_route: dict[str, Counts], route: str, limit: float | None
) -> tuple[float, float]:
    """Return the bad responses and all of them on a route, empty for all."""
    counted = (of for name, of in by_route.items() if route in ("", name))
    pairs = [_bad(of, limit) for of in counted]
    return (sum(bad for bad, _ in pairs), sum(total for _, total in pairs))


def _count_tried(members: dict[str, Counts]) -> int:
    return sum(1 for counts in members.values() if counts.answers)


def _limit(period: _Period, reason: str, route: str) -> float | None:
    """Return where slow responses begin on a route; ``None`` for failures."""
    if reason == "bad":
        return None
    return _slow_limit(_of(period.now.old, route).slowness)


def _bad(counts: Counts, limit: float | None) -> tuple[float, float]:
    """Return the failures and the answers, or the slow ones of those that were timed.

    :param limit: where slow responses begin; ``None`` for failures.
    """
    if limit is None:
        return (counts.failures, counts.answers)
    return (_count_slow(counts.slowness, limit), sum(counts.slowness))


def _excess(members: list[tuple[float, float]], base: float) -> float:
    """Return the bad responses of the worst member beyond the others' share.

    :param members: bad responses and responses of each target, or of each entry VM.
    :param base: share of bad responses that is assumed of others with few responses.
    :returns: 0 if the member does not stand out from the others.
    """
    worst_bad, worst = max(members, default=(0.0, 0.0))
    others = sum(responses for _, responses in members) - worst
    share = base
    if others >= MIN_OTHERS:
        share = (sum(bad for bad, _ in members) - worst_bad) / others
    excess = worst_bad - worst * share
    spread = max(share, base)
    error = sqrt(worst * max(0.0, spread * (1 - spread)))
    return excess if excess > OUTLIER_ERRORS * error else 0.0


def _of(by_route: dict[str, Counts], route: str) -> Counts:
    if route:
        return by_route.get(route, Counts())
    return add_counts(*by_route.values())


def _slow_limit(slowness: tuple[int, ...]) -> float:
    """Return where slow responses begin, in buckets: 4 times the median.

    The median lies within its bucket by the share of the bucket's responses below it.
    """
    half = sum(slowness) / 2
    if half <= 0:
        return float(len(slowness))
    below = 0.0
    for bucket, count in enumerate(slowness):
        if count and below + count >= half:
            return bucket + (half - below) / count + log2(SLOW_FACTOR)
        below += count
    return float(len(slowness))


def _count_slow(slowness: tuple[int, ...], limit: float) -> float:
    """Return the responses beyond ``limit``, of its own bucket in proportion."""
    first = int(limit)
    if first >= len(slowness):
        return 0.0
    return sum(slowness[first + 1 :]) + slowness[first] * (1 - (limit - first))


def _describe(reason: str, route: str, sample: _Sample) -> str:
    what = "failures" if reason == "bad" else "slow responses"
    where = f"on {route}" if route else "on all routes"
    return (
        f"{sample.bad:.0f} {what} of {sample.responses:.0f} {where}, "
        f"{sample.base:.3f} expected"
    )
