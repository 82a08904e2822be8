from vanillabeam.fleet.loads import make_load
from vanillabeam.forwarding.choosing.load import MIN_SAMPLE_TOKENS, SPEED_TTL_S, Load
from vanillabeam.forwarding.choosing.openwork import STREAM_WORK_TOKENS


def test_work_is_queued_before_requests_of_the_same_or_a_less_urgent_rank():
    load = Load()
    load.record_start("t", rank=2, tokens=900, now_s=0.0)
    load.others = make_load({"t": {1: 50, 4: 7}})
    assert [load.queued_tokens("t", rank) for rank in (0, 1, 2, 4)] == [0, 50, 950, 957]


def test_after_its_prefill_a_prompt_counts_as_a_running_stream():
    load = Load()
    opened = load.record_start("t", rank=2, tokens=900, now_s=0.0)
    load.record_response(opened, "llm", 0.1)
    assert load.own(0.1)["work"] == {"t": {0: STREAM_WORK_TOKENS}}
    load.record_end(opened)
    assert load.own(0.1) == make_load()
    assert load.open_requests("t") == 0


def test_a_request_that_ends_unanswered_leaves_no_load():
    load = Load()
    load.record_end(load.record_start("t", rank=2, tokens=900, now_s=0.0))
    assert load.own(0.1) == make_load()


def test_the_speed_is_estimated_from_waits():
    load = Load()
    assert load.wait_s("llm", 1_000) == 0.0
    for start in range(100):
        opened = load.record_start("t", 0, 2 * MIN_SAMPLE_TOKENS, float(start))
        load.record_response(opened, "llm", start + 0.2)
        load.record_end(opened)
    assert abs(load.wait_s("llm", 2 * MIN_SAMPLE_TOKENS) - 0.2) < 0.01


def test_waits_for_little_work_do_not_change_the_estimated_speed():
    load = Load()
    load.record_response(load.record_start("t", 0, 10, 0.0), "llm", 5.0)
    assert load.wait_s("llm", 1_000) == 0.0


def test_a_silent_target_is_suspect():
    load = Load()
    load.record_start("t", 0, 100, now_s=0.0, silence_limit_s=0.7)
    assert not load.is_suspect("t", "llm", 0.5)
    assert load.is_suspect("t", "llm", 1.0)
    load.record_activity("t", 0.9)
    assert not load.is_suspect("t", "llm", 1.0)


def test_a_target_with_much_queued_work_becomes_suspect_later():
    load = Load()
    quick = load.record_start("t", 0, MIN_SAMPLE_TOKENS, 0.0)
    load.record_response(quick, "llm", 0.5)
    load.record_end(quick)
    load.record_start("t", 0, 4 * MIN_SAMPLE_TOKENS, 1.0)
    assert not load.is_suspect("t", "llm", 6.0)
    assert load.is_suspect("t", "llm", 8.0)


# Guards against prompts that are all refused as too late: slow answers lowered the
# speed so far that no prompt was sent whose answer would have raised it.
def test_a_speed_without_recent_evidence_is_tried_at_idle_targets():
    load = Load()
    opened = load.record_start("t", 0, 2 * MIN_SAMPLE_TOKENS, 0.0)
    load.record_response(opened, "llm", 20.0)
    load.record_end(opened)
    assert not load.tries_speed("t", "llm", 0, 20.0 + SPEED_TTL_S)
    assert load.tries_speed("t", "llm", 0, 20.1 + SPEED_TTL_S)
    opened = load.record_start("t", 0, MIN_SAMPLE_TOKENS, 40.0)
    assert not load.tries_speed("t", "llm", 0, 40.0)
    load.record_response(opened, "llm", 40.1)
    load.record_end(opened)
    assert not load.tries_speed("t", "llm", 0, 41.0)


def test_targets_with_work_of_others_are_no_place_to_try_the_speed():
    load = Load()
    load.others = make_load({"t": {0: 50}})
    assert not load.tries_speed("t", "llm", 0, 99.0)
