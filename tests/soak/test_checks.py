"""The soak's checks find planted faults, and nothing where the rules allow it."""

import json

import pytest

from tests.soak.checks import check
from tests.soak.fleet import End
from tests.soak.history import Attempt, Change, History, Outage, Read, Run
from tests.soak.limits import Arrival, NamedLimit, check_limits
from tests.soak.operators import make_config

CONTROLS = ("core-1", "core-2", "core-3")


def make_history(*outages):
    """Return a history with version 3 confirmed at 20 s and version 5 at 30 s."""
    history = History(lambda: 100.0, ["front-1"], CONTROLS)
    for number, at_s, moving in ((3, 20.0, "app-a"), (5, 30.0, "app-b")):
        body = json.dumps(make_config(number, [number], moving))
        change = Change(body, at_s - 0.1)
        change.confirmed_s = at_s
        history.changes.append(change)
    history.outages += outages
    return history


def make_outage(kind, vms, start_s, end_s, others=()):
    outage = Outage(kind, vms, others, start_s)
    outage.end_s = end_s
    return outage


def make_attempt(path="/move/", at_s=50.0, **changes):
    fields = {
        "id": "r-1",
        "kind": "safe",
        "group": "probe",
        "vm": "front-1",
        "starts": 1,
        "path": path,
        "key": "key-fixed",
        "sent_s": at_s,
        "end_s": at_s + 0.1,
        "limit_s": 1.5,
        "status": 200,
        "service": "app-b",
    }
    return Attempt(**(fields | changes))


def rules_of(history, ends=()):
    return {finding.split()[0] for finding in check(history, ends)}


def test_a_run_by_the_rules_has_no_findings():
    history = make_history()
    bodies = [change.body for change in history.changes]
    history.attempts += [
        make_attempt(),
        make_attempt("/v5/", status=200),
        make_attempt("/never/", status=404, service=""),
        make_attempt("/move/", at_s=31.0, service="app-a", starts=2),
    ]
    history.reads += [Read("core-1", 31.0, 3, bodies[0]), Read("c", 40.0, 5, bodies[1])]
    history.runs.append(Run("r-1", "t-1", 50.0))
    assert rules_of(history) == set()


@pytest.mark.parametrize(
    "attempt",
    [
        make_attempt(service="app-a"),
        make_attempt("/v3/", service="app-b"),
        make_attempt("/v5/", status=404, service=""),
        make_attempt("/look/", key="key-3", service="app-a"),
        make_attempt("/look/", key="key-5", status=401, service=""),
        make_attempt("/move/", at_s=10.0, service="app-c"),
    ],
)
def test_what_only_an_older_configuration_allows_is_found(attempt):
    history = make_history()
    history.attempts.append(attempt)
    assert rules_of(history) == {"CONFIG"}


@pytest.mark.parametrize(
    ("outage", "rules"),
    [
        (make_outage("frozen", ["front-1"], 45.0, 49.0), set()),
        (make_outage("frozen", ["front-1"], 40.0, 46.0), {"CONFIG"}),
        (make_outage("slow", ["front-1"], 40.0, 48.0, CONTROLS), set()),
        (make_outage("cut", ["front-1"], 25.0, 99.0, ["core-1"]), set()),
        # A control VM that is cut off from all for long needs no path.
        (
            make_outage("cut", ["core-1"], 25.0, 99.0, ["front-1", "core-2", "core-3"]),
            {"CONFIG"},
        ),
        (make_outage("cut", ["core-1"], 40.0, 99.0, ["core-2", "core-3"]), {"CONFIG"}),
        (make_outage("down", ["core-1"], 49.0, 49.5), {"CONFIG"}),
    ],
)
def test_the_bound_holds_for_vms_in_touch(outage, rules):
    history = make_history(outage)
    history.attempts.append(make_attempt(service="app-a"))
    assert rules_of(history) == rules


def test_an_unstable_core_stretches_the_bound():
    history = make_history(make_outage("down", ["core-1"], 29.5, 30.5))
    history.attempts.append(make_attempt(at_s=33.0, service="app-a"))
    assert rules_of(history) == set()


def test_an_older_read_is_found_on_any_vm():
    history = make_history(make_outage("frozen", ["core-1"], 40.0, 60.0))
    history.reads.append(Read("core-1", 50.0, 3, history.changes[0].body))
    assert rules_of(history) == {"CONFIG"}


@pytest.mark.parametrize("is_sent", [True, False])
def test_other_content_under_a_held_number_is_found(is_sent):
    history = make_history()
    other = Change(json.dumps(make_config(5, [], "app-c")), 40.0)
    other.confirmed_s = 40.2
    history.changes += [other] if is_sent else []
    history.reads.append(Read("core-1", 50.0, 5, other.body))
    assert rules_of(history) == {"CONFIG"}


def test_a_refused_valid_and_a_confirmed_invalid_change_are_found():
    history = make_history()
    history.changes[0].refused.append((21.0, 409))
    assert rules_of(history) == {"CONFIG"}
    history = make_history()
    history.changes.append(Change("{", 40.0, is_valid=False, number=7))
    assert rules_of(history) == set()
    history.changes[-1].confirmed_s = 41.0
    assert rules_of(history) == {"CONFIG"}


def test_a_change_that_waits_too_long_is_found():
    history = make_history()
    history.changes.append(Change(json.dumps(make_config(7, [], "app-a")), 40.0))
    assert rules_of(history) == {"ACK"}


@pytest.mark.parametrize(
    ("kind", "after_s", "rules"),
    [
        ("down", 0.1, set()),
        ("down", 0.5, {"CONFIG"}),
        ("down", 2.9, {"CONFIG"}),
        ("slow", 0.5, set()),
        ("slow", 2.9, {"CONFIG"}),
    ],
)
def test_a_vm_that_goes_back_is_found(kind, after_s, rules):
    history = make_history(make_outage(kind, ["front-1"], 29.0, 29.9))
    history.attempts += [
        make_attempt("/v5/", at_s=30.0),
        make_attempt("/v5/", at_s=30.0 + after_s, status=404, service=""),
    ]
    assert rules_of(history) == rules


@pytest.mark.parametrize(
    ("attempt", "runs", "rule"),
    [
        (make_attempt("/pay/", kind="unsafe", service="app-a"), 2, "TWICE"),
        (make_attempt("/pay/", kind="unsafe", status=503, service=""), 1, "REFUSED"),
        (make_attempt(fault="the answer of r-2"), 1, "MIXED"),
    ],
)
def test_wrong_runs_and_answers_are_found(attempt, runs, rule):
    history = make_history()
    history.attempts.append(attempt)
    history.runs += [Run("r-1", "t-1", 50.0)] * runs
    assert rules_of(history) == {rule}


def test_a_run_after_the_notice_of_a_target_is_found():
    history = make_history()
    history.drained["t-1"] = 47.0
    history.runs.append(Run("r-1", "t-1", 50.0))
    assert rules_of(history) == {"DRAIN"}


def test_a_request_that_a_planned_stop_cuts_is_found():
    cut = make_attempt("/look/", status=0, service="", end_s=50.5)
    history = make_history(make_outage("stopped", ["front-1"], 49.9, 55.0))
    history.attempts.append(cut)
    assert rules_of(history) == {"LOST"}
    history = make_history(
        make_outage("stopped", ["front-1"], 49.9, 55.0),
        make_outage("reset", ["front-1"], 49.0, 49.0, CONTROLS),
    )
    history.attempts.append(cut)
    assert rules_of(history) == set()


def test_an_own_end_and_a_lack_of_service_are_found():
    history = make_history()
    assert rules_of(history, [End("front-1", 50.0, 1, is_own=True)]) == {"FAULT"}
    history = make_history()
    history.attempts += [make_attempt(status=503, service="", group="first")] * 3
    assert rules_of(history) == {"SHORT"}


def make_limited(count, span_s, *outages):
    """Return a history in which a target that names 1.0 gets requests, evenly."""
    history = make_history(*outages)
    limit = NamedLimit("t-1", 1, 1.0, 50.0)
    history.limits.append(limit)
    for number in range(count):
        request_id, at_s = f"r-{number}", 60.0 + number * span_s / count
        history.attempts.append(make_attempt(id=request_id, at_s=at_s))
        history.arrivals.append(Arrival(request_id, "t-1", 1, at_s))
    return history


@pytest.mark.parametrize(
    ("count", "outages", "is_found"),
    [
        (7, (), False),
        (8, (), True),
        (11, (make_outage("frozen", ["core-1"], 58.0, 59.0),), False),
        (12, (make_outage("frozen", ["core-1"], 58.0, 59.0),), True),
        (12, (make_outage("frozen", ["front-1"], 58.0, 59.0),), False),
    ],
)
def test_more_than_a_limit_is_found_unless_its_vm_was_disturbed(
    count, outages, is_found
):
    history = make_limited(count, 3.9, *outages)
    check_limits(history)
    assert bool(history.findings) == is_found


def test_requests_before_a_limit_must_be_kept_are_not_counted():
    history = make_limited(30, 3.9)
    history.limits[0].start_s = 61.0
    check_limits(history)
    assert history.findings == []
