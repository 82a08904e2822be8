import trio
import trio.testing
from returns.result import Failure

from vanillabeam.exceptions import BodyTooLarge, BodyTooSlow, MalformedBody
from vanillabeam.fleet import Limits
from vanillabeam.forwarding.exceptions import AnswerBroken, NoTarget
from vanillabeam.forwarding.sending.downstream import ResponseWriter, read_body


def run(function, *args):
    clock = trio.testing.MockClock(autojump_threshold=0)
    return trio.run(function, *args, clock=clock)


def receiver(*messages, pause_s=0.0):
    waiting = list(messages)

    async def receive():
        await trio.sleep(pause_s)
        return waiting.pop(0) if waiting else await trio.sleep_forever()

    return receive


def part(body, more=True):
    return {"type": "http.request", "body": body, "more_body": more}


def test_cancellation_does_not_interrupt_the_sending_of_a_message():
    """An interrupted server would send a second head, and end the process."""
    started, ended = [], []

    async def send(message):
        started.append(message["type"])
        await trio.sleep(1.0)
        ended.append(message["type"])

    async def main():
        with trio.move_on_after(0.5):
            await ResponseWriter(send).send_response(200, [], b"body")

    run(main)
    assert started[0] == "http.response.start"
    assert ended == started


def test_hop_by_hop_headers_are_not_forwarded():
    sent = []

    async def send(message):
        sent.append(message)

    headers = [
        (b"Connection", b"keep-alive, X-Hop"),
        (b"X-Hop", b"1"),
        (b"Keep-Alive", b"timeout=5"),
        (b"Transfer-Encoding", b"chunked"),
        (b"X-Stamp", b"s"),
    ]
    run(ResponseWriter(send).send_response, 200, headers, b"body")
    assert sent[0]["headers"] == [(b"x-stamp", b"s"), (b"content-length", b"4")]


def test_retry_after_is_sent_only_if_the_request_has_not_run():
    async def head_of(exc):
        sent = []

        async def send(message):
            sent.append(message)

        await ResponseWriter(send).send_problem(exc, 0.75)
        return sent[0]["status"], dict(sent[0]["headers"]).get(b"retry-after")

    assert run(head_of, NoTarget()) == (503, b"0.75")
    assert run(head_of, AnswerBroken()) == (502, None)


def test_a_draining_vm_closes_the_connection_after_its_answer():
    sent = []

    async def send(message):
        sent.append(message)

    run(ResponseWriter(send, closes=lambda: True).send_response, 200, [], b"")
    assert (b"connection", b"close") in sent[0]["headers"]


def test_a_body_is_read_within_its_limits():
    limits = Limits(body_bytes=4, idle_s=1.0)
    complete = receiver(part(b"ab"), part(b"cd", more=False))
    assert run(read_body, complete, limits).unwrap() == b"abcd"
    faults = {
        BodyTooLarge: receiver(part(b"abc"), part(b"de")),
        BodyTooSlow: receiver(part(b"a"), pause_s=2.0),
        MalformedBody: receiver(part(b"a"), {"type": "http.disconnect"}),
    }
    for kind, receive in faults.items():
        result = run(read_body, receive, limits)
        assert isinstance(result, Failure)
        assert isinstance(result.failure(), kind)
