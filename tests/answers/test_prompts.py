"""Prompts over sockets: complete answers, lost connections, failures, deadlines."""

import msgspec
import trio
import trio.testing
from returns.result import Failure

from bench.fake_target import Faults
from tests.answers.builders import make_piece, make_prompt, run_scenario, stream_text
from vanillabeam.answers import AnswerCut, AnswerLost, PromptRejected, TargetRefused
from vanillabeam.exceptions import DeadlineExceeded, Run

WORDS = 6


def word_numbers(text):
    return [int(word.partition("~")[0]) for word in text.split()]


def assert_complete(stream):
    assert word_numbers(stream_text(stream)) == list(range(WORDS))


def test_answer_is_complete_and_traced():
    async def scenario(harness):
        await harness.serve_fake_target()
        assert_complete(await harness.read(make_prompt()))
        trace = harness.traces["r1"]
        assert trace["run"] == "ran"
        assert trace["failure"] is None
        assert [a["target"] for a in trace["attempts"]] == ["t1"]
        assert harness.permits.released == [("p1", "completed")]

    run_scenario(scenario)


def test_caller_without_stream_gets_one_completion_object():
    async def scenario(harness):
        await harness.serve_fake_target()
        for chat in (True, False):
            reply = await harness.read(make_prompt(stream=False, chat=chat))
            value = msgspec.json.decode(reply)
            choice = value["choices"][0]
            text = choice["message"]["content"] if chat else choice["text"]
            assert word_numbers(text) == list(range(WORDS))
            assert choice["finish_reason"] == "stop"
            assert value["usage"]["completion_tokens"] == WORDS

    run_scenario(scenario)


def test_refused_connection_counts_as_not_run():
    async def scenario(harness):
        with trio.socket.socket() as unused:
            await unused.bind(("127.0.0.1", 0))
            harness.permits.add(unused.getsockname()[1])
            failure = await harness.read(make_prompt())
            assert isinstance(failure, TargetRefused)
            assert failure.run is Run.NOT_RUN
            await harness.serve_fake_target()
            assert_complete(await harness.read(make_prompt()))
        assert harness.permits.outcomes == {"not-run": 3, "completed": 1}

    run_scenario(scenario)


def test_connection_dies_after_sending():
    async def scenario(harness):
        async def hang_up(stream, data):
            await stream.aclose()

        requests = await harness.serve_script(hang_up)
        failure = await harness.read(make_prompt())
        assert isinstance(failure, AnswerLost)
        assert failure.run is Run.UNKNOWN
        assert b"GET /runs/r1-1?after=0 " in requests[1], (
            "the run must be resumed first"
        )
        await harness.serve_fake_target()
        assert_complete(await harness.read(make_prompt()))

    run_scenario(scenario)


def test_silent_after_headers_is_resumed_on_a_new_connection():
    async def scenario(harness):
        fake = await harness.serve_fake_target()
        fake.engine.faults = Faults(silent_after=0, first_connections=1)
        assert_complete(await harness.read(make_prompt()))
        assert fake.connections == 2
        assert fake.engine.started == ["r1-1"], "one run, two connections"

    run_scenario(scenario)


def test_silent_or_cut_in_the_middle_is_resumed():
    async def scenario(harness):
        fake = await harness.serve_fake_target()
        for faults in (
            Faults(silent_after=3, first_connections=1),
            Faults(cut_after=3, first_connections=1),
        ):
            fake.engine.faults = faults
            fake.connections = 0
            assert_complete(await harness.read(make_prompt()))
            assert fake.connections == 2

    run_scenario(scenario)


# Guards against an engine that stalls inside an event and sends a byte now and then: it
# was waited for until the deadline.
def test_a_trickle_inside_an_event_counts_as_silence():
    async def scenario(harness):
        async def stall(stream, data):
            if data.startswith(b"GET "):
                await stream.send_all(b"HTTP/1.1 404 Gone\r\nContent-Length: 0\r\n\r\n")
                return
            head = b"HTTP/1.1 200 OK\r\nVanillabeam-Model-Version: v1\r\n"
            await stream.send_all(
                head + b"Content-Type: text/event-stream\r\n\r\nid: 1"
            )
            while True:
                await trio.sleep(0.02)
                await stream.send_all(b" ")

        requests = await harness.serve_script(stall)
        await harness.serve_fake_target()
        with trio.fail_after(5.0):
            assert_complete(await harness.read(make_prompt(deadline_s=20.0)))
        assert len(requests) > 1

    run_scenario(scenario)


# Guards against a run that is taken for silent although its engine says that it waits.
def test_comments_of_an_engine_count_as_life():
    async def scenario(harness):
        async def wait_long(stream, data):
            head = b"HTTP/1.1 200 OK\r\nVanillabeam-Model-Version: v1\r\n"
            await stream.send_all(head + b"Content-Type: text/event-stream\r\n\r\n")
            for _ in range(10):
                await trio.sleep(0.04)
                await stream.send_all(b": ali")
                await trio.sleep(0.04)
                await stream.send_all(b"ve\n\n")
            piece = make_piece(1, last=True)
            end = b'event: end\ndata: {"pieces": 1, "version": "v1"}\n\n'
            await stream.send_all(b"id: 1\ndata: " + piece.data + b"\n\n" + end)

        requests = await harness.serve_script(wait_long)
        assert stream_text(await harness.read(make_prompt(tokens=1))) == "1 "
        assert len(requests) == 1

    run_scenario(scenario)


def test_duplicated_reordered_and_lost_pieces_make_a_complete_answer():
    async def scenario(harness):
        fake = await harness.serve_fake_target(decode_tokens_s=1e6)
        fake.engine.faults = Faults(
            duplicate=0.3, reorder=0.3, lose=0.2, first_connections=1
        )
        for _ in range(5):
            fake.connections = 0
            assert_complete(await harness.read(make_prompt()))

    run_scenario(scenario)


def test_run_lost_by_its_engine_is_continued_on_another():
    async def scenario(harness):
        first, second = (
            await harness.serve_fake_target(),
            await harness.serve_fake_target(),
        )
        first.engine.faults = Faults(cut_after=3, forget_runs=True)
        assert_complete(await harness.read(make_prompt()))
        assert second.engine.started == ["r1-2"]
        assert harness.permits.acquire_requests[1].version == "v1"
        assert first.engine.cancelled == ["r1-1"]
        reply = await harness.read(make_prompt(stream=False))
        usage = msgspec.json.decode(reply)["usage"]
        assert usage["completion_tokens"] == WORDS

    run_scenario(scenario)


def test_only_target_is_tried_again_after_a_restart():
    async def scenario(harness):
        fake = await harness.serve_fake_target()
        acquire = harness.permits.acquire

        async def acquire_then_restart(request):
            result = await acquire(request)
            if len(harness.permits.acquire_requests) == 1:
                fake.engine.restart()
                return result
            boot = {"boot_id": fake.engine.boot_id}
            return result.map(lambda permit: permit._replace(**boot))

        harness.runner.prompts._deps = harness.runner.prompts._deps._replace(
            acquire=acquire_then_restart
        )
        assert_complete(await harness.read(make_prompt()))
        assert harness.permits.outcomes == {"not-run": 1, "completed": 1}

    run_scenario(scenario)


def test_without_another_engine_the_stream_ends_with_an_error_event():
    async def scenario(harness):
        fake = await harness.serve_fake_target()
        fake.engine.faults = Faults(cut_after=3, forget_runs=True)
        stream = await harness.read(make_prompt())
        error = msgspec.json.decode(stream.split(b"data: ")[-1])["error"]
        assert (error["code"], error["run"]) == ("answer-cut", "ran")
        assert b"[DONE]" not in stream
        failure = await harness.read(make_prompt(stream=False))
        assert isinstance(failure, AnswerCut)

    run_scenario(scenario)


def test_refusals_of_every_target_are_not_run():
    async def scenario(harness):
        for _ in range(2):
            (await harness.serve_fake_target()).engine.faults = Faults(refuse="full")
        failure = await harness.read(make_prompt())
        assert isinstance(failure, TargetRefused)
        assert failure.run is Run.NOT_RUN

    run_scenario(scenario)


def test_rejected_parameters_reach_the_caller():
    async def scenario(harness):
        async def reject(stream, data):
            await stream.send_all(
                b"HTTP/1.1 422 no\r\nContent-Length: 7\r\n\r\ntoo hot"
            )

        await harness.serve_script(reject)
        failure = await harness.read(make_prompt())
        assert isinstance(failure, PromptRejected)
        assert (failure.status, failure.detail) == (422, "too hot")

    run_scenario(scenario)


def test_engine_of_another_version_is_not_used():
    async def scenario(harness):
        async def other(stream, data):
            await stream.send_all(
                b"HTTP/1.1 200 ok\r\nVanillabeam-Model-Version: v2\r\n\r\n"
                b'id: 1\ndata: {"choices":[{"delta":{"content":"x"}}]}\n\n'
            )

        await harness.serve_script(other)
        await harness.serve_fake_target()
        assert_complete(await harness.read(make_prompt()))

    run_scenario(scenario)


def test_late_answer_after_the_deadline_is_dropped():
    async def scenario(harness):
        fake = await harness.serve_fake_target()
        fake.engine.faults = Faults(delay_s=0.08)
        failure = await harness.read(make_prompt(deadline_s=0.04))
        assert isinstance(failure, DeadlineExceeded)
        assert failure.run is Run.UNKNOWN
        fake.engine.faults = Faults()
        assert_complete(await harness.read(make_prompt()))

    run_scenario(scenario)


def test_deadline_before_anything_was_sent_is_not_run():
    async def scenario(harness):
        async def never(request):
            await trio.sleep_forever()

        harness.runner.prompts._deps = harness.runner.prompts._deps._replace(
            acquire=never
        )
        failure = await harness.read(make_prompt(deadline_s=0.02))
        assert failure.run is Run.NOT_RUN

    run_scenario(scenario)


def test_caller_who_disconnects_cancels_the_run():
    async def scenario(harness):
        fake = await harness.serve_fake_target(decode_tokens_s=50.0)
        answer = (await harness.runner.prompts.open(make_prompt(tokens=500))).unwrap()
        await anext(answer)
        await answer.aclose()
        assert harness.permits.released == [("p1", "cancelled")]
        assert harness.traces["r1"]["failure"] == "caller-left"
        while not fake.engine.cancelled:
            await trio.testing.wait_all_tasks_blocked(0.001)
        assert fake.engine.cancelled == ["r1-1"]

    run_scenario(scenario)


def test_caller_who_disconnects_before_the_first_piece_cancels_the_run():
    async def scenario(harness):
        fake = await harness.serve_fake_target(prefill_tokens_s=0.01)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(harness.read, make_prompt())
                while not fake.engine.started:
                    await trio.testing.wait_all_tasks_blocked(0.001)
                scope.cancel()
        while not fake.engine.cancelled:
            await trio.testing.wait_all_tasks_blocked(0.001)
        assert harness.permits.outcomes == {"cancelled": 1}

    run_scenario(scenario)


def test_slow_caller_holds_the_engine_back_in_bounded_memory():
    async def scenario(harness):
        sent = 0
        event = b'id: %d\ndata: {"choices":[{"delta":{"content":"%b"}}]}\n\n'

        async def flood(stream, data):
            nonlocal sent
            await stream.send_all(b"HTTP/1.1 200 ok\r\n\r\n")
            for number in range(1, 100_000):
                await stream.send_all(event % (number, b"x" * 1000))
                sent += 1000

        await harness.serve_script(flood)
        answer = (await harness.runner.prompts.open(make_prompt())).unwrap()
        before = -1
        while before != sent:
            before = sent
            await trio.sleep(0.05)
        buffered = answer._connection._buffered
        assert 256 * 1024 <= buffered < 512 * 1024
        assert sent < 50_000_000
        await answer.aclose()

    run_scenario(scenario)


def test_open_returns_a_failure():
    async def scenario(harness):
        assert isinstance(await harness.runner.prompts.open(make_prompt()), Failure)

    run_scenario(scenario)
