"""Planned stops of entry VMs while requests arrive."""

import socket
from contextlib import suppress
from functools import partial

import pytest
import trio

from tests.platform.builders import make_document
from tests.platform.standin import running_platform, send_answer, wait_until

REQUEST = (
    b"POST /orders/1 HTTP/1.1\r\nHost: shop.example\r\n"
    b"X-Vanillabeam-Request-Id: r-1\r\nContent-Length: 2\r\n\r\n{}"
)
TIMEOUT_S = 20.0


async def start(platform):
    await platform.call_control("POST", "/api/Config.Put", make_document())
    worker = await platform.start_worker("i-1", service="app")
    await platform.wait_ready()
    await wait_until(partial(platform.has_target, "i-1"))
    return worker


def connect(platform):
    """Return a connection made without a turn of the VM's tasks."""
    address = ("127.0.0.1", platform.entry_port)
    return socket.create_connection(address, TIMEOUT_S)


async def end_with_stop(vm, scope):
    """End a VM once it has stopped, as its process does."""
    await vm.wait_stopped()
    scope.cancel()


async def read_all(sock):
    """Return all bytes until the end of a connection."""

    def read():
        data = b""
        with suppress(OSError):
            while part := sock.recv(65_536):
                data += part
        sock.close()
        return data

    return await trio.to_thread.run_sync(read)


# Guards against an exit at the moment at which the listeners close: a request that had
# just been accepted was cut off without an answer.
@pytest.mark.parametrize("arrived", [len(REQUEST), 30, 0])
def test_a_request_that_arrives_as_the_listener_closes_is_answered(tmp_path, arrived):
    async def main():
        async with running_platform(tmp_path) as platform:
            await start(platform)
            vm, scope = platform.vms["front"]
            connections = []
            close = vm.lifecycle._close_listeners

            def connect_and_close():
                sock = connect(platform)
                sock.sendall(REQUEST[:arrived])
                connections.append(sock)
                close()

            vm.lifecycle._close_listeners = connect_and_close
            platform.nursery.start_soon(end_with_stop, vm, scope)
            vm.drain()
            await wait_until(lambda: bool(connections))
            await trio.sleep(0.02)
            connections[0].sendall(REQUEST[arrived:])
            answer = await read_all(connections[0])
            with trio.fail_after(TIMEOUT_S):
                return answer, await vm.wait_stopped()

    answer, code = trio.run(main)
    assert answer.startswith(b"HTTP/1.1 200 ")
    assert code == 0


# Guards against a kept connection that is closed without a word while its caller sends
# the next request: the answer to one that was open at the stop must announce it.
def test_an_answer_that_is_sent_after_the_stop_began_closes_its_connection(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            worker = await start(platform)
            vm, _ = platform.vms["front"]

            async def answer_after_drain(headers, send):
                vm.drain()
                await trio.sleep(0.05)
                await send_answer(send, 200, b"late", headers)

            worker.script.append(answer_after_drain)
            res = await platform.send_request()
            return res.status, dict(res.headers).get(b"connection")

    assert trio.run(main) == (200, b"close")
