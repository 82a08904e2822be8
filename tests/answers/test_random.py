"""Random walks of prompts and calls.

Some tests break a rule on purpose and check that the walks find it.
"""

import os
import random

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)

from tests.answers.simulations import CallSimulation, PromptSimulation
from vanillabeam.answers import promptrun, requestrun
from vanillabeam.answers.attempts import AttemptHistory
from vanillabeam.answers.reorder import ReorderBuffer
from vanillabeam.exceptions import InvariantBroken, Run

SEEDS = 2000
BROKEN_SEEDS = 20_000


class PromptMachine(RuleBasedStateMachine):
    """The steps of a prompt simulation, chosen by hypothesis."""

    @initialize(data=st.data())
    def start(self, data):
        self.sim = PromptSimulation(self.choose(data))

    def choose(self, data):
        return lambda options: data.draw(st.sampled_from(list(options)))

    @rule(data=st.data())
    def deliver(self, data):
        self.sim.choose = self.choose(data)
        self.sim.deliver()

    @rule(data=st.data())
    def deliver_old(self, data):
        self.sim.choose = self.choose(data)
        self.sim.deliver_old()

    @rule(data=st.data())
    def break_link(self, data):
        self.sim.choose = self.choose(data)
        self.sim.break_link()

    @rule()
    def pass_time(self):
        self.sim.pass_time()

    def teardown(self):
        if hasattr(self, "sim"):
            self.sim.stop()


def prompt_walk(seed):
    PromptSimulation(random.Random(seed).choice).walk()


def call_walk(seed):
    CallSimulation(random.Random(seed).choice, repeatable=seed % 2 == 0).walk()


def find_seed(walk, seeds):
    """Return the first seed that breaks an assertion or an invariant."""
    for seed in range(seeds):
        try:
            walk(seed)
        except (AssertionError, InvariantBroken):
            return seed
    return None


class KeepsDuplicates(ReorderBuffer):
    def add(self, pieces, now_s):
        ready = super().add(pieces, now_s)
        return ready + [p for p in pieces if p.number <= self.count and p not in ready]


class AcceptsAnyOrder(ReorderBuffer):
    def add(self, pieces, now_s):
        self.count += len(pieces)
        return pieces


class ReportsNotRun(AttemptHistory):
    @property
    def run(self):
        run = super().run
        return Run.NOT_RUN if run is Run.UNKNOWN else run


class AllowsSecondAttempt(AttemptHistory):
    def begin_attempt(self):
        self.repeatable = True
        super().begin_attempt()


def test_hypothesis_finds_no_wrong_answer():
    machine_settings = settings(
        derandomize=True,
        max_examples=40,
        stateful_step_count=30,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(PromptMachine, settings=machine_settings)


@pytest.mark.parametrize("walk", [prompt_walk, call_walk])
def test_random_walks_find_no_wrong_answer(walk):
    assert find_seed(walk, SEEDS) is None


@pytest.mark.parametrize("reorder_buffer", [KeepsDuplicates, AcceptsAnyOrder])
def test_random_walks_find_a_broken_reorder_buffer(reorder_buffer, monkeypatch):
    monkeypatch.setattr(promptrun, "ReorderBuffer", reorder_buffer)
    assert find_seed(prompt_walk, BROKEN_SEEDS) is not None


def test_random_walks_find_events_of_old_connections(monkeypatch):
    def accept_any(connection_id, state):
        return not state.ended and state.permit is not None

    monkeypatch.setattr(promptrun, "_is_current", accept_any)
    assert find_seed(prompt_walk, BROKEN_SEEDS) is not None


def test_random_walks_find_an_unchecked_end_mark(monkeypatch):
    monkeypatch.setattr(promptrun, "_end", lambda state, end: promptrun._finish(state))
    assert find_seed(prompt_walk, BROKEN_SEEDS) is not None


@pytest.mark.parametrize("walk", [prompt_walk, call_walk])
def test_random_walks_find_a_false_not_run(walk, monkeypatch):
    monkeypatch.setattr(requestrun, "AttemptHistory", ReportsNotRun)
    assert find_seed(walk, BROKEN_SEEDS) is not None


def test_random_walks_find_a_call_sent_twice(monkeypatch):
    monkeypatch.setattr(requestrun, "AttemptHistory", AllowsSecondAttempt)
    assert find_seed(call_walk, BROKEN_SEEDS) is not None


@pytest.mark.soak
@pytest.mark.parametrize("walk", [prompt_walk, call_walk])
def test_soak_random_walks(walk):
    first = int(os.environ.get("SOAK_SEED", "1")) * 1_000_000
    for seed in range(first, first + 200 * int(os.environ.get("SOAK_RUNS", "50"))):
        walk(seed)
