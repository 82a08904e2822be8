"""Connections of a listener that callers use in unusual ways."""

import socket
import struct
import time
from contextlib import suppress

import pytest
import trio
import trio.testing
from starlette.responses import Response

from tests.builders import make_listener
from vanillabeam import httpserver
from vanillabeam.listeners import ListenerTask

HOST = b"Host: a\r\n"
UPGRADE = b"GET / HTTP/1.1\r\n" + HOST + b"Connection: Upgrade\r\nUpgrade: "
KEY = b"Sec-WebSocket-Key: dGhlIHNhbXBsZSBub25jZQ==\r\nSec-WebSocket-Version: 13\r\n"
PREFACE = b"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n"
POST = b"POST / HTTP/1.1\r\n" + HOST
CHUNKED = POST + b"Transfer-Encoding: chunked\r\n\r\n"
HOSTILE = {
    "http-2": PREFACE,
    "http-2-bad-frame": PREFACE + b"\x00\x00\x05\x01\x05\x00\x00\x00\x01\xff\xff\xff",
    "h2c": UPGRADE + b"h2c\r\nHTTP2-Settings: AAMAAABkAAQAAP__\r\n\r\n",
    "h2c-bad-settings": UPGRADE + b"h2c\r\nHTTP2-Settings: AAAA\r\n\r\n",
    "h2c-no-settings": UPGRADE + b"h2c\r\n\r\n",
    "websocket": UPGRADE + b"websocket\r\n" + KEY + b"\r\n\x81\x85abcdabcde",
    "websocket-no-key": UPGRADE + b"websocket\r\n\r\n",
    "tls": bytes.fromhex("16030100c8010000c40303") + b"\xa5" * 190,
    "two-framings": POST
    + b"Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\nGET / ",
    "two-lengths": POST + b"Content-Length: 4\r\nContent-Length: 5\r\n\r\nabcde",
    "negative-length": POST + b"Content-Length: -1\r\n\r\n",
    "long-length": POST + b"Content-Length: " + b"9" * 5000 + b"\r\n\r\n",
    "superscript-length": POST + b"Content-Length: \xb2\r\n\r\n",
    "other-coding": POST + b"Transfer-Encoding: gzip\r\n\r\n",
    "long-chunk-size": CHUNKED + b"f" * 21 + b"\r\n",
    "negative-chunk": CHUNKED + b"-1\r\n",
    "zeros": b"\x00" * 1000,
    "zero-in-target": b"GET /\x00 HTTP/1.1\r\n" + HOST + b"\r\n",
    "zero-in-header": b"GET / HTTP/1.1\r\n" + HOST + b"A: \x00\r\n\r\n",
    "bare-cr": b"GET / HTTP/1.1\rHost: a\r\r",
    "long-header": b"GET / HTTP/1.1\r\nA: " + b"x" * 1_000_000,
    "many-headers": b"GET / HTTP/1.1\r\n" + b"a:b\r\n" * 40_000,
    "no-host": b"GET / HTTP/1.1\r\n\r\n",
    "two-hosts": b"GET / HTTP/1.1\r\nHost: a\r\nHost: b\r\n\r\n",
    "no-version": b"GET /\r\n\r\n",
    "old-version": b"GET / HTTP/0.9\r\n" + HOST + b"\r\n",
    "late-version": b"GET / HTTP/2.0\r\n" + HOST + b"\r\n",
    "other-charset": b"GET /\xff HTTP/1.1\r\n" + HOST + b"\r\n",
}
#: These are proper requests of HTTP/1.1 once the offer to switch is left out.
SERVED = {"h2c", "h2c-bad-settings", "h2c-no-settings", "websocket", "websocket-no-key"}
IDLE_S = 0.3
TIMEOUT_S = 10.0
RESET = struct.pack("ii", 1, 0)


async def answer_ok(scope, receive, send):
    await Response(b"served")(scope, receive, send)


def run_listener(scenario, app=answer_ok, graceful_s=0.2):
    """Run a scenario with a listener; it gets a function that connects."""

    async def main():
        task = ListenerTask("peers", app, make_listener(), graceful_s)
        task.hypercorn.keep_alive_timeout = IDLE_S
        with trio.fail_after(TIMEOUT_S):
            async with trio.open_nursery() as nursery:
                address = await nursery.start(task.run)
                host, _, port = address.rpartition(":")

                async def connect():
                    return await trio.open_tcp_stream(host, int(port))

                result = await scenario(connect, task)
                nursery.cancel_scope.cancel()
        return result

    return trio.run(main)


async def read_answer(stream):
    """Return the bytes until the connection is closed or reset."""
    data = b""
    try:
        async for part in stream:
            data += part
    except trio.BrokenResourceError:
        pass
    return data


async def is_served(connect):
    async with await connect() as stream:
        await stream.send_all(
            b"GET / HTTP/1.1\r\n" + HOST + b"Connection: close\r\n\r\n"
        )
        return (await read_answer(stream)).startswith(b"HTTP/1.1 200")


# Guards against one request that ends the whole process: HTTP/2 and websocket, which
# the HTTP library spoke by itself, raised out of their connection.
@pytest.mark.parametrize("name", HOSTILE)
def test_hostile_bytes_end_only_their_connection(name):
    async def scenario(connect, task):
        async with await connect() as stream:
            with suppress(trio.BrokenResourceError):
                await stream.send_all(HOSTILE[name])
            answer = await read_answer(stream)
        return answer, await is_served(connect)

    answer, others_are_served = run_listener(scenario)
    assert others_are_served
    status = answer[len(b"HTTP/1.1 ") :][:3]
    if name in SERVED:
        assert status == b"200"
    else:
        assert status in (b"", b"400", b"413", b"431", b"501", b"505")


@pytest.mark.parametrize("size", [1, 20, 60])
def test_a_reset_at_any_step_ends_only_its_connection(size):
    request = POST + b"Content-Length: 20\r\n\r\n" + b"x" * 20

    async def scenario(connect, task):
        for _ in range(20):
            stream = await connect()
            await stream.send_all(request[:size])
            stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
            await trio.aclose_forcefully(stream)
        return await is_served(connect)

    assert run_listener(scenario)


# Guards against a failure of one request that ends the listener.
def test_an_application_that_fails_ends_only_its_connection():
    async def fail_once(scope, receive, send):
        if scope["path"] == "/fail":
            await send({"type": "http.response.start", "status": 200, "headers": []})
            raise ValueError("broken")
        if scope["path"] == "/header":
            headers = [(b"content-length", b"x")]
            await send(
                {"type": "http.response.start", "status": 200, "headers": headers}
            )
        await answer_ok(scope, receive, send)

    async def scenario(connect, task):
        for path in (b"/fail", b"/header"):
            async with await connect() as stream:
                await stream.send_all(
                    b"GET " + path + b" HTTP/1.1\r\n" + HOST + b"\r\n"
                )
                await read_answer(stream)
        return await is_served(connect)

    assert run_listener(scenario, fail_once)


def test_hundreds_of_requests_in_one_piece_are_answered_in_order():
    async def echo(scope, receive, send):
        await Response(scope["path"] + ";")(scope, receive, send)

    async def scenario(connect, task):
        requests = b"".join(
            b"GET /%d HTTP/1.1\r\n%b\r\n" % (n, HOST) for n in range(300)
        )
        async with await connect() as stream:
            await stream.send_all(requests)
            return await read_answer(stream)

    answer = run_listener(scenario, echo)
    assert [f"/{n};".encode() in answer for n in range(300)] == [True] * 300


# Guards against a caller that doesn't read and keeps its connection for good.
def test_a_caller_that_reads_nothing_is_closed_after_the_idle_time():
    ended = []

    async def send_without_end(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        part = {"type": "http.response.body", "body": b"x" * 65_536, "more_body": True}
        with trio.move_on_after(3 * IDLE_S):
            while True:
                with trio.CancelScope(shield=True):
                    await send(part)
                await trio.lowlevel.checkpoint()
        ended.append(trio.current_time())

    async def scenario(connect, task):
        async with await connect() as stream:
            await stream.send_all(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
            while not ended:
                await trio.sleep(0.01)
        return len(ended)

    assert run_listener(scenario, send_without_end) == 1


# Guards against a stop that waits for a caller that doesn't read.
def test_a_caller_that_reads_nothing_does_not_hold_back_a_stop():
    async def send_without_end(scope, receive, send):
        await send({"type": "http.response.start", "status": 200, "headers": []})
        part = {"type": "http.response.body", "body": b"x" * 65_536, "more_body": True}
        while True:
            with trio.CancelScope(shield=True):
                await send(part)
            await trio.lowlevel.checkpoint()

    async def scenario(connect, task):
        task.hypercorn.keep_alive_timeout = 60.0
        stream = await connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
        await trio.sleep(0.2)
        task.close()
        return stream

    run_listener(scenario, send_without_end)


# Guards against silent connections that take all descriptors of the process.
def test_connections_beyond_the_limit_close_the_longest_silent_one(monkeypatch):
    monkeypatch.setattr(httpserver, "MAX_CONNECTIONS", 10, raising=False)

    async def scenario(connect, task):
        task.hypercorn.keep_alive_timeout = 60.0
        streams = [await connect() for _ in range(10)]
        served = await is_served(connect)
        with trio.move_on_after(2.0):
            return served, await streams[0].receive_some(1)

    assert run_listener(scenario) == (True, b"")


def test_a_connection_that_its_caller_closed_is_dropped_at_once():
    async def scenario(connect, task):
        task.hypercorn.keep_alive_timeout = 60.0
        stream = await connect()
        await stream.send_all(b"GET / HTTP/1.1\r\n" + HOST + b"\r\n")
        await stream.receive_some(1000)
        await stream.send_eof()
        with trio.move_on_after(2.0):
            return await read_answer(stream) is not None

    assert run_listener(scenario)


# Guards against an answer that waits for good behind the unread body of its request.
def test_an_answer_before_the_end_of_a_long_body_ends_its_request():
    ended = []

    async def answer_early(scope, receive, send):
        await receive()
        await trio.sleep(0.2)
        with trio.CancelScope(shield=True):
            await answer_ok(scope, receive, send)
        ended.append(scope["path"])

    async def scenario(connect, task):
        async with await connect() as stream:
            with suppress(trio.BrokenResourceError):
                await stream.send_all(CHUNKED + b"1\r\nx\r\n" * 10_000)
            await read_answer(stream)
        with trio.move_on_after(2.0):
            while not ended:
                await trio.sleep(0.01)
        return ended

    assert run_listener(scenario, answer_early) == ["/"]


def connect_blocking(task):
    """Return a connection made without a turn of the listener's tasks."""
    host, _, port = task.address.rpartition(":")
    sock = socket.create_connection((host, int(port)), TIMEOUT_S)
    sock.settimeout(TIMEOUT_S)
    return sock


async def read_blocking(sock):
    """Return all bytes of a connection, read beside the listener's tasks."""

    def read():
        data = b""
        with suppress(OSError):
            while part := sock.recv(65_536):
                data += part
        sock.close()
        return data

    return await trio.to_thread.run_sync(read)


def send_after_a_stall(sock):
    """Send a request, with no turn of the listener's tasks for some time before."""
    time.sleep(0.1)
    sock.sendall(REQUEST)


async def keep_connection(task):
    """Return a connection that was used for one request and is kept."""
    sock = connect_blocking(task)
    sock.sendall(REQUEST)
    answer = b""
    while not answer.endswith(b"served"):
        answer += await trio.to_thread.run_sync(sock.recv, 65_536)
    await trio.testing.wait_all_tasks_blocked()
    return sock


REQUEST = b"GET / HTTP/1.1\r\n" + HOST + b"\r\n"
#: Connections, and the bytes of a request that have arrived at a stop.
ARRIVALS = [
    ("kept", REQUEST),
    ("kept", REQUEST[:9]),
    ("accepted", REQUEST),
    ("accepted", REQUEST[:9]),
    ("accepted", b""),
    ("waiting", REQUEST),
    ("waiting", REQUEST[:9]),
    ("waiting", b""),
]


# Guards against requests that are cut at a planned stop although they have arrived: on
# a kept connection, on one that was just accepted or waits to be, in one or two pieces.
@pytest.mark.parametrize("connection, arrived", ARRIVALS)
def test_a_request_that_arrives_at_a_stop_is_answered(connection, arrived):
    async def scenario(connect, task):
        if connection == "kept":
            sock = await keep_connection(task)
        else:
            sock = connect_blocking(task)
        if connection == "accepted":
            await trio.testing.wait_all_tasks_blocked()
        sock.sendall(arrived)
        task.close()
        await trio.sleep(0.05)
        sock.sendall(REQUEST[len(arrived) :])
        return await read_blocking(sock)

    assert run_listener(scenario, graceful_s=2.0).startswith(b"HTTP/1.1 200")


# Guards against a stop that waits for connections on which nothing arrives.
def test_silent_connections_do_not_hold_back_a_stop():
    async def scenario(connect, task):
        kept = await keep_connection(task)
        begun = connect_blocking(task)
        begun.sendall(REQUEST[:9])
        task.close()
        began_s = trio.current_time()
        assert await read_blocking(kept) == b""
        assert await read_blocking(begun) == b""
        return trio.current_time() - began_s

    assert run_listener(scenario, graceful_s=5.0) < 2.0


# Guards against a request that reaches the application on a connection that is closed
# at its idle timeout in the same turn.
def test_a_request_that_arrives_at_the_idle_timeout_is_answered():
    async def scenario(connect, task):
        sock = await keep_connection(task)
        await trio.sleep(IDLE_S - 0.05)
        send_after_a_stall(sock)
        await trio.sleep(0.05)
        sock.shutdown(socket.SHUT_WR)
        return await read_blocking(sock)

    assert run_listener(scenario).startswith(b"HTTP/1.1 200")


def connect_until_refused(task):
    """Send requests on new connections, without pause, until one is refused.

    :returns: the first bytes of each answer; none where a connection was reset.
    """
    begins = []
    while True:
        try:
            sock = connect_blocking(task)
        except ConnectionRefusedError:
            return begins
        with sock:
            begin = b""
            with suppress(ConnectionError):
                sock.sendall(REQUEST)
                begin = sock.recv(12)
            begins.append(begin)


def stall():
    time.sleep(0.005)


# Guards against connections that are made while a busy listener closes and are reset.
def test_connections_that_are_made_during_a_stop_are_answered_or_refused():
    async def be_busy():
        while True:
            stall()
            await trio.lowlevel.checkpoint()

    async def scenario(connect, task):
        results = []

        async def call():
            results.extend(await trio.to_thread.run_sync(connect_until_refused, task))

        async with trio.open_nursery() as nursery:
            nursery.start_soon(be_busy)
            async with trio.open_nursery() as callers:
                for _ in range(8):
                    callers.start_soon(call)
                await trio.sleep(0.3)
                task.close()
            nursery.cancel_scope.cancel()
        return results

    begins = []
    for _ in range(4):
        begins += run_listener(scenario, graceful_s=5.0)
    assert set(begins) <= {b"HTTP/1.1 200", b""}
    # One may be made between the last accept and the close.
    assert begins.count(b"") <= 1
