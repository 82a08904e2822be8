"""Answers to the system's own calls, with and without an end."""

from contextlib import suppress
from functools import partial

import pytest
import trio
from returns.result import Failure, Success

from tests.platform.rawworker import read_head
from vanillabeam.exceptions import PeerSilent
from vanillabeam.peerhttp import PeerClient
from vanillabeam.platform.client import MAX_ANSWER_BYTES, PlatformClient

PIECE = b"x" * 65_536
HEAD = b"HTTP/1.1 200 OK\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
TIMEOUT_S = 10.0


def serve(call, begin, piece, count):
    """Return what a call gets from a server, and the bytes that the server sent.

    :param call: gets the address of the server.
    :param count: pieces after the begin of the answer.
    """
    sent = []

    async def answer(stream):
        await stream.receive_some(65_536)
        try:
            await stream.send_all(begin)
            for _ in range(count):
                await stream.send_all(piece)
                sent.append(len(piece))
        except trio.BrokenResourceError:
            pass

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, answer, listeners)
                result = await call(f"127.0.0.1:{port}")
                nursery.cancel_scope.cancel()
        return result, sum(sent)

    return trio.run(main)


async def call_worker(address, limit_bytes=MAX_ANSWER_BYTES):
    client = PlatformClient()
    return await client.call(
        "GET", address, b"/api/report", timeout_s=5.0, limit_bytes=limit_bytes
    )


async def call_twice_worker(address):
    client = PlatformClient()
    answers = [await client.call("GET", address, b"/api/report") for _ in range(2)]
    return [answer.content for answer in answers]


async def call_twice_peer(address):
    client = PeerClient(None, None)
    return [(await client(address, "/peer/x", b"{}")).unwrap() for _ in range(2)]


async def call_peer(address):
    client = PeerClient(None, None, answer_bytes=MAX_ANSWER_BYTES)
    return await client(address, "/peer/x", b"{}")


# Guards against answers of workers and stores that are read without a bound.
@pytest.mark.parametrize(
    "begin, piece",
    [(HEAD + b"\r\n", PIECE), (CHUNKED, b"10000\r\n" + PIECE + b"\r\n")],
    ids=["close", "chunks"],
)
def test_an_answer_without_end_to_a_call_of_ours_is_dropped(begin, piece):
    result, sent = serve(call_worker, begin, piece, 3200)
    assert result is None
    assert sent < 10 * MAX_ANSWER_BYTES


def test_a_long_answer_within_the_bound_is_whole():
    call = partial(call_worker, limit_bytes=8 * 1024 * 1024)
    result, _ = serve(call, HEAD + b"\r\n", PIECE, 100)
    assert result.content == PIECE * 100


# Guards against answers of other VMs that are read without a bound.
def test_an_answer_without_end_of_another_vm_is_dropped():
    result, sent = serve(call_peer, HEAD + b"\r\n", PIECE, 3200)
    assert isinstance(result, Failure)
    assert isinstance(result.failure(), PeerSilent)
    assert sent < 20 * 1024 * 1024


def test_a_whole_answer_of_another_vm_is_returned():
    result, _ = serve(call_peer, HEAD + b"Content-Length: 65536\r\n\r\n", PIECE, 1)
    assert result == Success(PIECE)


# Guards against bytes after a whole answer that are taken for the next call's answer.
@pytest.mark.parametrize("call", [call_twice_worker, call_twice_peer])
def test_bytes_after_an_answer_are_not_the_answer_to_the_next_call(call):
    answer = HEAD + b"Content-Length: %d\r\n\r\n%b"
    extra = answer % (7, b'"extra"')

    async def serve_two(stream):
        bodies = [b'"first"', b'"other"']
        numbers.append(len(numbers))
        # The caller closes its connection with bytes that it hasn't read.
        with suppress(trio.BrokenResourceError):
            while await read_head(stream) is not None:
                body = bodies[len(served) % 2]
                served.append(body)
                await stream.send_all(answer % (7, body) + extra)

    served, numbers = [], []

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        port = listeners[0].socket.getsockname()[1]
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve_two, listeners)
                results = await call(f"127.0.0.1:{port}")
                nursery.cancel_scope.cancel()
        return results

    assert trio.run(main) == [b'"first"', b'"other"']
    assert len(numbers) == 2


# Guards against an extra answer that arrives late, where the answer to an order or to a
# call that frees parts is expected: it says nothing of that call.
@pytest.mark.parametrize("first", ["GET", "POST"])
def test_a_late_extra_answer_is_not_the_answer_to_a_call_that_changes_something(first):
    async def serve_late(stream):
        extra = b""
        with suppress(trio.BrokenResourceError):
            while await read_head(stream) is not None:
                served.append(b"%d" % (len(served) + 1))
                answer = HEAD + b"Content-Length: 1\r\n\r\n" + served[-1]
                await stream.send_all(extra + answer)
                extra = answer

    served = []

    async def main():
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        client = PlatformClient()
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                nursery.start_soon(trio.serve_listeners, serve_late, listeners)
                answers = [
                    await client.call(first, address, b"/api/report"),
                    await client.call("POST", address, b"/api/order", b"{}"),
                    await client.call("POST", address, b"/api/kv-free", b"{}"),
                ]
                nursery.cancel_scope.cancel()
        return [answer.content for answer in answers]

    assert trio.run(main) == [b"1", b"2", b"3"]
