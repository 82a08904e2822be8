"""Permits of targets that name a limit, by one control VM."""

import random

import pytest
from hypothesis import given, settings, strategies as st

from vanillabeam.fleet.permits import (
    HANDOVER_S,
    IDLE_S,
    RETURN_SLACK_S,
    SAVED_REQUESTS,
    SAVED_S,
    PermitAsk,
    PermitGranter,
)

HERE = "10.0.0.1:7420"
ELSEWHERE = "10.0.0.2:7420"


def make_ask(**changes):
    fields = {
        "vm": "e-1",
        "target": "t-1",
        "born_ms": 1,
        "rate_s": 2.0,
        "rank": 0,
        "workspace": "",
        "waited_s": 0.0,
        "patience_s": 0.0,
        "previous": "",
    }
    return PermitAsk(**(fields | changes))


class Granter:
    """A granter whose target takes 2 requests a second, with one permit left."""

    def __init__(self, now_s=10.0, **changes):
        self.granter = PermitGranter(HERE)
        self.granter.grant(make_ask(vm="first", **changes), 2.0, now_s - 0.5)
        self.now_s = now_s

    def ask(self, after_s=0.0, rate_s=2.0, **changes):
        return self.granter.grant(make_ask(**changes), rate_s, self.now_s + after_s)


# Guards against limits that each VM keeps for itself (LIMIT): however many VMs ask.
@settings(max_examples=40, deadline=None)
@given(
    st.sampled_from([0.1, 0.3, 2.0, 50.0]),
    st.sampled_from([1, 9, 340]),
    st.integers(0, 1_000),
)
def test_in_any_span_no_more_than_the_rate_and_what_is_saved(rate_s, vms, seed):
    rng, granter = random.Random(seed), PermitGranter(HERE)
    sent, now_s = [], 0.0
    for _ in range(600):
        now_s += rng.expovariate(3 * rate_s) * rng.choice((0.01, 1.0, 3.0))
        ask = make_ask(vm=f"e-{rng.randrange(vms)}", patience_s=rng.choice((0.0, 5.0)))
        if granter.grant(ask, rate_s, now_s)["granted"]:
            sent.append(now_s)
    saved = 1.0 + max(SAVED_REQUESTS, SAVED_S * rate_s)
    for first in range(len(sent)):
        for last in range(first, min(len(sent), first + 300)):
            span_s = sent[last] - sent[first]
            assert last - first + 1 <= rate_s * span_s + saved + 1e-6


def test_a_denial_says_when_the_next_permit_comes():
    granter = Granter()
    assert granter.ask()["granted"]
    denied = granter.ask(0.1)
    assert not denied["granted"] and denied["wait_s"] == pytest.approx(0.4)
    assert granter.ask(0.1 + denied["wait_s"])["granted"]


def test_a_vm_that_would_wait_is_told_its_place():
    granter = Granter()
    assert granter.ask(vm="e-1")["granted"]
    first = granter.ask(0.1, vm="e-2", patience_s=5.0, waited_s=0.1)
    second = granter.ask(0.1, vm="e-3", patience_s=5.0)
    assert (first["queued"], second["queued"], second["rivals"]) == (True, True, 1)
    assert second["wait_s"] - first["wait_s"] == pytest.approx(0.5)
    impatient = granter.ask(0.1, vm="e-4", patience_s=0.5)
    assert (impatient["queued"], impatient["rivals"]) == (False, 2)


@pytest.mark.parametrize(
    ("first", "second"),
    [
        ({"rank": 0}, {"rank": 1, "waited_s": 5.0}),
        ({"workspace": "b"}, {"workspace": "a", "waited_s": 5.0}),
        ({"waited_s": 2.0}, {"waited_s": 1.0}),
    ],
)
def test_places_are_by_urgency_then_by_what_a_workspace_had_then_by_age(first, second):
    granter = Granter()
    assert granter.ask(workspace="a")["granted"]
    fields = {"patience_s": 5.0, "workspace": "a"}
    granter.ask(0.1, vm="e-2", **(fields | second))
    first_s = granter.ask(0.1, vm="e-1", **(fields | first))["wait_s"]
    second_s = granter.ask(0.1, vm="e-2", **(fields | second))["wait_s"]
    assert second_s - first_s == pytest.approx(0.5)


def test_what_an_urgent_request_waits_for_goes_to_no_other():
    granter = Granter()
    assert granter.ask()["granted"]
    wait_s = granter.ask(0.0, vm="e-2", patience_s=5.0)["wait_s"]
    assert not granter.ask(wait_s, vm="e-3", rank=1)["granted"]
    assert granter.ask(wait_s, vm="e-2", patience_s=5.0)["granted"]


# Guards against permits that are kept for requests that no longer wait.
@pytest.mark.parametrize("rank", [0, 1])
def test_a_vm_that_does_not_come_back_loses_its_turn(rank):
    granter = Granter()
    assert granter.ask(vm="e-1")["granted"]
    wait_s = granter.ask(0.0, vm="e-2", patience_s=5.0)["wait_s"]
    late_s = wait_s + RETURN_SLACK_S
    assert granter.ask(late_s - 0.01, vm="e-3", rank=rank)["granted"] == (rank == 0)
    assert granter.ask(late_s + 0.01, vm="e-4", rank=rank)["granted"] == (rank == 1)


def test_a_new_granter_holds_back_what_the_one_before_may_grant():
    def first_permit_s(previous):
        granter = PermitGranter(HERE)
        return granter.grant(make_ask(previous=previous), 2.0, 10.0)["wait_s"]

    assert first_permit_s("") == first_permit_s(HERE) == 0.5
    assert first_permit_s(ELSEWHERE) == 0.5 + HANDOVER_S


def test_a_limit_that_only_the_asking_vm_knows_of_counts():
    granter = PermitGranter(HERE)
    assert granter.grant(make_ask(rate_s=0.5), None, 10.0)["wait_s"] == 2.0
    assert granter.grant(make_ask(rate_s=0.5), 1.0, 10.0)["wait_s"] == 1.0


def test_tokens_come_at_the_rate_of_their_time():
    granter = Granter()
    assert granter.ask()["granted"]
    assert granter.ask(0.0, rate_s=0.1)["wait_s"] == pytest.approx(10.0)
    assert granter.ask(5.0, rate_s=50.0)["wait_s"] == pytest.approx(0.01)


def test_what_was_granted_lately_is_counted_and_forgotten():
    granter = Granter()
    granter.ask()
    assert granter.granter.granted(11.0) == {("t-1", 1): 1}
    assert granter.granter.granted(15.0) == {("t-1", 1): 0}
    granter.granter.expire(10.1 + IDLE_S)
    assert granter.granter.granted(50.0) == {}
