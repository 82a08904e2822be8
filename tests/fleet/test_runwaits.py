import pytest

from tests.fleet.builders import make_route
from vanillabeam.fleet import RouteKind, Share
from vanillabeam.fleet.runwaits import (
    MIN_WAIT_S,
    ONGOING_FACTOR,
    RunWaits,
    Strategy,
    choose_strategy,
    has_time,
)

ONE, OTHER = ("t-1", 1_000), ("t-2", 1_000)
RESUMABLE = make_route(kind=RouteKind.STREAM, resumable=True, attempts=2)
STREAM = make_route(kind=RouteKind.STREAM, attempts=2)


def make_waits():
    waits = RunWaits()
    for incarnation in (ONE, OTHER):
        waits.start(incarnation, Strategy.WAIT)
    return waits


# Guards against loads that count as waits, as runs go on beside them.
def test_runs_that_are_kept_are_not_waited_for():
    waits = RunWaits()
    waits.start(ONE, Strategy.RETAIN)
    waits.record(ONE, "m", 2, 3.0)
    assert waits.expected_s("m", 2) == 0.0
    assert waits.finish(ONE) == 0.0


def test_a_wait_that_goes_on_is_expected_to_last():
    waits = make_waits()
    assert waits.expected_s("m", 2) == 0.0
    waits.record(ONE, "m", 2, 1.5)
    waits.record(OTHER, "m", 2, 2.0)
    assert waits.expected_s("m", 2) == 2.0 * ONGOING_FACTOR
    waits.end_wait(OTHER)
    assert waits.expected_s("m", 2) == 1.5 * ONGOING_FACTOR
    waits.end_wait(ONE)
    assert waits.finish(ONE) == 1.5
    assert waits.expected_s("m", 2) == 2.0


# Guards against a belief that no later rollout ends.
def test_the_waits_of_an_older_version_say_nothing_of_the_next():
    waits = make_waits()
    waits.record(ONE, "m", 2, 8.0)
    assert waits.expected_s("m", 3) == 0.0
    waits.record(ONE, "m", 2, 9.0)
    assert waits.expected_s("m", 3) == 0.0
    assert waits.expected_s("n", 1) == 0.0


@pytest.mark.parametrize(
    ("routes", "strategy"),
    [
        ((RESUMABLE,), Strategy.TRUNCATE),
        ((RESUMABLE, STREAM), Strategy.RETAIN),
        ((RESUMABLE._replace(attempts=1),), Strategy.RETAIN),
        ((RESUMABLE, STREAM._replace(shares=(Share("app", 1.0),))), Strategy.TRUNCATE),
        ((), Strategy.RETAIN),
    ],
)
def test_runs_are_broken_off_only_where_each_may_go_on_elsewhere(routes, strategy):
    assert choose_strategy(routes, "llm", 4, 9.0) is strategy


# Guards against a rollout that uses up the budget of repeats.
@pytest.mark.parametrize("runs", [10, None])
def test_more_runs_than_may_be_repeated_are_kept(runs):
    assert choose_strategy((RESUMABLE,), "llm", runs, 9.0) is Strategy.RETAIN


def test_a_wait_is_chosen_where_it_fits_or_is_short():
    assert has_time(4.0, 4.0)
    assert not has_time(4.1, 4.0)
    assert has_time(MIN_WAIT_S, -5.0)
