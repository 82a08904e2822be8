"""Randomized tests of the transfers core against its invariants."""

import os
import random

import pytest

from tests.cache.builders import make_ids, make_import, make_offer
from vanillabeam.cache import transfers
from vanillabeam.cache.link import Link
from vanillabeam.cache.transferrecords import (
    CancelTransfer,
    ImportAbandoned,
    ImportAnswer,
    StartTransfer,
    StoreLost,
    TargetChanged,
    Tick,
    TransferEnded,
    TransferKind,
)
from vanillabeam.cache.transfers import Transfers, handle
from vanillabeam.exceptions import InvariantBroken

CHAINS = [make_ids(5, filler=letter) for letter in "abc"]
LIMIT_BYTES_S = 10_000
SIZE = 3_000


class RandomWalk:
    """Applies random events to the transfers core and checks its invariants.

    :ivar granted: time and bytes of each started transfer.
    """

    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = Transfers(LIMIT_BYTES_S)
        self.now_s = 0.0
        self.open_imports, self.started = set(), {}
        self.boot = 1
        self.granted = []

    def run(self, steps):
        actions = [
            self.request_import,
            self.request_import,
            self.offer_export,
            self.end_transfer,
            self.end_transfer,
            self.tick,
        ]
        actions += [self.abandon_import, self.change_boot, self.lose_store]
        weights = [8, 8, 6, 10, 10, 10, 4, 1, 1]
        for step in range(steps):
            self.now_s += self.rng.expovariate(10.0)
            self.rng.choices(actions, weights)[0](step)
            self.check_invariants()
        return self

    def apply(self, event):
        for effect in handle(event, self.state, self.now_s):
            if isinstance(effect, StartTransfer):
                assert effect.transfer_id not in self.started
                assert effect.target_ref.boot_id == f"b{self.boot}"
                self.started[effect.transfer_id] = effect
                size = SIZE * len(effect.blocks)
                self.granted.append((self.now_s, size))
            elif isinstance(effect, CancelTransfer):
                del self.started[effect.transfer_id]
            elif isinstance(effect, ImportAnswer):
                self.open_imports.remove(effect.import_id)

    def chain(self):
        chain = self.rng.choice(CHAINS)
        begin = self.rng.randrange(4)
        return chain[begin : begin + self.rng.randint(1, 3)]

    def request_import(self, step):
        kind = self.rng.choice([TransferKind.IMPORT, TransferKind.PREFETCH])
        self.open_imports.add(step)
        boot = f"b{self.boot}"
        self.apply(make_import(step, self.chain(), SIZE, kind, boot_id=boot))

    def offer_export(self, step):
        value = self.rng.random()
        self.apply(make_offer(self.chain(), SIZE, value, boot_id=f"b{self.boot}"))

    def end_transfer(self, step):
        if not self.started:
            return
        start = self.started.pop(self.rng.choice(sorted(self.started)))
        moved = start.blocks[: self.rng.randint(0, len(start.blocks))]
        size = SIZE * len(start.blocks)
        seconds = size / LIMIT_BYTES_S
        self.apply(TransferEnded(start.transfer_id, moved, size, seconds))

    def abandon_import(self, step):
        if self.open_imports:
            import_id = self.rng.choice(sorted(self.open_imports))
            self.open_imports.remove(import_id)
            self.apply(ImportAbandoned(import_id))

    def change_boot(self, step):
        self.boot += 1
        self.apply(TargetChanged("engine-1", f"b{self.boot}", {"ledger": "v1"}))

    def lose_store(self, step):
        self.apply(StoreLost("s1"))
        assert not self.started
        self.granted.clear()

    def tick(self, step):
        self.apply(Tick())

    def check_invariants(self):
        assert set(self.state.imports) == self.open_imports
        assert set(self.state.started) == set(self.started)
        assert len(self.started) <= transfers.MAX_STARTED_PER_TARGET
        for transfer in self.state.all():
            assert transfer.kind is TransferKind.EXPORT or transfer.import_ids
        total = 0
        for at_s, size in reversed(self.granted):
            total += size
            window_s = self.now_s - at_s
            assert total <= LIMIT_BYTES_S * (1.0 + window_s) + 1.0


def test_random_transfers_keep_the_invariants():
    for seed in range(20):
        walk = RandomWalk(seed).run(400)
        assert walk.state.last_id > 50


@pytest.mark.soak
def test_long_random_transfers_keep_the_invariants():
    first = int(os.environ.get("SOAK_SEED", "1"))
    for seed in range(first, first + int(os.environ.get("SOAK_RUNS", "50"))):
        RandomWalk(seed).run(5_000)


def find_failing_seed():
    for seed in range(20):
        try:
            RandomWalk(seed).run(400)
        except (AssertionError, InvariantBroken, KeyError):
            return seed
    return None


def test_a_bucket_that_is_never_emptied_is_detected(monkeypatch):
    monkeypatch.setattr(Link, "take", lambda self, size, reserve, now_s: True)
    assert find_failing_seed() == 0


def test_old_imports_left_queued_after_a_new_boot_are_detected(monkeypatch):
    drop = transfers._drop

    def drop_only_started(state, transfer):
        return drop(state, transfer) if transfer.started_s is not None else []

    monkeypatch.setattr(transfers, "_drop", drop_only_started)
    assert find_failing_seed() == 0
