"""What workers say of themselves in their answers, end to end."""

from functools import partial

import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, raw_answer
from tests.platform.standin import running_platform, wait_until

OK = (b"Content-Length: 2",)
PLAIN = {"content_type": b"text/plain"}


async def start_raw_workers(platform, *names):
    await platform.call_control("POST", "/api/Config.Put", make_document())
    workers = [RawWorker(name) for name in names]
    for worker in workers:
        worker.answers = [raw_answer(b"ok", OK, **PLAIN)]
        await platform.add_worker(worker, service="app")
    await platform.wait_ready()
    for name in names:
        await wait_until(partial(platform.has_target, name))
    return workers


def count_after(tmp_path, answer, requests=6):
    """Return how many of some requests reach a worker after it gave an answer.

    :returns: that number, and the answer to the first request.
    """

    async def main():
        async with running_platform(tmp_path) as platform:
            workers = await start_raw_workers(platform, "i-1", "i-2")
            for worker in workers:
                worker.answers = [answer]
            first = await platform.send_request()
            speaker = next(each for each in workers if each.received_headers)
            for worker in workers:
                worker.answers = [raw_answer(b"ok", OK, **PLAIN)]
            for _ in range(requests):
                assert (await platform.send_request()).status == 200
            return len(speaker.received_headers) - 1, first

    return trio.run(main)


def test_a_worker_that_says_that_it_leaves_gets_no_further_request(tmp_path):
    leaves = raw_answer(b"ok", (*OK, b"Server-Leaving: 1"), **PLAIN)
    count, first = count_after(tmp_path, leaves)
    assert (count, first.status) == (0, 200)
    assert b"server-leaving" not in {name.lower() for name, _ in first.headers}


def test_a_worker_that_asks_for_a_pause_gets_no_request_in_that_time(tmp_path):
    refusal = raw_answer(
        b"ok",
        (*OK, b"Retry-After: 3", b"X-Vanillabeam-Not-Executed: 1"),
        status=b"503 Service Unavailable",
        **PLAIN,
    )
    count, first = count_after(tmp_path, refusal)
    assert (count, first.status) == (0, 503)
    assert 0 < float(dict(first.headers)[b"retry-after"]) < 1.0


def test_a_worker_that_leaves_in_its_answer_to_an_order_is_left_alone_by_all(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            worker = RawWorker("i-1")
            worker.answers = [
                raw_answer(
                    b"{}",
                    (b"Content-Length: 2", b"Server-Leaving: 1"),
                    content_type=b"application/json",
                    status=b"202 Accepted",
                )
            ]
            await platform.call_control("POST", "/api/Config.Put", make_document())
            await platform.add_worker(worker)
            await platform.wait_ready()
            order = {"model": "m", "version": 2}
            await platform.call_control("POST", "/api/version-put", order)
            await wait_until(partial(is_draining, platform, "i-1"))

    trio.run(main)


def is_draining(platform, name):
    """Return whether the entry VM sends a worker nothing."""
    directory = platform.vms["front"][0].follower.directory
    return any(each.name == name and each.draining for each in directory.targets())
