"""Control VMs are replaced for good, one after the other, as real processes."""

import os
import random

import pytest
import trio

from tests.soak.fleet import ICUPA, PHOTO, SMALL
from tests.soak.replacements import (
    CLOSINGS,
    ORDERS,
    Replacement,
    Series,
    View,
    check_last_members,
    check_replacement,
)
from tests.soak.scenario import play_series
from tests.soak.test_checks import make_history

#: A run takes a minute, hundreds of times longer than those of other soak tests.
SHARE_OF_RUNS = 10
SETTLE_S = 8.0


def draw_series(shape, seed):
    """Return the series of a seed: orders in turn, the rest drawn."""
    rng = random.Random(seed)
    zones = rng.sample(shape.control, len(shape.control))
    order = (*ORDERS, tuple(zones))[seed % (len(ORDERS) + 1)]
    return Series(order, rng.random() < 0.3, rng.choice(CLOSINGS), rng.random() < 0.5)


def make_view(at_s, voters, losses_left=1, term=2, learners=()):
    return View(at_s, "a-1", term, voters, (*voters, *learners), losses_left)


# Guards against a check that accepts a successor without a vote, or one too late.
@pytest.mark.parametrize(
    ("views", "rules"),
    [
        ([make_view(13.9, ("a-1", "c-1", "b-2"))], set()),
        ([make_view(13.9, ("a-1", "b-1", "c-1", "b-2"), 0)], {"JOIN"}),
        ([make_view(13.9, ("a-1", "b-1", "c-1"), 1, 2, ("b-2",))], {"JOIN"}),
        ([make_view(14.1, ("a-1", "c-1", "b-2"))], {"JOIN"}),
        (
            [
                make_view(13.85, ("a-1", "c-1", "b-2"), term=3),
                make_view(13.9, ("a-1", "b-1", "c-1")),
            ],
            set(),
        ),
        (
            [
                make_view(13.85, ("a-1", "b-1", "c-1"), 0),
                make_view(13.9, ("a-1", "c-1", "b-2")),
            ],
            set(),
        ),
        ([], {"JOIN"}),
    ],
)
def test_successors_that_do_not_count_in_time_are_found(views, rules):
    history = make_history()
    step = Replacement("b-1", "b-2", False, 9.0, 10.0, 9.0)
    check_replacement(history, views, step, 14.0)
    assert {finding.split()[0] for finding in history.findings} == rules


# Guards against a check that accepts a lost VM as a member at the end.
@pytest.mark.parametrize(
    ("view", "rules"),
    [
        (make_view(99.9, ("c-1", "a-1", "b-2")), set()),
        (make_view(99.9, ("c-1", "a-1", "b-1", "b-2")), {"MEMBERS"}),
        (make_view(99.9, ("c-1", "a-1", "b-2"), learners=("b-1",)), {"MEMBERS"}),
        (make_view(99.9, ("c-1", "a-1"), learners=("b-2",)), {"MEMBERS"}),
        (make_view(90.0, ("c-1", "a-1", "b-2")), {"MEMBERS"}),
    ],
)
def test_members_that_do_not_run_are_found(view, rules):
    history = make_history()
    check_last_members(history, [view], ["a-1", "b-2", "c-1"])
    assert {finding.split()[0] for finding in history.findings} == rules


# Guards against a core that seems to grow by each VM that is replaced.
def test_faults_of_successors_are_recorded_as_those_of_the_first_vm():
    history = make_history()
    history.origins |= {"core-2b": "core-2", "core-2c": "core-2"}
    with history.outage("cut", ["core-2c"], ["core-1", "core-2b"]) as outage:
        assert (outage.vms, outage.others) == ({"core-2"}, {"core-1", "core-2"})


# Guards against a group that loses its majority as VM after VM is replaced (issue 56).
@pytest.mark.parametrize(
    "series",
    [
        Series("leader-first", False, "kill-all", is_tight=True),
        Series("leader-last", True, "kill-all-lose-disk", is_tight=True),
    ],
    ids=["lost", "planned"],
)
def test_replacing_all_control_vms_keeps_the_configuration(series, tmp_path):
    findings = trio.run(play_series, tmp_path, SMALL, 1, series, SETTLE_S)
    assert findings == [], f"logs in {tmp_path}"


# Guards against the same with four control VMs: the order of the incident, and others.
@pytest.mark.soak
@pytest.mark.parametrize("planned", [False, True], ids=["lost", "planned"])
def test_replacing_four_control_vms_in_order_keeps_the_configuration(planned, tmp_path):
    a, b, c, d = PHOTO.control
    series = Series((b, a, d, c), planned, "kill-all", is_tight=True)
    findings = trio.run(play_series, tmp_path, PHOTO, 1, series)
    assert findings == [], f"logs in {tmp_path}"


# Guards against the same in drawn orders, as early and as late as a draw has it.
@pytest.mark.soak
@pytest.mark.parametrize("shape", [SMALL, PHOTO, ICUPA], ids=lambda shape: shape.name)
def test_replacing_all_control_vms_in_drawn_orders(shape, tmp_path):
    first = int(os.environ.get("SOAK_SEED", "1"))
    runs = int(os.environ.get("SOAK_RUNS", "50"))
    for seed in range(first, first + max(1, runs // SHARE_OF_RUNS)):
        logs = tmp_path / str(seed)
        series = draw_series(shape, seed)
        print(f"seed {seed}: {series}")
        findings = trio.run(play_series, logs, shape, seed, series)
        assert findings == [], f"seed {seed}, {series}, logs in {logs}"
