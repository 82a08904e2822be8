"""A planned stop of an entry VM's process while many callers send requests."""

import signal

import trio

from tests.platform.entryprocess import make_head, make_routes, running_processes
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
