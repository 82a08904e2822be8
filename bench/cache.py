"""Cache: policies on a link and two stores, and what a store costs."""

import gc
import random
import tempfile
import time
import tracemalloc
from pathlib import Path
from typing import Any

import httpcore
import trio
from hypercorn.config import Config as ServerConfig
from hypercorn.trio import serve

from bench.cache_model import Policy, Site, make_turns, simulate
from vanillabeam.cache.costs import Prices
from vanillabeam.store import DiskFiles, Store, StoreSettings, make_app
from vanillabeam.store.core import handle
from vanillabeam.store.disk import BlockWriter, Checksum
from vanillabeam.store.records import BlockFound
from vanillabeam.store.state import StoreLimits, StoreState
from vanillabeam.store.valuation import BlockValuation

__all__ = ["run"]

ICUPA = Site("icupa", 4e9, 100_000, 16_000.0, 600, 3_000, 900, 5, Prices(1e-5, 0.0))
PAMPLEMOUSSES = Site(
    "pamplemousses", 1.25e8, 20_000, 12_000.0, 400, 3_000, 900, 5, Prices(3e-4, 1e-9)
)
SIZES = (10_000, 100_000, 1_000_000)
TRANSFER_BYTES = 2**26
TRANSFERS = 4
SCANNED_FILES = 10_000


class _Recent(BlockValuation):
    """The last one used is worth most: least recently used leaves first."""

    def value(self, block, now_s):
        return block.used_s


class _Equal(BlockValuation):
    """All are worth the same: what is in stays in."""

    def value(self, block, now_s):
        return 1.0


POLICIES = (
    Policy("nothing", None, False),
    Policy("lru", _Recent, False),
    Policy("everything", _Equal, False),
    Policy("product", BlockValuation, True),
)


def run(seed: int) -> dict[str, Any]:
    """Measure policies in one run of each site, then one store."""
    results: dict[str, Any] = {}
    for site in (ICUPA, PAMPLEMOUSSES):
        turns = make_turns(site, seed)
        results[site.name] = {
            policy.name: simulate(site, policy, turns, seed)._asdict()
            for policy in POLICIES
        }
    results["store"] = trio.run(_throughput)
    results["block_bytes"] = {str(count): _block_bytes(count) for count in SIZES}
    results["scan_s_10000_files"] = trio.run(_scan_s)
    return results


async def _throughput() -> dict[str, float]:
    data = random.Random(1).randbytes(TRANSFER_BYTES)
    with tempfile.TemporaryDirectory() as folder:
        room = 2 * TRANSFERS * TRANSFER_BYTES
        memory = StoreSettings(memory_bytes=room)
        disk = StoreSettings(memory_bytes=0, disk_bytes=room)
        figures = await _transfer("memory", data, memory, None)
        files = DiskFiles(Path(folder))
        return figures | await _transfer("disk", data, disk, files)


async def _transfer(tier, data, settings, files) -> dict[str, float]:
    checksum = Checksum()
    checksum.update(data)
    headers = {
        "Vanillabeam-Checksum": checksum.hex(),
        "Vanillabeam-Tokens": "4000",
        "Content-Length": str(len(data)),
    }
    store = Store("s1", settings, random.Random(1), files)
    server = ServerConfig()
    server.bind = ["127.0.0.1:0"]
    server.accesslog = server.errorlog = None
    figures: dict[str, float] = {}
    async with trio.open_nursery() as nursery, httpcore.AsyncConnectionPool() as pool:
        await nursery.start(store.run)
        (base,) = await nursery.start(serve, make_app(store), server)
        for method, content in (("PUT", data), ("GET", b"")):
            began_s = time.perf_counter()
            for number in range(TRANSFERS):
                url = f"{base}/blocks/{number:056x}"
                sent = headers if content else {}
                answer = await pool.request(method, url, headers=sent, content=content)
                assert answer.status in (200, 201)
            passed_s = time.perf_counter() - began_s
            rate = TRANSFERS * len(data) / passed_s / 1e6
            figures[f"{tier}_{method.lower()}_mb_s"] = rate
        nursery.cancel_scope.cancel()
    return figures


def _block_bytes(count: int) -> float:
    """Return the memory of a block's record, in chains of ten."""
    rng = random.Random(1)
    gc.collect()
    tracemalloc.start()
    state = StoreState(StoreLimits(0, count), rng)
    for chain in range(count // 10):
        prefix = f"{chain % 10:012x}{1:06x}{chain % 2**24:06x}"
        parent = ""
        for _ in range(10):
            block_id = f"{prefix}{rng.getrandbits(128):032x}"
            event = BlockFound(block_id, 1, 1, f"{1:032x}", 4_000, parent, 0.0)
            handle(event, state, 0.0)
            parent = block_id
    size, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    return size / count


async def _scan_s() -> float:
    """Return seconds to scan small files that are in the page cache."""
    with tempfile.TemporaryDirectory() as folder:
        files = DiskFiles(Path(folder))
        await trio.to_thread.run_sync(_write_files, files)
        settings = StoreSettings(0, 2**30)
        store = Store("s1", settings, random.Random(1), files)
        began_s = time.perf_counter()
        async with trio.open_nursery() as nursery:
            await nursery.start(store.run)
            while store.report()["unscanned"]:  # noqa: ASYNC110
                await trio.sleep(0.01)
            nursery.cancel_scope.cancel()
        return time.perf_counter() - began_s


def _write_files(files: DiskFiles) -> None:
    checksum = Checksum()
    checksum.update(b"x")
    files.sync_folder = lambda: None
    for number in range(SCANNED_FILES):
        header = {
            "block_id": f"{number:056x}",
            "generation": number + 1,
            "length": 1,
            "checksum": checksum.hex(),
            "tokens": 4_000,
            "parent": "",
        }
        writer = BlockWriter(files, header)
        writer.write(b"x")
        writer.seal()
