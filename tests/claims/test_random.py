"""Random calls with keys: entries crash, replies are repeated, clocks jump."""

import os
import random

import pytest
from hypothesis import HealthCheck, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.claims.builders import LEASE_MS
from tests.claims.simulation import KEYS, MARGIN_MS, World, run_random_walk
from vanillabeam.claims import ClaimMachine

SEEDS = 300
BROKEN_SEEDS = 20_000


class Calls(RuleBasedStateMachine):
    """The world's steps, in the order that hypothesis likes least."""

    def __init__(self):
        super().__init__()
        self.world = World()

    @rule(number=st.integers(0, KEYS - 1), twice=st.booleans())
    def claim(self, number, twice):
        self.world.claim(number, twice)

    @precondition(lambda self: self.world.granted)
    @rule(data=st.data(), send=st.booleans())
    def send_or_withdraw(self, data, send):
        i = data.draw(st.integers(0, len(self.world.granted) - 1))
        self.world.send(i) if send else self.world.withdraw(i)

    @precondition(lambda self: self.world.sent)
    @rule(data=st.data(), lost=st.booleans())
    def answer(self, data, lost):
        i = data.draw(st.integers(0, len(self.world.sent) - 1))
        self.world.answer(i, lost)

    @precondition(lambda self: self.world.granted + self.world.sent)
    @rule(data=st.data())
    def entry_dies(self, data):
        calls = self.world.granted + self.world.sent
        self.world.die(data.draw(st.integers(0, len(calls) - 1)))

    @rule(ms=st.sampled_from([1000, LEASE_MS - MARGIN_MS, LEASE_MS]))
    def time_passes(self, ms):
        self.world.pass_time(ms)

    @rule()
    def people_settle(self):
        self.world.settle()

    @rule()
    def replica_restarts(self):
        self.world.restart()

    @rule()
    def retention_passes(self):
        self.world.pass_retention()


class GrantsUnknownAgain(ClaimMachine):
    def _claim_unresolved(self, command, record_id, record):
        return (
            super()
            ._claim_unresolved(
                command, record_id, record._replace(settled=not command.settled)
            )
            .replace("unknown", "granted")
        )


class TakesOldKeys(ClaimMachine):
    def _refuse_key(self, key):
        return None


class UsesSettlementsAgain(ClaimMachine):
    def _claim_unresolved(self, command, record_id, record):
        return super()._claim_unresolved(
            command, record_id, record._replace(settled=None)
        )


class FreesAbandonedKeys(ClaimMachine):
    def _put(self, record_id, record):
        super()._put(record_id, record)
        if record.is_unresolved and not record.token:
            del self.records[record_id]


def find_seed(world_class, seeds):
    """Return the first seed whose random walk fails an assertion."""
    for seed in range(seeds):
        try:
            run_random_walk(world_class(), random.Random(seed))
        except AssertionError:
            return seed
    return None


def test_hypothesis_finds_no_call_that_runs_twice():
    cfg = settings(
        derandomize=True,
        max_examples=60,
        stateful_step_count=40,
        deadline=None,
        database=None,
        suppress_health_check=list(HealthCheck),
    )
    run_state_machine_as_test(Calls, settings=cfg)


def test_random_walks_find_no_call_that_runs_twice():
    assert find_seed(World, SEEDS) is None


@pytest.mark.parametrize(
    "broken",
    [GrantsUnknownAgain, TakesOldKeys, UsesSettlementsAgain, FreesAbandonedKeys],
)
def test_random_walks_expose_a_broken_rule(broken):
    class Broken(World):
        machine_class = broken

    assert find_seed(Broken, BROKEN_SEEDS) is not None


def test_random_walks_expose_a_late_sender():
    class Late(World):
        respects_send_by = False

    assert find_seed(Late, BROKEN_SEEDS) is not None


@pytest.mark.soak
def test_soak_random_walks():
    first = int(os.environ.get("SOAK_SEED", "1")) * 1_000_000
    runs = int(os.environ.get("SOAK_RUNS", "50"))
    for seed in range(first, first + 100 * runs):
        run_random_walk(World(), random.Random(seed))
