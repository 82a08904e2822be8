"""The modelled engine: steps, pieces, memory, cached parts and fetches."""

import pytest

from bench.batch_model import Clock, Engine, EngineShape, Part, Run, StoreLink

SHAPE = EngineShape(
    slots=4,
    kv_tokens=20_000,
    step_s=0.01,
    run_step_s=0.0,
    read_tokens_s=10_000.0,
    piece_tokens=1_000,
)


class World:
    def __init__(self):
        self.clock = Clock()
        self.saved = []
        self.engine = Engine("t", "a", SHAPE, self.clock, self.saved.extend)
        self.firsts, self.ends = {}, {}

    def ask(self, name, shared=(), own=1_000, output=5, rank=0, stores=None):
        run = Run(
            rank,
            shared,
            own,
            output,
            stores or (None,) * len(shared),
            lambda at_s: self.firsts.update({name: at_s}),
            lambda: self.ends.update({name: self.clock.now_s}),
        )
        self.engine.take(run)


def test_a_prompt_is_read_in_pieces_and_its_answer_made_step_by_step():
    world = World()
    world.ask("one", own=2_500, output=5)
    world.clock.run(10.0)
    assert world.firsts["one"] == pytest.approx(0.25 + 3 * 0.01)
    assert world.ends["one"] == pytest.approx(0.28 + 4 * 0.01)
    assert world.engine.read == 2_500


def test_reading_one_prompt_holds_up_the_answer_of_another():
    world = World()
    world.ask("answer", own=100, output=3)
    world.clock.run(0.021)
    world.ask("prompt", own=2_000)
    world.clock.run(10.0)
    assert world.ends["answer"] > 0.1


def test_a_part_that_is_cached_is_not_read_again():
    world = World()
    shared = (Part("p", 1_000),)
    for name in ("one", "two"):
        world.ask(name, shared)
        world.clock.run(world.clock.now_s + 5.0)
    assert world.engine.read == 3_000
    assert [part.part_id for part in world.engine.read_shared] == ["p"]
    world.engine.empty()
    world.ask("three", shared)
    world.clock.run(30.0)
    assert world.engine.read == 5_000


def test_what_does_not_fit_waits_and_the_most_urgent_goes_first():
    world = World()
    world.ask("large", own=19_000)
    world.clock.run(0.01)
    world.ask("late", own=2_000, rank=2)
    world.ask("urgent", own=2_000, rank=0)
    world.clock.run(30.0)
    assert world.ends["large"] < world.firsts["urgent"]
    assert world.firsts["urgent"] <= world.firsts["late"]


def test_a_kept_part_is_fetched_over_the_stores_link_one_after_another():
    world = World()
    store = StoreLink("s", "b", token_s=0.0001)
    for name in ("one", "two"):
        world.ask(name, (Part(name, 1_000),), own=100, stores=(store,))
    world.clock.run(30.0)
    assert world.engine.read == 200
    assert world.firsts["one"] == pytest.approx(0.2 + 0.02)
    assert world.firsts["two"] == pytest.approx(0.4 + 0.02, abs=0.05)


def test_a_part_behind_one_that_is_read_is_not_fetched():
    world = World()
    store = StoreLink("s", "a", token_s=0.0001)
    world.ask("one", (Part("p", 1_000), Part("q", 500)), stores=(None, store))
    world.clock.run(30.0)
    assert world.engine.read == 2_500
