"""Service calls over sockets: at most one execution and a correct run state."""

import pytest
import trio
import trio.testing
from returns.result import Failure, Success

from bench.fake_target import Faults
from tests.answers.builders import CALL_TIMEOUTS, make_call, run_scenario
from vanillabeam.answers import (
    AnswerLost,
    BodyNotKept,
    CallNotRepeated,
    Runner,
    TargetRefused,
)
from vanillabeam.claims import ClaimInProgress, ClaimUnknown, KeyReused
from vanillabeam.config import Repeats
from vanillabeam.exceptions import DeadlineExceeded, Run
from vanillabeam.notices import Notice

REPLY = b"HTTP/1.1 200 ok\r\nContent-Type: text/plain\r\nContent-Length: 2\r\n\r\nok"


async def refund(harness, **fields):
    return await harness.runner.services.call(make_call(**fields))


def test_recorded_outcome_is_replayed_and_the_refund_ran_once():
    async def scenario(harness):
        fake = await harness.serve_fake_target(service="refunds", dedup_keys=False)
        first = (await refund(harness, key="k")).unwrap()
        repeat = (await refund(harness, key="k")).unwrap()
        assert (repeat.status, repeat.body) == (first.status, first.body)
        assert (first.replayed, repeat.replayed) == (False, True)
        assert harness.traces["r1"]["replayed"]
        assert first.run is Run.RAN
        other = await refund(harness, key="k", body=b"{}")
        assert isinstance(other.failure(), KeyReused)
        assert fake.executions["order:7"] == 1

    run_scenario(scenario)


@pytest.mark.parametrize("key", ["", "k"])
def test_connection_dies_before_sending(key):
    async def scenario(harness):
        with trio.socket.socket() as unused:
            await unused.bind(("127.0.0.1", 0))
            harness.permits.add(unused.getsockname()[1])
            failure = (await refund(harness, key=key)).failure()
            assert isinstance(failure, TargetRefused)
            assert failure.run is Run.NOT_RUN
            fake = await harness.serve_fake_target(service="refunds")
            assert isinstance(await refund(harness, key=key), Success)
            assert fake.executions["order:7"] == 1

    run_scenario(scenario)


def test_connection_dies_while_sending():
    async def scenario(harness):
        async def reset(stream, data):
            await stream.aclose()

        requests = await harness.serve_script(reset)
        await harness.serve_fake_target(service="refunds")
        failure = (await refund(harness, body=b"x" * 5_000_000)).failure()
        assert isinstance(failure, CallNotRepeated)
        assert failure.run is Run.UNKNOWN
        assert len(requests) == 1

    run_scenario(scenario)


@pytest.mark.parametrize("reply", [b"", REPLY[:20], REPLY[:-1]])
@pytest.mark.parametrize("silent", [False, True])
def test_connection_dies_or_goes_silent_after_sending(reply, silent):
    async def scenario(harness):
        async def send_part(stream, data):
            await stream.send_all(reply)
            if silent:
                await trio.sleep_forever()
            await stream.aclose()

        requests = await harness.serve_script(send_part)
        fake = await harness.serve_fake_target(service="refunds")
        failure = (await refund(harness, key="k")).failure()
        assert isinstance(failure, CallNotRepeated)
        head_received = reply == REPLY[:-1]
        assert failure.run is (Run.RAN if head_received else Run.UNKNOWN)
        repeat = (await refund(harness, key="k")).failure()
        assert isinstance(repeat, BodyNotKept if head_received else ClaimUnknown)
        assert len(requests) == 1
        assert fake.executions == {}

    run_scenario(scenario)


def test_service_that_handles_keys_is_called_again_with_the_key():
    async def scenario(harness):
        fake = await harness.serve_fake_target(service="refunds")
        fake.engine.faults = Faults(silent_after=0)
        other = await harness.serve_fake_target(service="refunds")
        fields = {"key": "k", "repeats": Repeats.BY_KEY}
        assert isinstance(await refund(harness, **fields), Success)
        assert other.executions["key:k"] == 1

    run_scenario(scenario)


@pytest.mark.parametrize(
    "fields", [{"method": "GET"}, {"repeats": Repeats.SAFE}], ids=["get", "safe"]
)
def test_repeatable_calls_are_retried_on_another_target(fields):
    async def scenario(harness):
        async def hang_up(stream, data):
            await stream.aclose()

        await harness.serve_script(hang_up)
        await harness.serve_fake_target(service="refunds")
        assert isinstance(await refund(harness, **fields), Success)
        assert harness.log.commands == [], "nothing to claim"

    run_scenario(scenario)


def test_repeatable_call_without_an_answer_is_unknown():
    async def scenario(harness):
        async def hang_up(stream, data):
            await stream.aclose()

        await harness.serve_script(hang_up)
        failure = (await refund(harness, method="GET")).failure()
        assert isinstance(failure, AnswerLost)
        assert failure.run is Run.UNKNOWN

    run_scenario(scenario)


def test_refused_call_frees_the_key():
    async def scenario(harness):
        fake = await harness.serve_fake_target(service="refunds")
        fake.leave()
        failure = (await refund(harness, key="k")).failure()
        assert failure.run is Run.NOT_RUN
        fake.engine.leaving = False
        assert isinstance(await refund(harness, key="k"), Success)

    run_scenario(scenario)


def test_late_answer_after_a_timeout_is_recorded():
    async def scenario(harness):
        async def late(stream, data):
            await trio.sleep(0.06)
            await stream.send_all(REPLY)

        await harness.serve_script(late)
        failure = (await refund(harness, key="k", deadline_s=0.03)).failure()
        assert isinstance(failure, DeadlineExceeded)
        assert failure.run is Run.UNKNOWN
        repeat = await refund(harness, key="k")
        while isinstance(repeat, Failure):
            assert isinstance(repeat.failure(), ClaimInProgress)
            await trio.sleep(0.01)
            repeat = await refund(harness, key="k")
        assert repeat.unwrap().body == b"ok"

    run_scenario(scenario)


def test_caller_who_disconnects_does_not_stop_a_refund():
    async def scenario(harness):
        fake = await harness.serve_fake_target(service="refunds")
        fake.engine.faults = Faults(delay_s=0.03)
        with trio.CancelScope() as scope:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(refund, harness, *())
                while not fake.executions:
                    await trio.testing.wait_all_tasks_blocked(0.001)
                scope.cancel()
        await harness.runner.flush()
        assert harness.permits.outcomes == {"completed": 1}

    run_scenario(scenario)


def test_nothing_is_sent_once_the_claim_is_too_old():
    async def scenario(harness):
        fake = await harness.serve_fake_target(service="refunds")
        acquire = harness.runner.services._deps.acquire

        async def stalled(request):
            clock = trio.current_time() + 0.05
            while trio.current_time() < clock:
                pass
            return await acquire(request)

        harness.runner.services._deps = harness.runner.services._deps._replace(
            acquire=stalled
        )
        failure = (await refund(harness, key="k", deadline_s=0.02)).failure()
        assert failure.run is Run.NOT_RUN
        assert fake.executions == {}

    run_scenario(scenario)


def test_without_quorum_nothing_is_sent():
    async def scenario(harness):
        fake = await harness.serve_fake_target(service="refunds")
        harness.log.quorum = False
        failure = (await refund(harness, key="k")).failure()
        assert failure.type == "claims-unavailable"
        assert failure.run is Run.NOT_RUN
        assert fake.executions == {}

    run_scenario(scenario)


def test_hop_by_hop_headers_are_not_forwarded():
    async def scenario(harness):
        async def answer(stream, data):
            head = b"HTTP/1.1 200 ok\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-End: 2\r\n"
            await stream.send_all(head + b"Content-Length: 0\r\n\r\n")

        requests = await harness.serve_script(answer)
        reply = (await refund(harness, headers=(("X-Depot", "9"),), key="k")).unwrap()
        assert reply.headers == (("x-end", "2"),)
        assert b"X-Depot: 9\r\n" in requests[0]
        assert b"Idempotency-Key: k\r\n" in requests[0]

    run_scenario(scenario)


class Board:
    """Notices of targets, and the targets to which nothing may be sent."""

    def __init__(self):
        self.notices = []
        self.withdrawn = set()

    def record_notice(self, permit, notice):
        self.notices.append((permit.target, notice))

    def may_send(self, permit):
        return permit.target not in self.withdrawn


def answer_with(head, body=b"{}"):
    async def answer(stream, data):
        length = b"Content-Length: %d\r\n" % len(body)
        await stream.send_all(head + length + b"\r\n" + body)

    return answer


def test_what_a_target_says_of_itself_is_recorded_and_not_passed_on():
    async def scenario(harness):
        board = Board()
        harness.runner = make_runner(harness, board)
        await harness.nursery.start(harness.runner.run)
        await harness.serve_script(
            answer_with(
                b"HTTP/1.1 503 Busy\r\nVanillabeam-Run: not-run\r\nRetry-After: 2.5\r\n"
            )
        )
        await harness.serve_script(
            answer_with(b"HTTP/1.1 200 OK\r\nVanillabeam-Leaving: 1\r\n")
        )
        answer = (await refund(harness, method="GET")).unwrap()
        assert board.notices == [
            ("t1", Notice(pause="2.5")),
            ("t2", Notice(leaving=True)),
        ]
        assert "vanillabeam-leaving" not in dict(answer.headers)

    run_scenario(scenario)


def test_a_call_is_not_sent_to_a_target_that_was_withdrawn_after_its_permit():
    async def scenario(harness):
        board = Board()
        board.withdrawn.add("t1")
        harness.runner = make_runner(harness, board)
        await harness.nursery.start(harness.runner.run)
        requests = await harness.serve_script(answer_with(b"HTTP/1.1 200 OK\r\n"))
        fake = await harness.serve_fake_target(service="refunds")
        assert isinstance(await refund(harness, key="k"), Success)
        assert requests == []
        assert fake.executions["order:7"] == 1

    run_scenario(scenario)


def make_runner(harness, board):
    return Runner(
        harness.permits.acquire,
        harness.permits.release,
        harness.claims,
        call_timeouts=CALL_TIMEOUTS,
        notices=board,
    )
