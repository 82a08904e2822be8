"""End-to-end tests with an operator, workers, control VMs, an entry VM and a client."""

import json
from functools import partial

import trio

from tests.platform.builders import make_document
from tests.platform.standin import (
    refuse_with,
    running_platform,
    send_answer,
    stream_events,
    wait_until,
)


async def start_workers(platform, *names, **changes):
    await platform.call_control("POST", "/api/Config.Put", make_document())
    workers = [await platform.start_worker(name, **changes) for name in names]
    await platform.wait_ready()
    for name in names:
        await wait_until(partial(platform.has_target, name))
    return workers


def test_a_request_reaches_a_worker_and_its_answer_the_client(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await start_workers(platform, "i-1", service="app")
            res = await platform.send_request(body=b"an order")
            assert (res.status, res.content) == (200, b"served by i-1")
            assert dict(res.headers)[b"x-vanillabeam-response-stamp"] == b"stamp"
            assert worker.received_bodies == [b"an order"]
            assert b"x-vanillabeam-key" not in worker.received_headers[0]

    trio.run(main)


def test_requests_without_a_route_or_a_valid_key_are_refused(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await start_workers(platform, "i-1")
            assert (await platform.send_request("/none/1")).status == 404
            res = await platform.send_request("/prompts/1", key=b"key-9")
            assert res.status == 401

    trio.run(main)


def test_an_entry_vm_without_a_configuration_answers_503_and_is_not_ready(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            res = await platform.send_request()
            assert res.status == 503
            assert float(dict(res.headers)[b"retry-after"]) > 0
            url = f"http://127.0.0.1:{platform.readiness_port}/api/ready"
            assert (await platform.pool.request("GET", url)).status == 503

    trio.run(main)


def test_a_call_that_may_not_be_repeated_goes_to_one_worker_only(tmp_path):
    async def cut_answer(headers, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})

    async def main():
        async with running_platform(tmp_path) as platform:
            workers = await start_workers(platform, "i-1", "i-2", service="app")
            for worker in workers:
                worker.script = [cut_answer]
            res = await platform.send_request()
            assert res.status == 502
            assert sum(len(worker.received_headers) for worker in workers) == 1

    trio.run(main)


def test_a_workers_refusal_is_passed_on_as_it_is(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await start_workers(platform, "i-1", service="app")
            worker.script = [refuse_with()]
            res = await platform.send_request()
            assert (res.status, res.content) == (503, b"full")

    trio.run(main)


def test_an_answer_to_another_request_is_not_passed_on(tmp_path):
    async def answer_other_request(headers, send):
        await send_answer(send, 200, b"x", {b"x-vanillabeam-request-id": b"other"})

    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await start_workers(platform, "i-1", service="app")
            worker.script = [answer_other_request]
            assert (await platform.send_request()).status == 502

    trio.run(main)


def test_a_resumed_stream_has_every_event_once(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            workers = await start_workers(platform, "i-1", "i-2")
            calls = []

            async def break_first_stream(headers, send):
                calls.append(headers)
                is_first = len(calls) == 1
                await stream_events(1, 2 if is_first else 4, is_first)(headers, send)

            for worker in workers:
                worker.script = [break_first_stream]
            res = await platform.send_request("/prompts/1")
            ids = [line for line in res.content.split(b"\n") if line[:3] == b"id:"]
            assert ids == [b"id: 1", b"id: 2", b"id: 3", b"id: 4"]
            assert calls[1][b"last-event-id"] == b"2"

    trio.run(main)


def test_the_newest_configuration_is_read_back_as_it_was_sent(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            for version in (7, 12, 9):
                document = make_document(version=version)
                res = await platform.call_control("POST", "/api/Config.Put", document)
                assert res.status == 200
            for host in platform.hosts:
                res = await platform.call_control("GET", "/api/Config.Get", host=host)
                assert json.loads(res.content) == make_document(version=12)

    trio.run(main)


def test_an_invalid_configuration_is_refused_and_not_in_force(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.call_control("POST", "/api/Config.Put", make_document())
            invalid = make_document(version=9, services=[])
            res = await platform.call_control("POST", "/api/Config.Put", invalid)
            assert res.status == 400
            res = await platform.call_control("GET", "/api/Config.Get")
            assert json.loads(res.content)["version"] == 7

    trio.run(main)


def test_an_evacuated_data_centre_gets_no_requests_until_it_is_restored(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await start_workers(platform, "i-1", service="app")
            follower = platform.vms["front"][0].follower
            await platform.call_control("POST", "/api/Evacuate.Start/a")
            await wait_until(lambda: "a" in follower.view.evacuated)
            assert (await platform.send_request()).status == 503
            await platform.call_control("POST", "/api/Evacuate.End/a")
            await wait_until(lambda: "a" not in follower.view.evacuated)
            assert (await platform.send_request()).status == 200

    trio.run(main)


# Guards against another writer's bytes that end a worker by a leave call.
def test_a_leave_call_ends_a_worker_unless_it_can_not_be_read(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await start_workers(platform, "i-1", service="app")
            call, path = platform.call_control, "/api/Instances.Leave/i-1"
            records = platform.vms["front"][0].follower.directory.records
            assert (await call("POST", path, ["i-1"])).status == 400
            await trio.sleep(0.3)
            assert "i-1" in records
            assert (await call("POST", path, {})).status == 200
            await wait_until(lambda: "i-1" not in records)

    trio.run(main)


def test_a_weight_version_is_ordered_once_by_the_leader(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await start_workers(platform, "i-1")
            version_order = {"model": "m", "version": 2}
            await platform.call_control("POST", "/api/version-put", version_order)
            await wait_until(lambda: worker.version == 2)
            assert {order["version"] for order in worker.orders} == {2}
            assert len({order["fence"] for order in worker.orders}) == 1

    trio.run(main)


# Guards against a 412 that is believed though a quorum follows the leader.
def test_a_leader_that_is_fenced_orders_again_under_a_committed_number(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await start_workers(platform, "i-1")
            worker.fence = 1_000
            version_order = {"model": "m", "version": 2}
            await platform.call_control("POST", "/api/version-put", version_order)
            await wait_until(lambda: worker.version == 2)
            first, second = (order["fence"] for order in worker.orders)
            assert first < 1_000 <= second
            vms = [vm for vm, _ in platform.vms.values() if vm.control is not None]
            assert len(vms) == 3
            await wait_until(
                lambda: all("fence_offset" in vm.control.machine.state for vm in vms)
            )

    trio.run(main)


def test_the_leader_orders_targets_that_announce_only_to_other_control_vms(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.call_control("POST", "/api/Config.Put", make_document())
            workers = [
                await platform.start_worker(f"i-{host}", host)
                for host in platform.hosts
            ]
            version_order = {"model": "m", "version": 2}
            await platform.call_control("POST", "/api/version-put", version_order)
            await wait_until(lambda: all(worker.version == 2 for worker in workers))

    trio.run(main)


def test_a_client_that_disconnects_does_not_stop_the_vm(tmp_path):
    async def answer_late(headers, send):
        await trio.sleep(0.3)
        await send_answer(send, 200, b"late", headers)

    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await start_workers(platform, "i-1", service="app")
            for pause_s in (0.0, 0.01, 0.1, 0.29, 0.3, 0.31):
                worker.script = [answer_late]
                with trio.move_on_after(pause_s):
                    await platform.send_request()
            worker.script = []
            await wait_until(partial(_is_served, platform))

    trio.run(main)


async def _is_served(platform):
    return (await platform.send_request()).status == 200


def test_an_accepted_configuration_survives_the_loss_of_a_control_vm(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await start_workers(platform, "i-1", service="app")
            platform.kill("core-127.0.0.1")
            document = make_document(version=20)
            res = await platform.call_control("POST", "/api/Config.Put", document)
            assert res.status == 200
            await platform.start_control("127.0.0.1", bootstrap=False)
            res = await platform.call_control(
                "GET", "/api/Config.Get", host="127.0.0.1"
            )
            assert json.loads(res.content)["version"] == 20
            assert (await platform.send_request()).status == 200

    trio.run(main)
