"""Tests of the entry VM's cache with fake stores and targets, in virtual time."""

import random

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from tests.cache.builders import make_ids, make_target_ref
from vanillabeam import wire
from vanillabeam.cache import BLOCK_TOKENS, Cache, CacheSettings, StoreAddress
from vanillabeam.config import Config, Model
from vanillabeam.exceptions import TargetUnreachable
from vanillabeam.store.placement import preferred_stores
from vanillabeam.targetwire import BlockOrder

IDS = make_ids(4)
CONFIG = Config(1, models={"ledger": Model("ledger", "v1")})
STORES = [StoreAddress("s1", "s1:1", "s1:2"), StoreAddress("s2", "s2:1", "s2:2")]


class Harness:
    """Fake stores that hold some blocks and a fake target that moves them."""

    def __init__(self):
        self.held = {"s1:1": set(), "s2:1": set()}
        self.silent = set()
        self.orders = []
        self.transfer_s = 0.1
        self.find_calls = 0

    async def call(self, address, path, body):
        self.find_calls += 1
        if address in self.silent:
            await trio.sleep(3_600)
        blocks = wire.decode(dict, body).unwrap()["blocks"]
        lengths = [1_000 * (block in self.held[address]) for block in blocks]
        return Success(wire.encode({"lengths": lengths, "chance": 0.5}))

    async def call_target(self, address, path, body):
        order = wire.decode(BlockOrder, body).unwrap()
        self.orders.append((path, order))
        await trio.sleep(self.transfer_s)
        if address == "":
            return Failure(TargetUnreachable())
        if path.endswith("export"):
            self.held[order["store"].replace(":2", ":1")].update(order["blocks"])
        reply = {"transfer": order["transfer"], "status": "done"}
        size = 1_000 * len(order["blocks"])
        reply |= {"blocks": order["blocks"], "bytes": size, "seconds": self.transfer_s}
        return Success(wire.encode(reply))


def run(main, stores=STORES, **settings):
    async def setup():
        harness = Harness()
        cache = Cache(
            "vm1",
            CacheSettings(**{"token_bytes": 1, "link_bytes_s": 1e6} | settings),
            harness.call,
            harness.call_target,
            random.Random(1),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(cache.run)
            cache.config_changed(CONFIG)
            cache.stores_changed(stores)
            await main(cache, harness)
            nursery.cancel_scope.cancel()

    trio.run(setup, clock=trio.testing.MockClock(autojump_threshold=0))


def preferred_store():
    return preferred_stores(IDS[0], ["s1", "s2"])[0]


def test_exported_blocks_are_looked_up_and_imported():
    async def main(cache, harness):
        target_ref = make_target_ref()
        lookup = await cache.find(IDS)
        assert lookup.blocks == 0
        assert await cache.prepare(target_ref, lookup) == 0
        assert cache.offer_exports(target_ref, lookup) == 2 * len(IDS)
        await trio.sleep(10)
        lookup = await cache.find(IDS)
        assert lookup.store in ("s1", "s2") and lookup.blocks == 4
        assert (
            await cache.prepare(target_ref, lookup, cached_blocks=1) == 3 * BLOCK_TOKENS
        )
        path, order = harness.orders[-1]
        assert path == "/blocks/import" and order["blocks"] == list(IDS[1:])
        assert (order["boot_id"], order["version"], order["index"]) == ("b1", "v1", 7)
        assert cache.offer_exports(target_ref, lookup) == 0

    run(main)


def test_nothing_is_exported_without_stores():
    async def main(cache, harness):
        lookup = await cache.find(IDS)
        assert await cache.prepare(make_target_ref(), lookup) == 0
        assert cache.offer_exports(make_target_ref(), lookup) == 0
        assert harness.find_calls == 0 and harness.orders == []

    run(main, stores=[])


def test_a_store_that_does_not_answer_delays_one_lookup_and_is_then_skipped():
    async def main(cache, harness):
        harness.silent = {"s1:1"}
        harness.held["s2:1"] = set(IDS)
        began_s = trio.current_time()
        assert (await cache.find(IDS)).store == "s2"
        assert trio.current_time() - began_s <= 0.25
        find_calls = harness.find_calls
        await cache.find(IDS)
        assert harness.find_calls == find_calls + 1

    run(main)


def test_a_lost_store_ends_the_imports_that_wait_for_it():
    async def main(cache, harness):
        harness.held[f"{preferred_store()}:1"] = set(IDS)
        harness.transfer_s = 50.0
        lookup = await cache.find(IDS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cache.prepare, make_target_ref(), lookup)
            await trio.sleep(0.5)
            began_s = trio.current_time()
            cache.stores_changed(
                [store for store in STORES if store.name != preferred_store()]
            )
        assert trio.current_time() == began_s
        assert await cache.prepare(make_target_ref(), lookup) == 0

    run(main)


def test_an_import_over_a_slow_link_is_abandoned_and_not_tried_again():
    async def main(cache, harness):
        harness.held[f"{preferred_store()}:1"] = set(IDS)
        harness.transfer_s = 100.0
        lookup = await cache.find(IDS)
        began_s = trio.current_time()
        assert (
            await cache.prepare(make_target_ref(), lookup, prefill_tokens_s=40_000) == 0
        )
        assert trio.current_time() - began_s < 5
        assert await cache.prepare(make_target_ref(), lookup, prefill_tokens_s=4e6) == 0
        assert len(harness.orders) == 1

    run(main)


def test_prepare_shares_the_prefetch_and_is_cancelled_with_its_caller():
    async def main(cache, harness):
        harness.held[f"{preferred_store()}:1"] = set(IDS)
        harness.transfer_s = 1.0
        lookup = await cache.find(IDS)
        with cache.prefetch(make_target_ref(), lookup):
            await trio.sleep(0.9)
            began_s = trio.current_time()
            assert await cache.prepare(make_target_ref(), lookup) == 4 * BLOCK_TOKENS
            assert trio.current_time() - began_s == pytest.approx(0.1)
        assert len(harness.orders) == 1
        with trio.move_on_after(0.2):
            await cache.prepare(make_target_ref(), lookup)
        assert cache.report().started == 0

    run(main)


def test_a_run_of_an_old_version_exports_nothing():
    async def main(cache, harness):
        lookup = await cache.find(IDS)
        assert cache.offer_exports(make_target_ref(version="v0"), lookup) == 0

    run(main)


def test_a_failed_order_counts_as_no_blocks_moved():
    async def main(cache, harness):
        harness.held[f"{preferred_store()}:1"] = set(IDS)
        lookup = await cache.find(IDS)
        assert await cache.prepare(make_target_ref()._replace(address=""), lookup) == 0
        assert cache.report().failed == 1

    run(main)
