"""Next step of a rollout: share of the new version, end of the trial, outcome.

The plan keeps what an unproven version receives within the bound of the settings. The
trial takes a fixed part of it. The shift, which can't be bounded by a share as the old
targets have to run out of requests, begins as late as they need for that, and has a
ramp of a second in which a version that turns bad is still cheap.
"""

from math import log
from typing import NamedTuple

from vanillabeam.canary.capacity import Capacity
from vanillabeam.canary.judge import Verdict
from vanillabeam.canary.records import RolloutChange, Step, VersionRollout, is_running
from vanillabeam.canary.state import make_step
from vanillabeam.canary.tally import Counts, Sums

__all__ = ["Exposure", "Situation", "next_change", "shift_age_s"]

#: Parts of the bounds on share and requests that the trial takes.
TRIAL_SHARE = 0.6
TRIAL_REQUESTS = 0.4
#: Seconds of traffic after which the rate of requests is known, and the factor by which
#: a trial's share must rise to be worth another command.
RATE_S = 1.0
RAISE_FACTOR = 1.4
#: Largest share of a trial.
MAX_TRIAL_SHARE = 0.5
#: Share of the ramp and its seconds: all entry VMs know of it and have reported after.
RAMP_SHARE = 0.25
RAMP_S = 1.0
#: Seconds by which it begins earlier, to last longer, where a route has fewer responses
#: than show that it is bad.
LONG_RAMP_S = 1.5
TRIED_RESPONSES = 5
#: Seconds until all entry VMs know of a step and the leader has their reports.
LATENCY_S = 1.0
#: Mean times of requests at the old version until nearly all have ended.
DRAIN_TIMES = 4.0
#: Part of the duration before which no shift begins: late faults have to show first.
EARLIEST = 0.6
#: Seconds before the time limit at which the outcome is decided: the commit takes some
#: tenths, and entry VMs hear of it as long after. Part of a short duration.
FINAL_S = 0.7
FINAL_PART = 0.2
#: Shortest shift, and part of a short duration.
MIN_SHIFT_S = 1.5
MIN_SHIFT_PART = 0.2
#: Good responses that a shift needs. Where few requests come, the part of those sent to
#: the new version, and of those that a trial from the order on would have had.
MIN_GOOD = 30
MIN_GOOD_PART = 0.3
MIN_TRIAL_PART = 0.25
#: Answered share of the new version's requests, against the old one's, below which it
#: hangs.
MIN_ANSWERED = 0.5
#: Requests sent below which nothing is concluded from missing answers.
FEW_REQUESTS = 10
#: Seconds and responses under the full share before a rollout completes ahead of its
#: time limit: a version that turns bad then is still rolled back.
FULL_S = 1.5
FULL_RESPONSES = 40
#: The same on each route, and the part of all requests from which a route counts.
ROUTE_RESPONSES = 15
FEW_ROUTE_SHARE = 0.02
#: Odds against the new version at which a step waits, and at which a rollout that can't
#: wait any longer is rolled back.
SUSPICIOUS = log(10)
SUSPECT = log(100)
#: Seconds without any target of another version after which the new one is alone.
ALONE_S = 0.5

_NOTHING = Counts()


class Exposure(NamedTuple):
    """Bound on what a bad version receives: a share of all requests, and a number."""

    share: float
    requests: float


class Situation(NamedTuple):
    """State of a running rollout, as a control VM knows it.

    :param age_s: seconds since the order.
    :param step_s: seconds for which the present step and share have been in force.
    :param alone_s: seconds for which no target of another version has been listed.
    :param answers_before: the new version's answers when this share began.
    :param is_drained: whether no entry VM in contact has a request open at another
        version since it learnt of the present share.
    """

    record: VersionRollout
    verdict: Verdict
    sums: Sums
    capacity: Capacity
    age_s: float
    step_s: float
    alone_s: float = 0.0
    answers_before: int = 0
    is_drained: bool = False


def next_change(now: Situation, bound: Exposure) -> RolloutChange | None:
    """Return the next change of a rollout; ``None`` if it stays as it is."""
    record = now.record
    if not is_running(record):
        return None
    if now.verdict.reason:
        return _roll_back(now, now.verdict.reason, now.verdict.evidence)
    if now.capacity.new and now.alone_s >= ALONE_S:
        return make_step(
            record, Step.COMPLETE, 1.0, "", "no target has another version"
        )
    if record["step"] is Step.SHIFT:
        return _shift(now)
    if record["step"] is Step.TRIAL:
        return _try(now, bound)
    return _wait(now, bound)


def shift_age_s(now: Situation, bound: Exposure) -> float:
    """Return the age at which the shift begins.

    It leaves time for the ramp, for the requests at the old version to end, and no
    more than half of what the bound allows where that is longer.
    """
    duration_s = now.record["duration_s"]
    rate = _rate(now)
    needed_s = RAMP_S + LATENCY_S + _drain_s(now)
    if _has_untried_route(now):
        needed_s += LONG_RAMP_S
    allowed_s = bound.share * (1 - TRIAL_SHARE) * duration_s
    if rate > 0:
        allowed_s += bound.requests * (1 - TRIAL_REQUESTS) / rate
    length_s = max(needed_s, allowed_s / 2)
    begin_s = duration_s - _final_s(duration_s) - length_s
    return min(max(begin_s, EARLIEST * duration_s), _last_chance_s(duration_s))


def _wait(now: Situation, bound: Exposure) -> RolloutChange | None:
    if now.age_s >= _limit_s(now):
        evidence = f"no target of {now.record['to']} was heard of"
        return _roll_back(now, "no-targets", evidence)
    if not now.capacity.new or not now.capacity.old:
        return None
    evidence = f"{now.capacity.new} targets of {now.record['to']} are there"
    return make_step(now.record, Step.TRIAL, _trial_share(now, bound), "", evidence)


def _try(now: Situation, bound: Exposure) -> RolloutChange | None:
    duration_s = now.record["duration_s"]
    if now.age_s > _latest_s(duration_s):
        return _end_trial(now, bound)
    if now.age_s >= shift_age_s(now, bound):
        is_last = now.age_s >= _last_chance_s(duration_s)
        odds = SUSPECT if is_last else SUSPICIOUS
        is_proven = not _unproven(now, bound, is_last) and now.verdict.odds < odds
        if now.capacity.is_enough and is_proven:
            return make_step(now.record, Step.SHIFT, RAMP_SHARE, "", _describe(now))
        return None
    share = _trial_share(now, bound)
    if share < RAISE_FACTOR * now.record["share"]:
        return None
    return make_step(now.record, Step.TRIAL, share, "", f"{_rate(now):.1f} requests/s")


def _end_trial(now: Situation, bound: Exposure) -> RolloutChange:
    """Roll a trial back that had no shift in time."""
    if not now.capacity.new:
        return _roll_back(now, "no-targets", "all new targets have gone")
    if not now.capacity.is_enough:
        return _roll_back(now, "capacity", now.capacity.describe())
    if now.verdict.odds >= SUSPICIOUS:
        return _roll_back(now, "bad", now.verdict.evidence)
    missing = _unproven(now, bound, True)
    return _roll_back(now, "time", missing or "no shift was possible in time")


def _shift(now: Situation) -> RolloutChange | None:
    if not now.capacity.new:
        return _roll_back(now, "no-targets", "all new targets have gone")
    if now.capacity.is_lost:
        return _roll_back(now, "capacity", now.capacity.describe())
    is_over = now.age_s >= _limit_s(now)
    if now.record["share"] < 1.0:
        return _end_ramp(now, is_over)
    if is_over and now.verdict.odds >= SUSPECT:
        return _roll_back(now, "bad", now.verdict.evidence)
    is_seen = now.step_s >= FULL_S and _is_seen_enough(now)
    if is_over or (now.is_drained and is_seen):
        evidence = f"{_describe(now)}; {now.sums.open_old} open at old targets"
        return make_step(now.record, Step.COMPLETE, 1.0, "", evidence)
    return None


def _end_ramp(now: Situation, is_over: bool) -> RolloutChange | None:
    """Go on to all requests after the ramp, or roll back if it can't be ended."""
    if is_over:
        return _roll_back(now, "time", "the ramp lasted up to the time limit")
    duration_s = now.record["duration_s"]
    left_s = duration_s - _final_s(duration_s) - now.age_s
    is_last = left_s <= min(LATENCY_S, MIN_SHIFT_PART * duration_s / 2)
    if now.verdict.odds >= (SUSPECT if is_last else SUSPICIOUS):
        is_bad = is_last
        return _roll_back(now, "bad", now.verdict.evidence) if is_bad else None
    if now.step_s < min(RAMP_S, left_s / 2) and not is_last:
        return None
    if _has_untried_route(now) and left_s > LATENCY_S + _drain_s(now):
        return None
    return make_step(now.record, Step.SHIFT, 1.0, "", _describe(now))


def _drain_s(now: Situation) -> float:
    """Return the seconds after which the requests at old targets have ended.

    Their mean time is the number that is open by the number that is sent a second.
    """
    sent = now.sums.all_old.sent
    mean_s = now.sums.open_old * now.age_s / sent if sent else 0.0
    return DRAIN_TIMES * mean_s


def _has_untried_route(now: Situation) -> bool:
    """Return whether a route has too few responses to show that it is bad."""
    return any(
        now.sums.new.get(route, _NOTHING).answers < TRIED_RESPONSES
        for route in _used_routes(now.sums)
    )


def _used_routes(sums: Sums) -> list[str]:
    few = FEW_ROUTE_SHARE * sums.all_old.sent
    return [route for route, of in sums.old.items() if of.sent >= max(few, 1)]


def _is_seen_enough(now: Situation) -> bool:
    """Return whether a drained rollout needs no more responses before its time limit.

    A version that is bad would complete by that, so each route counts that has requests
    at all, and the version must not be under suspicion.
    """
    if now.sums.all_new.answers - now.answers_before < FULL_RESPONSES:
        return False
    is_seen = all(
        now.sums.new.get(route, _NOTHING).answers >= ROUTE_RESPONSES
        for route in _used_routes(now.sums)
    )
    return is_seen and now.verdict.odds < SUSPICIOUS


def _trial_share(now: Situation, bound: Exposure) -> float:
    """Return the share of the trial.

    Where few requests come, the number that is allowed beyond the share makes it
    larger, as it would take too long to see enough responses otherwise.
    """
    share = TRIAL_SHARE * bound.share
    rate = _rate(now)
    expected = rate * now.record["duration_s"]
    if expected > 0:
        share += TRIAL_REQUESTS * bound.requests / expected
    return round(min(share, max(MAX_TRIAL_SHARE, TRIAL_SHARE * bound.share), 1.0), 4)


def _rate(now: Situation) -> float:
    """Return the service's requests a second since the order; 0 while unknown."""
    total = now.sums.all_new.sent + now.sums.all_old.sent
    return total / now.age_s if now.age_s >= RATE_S else 0.0


def _unproven(now: Situation, bound: Exposure, is_last: bool) -> str:
    """Return what is missing before a shift; empty if nothing is.

    :param is_last: whether the shift can't wait any longer: where few requests come,
        those of a fair part of the trial are enough then.
    """
    new, old = now.sums.all_new, now.sums.all_old
    if new.sent + old.sent < FEW_REQUESTS:
        # A service without requests can't be tried, nor can it suffer.
        return ""
    good = new.answers - new.failures
    needed = float(MIN_GOOD)
    if is_last:
        fair = MIN_TRIAL_PART * TRIAL_SHARE * bound.share * (new.sent + old.sent)
        needed = min(needed, max(1.0, fair, MIN_GOOD_PART * new.sent))
    if old.answers:
        # There are fewer good responses if the old version fails as well.
        needed *= 1 - old.failures / old.answers
    if good < needed:
        return f"{good} good responses of {needed:.0f}"
    if new.sent >= FEW_REQUESTS and old.sent >= FEW_REQUESTS:
        answered = new.answers / new.sent
        if answered < MIN_ANSWERED * old.answers / old.sent:
            return f"{new.answers} responses to {new.sent} requests"
    return ""


def _roll_back(now: Situation, reason: str, evidence: str) -> RolloutChange:
    return make_step(now.record, Step.ROLLED_BACK, 0.0, reason, evidence)


def _describe(now: Situation) -> str:
    new, old = now.sums.all_new, now.sums.all_old
    return (
        f"new {new.failures} failures of {new.answers}, "
        f"old {old.failures} of {old.answers}, {now.capacity.describe()}"
    )


def _final_s(duration_s: float) -> float:
    return min(FINAL_S, FINAL_PART * duration_s)


def _limit_s(now: Situation) -> float:
    """Return the age at which the outcome is decided."""
    duration_s = now.record["duration_s"]
    return duration_s - _final_s(duration_s)


def _last_chance_s(duration_s: float) -> float:
    """Return the age from which a shift doesn't wait for more evidence."""
    return _latest_s(duration_s) - min(LATENCY_S / 2, duration_s / 10)


def _latest_s(duration_s: float) -> float:
    """Return the age after which no shift begins."""
    shift_s = min(MIN_SHIFT_S, MIN_SHIFT_PART * duration_s)
    return duration_s - _final_s(duration_s) - shift_s
