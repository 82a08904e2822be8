"""Builders of requests, permits and pieces, and a harness with scripted targets."""

import functools
from collections import Counter

import msgspec
import trio
from returns.result import Failure, Success

from bench.fake_target import FakeTarget, FakeTargetSettings, serve
from tests.claims.builders import FakeLog, make_claims
from vanillabeam.answers import (
    CallTimeouts,
    ConnectionTimeouts,
    PromptRequest,
    PromptTimeouts,
    Runner,
    ServiceRequest,
)
from vanillabeam.answers.events import Piece
from vanillabeam.exceptions import NoEligibleTarget
from vanillabeam.targets import Permit, RouteRequest

CONNECTION_TIMEOUTS = ConnectionTimeouts(connect_timeout_s=1.0, idle_timeout_s=0.1)
PROMPT_TIMEOUTS = PromptTimeouts(connection=CONNECTION_TIMEOUTS)
CALL_TIMEOUTS = CallTimeouts(connection=CONNECTION_TIMEOUTS)


def make_permit(target="t1", address="127.0.0.1:1", version="v1", number=1):
    return Permit(
        id=f"p{number}",
        target=target,
        boot_id=f"{target}-boot1",
        address=address,
        data_centre="dc1",
        owner="e1",
        version=version,
        epoch=1,
        expires_s=1e9,
    )


def make_piece(number, text=None, last=False, text_only=True):
    text = f"{number} " if text is None else text
    choice = {"index": 0, "delta": {"content": text}, "finish_reason": None}
    if last:
        choice["finish_reason"] = "stop"
    data = msgspec.json.encode({"id": "c", "choices": [choice]})
    return Piece(number, data, text, last, text_only)


def make_prompt(tokens=6, stream=True, deadline_s=30.0, chat=True, **route):
    messages = {"messages": [{"role": "user", "content": "count"}]}
    body = {"model": "m", "max_tokens": tokens, "stream": stream}
    route_fields = {"model": "m", "version": "v1", "deadline_s": deadline_s}
    return PromptRequest(
        RouteRequest("r1", "w", **route_fields, **route),
        "/v1/chat/completions" if chat else "/v1/completions",
        {**body, **(messages if chat else {"prompt": "count"})},
        stream,
    )


def make_call(method="POST", key="", deadline_s=30.0, body=b'{"order": 7}', **fields):
    route = RouteRequest("r1", "w", service="refunds", deadline_s=deadline_s)
    return ServiceRequest(
        route, method, "pay", body=body, idempotency_key=key, **fields
    )


class FakePermits:
    """Grants permits for the targets of a list, in order; records releases."""

    def __init__(self):
        self.targets: list[tuple[str, str]] = []
        self.acquire_requests: list[RouteRequest] = []
        self.released: list[tuple[str, str]] = []
        self.outcomes: Counter[str] = Counter()

    def add(self, port, name=None):
        name = name or f"t{len(self.targets) + 1}"
        self.targets.append((name, f"127.0.0.1:{port}"))

    async def acquire(self, request):
        self.acquire_requests.append(request)
        for name, address in self.targets:
            if name not in request.excluded:
                number = len(self.acquire_requests)
                return Success(make_permit(name, address, number=number))
        return Failure(NoEligibleTarget("none left"))

    def release(self, permit, outcome):
        assert permit.id not in [released for released, _ in self.released]
        self.released.append((permit.id, str(outcome.kind)))
        self.outcomes[str(outcome.kind)] += 1


class Harness:
    """A runner with its claims log, permits and traces."""

    def __init__(self, nursery):
        self.nursery = nursery
        self.permits = FakePermits()
        self.log = FakeLog()
        self.claims = make_claims(self.log)
        self.traces = {}
        self.runner = Runner(
            self.permits.acquire,
            self.permits.release,
            self.claims,
            trace=self.traces.__setitem__,
            prompt_timeouts=PROMPT_TIMEOUTS,
            call_timeouts=CALL_TIMEOUTS,
        )

    async def serve_fake_target(self, **settings):
        """Serve a fake target and add it to the eligible targets."""
        name = f"t{len(self.permits.targets) + 1}"
        settings = FakeTargetSettings(target=name, **settings)
        fake = FakeTarget(settings)
        start = functools.partial(serve, settings, target=fake)
        self.permits.add(await self.nursery.start(start), name)
        return fake

    async def serve_script(self, script):
        """Serve a target that runs ``script(stream, data)`` on each connection.

        :returns: list that collects the requests, up to the first read with a
            complete head.
        """
        requests = []

        async def handler(stream):
            data = b""
            while b"\r\n\r\n" not in data:
                more = await stream.receive_some()
                if not more:
                    return
                data += more
            requests.append(data)
            try:
                await script(stream, data)
            except trio.BrokenResourceError:
                return

        serve_tcp = functools.partial(trio.serve_tcp, handler, 0, host="127.0.0.1")
        listeners = await self.nursery.start(serve_tcp)
        self.permits.add(listeners[0].socket.getsockname()[1])
        return requests

    async def read(self, request):
        """Return the bytes of the answer, or the failure."""
        result = await self.runner.prompts.open(request)
        if isinstance(result, Failure):
            return result.failure()
        answer = result.unwrap()
        try:
            return b"".join([data async for data in answer])
        finally:
            await answer.aclose()


def run_scenario(scenario):
    """Run ``scenario(harness)`` while the harness's runner is running."""

    async def main():
        with trio.fail_after(60):
            async with trio.open_nursery() as nursery:
                harness = Harness(nursery)
                await nursery.start(harness.runner.run)
                await nursery.start(harness.claims.run)
                await scenario(harness)
                nursery.cancel_scope.cancel()

    trio.run(main)


def stream_text(stream):
    """Check the form of a chat stream and return its text."""
    events = stream.split(b"\n\n")
    assert events.pop() == b""
    assert events.pop() == b"data: [DONE]"
    chunks = [
        msgspec.json.decode(e.removeprefix(b"data: ")) for e in events if e[:1] != b":"
    ]
    assert chunks[-1]["choices"][0]["finish_reason"] == "stop"
    assert len({chunk["id"] for chunk in chunks}) == 1
    return "".join(chunk["choices"][0]["delta"]["content"] for chunk in chunks)
