import json
import random
import socket
from contextlib import suppress

import trio

from tests.builders import make_settings
from tests.path.builders import FAST_ORDERS, run_with_vm
from vanillabeam.readiness import Phase
from vanillabeam.vm import Vm

BODY = json.dumps(
    {
        "model": "m",
        "messages": [{"role": "user", "content": "Read the ledger."}],
        "max_tokens": 60,
    }
).encode()
REQUEST = b"GET /v1/models HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"


def test_a_drain_completes_open_requests(tmp_path):
    async def act(running):
        await running.add_target(decode_tokens_s=40.0)
        answers = []

        async def send_request():
            answers.append(await running.call("POST", "/v1/chat/completions", BODY))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send_request)
            await running.wait_until(lambda: running.vm.lifecycle.open_requests)
            running.vm.drain()
            ready = await running.call("GET", "/readyz")
            code = await running.vm.wait_stopped()
        return ready, code, answers[0]

    ready, code, answer = run_with_vm(tmp_path, act)
    assert ready.status == 503
    assert code == 0
    assert answer.status == 200
    assert json.loads(answer.content)["usage"]["completion_tokens"] == 60


def test_requests_during_the_notice_period_are_served(tmp_path):
    async def act(running):
        await running.add_target()
        running.vm.drain()
        return await running.call("POST", "/v1/chat/completions", BODY)

    assert run_with_vm(tmp_path, act).status == 200


def test_a_second_drain_stops_at_once_with_its_own_exit_code(tmp_path):
    async def act(running):
        await running.add_target(decode_tokens_s=1.0)
        async with trio.open_nursery() as nursery:
            nursery.start_soon(running.call, "POST", "/v1/chat/completions", BODY)
            await running.wait_until(lambda: running.vm.lifecycle.open_requests)
            running.vm.drain()
            running.vm.drain()
            code = await running.vm.wait_stopped()
            phase = running.vm.lifecycle.phase
            nursery.cancel_scope.cancel()
        return code, phase

    assert run_with_vm(tmp_path, act) == (3, Phase.STOPPED)


# Guards against an exit at the moment at which the listeners close: a request that had
# just been accepted was cut off without an answer.
def test_a_request_that_arrives_as_the_listener_closes_is_answered(tmp_path):
    async def main():
        cfg = make_settings(tmp_path, drain={"notice_s": 0.2, "deadline_s": 20.0})
        vm = Vm(cfg, random.Random(1), FAST_ORDERS)
        connections = []
        close = vm.lifecycle._close_listeners

        def connect_and_close():
            host, _, port = vm.address("callers").rpartition(":")
            connections.append(socket.create_connection((host, int(port))))
            connections[0].sendall(REQUEST)
            close()

        vm.lifecycle._close_listeners = connect_and_close
        async with trio.open_nursery() as nursery:
            await nursery.start(vm.run)
            vm.drain()
            code = await vm.wait_stopped()
            nursery.cancel_scope.cancel()
        return code, await trio.to_thread.run_sync(read_all, connections[0])

    code, answer = trio.run(main)
    assert answer.startswith(b"HTTP/1.1 ")
    assert code == 0


def read_all(sock):
    """Return all bytes until the end of a connection."""
    data = b""
    with sock, suppress(OSError):
        while part := sock.recv(65_536):
            data += part
    return data
