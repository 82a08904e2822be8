"""Stateful test of the store core against a model of its readers and bytes.

The model checks that bytes are never dropped while a reader or a disk write needs
them, that only sealed blocks are served, and that a workspace that leaves the
configuration keeps only blocks that are in use.
"""

import os

import pytest
from hypothesis import HealthCheck, Phase, settings, strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
    run_state_machine_as_test,
)

from tests.cache.builders import make_ids, make_workspace
from tests.store.builders import make_config, make_state, make_upload
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.store import core, state as store_state
from vanillabeam.store.records import (
    Deleted,
    DropDisk,
    DropMemory,
    FindRequested,
    Persist,
    Persisted,
    ReadAccepted,
    ReadBegun,
    ReadEnded,
    Sealed,
    StoresUpdated,
    Tick,
    WriteAborted,
    WriteAccepted,
    WriteEnded,
)
from vanillabeam.store.state import audit

WORKSPACES = [make_workspace(name) for name in ("depot", "kiosk", "studio")]
CHAINS = [
    make_ids(3, workspace, filler=f) for workspace in WORKSPACES for f in ("x", "y")
]
SETTINGS = settings(
    max_examples=60,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    database=None,
    suppress_health_check=list(HealthCheck),
)
FIRST_FAILURE = settings(SETTINGS, phases=[Phase.generate], report_multiple_bugs=False)
QUOTA = 700


class StoreMachine(RuleBasedStateMachine):
    def __init__(self):
        super().__init__()
        self.now_s = 0.0
        self.state = make_state(memory=500, disk=900, ttl_s=5_000.0)
        self.memory, self.disk, self.sealed = set(), set(), set()
        self.writes, self.reads, self.persists = {}, [], []
        self.feed(make_config(*WORKSPACES, quota=QUOTA))

    def feed(self, event):
        replies = []
        for effect in core.handle(event, self.state, self.now_s):
            replies.append(effect)
            key = tuple(effect[:2])
            if isinstance(effect, DropMemory):
                assert key not in [r[:2] for r in self.reads if r.in_memory]
                assert key not in self.persists
                self.memory.remove(key)
            elif isinstance(effect, DropDisk):
                assert key not in [r[:2] for r in self.reads]
                self.disk.remove(key)
            elif isinstance(effect, Persist):
                assert key in self.memory
                self.persists.append(key)
            elif isinstance(effect, Sealed):
                self.sealed.add(key)
            elif isinstance(effect, ReadAccepted):
                assert key in self.sealed
                assert key in (self.memory if effect.in_memory else self.disk)
                self.reads.append(effect)
        return replies

    @rule(
        chain=st.sampled_from(CHAINS),
        depth=st.integers(0, 2),
        length=st.integers(1, 400),
    )
    def begin_write(self, chain, depth, length):
        parent = chain[depth - 1] if depth else ""
        event = make_upload(chain[depth], length, parent)
        for effect in self.feed(event):
            if isinstance(effect, WriteAccepted):
                assert effect.block_id not in self.writes
                self.writes[effect.block_id] = (effect, event)
                (self.memory if effect.in_memory else self.disk).add(effect[:2])

    @precondition(lambda self: self.writes)
    @rule(data=st.data(), outcome=st.sampled_from(["whole"] * 4 + ["bad", "aborted"]))
    def end_write(self, data, outcome):
        block_id = data.draw(st.sampled_from(sorted(self.writes)))
        accepted, event = self.writes.pop(block_id)
        key = accepted[:2]
        if outcome == "aborted":
            self.feed(WriteAborted(*key))
            return
        length = event.length if outcome == "whole" else event.length + 1
        self.feed(WriteEnded(*key, length, event.checksum, event.parent))

    @precondition(lambda self: self.state.blocks)
    @rule(data=st.data())
    def begin_read(self, data):
        block_id = data.draw(st.sampled_from(sorted(self.state.blocks)))
        self.feed(ReadBegun(block_id))

    @rule(chain=st.sampled_from(CHAINS), depth=st.integers(0, 2))
    def begin_any_read(self, chain, depth):
        self.feed(ReadBegun(chain[depth]))

    @precondition(lambda self: self.reads)
    @rule(data=st.data())
    def end_read(self, data):
        read = self.reads.pop(data.draw(st.integers(0, len(self.reads) - 1)))
        self.feed(ReadEnded(*read[:2]))

    @precondition(lambda self: self.persists)
    @rule(kept=st.booleans())
    def end_persist(self, kept):
        key = self.persists.pop(0)
        if kept:
            self.disk.add(key)
        self.feed(Persisted(*key, kept))

    @precondition(lambda self: self.state.blocks)
    @rule(data=st.data())
    def delete(self, data):
        block_id = data.draw(st.sampled_from(sorted(self.state.blocks)))
        self.feed(Deleted(block_id))

    @rule(chain=st.sampled_from(CHAINS))
    def ask(self, chain):
        self.feed(FindRequested(chain))

    @rule(
        count=st.sampled_from([3, 3, 3, 2, 0]), quota=st.sampled_from([QUOTA, 300, 0])
    )
    def change_config(self, count, quota):
        self.feed(make_config(*WORKSPACES[:count], quota=quota))
        used = self.state.used
        in_use = {r.block_id for r in self.reads} | set(self.writes)
        in_use |= {block_id for block_id, _ in self.persists}
        for workspace in set(used) - set(self.state.quotas):
            assert any(block_id.startswith(workspace) for block_id in in_use)

    @rule(seconds=st.floats(1.0, 4_000.0))
    def wait(self, seconds):
        self.now_s += seconds
        self.feed(Tick())

    @rule(names=st.sampled_from([("a",), ("a", "b")]))
    def change_stores(self, names):
        self.feed(StoresUpdated("a", names))

    @invariant()
    def sums_hold(self):
        audit(self.state)
        assert len(self.memory) >= len(self.state.memory)


def run_machine(machine=StoreMachine, config=SETTINGS):
    run_state_machine_as_test(machine, settings=config)


def test_block_lifecycle_keeps_its_invariants():
    run_machine()


@pytest.mark.soak
def test_block_lifecycle_keeps_its_invariants_long():
    runs = int(os.environ.get("SOAK_RUNS", "50"))
    config = settings(SETTINGS, derandomize=False, max_examples=runs * 20)
    run_machine(config=config)


def test_detects_a_block_freed_while_it_has_readers(monkeypatch):
    def retire_at_once(state, block):
        block.holds = 0
        return store_state.retire(state, block)

    monkeypatch.setattr(core, "retire", retire_at_once)
    with pytest.raises((AssertionError, InvariantBroken)):
        run_machine(config=FIRST_FAILURE)


def test_detects_a_block_served_before_it_is_sealed(monkeypatch):
    @core.handle.register
    def _(event: core.WriteBegun, state, now_s):
        effects = original(event, state, now_s)
        for effect in effects:
            if isinstance(effect, WriteAccepted):
                state.blocks[effect.block_id] = state.writing[effect.block_id]
        return effects

    original = BEGIN_WRITE
    try:
        with pytest.raises((AssertionError, InvariantBroken)):
            run_machine(config=FIRST_FAILURE)
    finally:
        core.handle.register(core.WriteBegun, original)


BEGIN_WRITE = core.handle.dispatch(core.WriteBegun)


def test_detects_a_violated_quota(monkeypatch):
    monkeypatch.setattr(core, "evict_for_quota", lambda *args: True)
    with pytest.raises((AssertionError, InvariantBroken)):
        run_machine(config=FIRST_FAILURE)
