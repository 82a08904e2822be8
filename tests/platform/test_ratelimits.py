"""Workers that name a limit, before several entry VMs."""

import random
from collections import deque

import trio

from tests.platform.builders import make_document
from tests.platform.standin import Worker, running_platform, send_answer

ENTRIES = 4
WORKERS = 6
#: Callers' requests a second, evenly over the entry VMs.
REQUESTS_S = 36.0
#: Limits of three of the workers, which get 6 requests a second each before.
LIMITS = {"i-0": 2.0, "i-1": 0.3, "i-2": 3.0}
BEFORE_S, LIMITED_S, AFTER_S = 1.0, 12.0, 7.0
#: Seconds from a limit's first answer until all VMs know it.
KNOWN_S = 1.0
#: The rule of the users' pages: from ``contact_ms`` on, in some 4 s.
CONTACT_S, WINDOW_S, RULE_FACTOR, RULE_SPARE = 3.0, 4.0, 1.5, 5
#: Requests beyond the limit itself in some 4 s: what may be saved up.
SPARE = 2


class LimitedWorker(Worker):
    """A worker that may name a limit in its answers.

    :ivar limit: value of the header; empty for none.
    :ivar arrivals_s: times at which requests came.
    """

    def __init__(self, name):
        super().__init__(name)
        self.limit = ""
        self.arrivals_s = []

    @property
    def script(self):
        return [self._answer]

    @script.setter
    def script(self, answers):
        """Ignore the answers of the base class: all requests are answered alike."""

    async def _answer(self, headers, send):
        self.arrivals_s.append(trio.current_time())
        extra = [(b"server-limit", self.limit.encode())] if self.limit else []
        await send_answer(send, 200, b"{}", headers, extra)

    def most_in_window(self, since_s, until_s):
        """Return the most requests that came in some 4 s of a time."""
        window, most = deque(), 0
        for at_s in self.arrivals_s:
            if since_s <= at_s < until_s:
                window.append(at_s)
                while window[0] <= at_s - WINDOW_S:
                    window.popleft()
                most = max(most, len(window))
        return most

    def rate_s(self, since_s, until_s):
        """Return the requests a second that came in a time."""
        count = sum(since_s <= at_s < until_s for at_s in self.arrivals_s)
        return count / (until_s - since_s)


class Run:
    """What came of one run.

    :ivar answers: status of each caller's answer.
    """

    def __init__(self, workers):
        self.workers = {worker.name: worker for worker in workers}
        self.answers = []
        self.headers = set()
        self.named_s = self.ended_s = 0.0


async def call_forever(platform, entry, run, rng):
    async with trio.open_nursery() as nursery:
        while True:
            await trio.sleep(rng.expovariate(REQUESTS_S / ENTRIES))
            nursery.start_soon(call, platform, entry, run)


async def call(platform, entry, run):
    answer = await platform.send_request(entry=entry)
    run.answers.append(answer.status)
    run.headers |= {name.lower() for name, _ in answer.headers}


def play(folder):
    """Let three of six workers name a limit for some time; return what came of it."""

    async def main():
        async with running_platform(folder) as platform:
            for number in range(1, ENTRIES):
                await platform.start_entry(number)
            await platform.call_control("POST", "/api/Config.Put", make_document())
            run = Run([LimitedWorker(f"i-{number}") for number in range(WORKERS)])
            for worker in run.workers.values():
                await platform.add_worker(worker, service="app")
            async with trio.open_nursery() as nursery:
                for entry in range(ENTRIES):
                    await platform.wait_ready(entry)
                    rng = random.Random(entry)
                    nursery.start_soon(call_forever, platform, entry, run, rng)
                await trio.sleep(BEFORE_S)
                for name, limit in LIMITS.items():
                    run.workers[name].limit = str(limit)
                run.named_s = trio.current_time()
                await trio.sleep(LIMITED_S)
                for name in LIMITS:
                    run.workers[name].limit = ""
                run.ended_s = trio.current_time()
                await trio.sleep(AFTER_S)
                nursery.cancel_scope.cancel()
            return run

    return trio.run(main)


# Guards against entry VMs that send a target more than the limit that it names (LIMIT),
# that leave a part of the limit unused, or that never return to its full rate.
def test_a_limit_is_kept_by_all_entry_vms_together_and_used(tmp_path):
    run = play(tmp_path)
    for name, limit_s in LIMITS.items():
        worker = run.workers[name]
        most = worker.most_in_window(run.named_s + CONTACT_S, run.ended_s)
        assert most <= RULE_FACTOR * WINDOW_S * limit_s + RULE_SPARE, name
        most = worker.most_in_window(run.named_s + KNOWN_S, run.ended_s)
        assert most <= WINDOW_S * limit_s + SPARE, name
        used_s = worker.rate_s(run.named_s + KNOWN_S, run.ended_s)
        span_s = LIMITED_S - KNOWN_S
        # Less by one request at most: the last one may be due a moment later.
        assert used_s >= 0.9 * limit_s - 1 / span_s, name
        later_s = run.ended_s + AFTER_S
        assert worker.rate_s(later_s - 2.0, later_s) > 1.5, name
    assert set(run.answers) == {200}
    assert b"server-limit" not in run.headers
