"""Connections that were refused and others that failed."""

import socket

import httpcore
import pytest
import trio

from vanillabeam.refusals import is_refusal


def free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


async def open_stream(port):
    await trio.open_tcp_stream("127.0.0.1", port)


async def send_request(port):
    async with httpcore.AsyncConnectionPool() as pool:
        await pool.request("GET", f"http://127.0.0.1:{port}/")


@pytest.mark.parametrize("connect", [open_stream, send_request])
def test_a_refused_connection_is_told_apart(connect):
    with pytest.raises((OSError, httpcore.ConnectError)) as caught:
        trio.run(connect, free_port())
    assert is_refusal(caught.value)


@pytest.mark.parametrize(
    "exc",
    [
        httpcore.ConnectTimeout(),
        OSError("unreachable"),
        ExceptionGroup("all", [ConnectionRefusedError(), TimeoutError()]),
    ],
)
def test_other_failures_are_no_refusals(exc):
    assert not is_refusal(exc)
