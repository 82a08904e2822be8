"""A failing member: targets that fail part of their requests, seen by all together."""

from collections import Counter

from tests.fleet.builders import make_target, make_view
from tests.forwarding.builders import (
    make_chooser,
    make_metadata,
    make_prompt,
    teach_speed,
)
from vanillabeam.fleet.loads import EntryLoads, make_load
from vanillabeam.forwarding.choosing.costs import FetchCost, estimate_costs
from vanillabeam.forwarding.choosing.observations import WINDOW_S, Observations

TOKENS_S = 50_000.0
TARGETS = [f"t-{number}" for number in range(6)]


def answer(observed, target, count, failed=0, now_s=0.0):
    for number in range(count):
        observed.record_answer(target, number < failed, now_s)


def test_without_failures_no_target_is_worse_than_the_others():
    observed = Observations()
    answer(observed, "t-0", 50)
    assert observed.failure_excess(TARGETS) == {}


def test_a_target_that_fails_more_often_than_the_others_is_seen():
    observed = Observations()
    for target in TARGETS:
        answer(observed, target, 40, failed=32 if target == "t-3" else 4)
    excess = observed.failure_excess(TARGETS)
    assert list(excess) == ["t-3"]
    assert excess["t-3"] > 0.4


def test_where_all_targets_fail_as_often_none_is_left_alone():
    observed = Observations()
    for target in TARGETS:
        answer(observed, target, 40, failed=20)
    assert observed.failure_excess(TARGETS) == {}


def test_a_single_failure_says_little():
    observed = Observations()
    answer(observed, "t-0", 1, failed=1)
    answer(observed, "t-1", 20)
    assert observed.failure_excess(TARGETS)["t-0"] < 0.1


def test_outcomes_are_forgotten_after_the_window():
    observed = Observations()
    answer(observed, "t-0", 5, failed=5)
    assert observed.own(2.0 + WINDOW_S) == make_load()
    assert observed.failure_excess(TARGETS) == {}


def test_entry_vms_that_see_few_answers_each_find_the_failing_target_together():
    loads = EntryLoads()
    for number in range(40):
        observed = Observations()
        answer(observed, TARGETS[number % 6], 2, failed=2 * (number % 6 == 3))
        loads.update(f"e-{number}", observed.own(0.0), 0.0)
    observed = Observations()
    observed.update_others(loads.total_except("me", 0.0))
    assert max(observed.failure_excess(TARGETS).items(), key=lambda item: item[1]) > (
        "t-3",
        0.2,
    )


def choose(chooser, metadata, costs=None):
    return chooser.choose(
        "llm", metadata, make_view(), ("vm-1",), set(), 0.0, costs
    ).target.name


def make_failing_chooser(**fields):
    targets = [
        make_target(name, address=f"10.0.0.{number}:80", **fields)
        for number, name in enumerate(TARGETS)
    ]
    chooser = make_chooser(*targets)
    for target in TARGETS:
        failed = 40 if target == "t-3" else 4
        answer(chooser.load.observed, target, 40, failed)
    return chooser


def test_calls_avoid_a_target_that_fails_more_often():
    chooser = make_failing_chooser()
    chosen = Counter(choose(chooser, make_metadata()) for _ in range(200))
    assert set(chosen) == set(TARGETS) - {"t-3"}


def test_calls_go_to_a_failing_target_rather_than_wait_behind_many():
    chooser = make_failing_chooser()
    for target in set(TARGETS) - {"t-3"}:
        for _ in range(30):
            chooser.load.record_start(target, 0, 0, 0.0)
    assert choose(chooser, make_metadata()) == "t-3"


def test_prompts_avoid_a_target_that_fails_more_often():
    chooser = make_failing_chooser(versions={"m": 1})
    teach_speed(chooser.load, TOKENS_S)
    chosen = Counter()
    for number in range(200):
        prompt = make_prompt(f"s-{number}")
        costs = estimate_costs(prompt, lambda part: FetchCost("a"), 0, objective_s=1.0)
        chosen[choose(chooser, prompt, costs)] += 1
    assert set(chosen) == set(TARGETS) - {"t-3"}


def test_a_choice_names_what_decided_it():
    chooser = make_failing_chooser()
    first = chooser.choose("llm", make_metadata(), make_view(), ("vm-1",), set(), 0.0)
    assert (first.failing, first.loads_age_s) == (0.0, None)
    chooser.load.update_others(make_load(), 1.0)
    others = set(TARGETS) - {"t-3"}
    last = chooser.choose("llm", make_metadata(), make_view(), ("vm-1",), others, 1.25)
    assert last.target.name == "t-3"
    assert last.failing > 0.4
    assert last.loads_age_s == 0.25
