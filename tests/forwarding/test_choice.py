from tests.fleet.builders import make_target, make_view
from tests.forwarding.builders import make_chooser, make_facts, make_prompt
from vanillabeam.fleet.loads import make_load
from vanillabeam.forwarding.choice import FAR_REQUESTS, FAR_TOKENS
from vanillabeam.forwarding.costs import prompt_costs

ENTRIES = ("vm-1",)


def choose(
    chooser, facts=None, view=None, tried=(), now_s=1.0, others=None, sends=True
):
    facts = facts or make_facts()
    view = view or make_view()
    chooser.load.others = make_load(others)
    costs = prompt_costs(facts, None, rank=1)
    choice = chooser.choose("llm", facts, view, ENTRIES, set(tried), now_s, costs)
    if choice is None:
        return None
    if sends:
        chooser.sent("llm", choice, view, ENTRIES, now_s)
    return choice.target.name


def test_the_target_with_fewest_open_requests_gets_a_plain_call():
    one, other = make_target("t-1"), make_target("t-2")
    chooser = make_chooser(one, other)
    chooser.load.began("t-1", 0, 0, 1.0)
    assert choose(chooser) == "t-2"


def test_prompts_of_one_session_meet_at_one_target():
    versions = {"m": 1}
    targets = [make_target(f"t-{i}", versions=versions) for i in range(6)]
    chooser = make_chooser(*targets)
    found = {choose(chooser, make_prompt()) for _ in range(5)}
    assert len(found) == 1
    others = {choose(chooser, make_prompt(f"s-{i}")) for i in range(20)}
    assert len(others) > 1


def test_a_favourite_with_too_much_to_do_is_passed_over():
    targets = [make_target(f"t-{i}", versions={"m": 1}) for i in range(3)]
    chooser = make_chooser(*targets)
    first = choose(chooser, make_prompt())
    favourite = next(each for each in targets if each.name == first)
    chooser.load.began(favourite.name, 1, 50, 1.0)
    assert choose(chooser, make_prompt()) == first
    opened = chooser.load.began(favourite.name, 1, 60, 1.0)
    assert choose(chooser, make_prompt()) != first
    chooser.load.ended(opened)
    assert choose(chooser, make_prompt()) == first


def test_the_work_of_other_entries_counts_as_well():
    targets = [make_target(f"t-{i}", versions={"m": 1}) for i in range(3)]
    chooser = make_chooser(*targets)
    first = choose(chooser, make_prompt())
    assert choose(chooser, make_prompt(), others={first: {1: 1_000}}) != first
    assert choose(chooser, make_prompt(), others={first: {2: 1_000}}) == first


def test_a_target_that_missed_announcements_is_used_last():
    chooser = make_chooser(make_target("t-1"), now_s=0.0)
    chooser._directory.update(make_target("t-2"), 2.0)
    assert {choose(chooser, now_s=2.5) for _ in range(9)} == {"t-2"}
    assert choose(chooser, tried=["t-2"], now_s=2.5) == "t-1"


def test_no_new_work_for_targets_that_drain_or_whose_place_is_out_of_service():
    chooser = make_chooser(
        make_target("t-1", draining=True), make_target("t-2", data_centre="b")
    )
    assert choose(chooser) == "t-2"
    assert choose(chooser, view=make_view(evacuated=frozenset("b"))) is None


def test_a_target_is_not_tried_twice():
    chooser = make_chooser(make_target("t-1"))
    assert choose(chooser, tried=["t-1"]) is None


def test_a_target_that_failed_rests_unless_it_is_the_only_one():
    one, other = make_target("t-1"), make_target("t-2")
    chooser = make_chooser(one, other)
    chooser.failed(one, 1.0)
    assert {choose(chooser, now_s=1.2) for _ in range(9)} == {"t-2"}
    assert choose(chooser, tried=["t-2"], now_s=1.2) == "t-1"
    assert {choose(chooser, now_s=2.0) for _ in range(9)} == {"t-1", "t-2"}


def test_a_cold_target_gets_its_share_and_then_nothing():
    chooser = make_chooser(make_target("t-1", cold_ms=5_000.0))
    assert choose(chooser, now_s=1.0) == "t-1"
    assert choose(chooser, now_s=1.01) is None
    assert choose(chooser, now_s=6.0) == "t-1"
    assert choose(chooser, now_s=6.01) == "t-1"


def test_a_request_that_is_not_sent_takes_nothing_of_a_cold_targets_share():
    chooser = make_chooser(make_target("t-1", cold_ms=5_000.0))
    assert choose(chooser, now_s=1.0, sends=False) == "t-1"
    assert choose(chooser, now_s=1.01) == "t-1"
    assert choose(chooser, now_s=1.02) is None


def test_targets_on_old_weights_serve_only_for_a_while():
    old = make_target("t-1", versions={"m": 1})
    chooser = make_chooser(old)
    view = make_view(weights={"m": 2}, version_times={"m": ((2, 0.0),)})
    assert choose(chooser, make_prompt(), view, now_s=5.0) == "t-1"
    assert choose(chooser, make_prompt(), view, now_s=9.0) is None


def test_a_newer_name_does_not_give_an_older_one_more_time():
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
    found = {choose(chooser, make_prompt(f"s-{i}"), view, now_s=2.0) for i in range(9)}
    assert found == {"t-2"}


def test_a_prompt_waits_for_memory_and_an_urgent_one_finds_some_left():
    chooser = make_chooser(make_target("t-1", versions={"m": 1}))
    facts = make_prompt()
    chooser.load.update_others(make_load(room={"t-1": 800}))

    def found(rank):
        costs = prompt_costs(facts, None, rank)
        view = make_view()
        return chooser.choose("llm", facts, view, ENTRIES, set(), 1.0, costs)

    assert found(0) is not None
    assert found(5) is None
    chooser.load.update_others(make_load(room={"t-1": 500}))
    assert found(5) is not None


def test_a_prompt_larger_than_its_share_goes_to_a_target_that_is_empty():
    chooser = make_chooser(make_target("t-1", versions={"m": 1}))
    facts = make_prompt(output_tokens=900)
    assert choose(chooser, facts) == "t-1"


def test_a_target_without_the_model_is_no_candidate():
    chooser = make_chooser(make_target("t-1", versions={"other": 1}))
    assert choose(chooser, make_prompt()) is None


def test_a_refusal_says_at_which_step_no_target_was_left():
    prompt = make_prompt()
    costs = prompt_costs(prompt, None, rank=1)
    chooser = make_chooser(
        make_target("t-1", versions={"m": 1}),
        make_target("t-2", versions={"m": 1}, draining=True),
    )
    chooser.load.update_others(make_load(room={"t-1": 950}))
    text = chooser.refusal("llm", prompt, make_view(), 1, 1.0, costs)
    assert text == "llm: 2 known, 1 usable, 0 with room"


def test_a_data_centre_that_two_targets_speak_against_is_used_last():
    cut = [make_target(f"cut-{number}", data_centre="b") for number in range(4)]
    chooser = make_chooser(*cut, make_target("near", data_centre="c"))
    for target in cut[:2]:
        chooser.failed(target, 1.0)
    assert {choose(chooser, now_s=1.1) for _ in range(20)} == {"near"}
    assert choose(chooser, tried={"near"}, now_s=1.1) in {"cut-2", "cut-3"}
    chooser.answered(cut[3])
    names = {choose(chooser, now_s=1.3) for _ in range(40)}
    assert names == {"near", "cut-2", "cut-3"}


def test_an_idle_target_does_not_draw_the_prompts_of_all_entry_vms_at_once():
    versions = {"m": 1}
    targets = [make_target(f"t-{i}", versions=versions) for i in range(6)]
    busy = {target.name: {1: 500} for target in targets[1:]}
    entries = tuple(f"vm-{number}" for number in range(9))
    found = []
    for number in range(6):
        chooser = make_chooser(*targets)
        chooser.load.others = make_load(busy)
        facts = make_prompt(f"s-{number}")
        costs = prompt_costs(facts, None, rank=1)
        for _ in range(3):
            choice = chooser.choose(
                "llm", facts, make_view(), entries, set(), 1.0, costs
            )
            found.append(choice.target.name)
            chooser.load.began(choice.target.name, 1, choice.work, 1.0)
    assert found.count("t-0") <= len(found) / 2


def test_a_target_of_the_own_data_centre_is_preferred_while_it_is_not_busier():
    near, far = make_target("t-1", data_centre="a"), make_target("t-2", data_centre="b")
    chooser = make_chooser(near, far)
    assert {choose(chooser) for _ in range(20)} == {"t-1"}
    for _ in range(FAR_REQUESTS + 1):
        chooser.load.began("t-1", 0, 0, 1.0)
    assert choose(chooser) == "t-2"


def test_a_prompt_leaves_the_data_centre_only_for_a_target_with_less_to_do():
    versions = {"m": 1}
    near = make_target("t-1", data_centre="a", versions=versions)
    far = make_target("t-2", data_centre="b", versions=versions)
    chooser = make_chooser(near, far)
    sessions = [make_prompt(f"s-{number}") for number in range(20)]
    assert {choose(chooser, prompt) for prompt in sessions} == {"t-1"}
    busy = {"t-1": {1: FAR_TOKENS + 200}}
    assert {choose(chooser, prompt, others=busy) for prompt in sessions} == {"t-2"}
