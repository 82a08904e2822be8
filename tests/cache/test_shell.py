"""The entry's part against fake stores and targets, in virtual time."""

import random

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from tests.cache.builders import make_ids, make_place
from vanillabeam import wire
from vanillabeam.cache import BLOCK_TOKENS, Cache, CacheSettings, StoreAddress
from vanillabeam.cache.placement import preferred_stores
from vanillabeam.config import Config, Model
from vanillabeam.exceptions import TargetUnreachable
from vanillabeam.targetwire import BlockOrder

IDS = make_ids(4)
CONFIG = Config(1, models={"ledger": Model("ledger", "v1")})
STORES = [StoreAddress("s1", "s1:1", "s1:2"), StoreAddress("s2", "s2:1", "s2:2")]


class World:
    """Stores that hold some blocks and a target that moves them."""

    def __init__(self):
        self.held = {"s1:1": set(), "s2:1": set()}
        self.silent = set()
        self.orders = []
        self.seconds = 0.1
        self.finds = 0

    async def call(self, address, path, body):
        self.finds += 1
        if address in self.silent:
            await trio.sleep(3_600)
        blocks = wire.decode(dict, body).unwrap()["blocks"]
        lengths = [1_000 * (block in self.held[address]) for block in blocks]
        return Success(wire.encode({"lengths": lengths, "chance": 0.5}))

    async def call_target(self, address, path, body):
        order = wire.decode(BlockOrder, body).unwrap()
        self.orders.append((path, order))
        await trio.sleep(self.seconds)
        if address == "":
            return Failure(TargetUnreachable())
        if path.endswith("export"):
            self.held[order["store"].replace(":2", ":1")].update(order["blocks"])
        reply = {"transfer": order["transfer"], "status": "done"}
        size = 1_000 * len(order["blocks"])
        reply |= {"blocks": order["blocks"], "bytes": size, "seconds": self.seconds}
        return Success(wire.encode(reply))


def run(main, stores=STORES, **settings):
    async def setup():
        world = World()
        cache = Cache(
            "vm1",
            CacheSettings(**{"token_bytes": 1, "link_bytes_s": 1e6} | settings),
            world.call,
            world.call_target,
            random.Random(1),
        )
        async with trio.open_nursery() as nursery:
            await nursery.start(cache.run)
            cache.config_changed(CONFIG)
            cache.stores_changed(stores)
            await main(cache, world)
            nursery.cancel_scope.cancel()

    trio.run(setup, clock=trio.testing.MockClock(autojump_threshold=0))


def home():
    return preferred_stores(IDS[0], ["s1", "s2"])[0]


def test_what_was_exported_is_found_and_imported():
    async def main(cache, world):
        spot = make_place()
        found = await cache.find(IDS)
        assert found.blocks == 0
        assert await cache.prepare(spot, found) == 0
        assert cache.offer_exports(spot, found) == 2 * len(IDS)
        await trio.sleep(10)
        found = await cache.find(IDS)
        assert found.store in ("s1", "s2") and found.blocks == 4
        assert await cache.prepare(spot, found, cached_blocks=1) == 3 * BLOCK_TOKENS
        path, order = world.orders[-1]
        assert path == "/blocks/import" and order["blocks"] == list(IDS[1:])
        assert (order["boot_id"], order["version"], order["index"]) == ("b1", "v1", 7)
        assert cache.offer_exports(spot, found) == 0

    run(main)


def test_without_stores_nothing_is_kept():
    async def main(cache, world):
        found = await cache.find(IDS)
        assert await cache.prepare(make_place(), found) == 0
        assert cache.offer_exports(make_place(), found) == 0
        assert world.finds == 0 and world.orders == []

    run(main, stores=[])


def test_a_silent_store_costs_a_bounded_time_and_is_left_alone():
    async def main(cache, world):
        world.silent = {"s1:1"}
        world.held["s2:1"] = set(IDS)
        began_s = trio.current_time()
        assert (await cache.find(IDS)).store == "s2"
        assert trio.current_time() - began_s <= 0.25
        finds = world.finds
        await cache.find(IDS)
        assert world.finds == finds + 1

    run(main)


def test_a_lost_store_frees_whoever_waits_on_it():
    async def main(cache, world):
        world.held[f"{home()}:1"] = set(IDS)
        world.seconds = 50.0
        found = await cache.find(IDS)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(cache.prepare, make_place(), found)
            await trio.sleep(0.5)
            began_s = trio.current_time()
            cache.stores_changed([store for store in STORES if store.name != home()])
        assert trio.current_time() == began_s
        assert await cache.prepare(make_place(), found) == 0

    run(main)


def test_a_slow_link_is_given_up_and_then_avoided():
    async def main(cache, world):
        world.held[f"{home()}:1"] = set(IDS)
        world.seconds = 100.0
        found = await cache.find(IDS)
        began_s = trio.current_time()
        assert await cache.prepare(make_place(), found, prefill_tokens_s=40_000) == 0
        assert trio.current_time() - began_s < 5
        assert await cache.prepare(make_place(), found, prefill_tokens_s=4e6) == 0
        assert len(world.orders) == 1

    run(main)


def test_a_prepare_joins_its_prefetch_and_cancels_with_its_caller():
    async def main(cache, world):
        world.held[f"{home()}:1"] = set(IDS)
        world.seconds = 1.0
        found = await cache.find(IDS)
        with cache.prefetch(make_place(), found):
            await trio.sleep(0.9)
            began_s = trio.current_time()
            assert await cache.prepare(make_place(), found) == 4 * BLOCK_TOKENS
            assert trio.current_time() - began_s == pytest.approx(0.1)
        assert len(world.orders) == 1
        with trio.move_on_after(0.2):
            await cache.prepare(make_place(), found)
        assert cache.report().started == 0

    run(main)


def test_a_run_of_an_old_version_exports_nothing():
    async def main(cache, world):
        found = await cache.find(IDS)
        assert cache.offer_exports(make_place(version="v0"), found) == 0

    run(main)


def test_an_order_that_fails_counts_as_not_moved():
    async def main(cache, world):
        world.held[f"{home()}:1"] = set(IDS)
        found = await cache.find(IDS)
        assert await cache.prepare(make_place()._replace(address=""), found) == 0
        assert cache.report().failed == 1

    run(main)
