"""What workers say of themselves in their answers, end to end."""

from functools import partial

import trio

from tests.platform.builders import make_document
from tests.platform.rawworker import RawWorker, chunked, raw_answer
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


STREAM = (b"Transfer-Encoding: chunked",)
MODEL = ((b"X-Vanillabeam-Model", b"m"),)


def events(first, last):
    return b"".join(b"id: %d\ndata: piece\n\n" % n for n in range(first, last + 1))


def open_chunk(body):
    """Return a body's first chunk, without the end mark."""
    return b"%x\r\n%b\r\n" % (len(body), body)


# Guards against a stream that is resumed at the worker which says that it leaves.
def test_a_stream_is_not_resumed_at_a_worker_that_leaves(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            await platform.call_control("POST", "/api/Config.Put", make_document())
            workers = [RawWorker("i-1"), RawWorker("i-2")]
            leaves = (*STREAM, b"Server-Leaving: 1")
            for worker in workers:
                worker.answers = [
                    raw_answer(open_chunk(events(1, 2)), leaves, is_reset=True)
                ]
                await platform.add_worker(worker)
            await platform.wait_ready()
            for worker in workers:
                await wait_until(partial(platform.has_target, worker.name))
            sending = partial(platform.send_request, "/prompts/1", MODEL)
            result = []

            async def send():
                result.append(await sending())

            async with trio.open_nursery() as nursery:
                nursery.start_soon(send)
                await wait_until(lambda: any(w.received_headers for w in workers))
                first, other = sorted(workers, key=lambda w: not w.received_headers)
                other.answers = [raw_answer(chunked(events(3, 4)), STREAM)]
            await sending()
            (answer,) = result
            return answer, len(first.received_headers), other.received_headers

    answer, count, received = trio.run(main)
    assert answer.content == events(1, 4)
    assert count == 1
    assert received[0][b"last-event-id"] == b"2"
    assert len(received) == 2


def refuse_for(seconds):
    return raw_answer(
        b"ok",
        (*OK, b"Retry-After: %d" % seconds, b"X-Vanillabeam-Not-Executed: 1"),
        status=b"503 Service Unavailable",
        **PLAIN,
    )


# Guards against requests that are sent to paused workers, or held, as all are paused.
def test_if_all_workers_are_paused_requests_are_refused_at_once(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            workers = await start_raw_workers(platform, "i-1", "i-2")
            for worker in workers:
                worker.answers = [refuse_for(30)]
            while not all(worker.received_headers for worker in workers):
                await platform.send_request()
            counts = [len(worker.received_headers) for worker in workers]
            began_s = trio.current_time()
            answers = [await platform.send_request() for _ in range(5)]
            took_s = trio.current_time() - began_s
            return counts, [len(w.received_headers) for w in workers], answers, took_s

    before, after, answers, took_s = trio.run(main)
    assert before == after == [1, 1]
    assert {answer.status for answer in answers} == {503}
    assert all(float(dict(a.headers)[b"retry-after"]) > 10 for a in answers)
    # Each is refused long before the 0.8 s of its route.
    assert took_s < 5 * 0.4


# Guards against a pause that never ends.
def test_a_worker_gets_requests_again_after_its_pause(tmp_path):
    async def main():
        async with running_platform(tmp_path) as platform:
            (worker,) = await start_raw_workers(platform, "i-1")
            worker.answers = [refuse_for(1), raw_answer(b"ok", OK, **PLAIN)]
            assert (await platform.send_request()).status == 503
            refused_s = trio.current_time()
            while (await platform.send_request()).status != 200:
                assert trio.current_time() < refused_s + 5.0
            return trio.current_time() - refused_s

    assert trio.run(main) >= 1.0
