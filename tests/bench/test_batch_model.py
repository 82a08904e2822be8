"""Modelled engine: steps, chunked prefill, memory, cached parts and fetches."""

import pytest

from bench.batch_model import Clock, Engine, EngineShape, Part, Run, StoreLink

SHAPE = EngineShape(
    slots=4,
    kv_tokens=20_000,
    step_s=0.01,
    step_s_per_run=0.0,
    prefill_tokens_s=10_000.0,
    prefill_chunk_tokens=1_000,
)


class Harness:
    def __init__(self):
        self.clock = Clock()
        self.cached_parts = []
        self.engine = Engine("t", "a", SHAPE, self.clock, self.cached_parts.extend)
        self.first_token_times, self.end_times = {}, {}

    def submit(
        self, name, shared=(), own_tokens=1_000, output_tokens=5, rank=0, stores=None
    ):
        run = Run(
            rank,
            shared,
            own_tokens,
            output_tokens,
            stores or (None,) * len(shared),
            lambda at_s: self.first_token_times.update({name: at_s}),
            lambda: self.end_times.update({name: self.clock.now_s}),
        )
        self.engine.submit(run)


def test_a_prompt_is_prefilled_in_chunks_and_its_answer_generated_in_steps():
    harness = Harness()
    harness.submit("one", own_tokens=2_500, output_tokens=5)
    harness.clock.run(10.0)
    assert harness.first_token_times["one"] == pytest.approx(0.25 + 3 * 0.01)
    assert harness.end_times["one"] == pytest.approx(0.28 + 4 * 0.01)
    assert harness.engine.prefilled_tokens == 2_500


def test_prefill_of_one_prompt_delays_the_answer_of_another():
    harness = Harness()
    harness.submit("answer", own_tokens=100, output_tokens=3)
    harness.clock.run(0.021)
    harness.submit("prompt", own_tokens=2_000)
    harness.clock.run(10.0)
    assert harness.end_times["answer"] > 0.1


def test_a_cached_part_is_not_prefilled_again():
    harness = Harness()
    shared = (Part("p", 1_000),)
    for name in ("one", "two"):
        harness.submit(name, shared)
        harness.clock.run(harness.clock.now_s + 5.0)
    assert harness.engine.prefilled_tokens == 3_000
    assert [part.part_id for part in harness.engine.prefilled_parts] == ["p"]
    harness.engine.clear_cache()
    harness.submit("three", shared)
    harness.clock.run(30.0)
    assert harness.engine.prefilled_tokens == 5_000


def test_prompts_that_do_not_fit_in_memory_wait_and_the_most_urgent_starts_first():
    harness = Harness()
    harness.submit("large", own_tokens=19_000)
    harness.clock.run(0.01)
    harness.submit("late", own_tokens=2_000, rank=2)
    harness.submit("urgent", own_tokens=2_000, rank=0)
    harness.clock.run(30.0)
    assert harness.end_times["large"] < harness.first_token_times["urgent"]
    assert harness.first_token_times["urgent"] <= harness.first_token_times["late"]


def test_stored_parts_are_fetched_over_the_stores_link_one_after_another():
    harness = Harness()
    store = StoreLink("s", "b", token_s=0.0001)
    for name in ("one", "two"):
        harness.submit(name, (Part(name, 1_000),), own_tokens=100, stores=(store,))
    harness.clock.run(30.0)
    assert harness.engine.prefilled_tokens == 200
    assert harness.first_token_times["one"] == pytest.approx(0.2 + 0.02)
    assert harness.first_token_times["two"] == pytest.approx(0.4 + 0.02, abs=0.05)


def test_a_part_after_one_that_is_prefilled_is_not_fetched():
    harness = Harness()
    store = StoreLink("s", "a", token_s=0.0001)
    harness.submit("one", (Part("p", 1_000), Part("q", 500)), stores=(None, store))
    harness.clock.run(30.0)
    assert harness.engine.prefilled_tokens == 2_500
