"""Simulated targets that push back or leave, and what is sent to them then."""

import pytest

from bench.pushback import LARGE, POLICIES, SMALL, Scenario, simulate

BURST = Scenario(SMALL, duration_s=10.0, burst=1.5)
#: Share of what is served without regard to pauses that must be served with it.
SERVED_SHARE = 0.9


def figures(policy, scenario, seed=1):
    return simulate(POLICIES[policy], scenario, seed)


def test_a_seed_determines_the_figures():
    assert figures("product", BURST) == figures("product", BURST)
    assert figures("product", BURST) != figures("product", BURST, seed=2)


@pytest.mark.parametrize("shape", [SMALL, LARGE], ids=["small", "large"])
@pytest.mark.parametrize("event", [{"burst": 1.5}, {"leave_every_s": 2.0}])
def test_nothing_is_sent_against_the_notice_of_a_target(shape, event):
    scenario = Scenario(shape, duration_s=10.0, **event)
    assert figures("product", scenario)["against_notice"] == 0
    assert figures("unread", scenario)["against_notice"] > 0


@pytest.mark.parametrize("burst", [0.9, 1.5])
def test_pauses_of_some_targets_do_not_make_the_others_fall_over(burst):
    """Pattern: what one target turns away fills the next, until all are paused."""
    scenario = BURST._replace(burst=burst)
    product, unread, careless = (
        figures(policy, scenario)["served"]
        for policy in ("product", "unread", "not_careful")
    )
    assert product > careless
    assert product > SERVED_SHARE * unread


def test_targets_that_leave_in_series_cost_no_call():
    scenario = Scenario(LARGE, duration_s=14.0, leave_every_s=2.0)
    assert (
        figures("product", scenario)["refused_by_targets"]
        <= figures("unread", scenario)["refused_by_targets"]
    )
