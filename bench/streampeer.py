"""Process with both peers of a measured proxy: an engine and the callers.

``python -m bench.streampeer PROXY_PORT STREAMS TOKENS INTERVAL_S`` prints the
engine's port and waits for a line on its input. It then sends single short
requests, prints ``probed`` and waits for another line, reads the streams, and
prints the callers' figures as JSON. With an interval of 0 the engine sends as
fast as the proxy reads.
"""

import contextlib
import functools
import math
import sys
import time

import msgspec
import trio

__all__ = ["Peer"]

PROBES = 200
ENGINES = 8
HEAD = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
CHUNK = (
    b'{"id":"cmpl-1","object":"chat.completion.chunk","created":1700000000,'
    b'"model":"m","choices":[{"index":0,"delta":{"content":"token "},'
    b'"logprobs":null,"finish_reason":%b}]}'
)


class Peer:
    """Engine that sends tokens at a fixed interval, and callers that read them.

    :param proxy_port: port of the proxy on loopback.
    :param streams: number of streams that are read at once.
    :param tokens: tokens of each stream.
    :param interval_s: seconds between two tokens of a stream.
    :ivar pieces: number of tokens that the callers have received.
    """

    def __init__(self, proxy_port: int, streams: int, tokens: int, interval_s: float):
        self.proxy_port = proxy_port
        self.streams = streams
        self.tokens = tokens
        self.interval_s = interval_s
        self.pieces = 0
        self._runs = 0

    async def run(self) -> None:
        """Serve the engine, run the callers and print the report."""
        async with trio.open_nursery() as nursery:
            serve = functools.partial(trio.serve_tcp, host="127.0.0.1")
            listeners = await nursery.start(serve, self._engine, 0)
            port = listeners[0].socket.getsockname()[1]
            await _print_and_wait(str(port))
            direct = await self._probe(port)
            through = await self._probe(self.proxy_port)
            await _print_and_wait("probed")
            began_s = time.monotonic()
            async with trio.open_nursery() as callers:
                for _ in range(self.streams):
                    callers.start_soon(self._read_stream)
                    await trio.sleep(self.interval_s / max(self.streams, 1))
            seconds = time.monotonic() - began_s
            report = {
                "seconds": seconds,
                "pieces": self.pieces,
                "direct_s": direct,
                "through_s": through,
            }
            print(msgspec.json.encode(report).decode(), flush=True)
            nursery.cancel_scope.cancel()

    async def _engine(self, stream: trio.SocketStream) -> None:
        with contextlib.suppress(trio.BrokenResourceError):
            await self._answer(stream)

    async def _answer(self, stream: trio.SocketStream) -> None:
        request = await _read_request(stream)
        if b"DELETE" in request[:6]:
            return
        await stream.send_all(CHUNKED)
        self._runs += 1
        phase_s = self.interval_s / ENGINES * (self._runs % ENGINES)
        probe = b'"max_tokens":1,' in request or b'"max_tokens":1}' in request
        tokens = 1 if probe else self.tokens
        for number in range(1, tokens + 1):
            last = number == tokens
            piece = CHUNK % (b'"stop"' if last else b"null")
            await _send_chunk(stream, b"id: %d\ndata: %b\n\n" % (number, piece))
            if not last and self.interval_s:
                await self._wait_step(phase_s)
        end = b'event: end\ndata: {"pieces":%d,"version":"v1"}\n\n' % tokens
        await _send_chunk(stream, end)
        await stream.send_all(b"0\r\n\r\n")

    async def _wait_step(self, phase_s: float) -> None:
        """Wait for the engine's next step, which generates a token for each run."""
        past = math.floor((trio.current_time() - phase_s) / self.interval_s)
        await trio.sleep_until((past + 1) * self.interval_s + phase_s)

    async def _read_stream(self) -> None:
        stream = await _post(self.proxy_port, self.tokens)
        tail = b""
        async for data in stream:
            text = tail + data
            self.pieces += text.count(b'"delta"')
            if b"[DONE]" in text:
                return
            tail = text[-16:] if b'"delta"' not in text[-16:] else b""

    async def _probe(self, port: int) -> list[float]:
        times = []
        for _ in range(PROBES):
            began_s = time.perf_counter()
            stream = await _post(port, 1)
            data = b""
            while b'"delta"' not in data:
                data += await stream.receive_some()
            times.append(time.perf_counter() - began_s)
            await stream.aclose()
        return sorted(times)


async def _print_and_wait(line: str) -> None:
    print(line, flush=True)
    await trio.to_thread.run_sync(sys.stdin.readline)


async def _post(port: int, tokens: int) -> trio.SocketStream:
    stream = await trio.open_tcp_stream("127.0.0.1", port)
    body = (
        b'{"model":"m","max_tokens":%d,"stream":true,'
        b'"messages":[{"role":"user","content":"go"}]}' % tokens
    )
    head = b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
    head += b"Content-Length: %d\r\n\r\n"
    await stream.send_all(head % len(body) + body)
    return stream


async def _read_request(stream: trio.SocketStream) -> bytes:
    data = b""
    while b"\r\n\r\n" not in data or (b"POST" in data[:4] and data[-1:] != b"}"):
        more = await stream.receive_some()
        if not more:
            break
        data += more
    return data


async def _send_chunk(stream: trio.SocketStream, data: bytes) -> None:
    await stream.send_all(b"%x\r\n%b\r\n" % (len(data), data))


if __name__ == "__main__":
    arguments = sys.argv[1:]
    numbers = [int(argument) for argument in arguments[:3]]
    trio.run(Peer(*numbers, float(arguments[3])).run)
