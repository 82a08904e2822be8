"""Plain calls of twenty entry VMs at targets that differ or change."""

import random

import pytest

from tests.capacity.builders import SERVICE, CallFleet, Place

OBJECTIVE_S = 0.3
#: Share of calls that may miss the objective.
MAY_MISS = 0.01
ENTRIES = ["a"] * 20
SEEDS = (1, 2)


def alike(count, **changes):
    return [Place(f"t-{number}", **changes) for number in range(count)]


def late(order, places, rate_s, seed, since_s=5.0, duration_s=20.0):
    fleet = CallFleet(places, ENTRIES, order, seed)
    waits = fleet.run(
        lambda now_s: rate_s, duration_s, size=lambda rng: rng.uniform(0.5, 1.5)
    )
    return waits.late(OBJECTIVE_S, since_s)


def mean_late(order, *args, **changes):
    return sum(late(order, *args, seed, **changes) for seed in SEEDS) / len(SEEDS)


def spells(seed, until_s):
    """Return a slowness of 3 for half a second, a tenth of the time."""
    rng, starts, at_s = random.Random(seed), [], 0.0
    while at_s < until_s:
        at_s += rng.expovariate(1 / 4.5)
        starts.append(at_s)
        at_s += 0.5
    return lambda now_s: 3.0 if any(s <= now_s < s + 0.5 for s in starts) else 1.0


# Guards against even shares, by which the slowest targets queue while others are idle.
def test_targets_of_speeds_one_two_and_four_are_used_by_their_speed():
    places = [
        Place(f"{name}-{speed}", 0.2 / speed) for name in "tu" for speed in (1, 2, 4)
    ]
    assert mean_late("capacity", places, 250.0) <= MAY_MISS
    assert mean_late("even", places, 250.0) > 5 * MAY_MISS


def test_a_target_that_bends_at_a_third_of_its_slots_gets_less():
    places = [Place("t-bent", slots=12, bends_at=4), *alike(3, slots=12)]
    ours, even = (mean_late(order, places, 250.0) for order in ("capacity", "even"))
    assert ours <= even / 2


def test_a_target_that_turns_slow_is_avoided_within_seconds():
    slow = Place("t-slow", slowness=lambda now_s: 4.0 if now_s > 8.0 else 1.0)
    ours, even = (
        mean_late(order, [slow, *alike(3)], 110.0, since_s=11.0)
        for order in ("capacity", "even")
    )
    assert ours <= MAY_MISS < even


# Guards against a target that is believed to be slow for ever, as it gets no calls
# that would show otherwise.
def test_a_target_that_recovers_is_used_again():
    slow = Place("t-slow", slowness=lambda now_s: 4.0 if now_s < 8.0 else 1.0)
    fleet = CallFleet([slow, *alike(3)], ENTRIES)
    served = {}
    fleet.at(14.0, lambda: served.update(fleet.waits.served))
    fleet.run(lambda now_s: 110.0, 20.0)
    since = fleet.waits.served["t-slow"] - served["t-slow"]
    even = 110.0 * 6.0 / 4
    assert since >= even / 2


@pytest.mark.parametrize("seed", SEEDS)
def test_noise_makes_no_target_slow(seed):
    places = [Place(f"t-{n}", slowness=spells(seed + n, 20.0)) for n in range(4)]
    fleet = CallFleet(places, ENTRIES, seed=seed)
    waits = fleet.run(lambda now_s: 120.0, 20.0)
    assert all(count >= 120.0 * 20.0 / 4 / 2 for count in waits.served.values())
    # A call of 0.1 s that a spell hits takes 0.3 s, and may wait behind another one.
    assert waits.late(2 * OBJECTIVE_S) <= MAY_MISS


def test_the_only_target_of_a_service_gets_every_call():
    slow = Place("t-0", slowness=lambda now_s: 2.0 if now_s > 5.0 else 1.0)
    ours, even = (
        CallFleet([slow], ENTRIES, order).run(lambda now_s: 20.0, 10.0)
        for order in ("capacity", "even")
    )
    assert not ours.refused
    assert ours.late(OBJECTIVE_S) <= even.late(OBJECTIVE_S)


# Guards against failures that make a target look fast.
def test_a_target_that_answers_fast_with_failures_gets_less_than_its_share():
    places = [Place("t-bad", fails=True), *alike(3)]
    waits = CallFleet(places, ENTRIES).run(lambda now_s: 110.0, 10.0)
    assert waits.served["t-bad"] < sum(waits.served.values()) / 4 / 2


# Guards against VMs that each need answers of their own before they know a target.
def test_twenty_vms_learn_of_a_target_from_each_other():
    places = [Place("t-slow", 0.3), *alike(3)]
    fleet = CallFleet(places, ENTRIES)
    fleet.run(lambda now_s: 100.0, 4.0)
    for load in fleet.loads:
        slow = load.call_s("t-slow", SERVICE, 1, 4.0)
        assert slow >= 1.5 * load.call_s("t-0", SERVICE, 1, 4.0)
