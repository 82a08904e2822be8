"""Tests of the store's HTTP API over loopback, mostly of failing transfers."""

import random
from contextlib import asynccontextmanager

import httpcore
import pytest
import trio
from hypercorn.config import Config as ServerConfig
from hypercorn.trio import serve

from tests.cache.builders import make_ids, make_workspace
from tests.store.builders import FakeFiles, checksum_of
from vanillabeam import wire
from vanillabeam.config import Config, Model
from vanillabeam.store import DiskFiles, Store, StoreSettings, make_app
from vanillabeam.store.disk import BlockKey

DATA = random.Random(1).randbytes(3 * 2**20 + 17)
IDS = make_ids(3)
CONFIG = Config(
    1, models={"ledger": Model("ledger", "v1")}, workspaces={"depot": make_workspace()}
)


@asynccontextmanager
async def running(files=None, **changes):
    settings = StoreSettings(idle_timeout_s=0.3)._replace(**changes)
    store = Store("s1", settings, random.Random(1), files)
    server = ServerConfig()
    server.bind = ["127.0.0.1:0"]
    server.accesslog = server.errorlog = None
    async with trio.open_nursery() as nursery:
        await nursery.start(store.run)
        store.config_changed(CONFIG)
        bound = await nursery.start(serve, make_app(store), server)
        with trio.fail_after(10):
            async with httpcore.AsyncConnectionPool() as pool:
                yield store, pool, bound[0]
        nursery.cancel_scope.cancel()


def headers_for(data, **more):
    return {
        "Vanillabeam-Checksum": checksum_of(data),
        "Vanillabeam-Tokens": "4000",
        "Content-Length": str(len(data)),
        **more,
    }


async def put(pool, base, block_id, data=DATA, content=None, **headers):
    url = f"{base}/blocks/{block_id}"
    headers = headers_for(data, **headers)
    content = data if content is None else content
    answer = await pool.request("PUT", url, headers=headers, content=content)
    return answer.status


async def get(pool, base, block_id, method="GET"):
    answer = await pool.request(method, f"{base}/blocks/{block_id}")
    return answer.status, answer.content


async def until(condition):
    while not condition():  # noqa: ASYNC110
        await trio.sleep(0.01)


MEMORY = {"memory_bytes": 2**24}
DISK = {"memory_bytes": 0, "disk_bytes": 2**24}


@pytest.mark.parametrize("tier", [MEMORY, DISK])
def test_an_uploaded_block_can_be_downloaded(tmp_path, tier):
    async def main():
        files = DiskFiles(tmp_path) if tier is DISK else None
        async with running(files, **tier) as (store, pool, base):
            assert await put(pool, base, IDS[0]) == 201
            assert await put(pool, base, IDS[0]) == 200
            assert await get(pool, base, IDS[0]) == (200, DATA)
            assert (await get(pool, base, IDS[0], "HEAD"))[0] == 200
            find = store.routes()["/peer/store/find"]
            reply = (await find(wire.encode({"blocks": IDS}))).unwrap()
            assert wire.decode(dict, reply).unwrap()["lengths"] == [len(DATA), 0, 0]
            for wrong in ([], ["x"], [*IDS, make_ids(1, filler="q")[0]], IDS * 99):
                body = wire.encode({"blocks": wrong})
                assert (await find(body)).failure().type == "header-invalid"
            assert await get(pool, base, IDS[0], "DELETE") == (204, b"")
            assert (await get(pool, base, IDS[0]))[0] == 404

    trio.run(main)


def test_refused_uploads_store_nothing():
    async def main():
        async with running(**MEMORY) as (store, pool, base):
            wrong = {"Vanillabeam-Checksum": "00" * 16}
            assert await put(pool, base, IDS[0], **wrong) == 422
            assert await put(pool, base, "..%2f", b"x") in (400, 404)
            assert await put(pool, base, IDS[0].upper(), b"x") == 400
            for name, value in [
                ("Vanillabeam-Tokens", "-1"),
                ("Vanillabeam-Tokens", "\u0663".encode()),
                ("Vanillabeam-Tokens", "9" * 40),
                ("Vanillabeam-Parent", "x"),
                ("Vanillabeam-Parent", make_ids(1, filler="q")[0]),
                ("Vanillabeam-Checksum", "zz"),
            ]:
                assert await put(pool, base, IDS[0], b"x", **{name: value}) == 400
            unknown_workspace_id = make_ids(1, make_workspace("nobody"))[0]
            assert await put(pool, base, unknown_workspace_id) == 403
            assert await put(pool, base, IDS[0], bytes(2**24 + 1)) == 507
            assert store.state.used == {} and store.transfers == 0

    trio.run(main)


def test_a_stalled_upload_ends_and_frees_its_memory():
    async def main():
        async def stalled():
            yield DATA[:1000]
            await until(lambda: store.state.writing)
            await until(lambda: not store.state.writing)
            yield DATA[1000:]

        async with running(**MEMORY) as (store, pool, base):
            assert await put(pool, base, IDS[0], content=stalled()) == 408
            assert store.state.memory_used == 0 and store.transfers == 0
            assert await put(pool, base, IDS[0]) == 201

    trio.run(main)


def test_a_concurrent_upload_of_the_same_block_is_refused():
    async def main():
        gate = trio.Event()

        async def slow():
            yield DATA[:1000]
            await gate.wait()
            yield DATA[1000:]

        async with running(idle_timeout_s=5.0, **MEMORY) as (store, pool, base):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(lambda: put(pool, base, IDS[0], content=slow()))
                await until(lambda: store.state.writing)
                assert (await get(pool, base, IDS[0]))[0] == 404
                assert await put(pool, base, IDS[0]) == 409
                gate.set()
            assert await get(pool, base, IDS[0]) == (200, DATA)

    trio.run(main)


def test_a_damaged_block_is_never_served_as_complete():
    async def main():
        files = FakeFiles()
        async with running(files, **DISK) as (store, pool, base):
            assert await put(pool, base, IDS[0]) == 201
            (inode,) = files.inodes.values()
            inode.data[-1] ^= 1
            with pytest.raises(httpcore.RemoteProtocolError):
                await get(pool, base, IDS[0])
            assert (await get(pool, base, IDS[0]))[0] == 404
            assert store.state.used == {}

    trio.run(main)


def test_a_restarted_store_serves_while_it_scans():
    async def main():
        files = FakeFiles()
        async with running(files, **DISK) as (_store, pool, base):
            for before, block_id in zip(["", *IDS], IDS, strict=False):
                parent = {"Vanillabeam-Parent": before} if before else {}
                assert await put(pool, base, block_id, b"x" * 99, **parent) == 201
        files.create(f"{IDS[0]}.9.writing")
        async with running(files, **DISK) as (store, pool, base):
            assert await get(pool, base, IDS[2]) == (200, b"x" * 99)
            assert store.report()["blocks"] >= 1
            await until(lambda: store.report()["blocks"] == 3)
            assert not [name for name in files.names() if name.endswith("writing")]
            store.config_changed(CONFIG._replace(index=2, workspaces={}))
            assert store.report()["blocks"] == 0
            await until(lambda: not files.names())

    trio.run(main)


def test_an_unexpected_error_of_a_scan_wakes_all_that_wait_for_it(monkeypatch):
    class Broken(Exception):
        pass

    async def main():
        store = Store("s1", StoreSettings(), random.Random(1), FakeFiles())
        store._disk.unscanned["b"] = BlockKey("b", 1)
        failures = []

        async def scan(key):
            await trio.sleep(0.01)
            raise Broken

        async def find():
            try:
                await store.find_on_disk(["b"])
            except Broken as exc:
                failures.append(exc)

        monkeypatch.setattr(store._disk, "_scan_file", scan)
        with trio.fail_after(5):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(find)
                nursery.start_soon(find)
        assert len(failures) == 1

    trio.run(main)


def test_a_full_disk_refuses_uploads():
    async def main():
        files = FakeFiles(full_at=1_000)
        async with running(files, **DISK) as (store, pool, base):
            assert await put(pool, base, IDS[0]) == 507
            assert files.names() == [] and store.state.used == {}
            large = bytes(2**23)
            with pytest.raises((AssertionError, httpcore.NetworkError)):
                assert await put(pool, base, IDS[1], large) == 201
            assert store.report()["counts"]["disk_full"] == 1

    trio.run(main)


def test_a_block_in_memory_is_copied_to_disk_and_survives_a_restart():
    async def main():
        files = FakeFiles()
        tiers = {"memory_bytes": 2**24, "disk_bytes": 2**24}
        async with running(files, **tiers) as (store, pool, base):
            assert await put(pool, base, IDS[0]) == 201
            await until(lambda: store.state.blocks[IDS[0]].on_disk)
        async with running(files, **tiers) as (_store, pool, base):
            assert await get(pool, base, IDS[0]) == (200, DATA)

    trio.run(main)
