"""The soak's checks of weights find planted faults, and nothing that is allowed."""

import pytest

from tests.soak.history import Naming, Run
from tests.soak.test_checks import make_attempt, make_history, make_outage
from tests.soak.versions import check_weights, stretches
from tests.soak.weights import Life, Order


def make_run(*outages, confirmed_s=30.0, targets=9):
    """Return a history of targets with version 1, where version 2 was confirmed."""
    history = make_history(*outages)
    naming = Naming(2, confirmed_s - 0.1)
    naming.confirmed_s = confirmed_s
    history.namings.append(naming)
    history.lives += [Life(f"t-{number}", 5.0, 1) for number in range(targets)]
    return history


def load(history, names, at_s=36.0):
    for life in history.lives:
        if life.name in names:
            life.versions.append((at_s, 2))


def rules_of(history):
    check_weights(history)
    return {finding.split()[0] for finding in history.findings}


def names(count):
    return [f"t-{number}" for number in range(count)]


@pytest.mark.parametrize(
    ("loaded", "rules"), [(9, set()), (8, set()), (7, {"VERSION"}), (0, {"VERSION"})]
)
def test_more_than_one_older_target_is_found(loaded, rules):
    history = make_run()
    load(history, names(loaded))
    assert rules_of(history) == rules


@pytest.mark.parametrize(("at_s", "rules"), [(43.9, set()), (44.1, {"VERSION"})])
def test_targets_that_are_late_once_are_found(at_s, rules):
    history = make_run()
    load(history, names(9), at_s)
    assert rules_of(history) == rules


@pytest.mark.parametrize(
    ("outage", "rules"),
    [
        (make_outage("cut", ["front-1"], 31.0, 90.0, ["core-1"]), set()),
        (make_outage("cut", ["front-1"], 31.0, 80.0, ["core-1"]), {"VERSION"}),
        (make_outage("cut", ["core-2"], 31.0, 84.0, ["core-1"]), set()),
        (make_outage("down", ["core-2"], 31.0, 84.0), set()),
        (make_outage("down", ["front-1"], 31.0, 90.0), {"VERSION"}),
        (make_outage("orders", ["t-0", "t-1"], 31.0, 90.0), set()),
        (make_outage("orders", ["t-0"], 31.0, 90.0), set()),
        (make_outage("target", ["t-8"], 31.0, 90.0), {"VERSION"}),
    ],
)
def test_only_stretches_without_a_fault_count(outage, rules):
    history = make_run(outage)
    load(history, names(9)[2:])
    assert rules_of(history) == rules


def test_short_stretches_count_at_the_end_only():
    history = make_run()
    for number in range(35):
        start_s = 31.9 + 2 * number
        history.outages.append(
            make_outage("cut", ["front-1"], start_s, start_s + 0.1, ["t-0"])
        )
    assert rules_of(history) == {"VERSION"}
    assert history.findings[0].startswith("VERSION at 100.00")


def test_targets_that_leave_or_end_or_are_new_do_not_count():
    history = make_run()
    load(history, names(6))
    history.lives[6].leaving_s = 33.0
    history.lives[7].end_s = 33.0
    history.lives[8].start_s = 90.0
    assert rules_of(history) == set()


@pytest.mark.parametrize(
    ("at_s", "version", "outages", "rules"),
    [
        (39.0, 1, [], set()),
        (41.0, 2, [], set()),
        (41.0, 1, [], {"VERSION"}),
        (41.0, 1, [make_outage("slow", ["front-1"], 35, 36, ["t-1"])], set()),
        (41.0, 1, [make_outage("frozen", ["front-1"], 35, 36)], {"VERSION"}),
        (41.0, 1, [make_outage("frozen", ["front-1"], 39, 40)], set()),
        (41.0, 1, [make_outage("orders", ["t-1"], 31, 50)], {"VERSION"}),
    ],
)
def test_a_request_that_begins_on_older_weights_is_found(at_s, version, outages, rules):
    history = make_run(*outages)
    load(history, names(9))
    history.attempts.append(make_attempt(at_s=at_s))
    history.runs.append(Run("r-1", "t-1", at_s, version))
    assert rules_of(history) == rules


def order(at_s, holder="core-1", fence=4, target="t-1", born_ms=1):
    return Order(target, born_ms, at_s, holder, fence, 2, 202)


@pytest.mark.parametrize(
    ("orders", "rules"),
    [
        ([order(50), order(51), order(52, fence=5)], set()),
        ([order(50), order(53.1, "core-2", 5)], set()),
        ([order(50), order(52.9, "core-2", 5)], {"ONE"}),
        ([order(50), order(70, "core-2")], {"ONE"}),
        ([order(50), order(70, fence=3)], {"ONE"}),
        ([order(50), order(70, "core-2", target="t-2")], set()),
        ([order(50), order(70, "core-2", born_ms=2)], set()),
    ],
)
def test_orders_of_two_holders_are_found(orders, rules):
    history = make_history()
    history.orders += orders
    assert rules_of(history) == rules


@pytest.mark.parametrize(
    ("end_s", "rules"), [(69.8, set()), (68.0, set()), (66.0, {"ONE"})]
)
def test_an_order_of_a_vm_that_was_frozen_is_let_pass_for_a_time(end_s, rules):
    history = make_history(make_outage("frozen", ["core-2"], end_s - 5.0, end_s))
    history.orders += [order(50), order(70, "core-2", fence=3)]
    assert rules_of(history) == rules


def test_a_version_that_is_refused_or_confirmed_late_is_found():
    history = make_history()
    history.namings.append(Naming(2, 40.0))
    history.namings[0].refused.append((40.1, 400))
    history.namings[0].confirmed_s = 40.2
    assert rules_of(history) == {"VERSION"}
    history = make_history()
    history.namings.append(Naming(2, 40.0))
    assert rules_of(history) == {"ACK"}


def test_stretches_lie_between_the_faults():
    history = make_run(
        make_outage("cut", ["front-1"], 10, 12, ["core-1"]),
        make_outage("cut", ["core-2"], 11, 13, ["core-1"]),
        make_outage("target", ["t-1"], 20, 21),
    )
    assert stretches(history, 5, 30) == [(5, 10), (16, 30)]
    assert stretches(history, 5, 30, "t-1") == [(5, 10), (16, 20), (21, 30)]
