"""Tests of the core that owns targets and grants permits."""

import random

import pytest
from returns.result import Failure, Success

from tests.targets.builders import (
    make_announcement,
    make_config,
    make_entries,
    make_owner,
    make_permit_request,
    report,
    request_permit,
)
from vanillabeam.config import Config, Priority, Workspace
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.shares import Share
from vanillabeam.targets import Outcome, OutcomeKind, TargetsSettings
from vanillabeam.targets.events import (
    Announced,
    BlocksChanged,
    ConfigChanged,
    FetchCacheSummary,
    MembersChanged,
    PermitRequested,
    Released,
    RequestHandover,
    Tick,
)
from vanillabeam.targets.owner import Owner, handle

DONE = Outcome(OutcomeKind.COMPLETED, 0.2, 1000, 0)
FAILED = Outcome(OutcomeKind.FAILED)


def release(state, permit_id, now_s, outcome=DONE):
    handle(Released(permit_id, "engine-1", outcome), state, now_s)


def use_up_window(state, now_s=0.0, prefix="f"):
    """Request permits until a request waits and return the granted ids."""
    granted = []
    while True:
        permit_id = f"{prefix}{len(granted)}"
        if not isinstance(request_permit(state, now_s, permit_id=permit_id), Success):
            return granted
        granted.append(permit_id)


def refusal(result):
    assert isinstance(result, Failure)
    return result.failure().type


def open_window(state, runs=10):
    for number in range(runs):
        permit_id = f"w{number}"
        assert isinstance(request_permit(state, 1.0, permit_id=permit_id), Success)
        release(state, permit_id, 1.5)


def test_time_and_announcements_do_not_enlarge_the_cold_window():
    state = make_owner()
    assert len(use_up_window(state)) == 2
    for now_s in range(60):
        handle(Announced(make_announcement()), state, float(now_s))
        handle(Tick(), state, float(now_s))
    assert state.owned["engine-1"].window.size == 2


def test_completions_open_the_window_up_to_the_capacity():
    state = make_owner()
    open_window(state)
    assert state.owned["engine-1"].window.size == 8


def test_a_new_boot_resets_the_window_and_runs_of_the_old_one_do_not_enlarge_it():
    state = make_owner()
    open_window(state)
    request_permit(state, 2.0, permit_id="old")
    handle(Announced(make_announcement(boot_id="b2")), state, 3.0)
    release(state, "old", 4.0)
    assert state.owned["engine-1"].window.size == 2


def test_an_announcement_overtaken_by_a_newer_boot_changes_nothing():
    state = make_owner()
    handle(Announced(make_announcement(boot_id="b2")), state, 1.0)
    request_permit(state, 2.0)
    handle(Announced(make_announcement(boot_id="b1")), state, 3.0)
    target = state.owned["engine-1"]
    assert (target.announcement["boot_id"], target.in_use) == ("b2", 1)


def test_a_prompt_whose_first_token_would_be_late_is_refused_before_it_starts():
    state = make_owner()
    request_permit(state, prompt_tokens=100_000)
    result = request_permit(state, 1.0, permit_id="p2", deadline_s=10.0)
    assert refusal(result) == "overloaded"
    assert state.owned["engine-1"].in_use == 1


def test_an_emptied_cache_resets_the_window():
    state = make_owner()
    open_window(state)
    report(state, 2.0, sequence=1, cached_tokens=5000)
    report(state, 3.0, sequence=2, cached_tokens=0)
    assert state.owned["engine-1"].window.size == 2


def test_a_report_without_the_permitted_runs_resets_the_window():
    state = make_owner()
    open_window(state)
    for number in range(3):
        request_permit(state, 2.0, permit_id=f"p{number}")
    report(state, 10.0, sequence=1, running=0)
    assert state.owned["engine-1"].window.size == 2


def test_slow_first_tokens_reset_the_window():
    state = make_owner()
    open_window(state)
    slow = DONE._replace(first_token_s=20.0)
    for number in range(2):
        request_permit(state, 2.0, permit_id=f"p{number}")
        release(state, f"p{number}", 22.0, slow)
        handle(Announced(make_announcement()), state, 2.0)
    assert state.owned["engine-1"].window.size == 2


def test_runs_permitted_by_a_former_incarnation_of_the_owner_count():
    state = make_owner()
    report(state, 0.5, running=2)
    assert not isinstance(request_permit(state, 0.5), Success)
    report(state, 1.5, sequence=1, running=1)
    assert isinstance(request_permit(state, 1.5, permit_id="p2"), Success)


@pytest.mark.parametrize(
    ("changes", "type"),
    [
        ({"version": "v2"}, "version-not-loaded"),
        ({"model": "other"}, "version-not-loaded"),
        ({"adapter": "ledger:kigali"}, "version-not-loaded"),
        ({"service": "refunds"}, "version-not-loaded"),
        ({"target": "engine-2"}, "not-owner"),
    ],
)
def test_a_request_for_something_not_loaded_is_refused(changes, type):
    assert refusal(request_permit(make_owner(), **changes)) == type


def test_an_adapter_of_another_version_is_refused():
    announcement = make_announcement(adapters={"ledger:kigali": "a1"})
    state = make_owner(announcement=announcement)
    wanted = {"adapter": "ledger:kigali", "adapter_version": "a2"}
    assert refusal(request_permit(state, **wanted)) == "version-not-loaded"
    wanted["adapter_version"] = "a1"
    assert isinstance(request_permit(state, permit_id="p2", **wanted), Success)


def test_a_leaving_target_gets_no_permits_and_its_queue_is_refused():
    state = make_owner()
    use_up_window(state)
    leaving = Announced(make_announcement(leaving=True))
    effects = handle(leaving, state, 1.0)
    assert [refusal(effect.result) for effect in effects] == ["target-leaving"]
    assert refusal(request_permit(state, 1.0)) == "target-leaving"


def test_a_draining_target_and_a_data_centre_out_of_service_get_no_permits():
    state = make_owner()
    handle(ConfigChanged(make_config(draining=["engine-1"])), state, 1.0)
    assert refusal(request_permit(state, 1.0)) == "target-leaving"
    handle(ConfigChanged(make_config(data_centres_out=["dc1"])), state, 1.0)
    assert refusal(request_permit(state, 1.0)) == "data-centre-out"


def test_a_silent_target_gets_no_permits():
    state = make_owner()
    assert (
        refusal(request_permit(state, TargetsSettings().target_timeout_s))
        == "target-gone"
    )


def test_a_repeated_permit_request_gets_the_same_permit():
    state = make_owner()
    first = request_permit(state).unwrap().grant
    assert request_permit(state, 1.0).unwrap().grant == first
    assert state.owned["engine-1"].in_use == 1


def test_a_permit_request_that_arrives_after_its_release_is_refused():
    state = make_owner()
    request_permit(state)
    release(state, "p1", 1.0)
    assert refusal(request_permit(state, 2.0)) == "permit-unknown"


def test_a_permit_request_repeated_after_a_restart_gets_no_second_permit():
    state = make_owner()
    request_permit(state)
    handle(Announced(make_announcement(boot_id="b2")), state, 1.0)
    assert refusal(request_permit(state, 2.0)) == "permit-unknown"


def test_a_permit_request_repeated_after_expiry_gets_no_second_permit():
    state = make_owner()
    request_permit(state)
    handle(Announced(make_announcement()), state, 12.0)
    handle(Tick(), state, 12.0)
    assert state.owned["engine-1"].in_use == 0
    assert refusal(request_permit(state, 12.0)) == "permit-unknown"


def test_a_permit_request_that_cannot_meet_its_deadline_is_refused_at_once():
    state = make_owner()
    use_up_window(state)
    result = request_permit(state, 1.0, permit_id="late", deadline_s=0.5)
    assert refusal(result) == "overloaded"
    assert result.failure().retry_after_s > 0.5


def test_a_permit_request_above_its_delay_limit_is_refused():
    state = make_owner()
    request_permit(state, prompt_tokens=50_000)
    result = request_permit(state, permit_id="p2", delay_limit_s=0.5)
    assert refusal(result) == "moved-on"
    assert isinstance(
        request_permit(state, permit_id="p3", delay_limit_s=60.0), Success
    )


def test_interactive_requests_go_before_waiting_batch_requests():
    state = make_owner(announcement=make_announcement(cold_capacity=1))
    request_permit(state, permit_id="running")
    batch = make_permit_request("batch", priority=Priority.BATCH)
    handle(PermitRequested(batch), state, 0.0)
    handle(PermitRequested(make_permit_request("clerk")), state, 0.0)
    effects = handle(Released("running", "engine-1", DONE), state, 0.1)
    assert effects[0].permit_id == "clerk"


def test_a_reservation_is_divided_among_the_targets():
    state = make_owner()
    record = Workspace("icupa", (), "", weight=2.0, reservation_tokens_s=900.0)
    handle(ConfigChanged(Config(workspaces={"icupa": record})), state, 0.0)
    state.known_target_count = 9
    assert state.share_of("icupa") == Share(2.0, 100.0)
    assert state.share_of("other") == Share()


def test_failures_open_the_breaker_and_a_successful_probe_closes_it():
    state = make_owner()
    for number in range(3):
        request_permit(state, 0.0, permit_id=f"p{number}")
        release(state, f"p{number}", 0.0, FAILED)
    assert not isinstance(request_permit(state, 0.1, permit_id="p4"), Success)
    assert isinstance(request_permit(state, 2.0, permit_id="probe"), Success)
    assert not isinstance(request_permit(state, 2.0, permit_id="p5"), Success)
    release(state, "probe", 2.5)
    assert isinstance(request_permit(state, 2.5, permit_id="p6"), Success)


def test_a_gap_in_cache_events_fetches_a_summary():
    state = make_owner()
    events = {"target": "engine-1", "boot_id": "b1", "first": 0, "events": []}
    stored = {"kind": "stored", "blocks": ["x"]}
    handle(BlocksChanged({**events, "events": [stored]}), state, 0.0)
    effects = handle(BlocksChanged({**events, "first": 5}), state, 0.0)
    assert effects == [FetchCacheSummary("engine-1", "engine-1:80")]
    assert state.owned["engine-1"].blocks.count_leading(["x", "y"]) == 1


def test_a_new_view_relinquishes_targets_and_refuses_their_queue():
    state = make_owner(members=("e1",))
    use_up_window(state)
    names = [f"e{n}" for n in range(1, 30)]
    effects = handle(MembersChanged(make_entries(*names)), state, 1.0)
    assert state.owned == {}
    assert [refusal(effect.result) for effect in effects] == ["not-owner"]


def test_granting_beyond_the_window_violates_an_invariant():
    state = make_owner()
    use_up_window(state)
    with pytest.raises(InvariantBroken):
        state.owned["engine-1"].grant(make_permit_request("p9"), 1.0, 0.0)


# Guards against hints of cached blocks that stay incomplete: the summary was lost, and
# the events after it showed no gap.
def test_a_summary_is_fetched_again_until_one_arrives():
    state = make_owner()
    events = {"target": "engine-1", "boot_id": "b1", "first": 0, "events": []}
    stored = [{"kind": "stored", "blocks": ["x"]}]
    fetch = [FetchCacheSummary("engine-1", "engine-1:80")]
    handle(BlocksChanged({**events, "events": stored}), state, 0.0)
    assert handle(BlocksChanged({**events, "first": 5}), state, 1.0) == fetch
    later = {**events, "first": 5, "events": stored}
    assert handle(BlocksChanged(later), state, 1.0 + state.settings.call_s) == fetch
    summary = {**events, "first": 6, "summary": True, "events": stored}
    assert handle(BlocksChanged(summary), state, 5.0) == []
    assert handle(BlocksChanged({**events, "first": 6}), state, 9.0) == []


# Guards against a new owner that knows only the blocks stored since: the events before
# aren't sent again.
def test_the_first_events_that_an_owner_gets_are_a_gap_unless_they_begin_at_zero():
    state = make_owner()
    events = {"target": "engine-1", "boot_id": "b1", "first": 7, "events": []}
    fetch = [FetchCacheSummary("engine-1", "engine-1:80")]
    assert handle(BlocksChanged(events), state, 0.0) == fetch


# Guards against a target without any owner: a full outbox dropped the request for its
# handover, and neither an answer nor a failure came.
def test_a_handover_that_nobody_answers_is_not_awaited_for_ever():
    settings = TargetsSettings()
    me, other = make_entries("e1", "e2")
    state = Owner(me, settings, random.Random(1))
    handle(MembersChanged((me, other)), state, 0.0)
    name = next(
        name
        for name in (f"engine-{number}" for number in range(99))
        if state.ownership.owner_of(name, "dc1") == me
    )
    began_s = settings.view_lag_s + 1.0
    effects = handle(Announced(make_announcement(name)), state, began_s)
    assert effects == [RequestHandover(name, other)]
    for number in range(int(settings.takeover_s) + 1):
        handle(Tick(), state, began_s + number)
        handle(Announced(make_announcement(name)), state, began_s + number)
    assert list(state.owned) == [name]
