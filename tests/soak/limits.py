"""Targets that name limits in a run, and the check that all VMs keep them together."""

from typing import NamedTuple

import trio

from tests.soak.touch import CONTACT_S, is_calm

WINDOW_S = 4.0
#: The rule of the users' pages, and what may be saved up or be on its way in calm.
RULE_FACTOR, RULE_SPARE = 1.5, 5
CALM_SPARE = 3
RATES = (0.0, 0.3, 0.5, 1.0)
LENGTH_S = (5.0, 9.0, 14.0)
ODD_VALUES = ("abc", "-1", "nan")


class Arrival(NamedTuple):
    """A request that reached a target, also one that it refused.

    :param born_ms: start of the target's incarnation.
    """

    id: str
    target: str
    born_ms: int
    at_s: float


class NamedLimit:
    """A limit that a target named for some time.

    :ivar end_s: second at which it named another one or none.
    """

    def __init__(self, target, born_ms, rate_s, start_s):
        self.target = target
        self.born_ms = born_ms
        self.rate_s = rate_s
        self.start_s = start_s
        self.end_s = float("inf")


def set_limit(target, rate_s):
    """Have a target name a limit from now on; ``None`` for none."""
    history, now_s = target.history, target.history.now_s()
    for limit in history.limits:
        if (limit.target, limit.born_ms) == (target.name, target.born_ms):
            limit.end_s = min(limit.end_s, now_s)
    target.limit = "" if rate_s is None else str(rate_s)
    if rate_s is not None:
        limit = NamedLimit(target.name, target.born_ms, rate_s, now_s)
        history.limits.append(limit)


async def name_limits(run):
    """Have targets name limits, change them, name odd values, and drop them."""
    pool = list(run.targets.targets.values())
    for target in run.rng.sample(pool, run.rng.randint(1, 4)):
        run.nursery.start_soon(_name_limits, run, target)
    await trio.sleep(run.rng.choice(LENGTH_S))


async def _name_limits(run, target):
    for _ in range(run.rng.randint(1, 3)):
        set_limit(target, run.rng.choice(RATES))
        await trio.sleep(run.rng.choice(LENGTH_S))
    if run.rng.random() < 0.3:
        # An odd value changes nothing: the limit before it holds on.
        target.limit = run.rng.choice(ODD_VALUES)
        await trio.sleep(1.0)
    set_limit(target, None)


def check_limits(history):
    """No target gets more than it has named from all VMs together."""
    vms = {attempt.id: attempt.vm for attempt in history.attempts}
    for limit in history.limits:
        arrivals = [
            arrival
            for arrival in history.arrivals
            if (arrival.target, arrival.born_ms) == (limit.target, limit.born_ms)
            and limit.start_s + CONTACT_S <= arrival.at_s < limit.end_s
        ]
        for number, first in enumerate(arrivals):
            if _check_window(history, limit, arrivals[number:], first.at_s, vms):
                break


def _check_window(history, limit, arrivals, start_s, vms):
    """Report a window of 4 s with too many requests; return whether there are."""
    end_s = start_s + WINDOW_S
    within = [arrival for arrival in arrivals if arrival.at_s < end_s]
    allowed = RULE_FACTOR * WINDOW_S * limit.rate_s + RULE_SPARE
    counted = [
        arrival
        for arrival in within
        if not _is_excused(history, vms.get(arrival.id), start_s, end_s)
    ]
    if is_calm(history, start_s, end_s):
        allowed = min(allowed, WINDOW_S * limit.rate_s + CALM_SPARE)
    if len(counted) <= allowed:
        return False
    text = f"{len(counted)} in 4 s though it names {limit.rate_s}, allowed {allowed:g}"
    history.report("LIMIT", start_s, limit.target, text)
    return True


def _is_excused(history, vm, start_s, end_s):
    """Return whether a VM was disturbed, or a caller's VM isn't known."""
    return vm is None or any(
        fault.overlaps(start_s - CONTACT_S, end_s) and fault.touches(vm)
        for fault in history.outages
    )
