"""Loads on the line of one service: ten places of 0.1 s, so 100 requests a second."""

import pytest

from tests.waiting.scenes import Caller, Scene, at_random, steady
from vanillabeam.waiting import Claim, WaitingLine
from vanillabeam.waiting.rates import MIN_RETURN_S

PLACES = 10


# Load: four times as many requests of the least urgent kind as there are places.
def test_a_surge_of_the_least_urgent_kind_hardly_delays_the_urgent():
    urgent = steady(60, 10, rank=0)
    surge = steady(400, 9, since_s=1, rank=3, limit_s=1.0)
    scene = Scene(PLACES).play(urgent + surge, 12)
    assert scene.served_share(rank=0) == 1.0
    assert scene.waits(rank=0)[-1] <= 0.15
    assert scene.served_share(rank=3) > 0.05


# Load: the urgent kind alone is more than the places; the others come beside it.
# Guards against kinds that never get a place.
def test_no_kind_starves_and_none_is_served_less_than_a_less_urgent_one():
    callers = [
        caller
        for rank, rate in enumerate((150, 40, 40))
        for caller in steady(rate, 10, rank=rank)
    ]
    scene = Scene(PLACES).play(callers, 13)
    shares = [scene.served_share(rank=rank) for rank in range(3)]
    assert shares == sorted(shares, reverse=True)
    assert min(shares) > 0.0
    assert shares[0] >= 0.55


# Guards against a kind of few requests that is served whole by the places that are
# kept from starving it, while the urgent one is refused.
def test_a_rare_kind_is_not_served_more_than_an_urgent_one():
    scene = Scene(PLACES).play(steady(200, 10) + steady(2, 10, rank=2), 13)
    assert 0.0 < scene.served_share(rank=2) <= scene.served_share(rank=0) + 0.05


# Load: a workspace sends 30 times the share that it has.
def test_a_workspace_that_sends_30_times_its_share_delays_itself_only():
    others = [
        caller
        for name in "bcde"
        for caller in steady(15, 10, workspace=name, limit_s=1.0)
    ]
    greedy = steady(600, 9, since_s=1, workspace="greedy", limit_s=1.0)
    scene = Scene(PLACES).play(others + greedy, 11)
    for name in "bcde":
        assert scene.served_share(workspace=name) == 1.0
        assert scene.waits(workspace=name)[-1] <= 0.2
    # It still gets what the others leave.
    served = len(scene.waits(workspace="greedy"))
    assert served >= 0.9 * (100 - 60) * 8


def test_workspaces_get_places_by_their_weights():
    callers = steady(200, 10, workspace="a", weight=3.0)
    callers += steady(200, 10, workspace="b")
    scene = Scene(PLACES).play(callers, 10)
    heavy, light = (len(scene.waits(workspace=name)) for name in "ab")
    assert heavy / light == pytest.approx(3.0, rel=0.1)


# Load: prompts that need half of all places beside those that need one.
# Guards against large requests that are passed over by small ones until they are late.
def test_large_requests_wait_hardly_longer_than_small_ones_of_their_kind():
    small = at_random(160, 20, 1, limit_s=2.0, name="small")
    large = at_random(16, 20, 2, limit_s=2.0, places=5, name="large")
    scene = Scene(PLACES).play(small + large, 24)
    assert scene.served_share(name="large") >= scene.served_share(name="small") - 0.05
    small_s, large_s = (scene.waits(name=name) for name in ("small", "large"))
    middle_s = small_s[len(small_s) // 2]
    assert large_s[len(large_s) // 2] <= middle_s + 0.1


# Guards against a request that fits nowhere and blocks all others until it is late.
def test_a_request_that_fits_nowhere_holds_the_others_back_for_a_limited_time():
    huge = Caller(0.5, places=PLACES + 1, limit_s=8.0, name="huge")
    callers = [huge, *steady(50, 8, name="other")]
    scene = Scene(PLACES).play(callers, 8)
    assert scene.served_share(name="other") == 1.0
    assert scene.waits(name="other")[-1] < 0.7


def returning_callers():
    """Load: twice the places for 5 s; each refused caller returns up to five times."""
    return steady(200, 5, limit_s=0.5, tries=5)


# Guards against callers that all return at once, or in another order than they came.
def test_refused_callers_return_in_order_and_as_fast_as_places_become_free():
    scene = Scene(PLACES).play(returning_callers(), 15)
    first_lap = [(at_s, at_s + return_s) for _, at_s, return_s in scene.refused[:150]]
    times = [time_s for _, time_s in first_lap]
    assert times == sorted(times)
    assert (times[-1] - times[0]) / len(times) == pytest.approx(0.01, rel=0.2)
    assert all(time_s >= at_s + MIN_RETURN_S for at_s, time_s in first_lap)


def test_a_caller_that_returns_goes_before_new_ones_of_its_workspace():
    line = WaitingLine()
    new = Claim(0, "a", arrival_s=0.0, deadline_s=1.0)
    back = Claim(0, "a", arrival_s=0.2, deadline_s=1.2, is_returning=True)
    other = Claim(0, "b", arrival_s=0.1, deadline_s=1.1)
    for claim in (new, back, other):
        line.enter(claim, 0.2)
    assert list(line.in_order()) == [back, other, new]


# Load: twice the places, with returns; each place must be used all the time.
def test_places_are_used_while_callers_are_refused():
    scene = Scene(PLACES).play(returning_callers(), 5)
    assert len(scene.served) >= 0.95 * 500


# Guards against requests that are kept until they are late and then refused.
def test_what_can_not_be_served_in_time_is_refused_soon_after_it_came():
    scene = Scene(PLACES).play(steady(300, 6, limit_s=1.0, busy_s=0.1), 6)
    ages = sorted(
        at_s - caller.at_s for caller, at_s, _ in scene.refused if caller.at_s > 1.0
    )
    assert ages[len(ages) // 2] <= 0.1


# Guards against requests that are refused although they could have been served late.
def test_a_burst_that_can_be_served_within_its_limit_is_not_refused():
    scene = Scene(PLACES).play([Caller(0.0, limit_s=2.0)] * 150, 3)
    assert (len(scene.served), scene.refused) == (150, [])


def test_without_a_shortage_nothing_waits():
    scene = Scene(PLACES).play(steady(90, 5), 6)
    assert scene.waits()[-1] == 0.0


# Load: the operators make the waiting kind the more urgent one during a surge.
def test_changed_priorities_and_weights_apply_to_requests_that_wait():
    line = WaitingLine()
    claims = [
        Claim(0, "a", 0.0, 9.0, route="search"),
        Claim(2, "b", 0.1, 9.0, route="pay"),
        Claim(2, "c", 0.2, 9.0, route="pay"),
    ]
    for claim in claims:
        line.enter(claim, 0.2)
    assert line.next(0.3) is claims[0]
    ranks = {"search": 1, "pay": 0}
    line.reorder(lambda claim: ranks[claim.route], lambda name: 2.0)
    assert list(line.in_order()) == [claims[1], claims[2], claims[0]]
    assert {claim.weight for claim in claims} == {2.0}


def test_a_change_of_priorities_in_a_surge_loses_no_request():
    scene = Scene(PLACES)
    callers = steady(80, 5, rank=0) + steady(80, 5, rank=1)

    def swap():
        scene.line.reorder(lambda claim: 1 - claim.rank, lambda name: 1.0)

    scene.play(callers, 9, [(2.0, swap), (3.0, swap)])
    assert len(scene.served) + len(scene.refused) == len(callers)
    assert len(scene.line) == 0


def test_expected_wait_follows_the_places_that_become_free():
    line = WaitingLine()
    claims = [Claim(0, "a", 0.0, 60.0 + number) for number in range(40)]
    for claim in claims:
        line.enter(claim, 0.0)
    assert line.expected_s(claims[-1], 0.1) == 0.0
    for number, claim in enumerate(claims[:20]):
        line.record_served(claim, number * 0.1)
    assert line.expected_s(claims[-1], 2.0) == pytest.approx(2.0, rel=0.1)


def test_a_claim_that_targets_can_not_take_before_its_deadline_is_refused_at_once():
    line = WaitingLine()
    claim = Claim(0, "a", arrival_s=0.0, deadline_s=1.0)
    line.enter(claim, 0.0)
    assert line.refusal(claim, 0.0) is None
    claim.earliest_s = 1.5
    assert line.hopeless(0.0) == [claim]
    assert line.refusal(claim, 0.0) == pytest.approx(0.5)


def test_leaving_twice_changes_nothing():
    line = WaitingLine()
    claim = Claim(0, "a", 0.0, 1.0)
    line.enter(claim, 0.0)
    line.leave(claim)
    line.leave(claim)
    assert (len(line), line.next(0.0), line.oldest_s(9.0)) == (0, None, 0.0)
