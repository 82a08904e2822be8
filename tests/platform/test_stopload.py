"""A planned stop of an entry VM's process while many callers send requests."""

import signal

import trio

from tests.platform.entryprocess import (
    make_head,
    make_routes,
    read_all,
    running_processes,
)
from tests.platform.rawworker import raw_answer

CALLERS = 24
WORK_S = 0.02
STOP_TIMEOUT_S = 15.0
PLAIN = b"text/plain"
GOOD = raw_answer(b"ok", (b"Content-Length: 2",), content_type=PLAIN)


class Callers:
    """Callers that send one request after the other on kept connections.

    :ivar answered: ids of the requests that got a whole answer.
    :ivar lost: ids of the requests whose connection ended without one.
    """

    def __init__(self, processes):
        self.answered, self.lost = set(), set()
        self._processes = processes

    async def call(self, number):
        """Send requests until the VM takes no more connections."""
        count = 0
        while True:
            try:
                stream = await self._processes.connect()
            except OSError:
                return
            is_kept = True
            async with stream:
                while is_kept:
                    count += 1
                    is_kept = await self._ask(stream, b"r-%d-%d" % (number, count))

    async def _ask(self, stream, request_id):
        head = make_head(length=0).replace(b"r-1", request_id)
        data = b""
        try:
            # Requests arrive in pieces, as on a network.
            await stream.send_all(head[:40])
            await stream.send_all(head[40:])
            while not data.endswith(b"\r\n\r\nok"):
                part = await stream.receive_some(65_536)
                if not part:
                    break
                data += part
        except trio.BrokenResourceError:
            pass
        if not data.endswith(b"\r\n\r\nok"):
            self.lost.add(request_id)
            return False
        self.answered.add(request_id)
        return b"connection: close" not in data.lower()


# Guards against requests that a stopping VM has passed on and that get no answer.
def test_every_request_that_a_stopping_vm_passes_on_is_answered(tmp_path):
    async def main():
        received = set()

        async def answer(headers, stream):
            received.add(headers[b"x-vanillabeam-request-id"])
            await trio.sleep(WORK_S)
            await GOOD(headers, stream)

        document = make_routes(timeout_ms=5_000)
        async with running_processes(tmp_path, document, answer) as processes:
            callers = Callers(processes)
            async with trio.open_nursery() as nursery:
                for number in range(CALLERS):
                    nursery.start_soon(callers.call, number)
                await trio.sleep(0.5)
                processes.entry.process.send_signal(signal.SIGTERM)
            wait = processes.entry.process.wait
            code = await trio.to_thread.run_sync(wait, STOP_TIMEOUT_S)
        return callers, received, code

    callers, received, code = trio.run(main)
    assert code == 0
    assert len(callers.answered) > CALLERS
    assert not callers.lost & received


LONG_WORK_S = 20.0
LONG_LIMIT_MS = 30_000
#: Seconds after the signal at which late requests are sent: the last ones before the
#: listener closes, and after it on a connection that was open before.
LATE_S = (0.2, 1.4, 2.3)


async def ask_late(processes, at_s, path, results):
    """Send a request some time after the signal; keep what came of it."""
    await trio.sleep(at_s)
    stream = await processes.connect()
    async with stream:
        await stream.send_all(make_head(path, length=0, deadline=LONG_LIMIT_MS))
        read = await read_all(stream)
    results[path, at_s] = read.data


# Guards against requests that come late in the grace, are passed on, and are cut
# without an answer when it ends.
def test_a_request_late_in_the_grace_gets_a_whole_answer(tmp_path):
    async def main():
        async def answer(headers, stream):
            await trio.sleep(LONG_WORK_S)
            await GOOD(headers, stream)

        document, results = make_routes(timeout_ms=LONG_LIMIT_MS), {}
        async with running_processes(tmp_path, document, answer) as processes:
            await trio.sleep(0.5)
            processes.entry.process.send_signal(signal.SIGTERM)
            async with trio.open_nursery() as nursery:
                for at_s in LATE_S:
                    for path in ("/orders/1", "/prompts/1"):
                        args = (processes, at_s, path, results)
                        nursery.start_soon(ask_late, *args)
            wait = processes.entry.process.wait
            code = await trio.to_thread.run_sync(wait, STOP_TIMEOUT_S)
        return results, code

    results, code = trio.run(main)
    assert code == 0
    assert len(results) == 2 * len(LATE_S)
    for data in results.values():
        head, _, body = data.partition(b"\r\n\r\n")
        assert head.split(b" ", 2)[1] in (b"503", b"504"), data
        length = dict(line.split(b": ") for line in head.lower().split(b"\r\n")[1:])
        assert len(body) == int(length[b"content-length"])
