"""Plain services: calls under claims, at most once where that is asked."""

import math
from base64 import b64decode, b64encode

import trio
from returns.result import Failure, Result, Success

from vanillabeam.answers.call import Call, CallParts
from vanillabeam.answers.callrun import may_repeat, needs_claim
from vanillabeam.answers.exceptions import BodyNotKept
from vanillabeam.answers.link import Head
from vanillabeam.answers.records import ServiceAnswer, ServiceRequest
from vanillabeam.answers.traces import TraceBuilder
from vanillabeam.claims import (
    ClaimGrant,
    ClaimsClient,
    Outcome,
    RecordedOutcome,
    request_digest,
)
from vanillabeam.config import Repeats
from vanillabeam.exceptions import DeadlineExceeded, Run, VanillabeamError

__all__ = ["Services"]

KEPT_BODY_BYTES = 4096
KEPT_HEADERS = frozenset({"content-type", "content-language", "location", "etag"})

CallResult = Result[ServiceAnswer, VanillabeamError]


class Services:
    """Calls plain services.

    Usage::

        result = await services.call(request)
        # Success(ServiceAnswer) or a failure whose ``run`` says what is known
    """

    def __init__(self, parts: CallParts, claims: ClaimsClient):
        self._parts = parts
        self._claims = claims
        self._unfinished = 0
        self._finished = trio.Event()

    async def call(self, request: ServiceRequest) -> CallResult:
        """Carry out one call; the answer, or what is known of it.

        A call that may not be repeated goes on when the caller leaves, so that
        its outcome is recorded.
        """
        deadline_at_s = trio.current_time() + request.route.deadline_s
        if not needs_claim(request.method, request.repeats, request.idempotency_key):
            return await self._call_unclaimed(request, deadline_at_s)
        began_s = trio.current_time()
        claimed = await self._claim(request)
        if isinstance(claimed, Failure):
            return self._report_unsent(request, claimed, began_s)
        granted = claimed.unwrap()
        if isinstance(granted, RecordedOutcome):
            return self._report_unsent(request, _replay(granted), began_s)
        send_by_s = min(deadline_at_s, granted.send_by_s)
        end_by_s = send_by_s + self._parts.times.late_s
        call = Call(request, self._parts, send_by_s, end_by_s)
        return await self._wait(call, granted, deadline_at_s)

    async def _call_unclaimed(
        self, request: ServiceRequest, deadline_at_s: float
    ) -> CallResult:
        call = Call(request, self._parts, deadline_at_s, deadline_at_s)
        if may_repeat(request.method, request.repeats, request.idempotency_key):
            return await call.perform()
        return await self._wait(call, None, math.inf)

    async def _wait(
        self, call: Call, granted: ClaimGrant | None, until_s: float
    ) -> CallResult:
        """Let ``call`` run in the background and wait for it until ``until_s``."""
        send, receive = trio.open_memory_channel(1)
        self._unfinished += 1
        self._parts.background.spawn(self._perform, call, granted, send)
        with trio.move_on_at(until_s):
            return await receive.receive()
        return Failure(call.tell(DeadlineExceeded()))

    async def flush(self) -> None:
        """Wait for calls whose callers have left, and for their records."""
        while self._unfinished:
            await self._finished.wait()
        await self._claims.flush()

    async def _claim(
        self, request: ServiceRequest
    ) -> Result[ClaimGrant | RecordedOutcome, VanillabeamError]:
        path = f"{request.route.service}/{request.path.lstrip('/')}"
        return await self._claims.claim(
            request.route.workspace,
            request.idempotency_key,
            request_digest(request.method, path, request.body),
            request.route.deadline_s,
            by_key=request.repeats is Repeats.BY_KEY,
        )

    def _report_unsent(
        self, request: ServiceRequest, result: CallResult, began_s: float
    ) -> CallResult:
        """Trace a call that its claim settled without a connection."""
        trace = TraceBuilder("service", request.route, request.ticket_index, began_s)
        failure = result.failure() if isinstance(result, Failure) else None
        run = failure.run if failure else Run.RAN
        replayed = failure is None or isinstance(failure, BodyNotKept)
        record = trace.finish(run, failure, trio.current_time(), replayed=replayed)
        self._parts.trace(request.route.request_id, record)
        return result

    async def _perform(
        self,
        call: Call,
        granted: ClaimGrant | None,
        send: trio.MemorySendChannel[CallResult],
    ) -> None:
        try:
            with send:
                result = await call.perform()
                if granted is not None:
                    with trio.move_on_after(self._parts.times.record_first_s):
                        await self._record(call, granted, result)
                send.send_nowait(result)
        finally:
            self._unfinished -= 1
            self._finished.set()
            self._finished = trio.Event()

    async def _record(
        self, call: Call, granted: ClaimGrant, result: CallResult
    ) -> None:
        if isinstance(result, Success):
            await self._claims.finish(granted, _outcome(result.unwrap()))
        elif call.run is Run.NOT_RUN:
            await self._claims.withdraw(granted)
        elif call.run is Run.RAN and call.head is not None:
            await self._claims.finish(granted, _bare_outcome(call.head))
        else:
            await self._claims.abandon(granted)


def _outcome(answer: ServiceAnswer) -> Outcome:
    kept = len(answer.body) <= KEPT_BODY_BYTES
    return Outcome(
        status=answer.status,
        headers=[header for header in answer.headers if header[0] in KEPT_HEADERS],
        body=b64encode(answer.body).decode() if kept else None,
        bytes=len(answer.body),
    )


def _bare_outcome(head: Head) -> Outcome:
    return Outcome(status=head.status, headers=[], body=None, bytes=0)


def _replay(recorded: RecordedOutcome) -> CallResult:
    outcome = recorded.outcome
    if outcome is None:
        return Failure(BodyNotKept("settled by a ticket as having run"))
    if outcome["body"] is None:
        return Failure(BodyNotKept(f"it answered with status {outcome['status']}"))
    return Success(
        ServiceAnswer(
            outcome["status"],
            tuple((name, value) for name, value in outcome["headers"]),
            b64decode(outcome["body"]),
            replayed=True,
        )
    )
