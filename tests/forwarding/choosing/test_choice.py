from tests.fleet.builders import make_target, make_view
from tests.forwarding.builders import make_chooser, make_metadata, make_prompt
from vanillabeam.fleet.loads import make_load
from vanillabeam.forwarding.choosing.callorder import REMOTE_PENALTY_REQUESTS
from vanillabeam.forwarding.choosing.costs import estimate_costs
from vanillabeam.forwarding.choosing.ordering import REMOTE_PENALTY_TOKENS

ENTRIES = ("vm-1",)


def choose(
    chooser,
    metadata=None,
    view=None,
    tried=(),
    now_s=1.0,
    others=None,
    records_sent=True,
):
    metadata = metadata or make_metadata()
    view = view or make_view()
    chooser.load.others = make_load(others)
    costs = estimate_costs(metadata, None, rank=1)
    choice = chooser.choose("llm", metadata, view, ENTRIES, set(tried), now_s, costs)
    if choice is None:
        return None
    if records_sent:
        chooser.record_sent("llm", choice, view, ENTRIES, now_s)
    return choice.target.name


def test_a_plain_call_goes_to_the_target_with_fewest_open_requests():
    one, other = make_target("t-1"), make_target("t-2")
    chooser = make_chooser(one, other)
    chooser.load.record_start("t-1", 0, 0, 1.0)
    assert choose(chooser) == "t-2"


def test_prompts_of_one_session_go_to_one_target():
    versions = {"m": 1}
    targets = [make_target(f"t-{i}", versions=versions) for i in range(6)]
    chooser = make_chooser(*targets)
    chosen = {choose(chooser, make_prompt()) for _ in range(5)}
    assert len(chosen) == 1
    others = {choose(chooser, make_prompt(f"s-{i}")) for i in range(20)}
    assert len(others) > 1


def test_a_preferred_target_with_too_much_queued_work_is_not_chosen():
    targets = [make_target(f"t-{i}", versions={"m": 1}) for i in range(3)]
    chooser = make_chooser(*targets)
    preferred = choose(chooser, make_prompt())
    preferred_target = next(each for each in targets if each.name == preferred)
    chooser.load.record_start(preferred_target.name, 1, 50, 1.0)
    assert choose(chooser, make_prompt()) == preferred
    opened = chooser.load.record_start(preferred_target.name, 1, 60, 1.0)
    assert choose(chooser, make_prompt()) != preferred
    chooser.load.record_end(opened)
    assert choose(chooser, make_prompt()) == preferred


def test_the_work_of_other_entry_vms_counts():
    targets = [make_target(f"t-{i}", versions={"m": 1}) for i in range(3)]
    chooser = make_chooser(*targets)
    preferred = choose(chooser, make_prompt())
    assert choose(chooser, make_prompt(), others={preferred: {1: 1_000}}) != preferred
    assert choose(chooser, make_prompt(), others={preferred: {2: 1_000}}) == preferred


def test_a_target_that_missed_announcements_is_used_last():
    chooser = make_chooser(make_target("t-1"), now_s=0.0)
    chooser._directory.update(make_target("t-2"), 2.0)
    assert {choose(chooser, now_s=2.5) for _ in range(9)} == {"t-2"}
    assert choose(chooser, tried=["t-2"], now_s=2.5) == "t-1"


def test_draining_targets_and_evacuated_data_centres_get_no_requests():
    chooser = make_chooser(
        make_target("t-1", draining=True), make_target("t-2", data_centre="b")
    )
    assert choose(chooser) == "t-2"
    assert choose(chooser, view=make_view(evacuated=frozenset("b"))) is None


def test_a_target_is_not_tried_twice():
    chooser = make_chooser(make_target("t-1"))
    assert choose(chooser, tried=["t-1"]) is None


def test_a_failed_target_is_avoided_during_its_backoff_unless_it_is_the_only_one():
    one, other = make_target("t-1"), make_target("t-2")
    chooser = make_chooser(one, other)
    chooser.record_failure(one, 1.0)
    assert {choose(chooser, now_s=1.2) for _ in range(9)} == {"t-2"}
    assert choose(chooser, tried=["t-2"], now_s=1.2) == "t-1"
    assert {choose(chooser, now_s=2.0) for _ in range(9)} == {"t-1", "t-2"}


def test_a_cold_target_gets_only_its_share_of_requests():
    chooser = make_chooser(make_target("t-1", cold_ms=5_000.0))
    assert choose(chooser, now_s=1.0) == "t-1"
    assert choose(chooser, now_s=1.01) is None
    assert choose(chooser, now_s=6.0) == "t-1"
    assert choose(chooser, now_s=6.01) == "t-1"


def test_a_request_that_is_not_sent_does_not_count_against_a_cold_target():
    chooser = make_chooser(make_target("t-1", cold_ms=5_000.0))
    assert choose(chooser, now_s=1.0, records_sent=False) == "t-1"
    assert choose(chooser, now_s=1.01) == "t-1"
    assert choose(chooser, now_s=1.02) is None


def test_targets_on_old_weights_get_requests_for_a_limited_time():
    old = make_target("t-1", versions={"m": 1})
    chooser = make_chooser(old)
    view = make_view(weights={"m": 2}, version_times={"m": ((2, 0.0),)})
    assert choose(chooser, make_prompt(), view, now_s=5.0) == "t-1"
    assert choose(chooser, make_prompt(), view, now_s=9.0) is None


def test_a_newer_weight_version_does_not_extend_the_time_of_an_older_one():
    chooser = make_chooser(make_target("t-1", versions={"m": 1}))
    named = {"m": ((2, 0.0), (3, 8.5))}
    view = make_view(weights={"m": 3}, version_times=named)
    assert choose(chooser, make_prompt(), view, now_s=7.0) == "t-1"
    assert choose(chooser, make_prompt(), view, now_s=9.0) is None


def test_a_target_that_is_about_to_load_weights_is_used_last():
    chooser = make_chooser(make_target("t-1"), make_target("t-2"))
    chooser.is_paused = lambda name, now_s: name == "t-1"
    assert {choose(chooser) for _ in range(9)} == {"t-2"}
    assert choose(chooser, tried=["t-2"]) == "t-1"


def test_targets_on_new_weights_are_preferred():
    old, new = (make_target(f"t-{v}", versions={"m": v}) for v in (1, 2))
    chooser = make_chooser(old, new)
    view = make_view(weights={"m": 2}, version_times={"m": ((2, 0.0),)})
    chosen = {choose(chooser, make_prompt(f"s-{i}"), view, now_s=2.0) for i in range(9)}
    assert chosen == {"t-2"}


class TestPromptsWhileNewWeightsAreLoaded:
    """Pattern: all prompts crowd the first few targets that have the new weights."""

    view = make_view(weights={"m": 2}, version_times={"m": ((2, 0.0),)})

    def make_chooser(self):
        targets = [make_target(f"t-{n}", versions={"m": 1}) for n in range(3)]
        return make_chooser(*targets, make_target("t-new", versions={"m": 2}))

    def choose(self, chooser, now_s, objective_s=0.0):
        costs = estimate_costs(make_prompt(), None, 1, objective_s=objective_s)
        choice = chooser.choose(
            "llm", make_prompt(), self.view, ENTRIES, set(), now_s, costs
        )
        return choice and choice.target.name

    def test_they_go_to_older_weights_if_the_new_ones_have_no_memory(self):
        chooser = self.make_chooser()
        assert self.choose(chooser, 2.0) == "t-new"
        chooser.load.update_others(make_load(room={"t-new": 950}), 0.0)
        assert self.choose(chooser, 2.0) in {"t-0", "t-1", "t-2"}

    def test_they_go_to_older_weights_if_they_would_be_late_at_the_new_ones(self):
        chooser = self.make_chooser()
        chooser.load._rates["llm"] = 100.0
        chooser.load.update_others(make_load({"t-new": {1: 500}}), 0.0)
        assert self.choose(chooser, 2.0, objective_s=10.0) == "t-new"
        assert self.choose(chooser, 2.0, objective_s=2.0) in {"t-0", "t-1", "t-2"}

    def test_they_never_go_to_weights_whose_time_has_passed(self):
        chooser = self.make_chooser()
        chooser.load.update_others(make_load(room={"t-new": 950}), 0.0)
        assert self.choose(chooser, 9.0) is None


def test_memory_is_reserved_for_urgent_prompts():
    chooser = make_chooser(make_target("t-1", versions={"m": 1}))
    metadata = make_prompt()
    chooser.load.update_others(make_load(room={"t-1": 800}), 0.0)

    def choose_at_rank(rank):
        costs = estimate_costs(metadata, None, rank)
        view = make_view()
        return chooser.choose("llm", metadata, view, ENTRIES, set(), 1.0, costs)

    assert choose_at_rank(0) is not None
    assert choose_at_rank(5) is None
    chooser.load.update_others(make_load(room={"t-1": 500}), 0.0)
    assert choose_at_rank(5) is not None


def test_a_prompt_larger_than_its_share_goes_to_an_empty_target():
    chooser = make_chooser(make_target("t-1", versions={"m": 1}))
    metadata = make_prompt(output_tokens=900)
    assert choose(chooser, metadata) == "t-1"


def test_a_target_without_the_model_is_not_chosen():
    chooser = make_chooser(make_target("t-1", versions={"other": 1}))
    assert choose(chooser, make_prompt()) is None


def test_a_refusal_lists_the_targets_left_after_each_filter():
    prompt = make_prompt()
    costs = estimate_costs(prompt, None, rank=1)
    chooser = make_chooser(
        make_target("t-1", versions={"m": 1}),
        make_target("t-2", versions={"m": 1}, draining=True),
    )
    chooser.load.update_others(make_load(room={"t-1": 950}), 0.0)
    text = chooser.explain_refusal("llm", prompt, make_view(), 1, 1.0, costs)
    assert text == "llm: 2 known, 1 usable, 0 with room"


def test_a_data_centre_with_two_failed_targets_is_used_last():
    failed = [make_target(f"cut-{number}", data_centre="b") for number in range(4)]
    chooser = make_chooser(*failed, make_target("near", data_centre="c"))
    for target in failed[:2]:
        chooser.record_failure(target, 1.0)
    assert {choose(chooser, now_s=1.1) for _ in range(20)} == {"near"}
    assert choose(chooser, tried={"near"}, now_s=1.1) in {"cut-2", "cut-3"}
    chooser.record_success(failed[3])
    names = {choose(chooser, now_s=1.3) for _ in range(40)}
    assert names == {"near", "cut-2", "cut-3"}


def test_an_idle_target_does_not_get_the_prompts_of_all_entry_vms_at_once():
    versions = {"m": 1}
    targets = [make_target(f"t-{i}", versions=versions) for i in range(6)]
    busy = {target.name: {1: 500} for target in targets[1:]}
    entries = tuple(f"vm-{number}" for number in range(9))
    chosen = []
    for number in range(6):
        chooser = make_chooser(*targets)
        chooser.load.others = make_load(busy)
        metadata = make_prompt(f"s-{number}")
        costs = estimate_costs(metadata, None, rank=1)
        for _ in range(3):
            choice = chooser.choose(
                "llm", metadata, make_view(), entries, set(), 1.0, costs
            )
            chosen.append(choice.target.name)
            chooser.load.record_start(choice.target.name, 1, choice.work, 1.0)
    assert chosen.count("t-0") <= len(chosen) / 2


def test_a_target_in_the_same_data_centre_is_preferred_unless_it_is_busier():
    near, far = make_target("t-1", data_centre="a"), make_target("t-2", data_centre="b")
    chooser = make_chooser(near, far)
    assert {choose(chooser) for _ in range(20)} == {"t-1"}
    for _ in range(int(REMOTE_PENALTY_REQUESTS) + 1):
        chooser.load.record_start("t-1", 0, 0, 1.0)
    assert choose(chooser) == "t-2"


def test_a_prompt_leaves_the_data_centre_only_for_a_target_with_much_less_work():
    versions = {"m": 1}
    near = make_target("t-1", data_centre="a", versions=versions)
    far = make_target("t-2", data_centre="b", versions=versions)
    chooser = make_chooser(near, far)
    sessions = [make_prompt(f"s-{number}") for number in range(20)]
    assert {choose(chooser, prompt) for prompt in sessions} == {"t-1"}
    busy = {"t-1": {1: REMOTE_PENALTY_TOKENS + 200}}
    assert {choose(chooser, prompt, others=busy) for prompt in sessions} == {"t-2"}
