"""Random asks, ends, swaps and losses against what must always hold."""

import os
import random

import pytest

from tests.cache.builders import make_ask, make_ids, make_offer
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


class Walk:
    def __init__(self, seed):
        self.rng = random.Random(seed)
        self.state = Transfers(LIMIT_BYTES_S)
        self.now_s = 0.0
        self.open_asks, self.started = set(), {}
        self.boot = 1
        self.granted = []

    def run(self, steps):
        actions = [self.ask, self.ask, self.offer, self.end, self.end, self.tick]
        actions += [self.leave, self.swap, self.lose]
        weights = [8, 8, 6, 10, 10, 10, 4, 1, 1]
        for step in range(steps):
            self.now_s += self.rng.expovariate(10.0)
            self.rng.choices(actions, weights)[0](step)
            self.check()
        return self

    def feed(self, event):
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
                self.open_asks.remove(effect.import_id)

    def chain(self):
        chain = self.rng.choice(CHAINS)
        begin = self.rng.randrange(4)
        return chain[begin : begin + self.rng.randint(1, 3)]

    def ask(self, step):
        kind = self.rng.choice([TransferKind.IMPORT, TransferKind.PREFETCH])
        self.open_asks.add(step)
        boot = f"b{self.boot}"
        self.feed(make_ask(step, self.chain(), SIZE, kind, boot_id=boot))

    def offer(self, step):
        value = self.rng.random()
        self.feed(make_offer(self.chain(), SIZE, value, boot_id=f"b{self.boot}"))

    def end(self, step):
        if not self.started:
            return
        start = self.started.pop(self.rng.choice(sorted(self.started)))
        moved = start.blocks[: self.rng.randint(0, len(start.blocks))]
        size = SIZE * len(start.blocks)
        seconds = size / LIMIT_BYTES_S
        self.feed(TransferEnded(start.transfer_id, moved, size, seconds))

    def leave(self, step):
        if self.open_asks:
            ask = self.rng.choice(sorted(self.open_asks))
            self.open_asks.remove(ask)
            self.feed(ImportAbandoned(ask))

    def swap(self, step):
        self.boot += 1
        self.feed(TargetChanged("engine-1", f"b{self.boot}", {"ledger": "v1"}))

    def lose(self, step):
        self.feed(StoreLost("s1"))
        assert not self.started
        self.granted.clear()

    def tick(self, step):
        self.feed(Tick())

    def check(self):
        assert set(self.state.imports) == self.open_asks
        assert set(self.state.started) == set(self.started)
        assert len(self.started) <= transfers.MAX_STARTED_PER_TARGET
        for transfer in self.state.all():
            assert transfer.kind is TransferKind.EXPORT or transfer.import_ids
        total = 0
        for at_s, size in reversed(self.granted):
            total += size
            window_s = self.now_s - at_s
            assert total <= LIMIT_BYTES_S * (1.0 + window_s) + 1.0


def test_random_transfers_hold():
    for seed in range(20):
        walk = Walk(seed).run(400)
        assert walk.state.last_id > 50


@pytest.mark.soak
def test_random_transfers_hold_long():
    first = int(os.environ.get("SOAK_SEED", "1"))
    for seed in range(first, first + int(os.environ.get("SOAK_RUNS", "50"))):
        Walk(seed).run(5_000)


def find_broken():
    for seed in range(20):
        try:
            Walk(seed).run(400)
        except (AssertionError, InvariantBroken, KeyError):
            return seed
    return None


def test_a_bucket_that_is_not_emptied_is_found(monkeypatch):
    monkeypatch.setattr(Link, "take", lambda self, size, reserve, now_s: True)
    assert find_broken() == 0


def test_a_swap_that_leaves_old_imports_queued_is_found(monkeypatch):
    drop = transfers._drop

    def only_started(state, transfer):
        return drop(state, transfer) if transfer.started_s is not None else []

    monkeypatch.setattr(transfers, "_drop", only_started)
    assert find_broken() == 0
