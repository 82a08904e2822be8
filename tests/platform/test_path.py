"""The whole path: operator, workers, control VMs, an entry VM and a client."""

import json
from functools import partial

import trio

from tests.platform.builders import make_document
from tests.platform.standin import answer, events, refuses, running_platform, until


async def serving(platform, *names, **changes):
    await platform.operate("POST", "/api/Config.Put", make_document())
    workers = [await platform.start_worker(name, **changes) for name in names]
    await platform.wait_ready()
    for name in names:
        await until(partial(platform.knows, name))
    return workers


def test_a_request_reaches_a_worker_and_its_answer_the_client(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await serving(platform, "i-1", service="app")
            res = await platform.ask(body=b"an order")
            assert (res.status, res.content) == (200, b"served by i-1")
            assert dict(res.headers)[b"x-vanillabeam-response-stamp"] == b"stamp"
            assert worker.bodies == [b"an order"]
            assert b"x-vanillabeam-key" not in worker.seen[0]

    trio.run(main)


def test_requests_that_no_configuration_allows_are_refused(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await serving(platform, "i-1")
            assert (await platform.ask("/none/1")).status == 404
            res = await platform.ask("/prompts/1", key=b"key-9")
            assert res.status == 401

    trio.run(main)


def test_an_entry_that_knows_no_configuration_says_so_and_is_not_ready(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            res = await platform.ask()
            assert res.status == 503
            assert float(dict(res.headers)[b"retry-after"]) > 0
            url = f"http://127.0.0.1:{platform.ready}/api/ready"
            assert (await platform.pool.request("GET", url)).status == 503

    trio.run(main)


def test_a_call_that_may_not_be_repeated_goes_to_one_worker_only(tmp_path):
    async def breaks(headers, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})

    async def main():
        async with running_platform(tmp_path) as platform:
            workers = await serving(platform, "i-1", "i-2", service="app")
            for worker in workers:
                worker.script = [breaks]
            res = await platform.ask()
            assert res.status == 502
            assert sum(len(worker.seen) for worker in workers) == 1

    trio.run(main)


def test_a_workers_refusal_is_passed_on_as_it_is(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await serving(platform, "i-1", service="app")
            worker.script = [refuses()]
            res = await platform.ask()
            assert (res.status, res.content) == (503, b"full")

    trio.run(main)


def test_an_answer_to_another_request_reaches_nobody(tmp_path):
    async def strange(headers, send):
        await answer(send, 200, b"x", {b"x-vanillabeam-request-id": b"other"})

    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await serving(platform, "i-1", service="app")
            worker.script = [strange]
            assert (await platform.ask()).status == 502

    trio.run(main)


def test_a_resumed_stream_has_every_event_once(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            workers = await serving(platform, "i-1", "i-2")
            calls = []

            async def first_breaks(headers, send):
                calls.append(headers)
                breaks = len(calls) == 1
                await events(1, 2 if breaks else 4, breaks)(headers, send)

            for worker in workers:
                worker.script = [first_breaks]
            res = await platform.ask("/prompts/1")
            ids = [line for line in res.content.split(b"\n") if line[:3] == b"id:"]
            assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
            assert calls[1][b"last-event-id"] == b"2"

    trio.run(main)


def test_the_newest_configuration_is_read_back_as_it_was_sent(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            for version in (7, 12, 9):
                document = make_document(version=version)
                res = await platform.operate("POST", "/api/Config.Put", document)
                assert res.status == 200
            for host in platform.hosts:
                res = await platform.operate("GET", "/api/Config.Get", host=host)
                assert json.loads(res.content) == make_document(version=12)

    trio.run(main)


def test_an_invalid_configuration_is_refused_and_not_in_force(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.operate("POST", "/api/Config.Put", make_document())
            bad = make_document(version=9, services=[])
            res = await platform.operate("POST", "/api/Config.Put", bad)
            assert res.status == 400
            res = await platform.operate("GET", "/api/Config.Get")
            assert json.loads(res.content)["version"] == 7

    trio.run(main)


def test_a_data_centre_that_is_evacuated_gets_nothing_until_it_is_back(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await serving(platform, "i-1", service="app")
            follower = platform.vms["front"][0].follower
            await platform.operate("POST", "/api/Evacuate.Start/a")
            await until(lambda: "a" in follower.view.evacuated)
            assert (await platform.ask()).status == 503
            await platform.operate("POST", "/api/Evacuate.End/a")
            await until(lambda: "a" not in follower.view.evacuated)
            assert (await platform.ask()).status == 200

    trio.run(main)


def test_named_weights_are_ordered_once_by_the_leader(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await serving(platform, "i-1")
            named = {"model": "m", "version": 2}
            await platform.operate("POST", "/api/version-put", named)
            await until(lambda: worker.version == 2)
            assert {order["version"] for order in worker.orders} == {2}
            assert len({order["fence"] for order in worker.orders}) == 1

    trio.run(main)


def test_the_leader_orders_targets_that_only_other_control_vms_have_heard(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.operate("POST", "/api/Config.Put", make_document())
            workers = [
                await platform.start_worker(f"i-{host}", host)
                for host in platform.hosts
            ]
            named = {"model": "m", "version": 2}
            await platform.operate("POST", "/api/version-put", named)
            await until(lambda: all(worker.version == 2 for worker in workers))

    trio.run(main)


def test_a_client_that_leaves_ends_no_process(tmp_path):
    async def slow(headers, send):
        await trio.sleep(0.3)
        await answer(send, 200, b"late", headers)

    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await serving(platform, "i-1", service="app")
            for pause_s in (0.0, 0.01, 0.1, 0.29, 0.3, 0.31):
                worker.script = [slow]
                with trio.move_on_after(pause_s):
                    await platform.ask()
            worker.script = []
            await until(partial(_is_served, platform))

    trio.run(main)


async def _is_served(platform):
    return (await platform.ask()).status == 200


def test_what_was_accepted_outlives_a_control_vm(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await serving(platform, "i-1", service="app")
            platform.kill("core-127.0.0.1")
            document = make_document(version=20)
            res = await platform.operate("POST", "/api/Config.Put", document)
            assert res.status == 200
            await platform.start_control("127.0.0.1", bootstrap=False)
            res = await platform.operate("GET", "/api/Config.Get", host="127.0.0.1")
            assert json.loads(res.content)["version"] == 20
            assert (await platform.ask()).status == 200

    trio.run(main)
