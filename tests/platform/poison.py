"""Workers that end when they begin an answer to a prompt with one part."""

import random
from functools import partial
from typing import NamedTuple

import httpcore
import trio

from tests.platform.rawworker import HEAD_END, read_head, reset_on_close
from tests.platform.standin import Worker

POISON = "bad"
#: Time from the arrival of a prompt to the first byte of its answer.
WORK_S = 0.03
EVENTS = 4
EVENT_PERIOD_S = 0.02
HALF_EVENT = b"id: 1\nda"


class Arrival(NamedTuple):
    """A prompt that reached a worker.

    :param parts: ids of its parts, in order.
    """

    worker: str
    parts: tuple[str, ...]
    at_s: float

    @property
    def is_poisoned(self):
        """Whether the prompt has the part, and not as its last."""
        return POISON in self.parts[:-1]


class PoisonedWorker(Worker):
    """A worker that ends when it begins an answer to a poisoned prompt.

    :param port: to listen on; 0 for any.
    :param arrivals: takes each prompt that it receives.
    :ivar ended: set once it has ended.
    """

    def __init__(self, name, port, arrivals, rng):
        super().__init__(name)
        self.ended = trio.Event()
        self._port = port
        self._arrivals = arrivals
        self._rng = rng
        self._streams = set()
        self._scope = trio.CancelScope()

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        with self._scope:
            listeners = await trio.open_tcp_listeners(self._port, host="127.0.0.1")
            self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
            task_status.started()
            await trio.serve_listeners(self._serve, listeners)
        self.ended.set()

    def end(self):
        """Close the listener and reset all connections at once."""
        for stream in self._streams:
            reset_on_close(stream)
        self._scope.cancel()

    async def _serve(self, stream):
        self._streams.add(stream)
        try:
            while (head := await read_head(stream)) is not None:
                await self._answer(head, stream)
        except (trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            self._streams.discard(stream)

    async def _answer(self, head, stream):
        entries = head.get(b"x-vanillabeam-prefix-hash", b"").decode().split(",")
        parts = tuple(entry.partition(":")[0] for entry in entries)
        arrival = Arrival(self.name, parts, trio.current_time())
        self._arrivals.append(arrival)
        await trio.sleep(WORK_S)
        if arrival.is_poisoned:
            if self._rng.random() < 0.7:
                await stream.send_all(answer_head(head) + chunk(HALF_EVENT))
            self.end()
            await trio.sleep_forever()
        await stream.send_all(answer_head(head))
        for number in range(1, EVENTS + 1):
            await stream.send_all(chunk(b"id: %d\ndata: piece\n\n" % number))
            await trio.sleep(EVENT_PERIOD_S)
        await stream.send_all(chunk(b""))


def answer_head(head):
    """Return the head of a stream in chunks."""
    lines = [
        b"HTTP/1.1 200 OK",
        b"Content-Type: text/event-stream",
        b"Transfer-Encoding: chunked",
        b"X-Vanillabeam-Request-Id: " + head[b"x-vanillabeam-request-id"],
        b"X-Vanillabeam-Response-Stamp: stamp",
    ]
    return b"\r\n".join(lines) + HEAD_END


def chunk(data):
    """Return data as one chunk; that of no data is the end mark."""
    return b"%x\r\n%b\r\n" % (len(data), data)


class PoisonedPool:
    """Workers each of which starts again some time after it has ended.

    :param down_s: seconds from the end of a worker to its next start.
    :ivar arrivals: each prompt that reached a worker.
    :ivar ends_s: times at which workers ended.
    """

    def __init__(self, platform, down_s, seed=1):
        self.platform = platform
        self.down_s = down_s
        self.rng = random.Random(seed)
        self.arrivals = []
        self.ends_s = []
        self._starts = 0

    async def start(self, count):
        """Start workers; return their names."""
        workers = []
        for _ in range(count):
            workers.append(await self._start(0))
        return [worker.name for worker in workers]

    async def _start(self, port):
        self._starts += 1
        name = f"i-{self._starts}"
        worker = PoisonedWorker(name, port, self.arrivals, self.rng)
        self.platform.workers[name] = worker
        await self.platform.nursery.start(worker.run)
        born = 1_700_000_000_000 + self._starts
        announce = partial(self.platform.announce, worker, {"born": born}, None)
        self.platform.nursery.start_soon(announce)
        self.platform.nursery.start_soon(self._restart, worker)
        return worker

    async def _restart(self, worker):
        await worker.ended.wait()
        self.ends_s.append(trio.current_time())
        self.platform.workers.pop(worker.name, None)
        await trio.sleep(self.down_s)
        await self._start(int(worker.address.rpartition(":")[2]))


async def send_prompt(platform, number, *parts):
    """Send a prompt with these parts and one of its own.

    :returns: status, or 0 for an answer that was cut.
    """
    prompt = ",".join(f"{part}:100" for part in (*parts, f"own-{number}"))
    headers = [
        (b"X-Vanillabeam-Prefix-Hash", prompt.encode()),
        (b"X-Vanillabeam-Token-Usage", b"300,4"),
        (b"X-Vanillabeam-Model", b"m"),
    ]
    request_id = f"r-{number}".encode()
    try:
        res = await platform.send_request("/prompts/1", headers, request_id=request_id)
    except (httpcore.NetworkError, httpcore.ProtocolError):
        return 0
    return res.status
