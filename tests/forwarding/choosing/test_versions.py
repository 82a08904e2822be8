"""Targets that are left out because of their version, in each path of a choice."""

import random

import pytest

from tests.canary.builders import make_record
from tests.fleet.builders import BOUNDS, make_target, make_view
from tests.forwarding.builders import make_metadata, make_prompt
from vanillabeam.canary.records import Step
from vanillabeam.decisions import event_name
from vanillabeam.fleet import Directory
from vanillabeam.forwarding.choosing import versions as versions_module
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.forwarding.choosing.costs import estimate_costs
from vanillabeam.forwarding.choosing.ratelines import Claim

ENTRIES = ("vm-1",)
EXPOSING = BOUNDS._replace(expose_share=0.1, expose_requests=50, rollback_s=5.0)


@pytest.fixture
def lines(monkeypatch):
    """Return the lines about versions, as they are written."""
    written = []

    def write(record):
        written.append({"event": event_name(type(record)), **record._asdict()})

    monkeypatch.setattr(versions_module, "log_record", write)
    return written


def make_targets(**changes):
    old = [make_target(f"o-{i}", software="v1", **changes) for i in range(4)]
    return old + [make_target(f"n-{i}", software="v2", **changes) for i in range(4)]


def make_chooser(targets=None, record=None, bounds=EXPOSING, now_s=0.0):
    directory = Directory()
    for target in make_targets() if targets is None else targets:
        directory.update(target, now_s)
    chooser = Chooser("vm-1", "a", directory, bounds, random.Random(1))
    set_record(chooser, record)
    return chooser


def set_record(chooser, record):
    rollouts = {"llm": record} if record else {}
    chooser.versions.rollouts = lambda: rollouts


def record_of(step, share, **changes):
    return make_record(step, share, service="llm", **changes)


def choose(chooser, metadata=None, tried=(), now_s=1.0, is_first=True):
    metadata = metadata or make_metadata()
    costs = estimate_costs(metadata, None, rank=1)
    choice = chooser.choose(
        "llm", metadata, make_view(), ENTRIES, set(tried), now_s, costs
    )
    if choice is None:
        return None
    chooser.versions.record_choice(choice.target, is_first)
    return choice.target


def versions(chooser, count=100, **options):
    chosen = [choose(chooser, **options) for _ in range(count)]
    return [target.software if target else None for target in chosen]


# Guards against a change of behaviour in fleets whose settings have no bounds.
def test_without_bounds_versions_are_ignored():
    chooser = make_chooser(record=record_of(Step.ROLLED_BACK, 0.0), bounds=BOUNDS)
    assert set(versions(chooser)) == {"v1", "v2"}
    assert chooser.versions.may_send(make_target("n-1", software="v2"), 1.0)
    assert chooser.versions.reports() == []
    plain = make_chooser(bounds=BOUNDS, targets=make_targets())
    same = [choose(make_chooser(bounds=BOUNDS)).name for _ in range(3)]
    assert [choose(plain).name] * 3 == same


@pytest.mark.parametrize("metadata", [make_metadata(), make_prompt()])
def test_a_trial_sends_its_share_of_calls_and_prompts(metadata):
    targets = make_targets(versions={"m": 1})
    chooser = make_chooser(targets, record_of(Step.TRIAL, 0.06))
    assert 5 <= versions(chooser, metadata=metadata).count("v2") <= 7


# Guards against a choice that goes beyond the allowed versions because the targets of
# these are late: the search for others must know versions too.
def test_a_prompt_that_would_be_late_stays_within_the_allowed_versions():
    old = [make_target(f"o-{i}", software="v1", versions={"m": 2}) for i in range(2)]
    new = [make_target(f"n-{i}", software="v2", versions={"m": 1}) for i in range(2)]
    chooser = make_chooser(old + new, record_of(Step.ROLLED_BACK, 0.0))
    for target in old:
        for _ in range(50):
            chooser.load.record_start(target.name, 1, 100_000, 0.5)
    metadata = make_prompt()
    costs = estimate_costs(metadata, None, rank=1)._replace(objective_s=0.001)
    view = make_view(version_times={"m": ((1, -60.0), (2, -1.5))})
    choice = chooser.choose("llm", metadata, view, ENTRIES, set(), 1.0, costs)
    assert choice.target.software == "v1"


def test_a_retry_goes_to_the_new_version_with_credit_only():
    chooser = make_chooser(record=record_of(Step.TRIAL, 0.06))
    for _ in range(200):
        first = choose(chooser)
        retry = choose(chooser, tried=[first.name], is_first=False)
        if first.software == "v2":
            assert retry.software == "v1"


def test_after_a_rollback_no_choice_is_of_the_version_even_without_others():
    new = [target for target in make_targets() if target.software == "v2"]
    chooser = make_chooser(new, record_of(Step.ROLLED_BACK, 0.0))
    assert versions(chooser, 3, now_s=1.0) == [None] * 3
    assert versions(chooser, 3, now_s=3.9) == [None] * 3


def test_after_the_completion_no_choice_is_of_another_version():
    chooser = make_chooser(record=record_of(Step.COMPLETE, 1.0))
    assert set(versions(chooser)) == {"v2"}
    tried = [f"n-{i}" for i in range(4)]
    assert choose(chooser, tried=tried) is None


# Guards against requests that wait for the end of a pause of targets that they may not
# be sent to then either.
@pytest.mark.parametrize("bounds", [EXPOSING, BOUNDS])
def test_pauses_of_barred_versions_are_no_reason_to_wait(bounds):
    chooser = make_chooser(record=record_of(Step.ROLLED_BACK, 0.0), bounds=bounds)
    for target in make_targets():
        if target.software == "v2":
            chooser.notices.record_pause(target.incarnation, 2.0, 1.0)
    tried, claim = {f"o-{i}" for i in range(4)}, Claim(1, "", 0.0)
    wait_s = chooser.pause_left_s(
        "llm", make_metadata(), make_view(), tried, 1.0, claim
    )
    is_barred = bounds is EXPOSING
    assert (wait_s is None) == is_barred
    assert (chooser.left_out("llm", 1.0) == {}) == is_barred


# Guards against a version on trial that is preferred though its targets are silent.
def test_a_new_version_that_is_silent_gets_nothing():
    chooser = make_chooser(record=record_of(Step.SHIFT, 1.0))
    for target in make_targets():
        if target.software == "v1":
            chooser._directory.update(target._replace(sequence=2), 3.0)
    assert set(versions(chooser, now_s=3.5)) == {"v1"}


def test_a_request_is_not_sent_to_a_version_that_was_rolled_back_meanwhile():
    chooser = make_chooser(record=record_of(Step.SHIFT, 1.0))
    target = choose(chooser)
    assert target.software == "v2"
    assert chooser.versions.may_send(target, 1.0)
    set_record(chooser, record_of(Step.ROLLED_BACK, 0.0))
    assert not chooser.versions.may_send(target, 1.0)


# Guards against exposure by a VM that a freeze or a partition kept from the news.
def test_a_vm_without_news_of_the_leader_exposes_nothing(lines):
    chooser = make_chooser(record=record_of(Step.SHIFT, 0.25))
    assert "v2" in versions(chooser)
    chooser.versions.news_age_s = lambda: 2.1
    assert set(versions(chooser)) == {"v1"}
    changes = [each for each in lines if each["event"] == "exposure-changed"]
    assert [(each["exposes"], each["news_age_s"]) for each in changes] == [
        (True, 0.0),
        (False, 2.1),
    ]


def test_a_version_before_its_order_is_held_and_reported(lines):
    old = [target for target in make_targets() if target.software == "v1"]
    chooser = make_chooser(old)
    assert choose(chooser).software == "v1"
    for target in make_targets():
        chooser._directory.update(target._replace(sequence=2), 1.0)
    assert set(versions(chooser, now_s=1.5)) == {"v1"}
    (line,) = lines
    assert (line["event"], line["version"], line["targets"]) == (
        "version-held",
        "v2",
        4,
    )
    set_record(chooser, record_of(Step.TRIAL, 0.5))
    assert "v2" in versions(chooser, now_s=1.6)


def test_an_explanation_of_a_refusal_logs_versions_that_are_barred(lines):
    new = [target for target in make_targets() if target.software == "v2"]
    chooser = make_chooser(new, record_of(Step.ROLLED_BACK, 0.0, reason="bad"))
    metadata = make_metadata()
    detail = chooser.explain_refusal("llm", metadata, make_view(), 1, 1.0, None)
    assert detail.startswith("llm: 4 known, 0 usable")
    (line,) = [each for each in lines if each["event"] == "versions-barred"]
    assert (line["known"], line["barred"], line["step"]) == (4, 4, "rolled-back")
    assert [each["to"] for each in lines if each["event"] == "rollout-in-force"] == [
        "v2"
    ]


# Guards against slow answers of cold targets that are held against their version.
def test_the_slowness_of_a_target_counts_a_second_after_its_cold_window():
    new = make_target("n-1", software="v2", cold_ms=2_000.0)
    chooser = make_chooser([new], record_of(Step.SHIFT, 1.0))

    def counted(now_s):
        return not chooser.versions._is_cold(new, now_s)

    assert not counted(1.0)
    chooser._directory.update(new._replace(sequence=2, cold_ms=0.0), 2.1)
    assert not counted(2.9)
    assert counted(3.1)
