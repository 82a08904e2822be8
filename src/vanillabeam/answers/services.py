"""Calls of plain services, with claims on their idempotency keys.

A claim makes sure that a call that may not be repeated runs at most once.
"""

import math
from base64 import b64decode, b64encode

import trio
from returns.result import Failure, Result, Success

from vanillabeam.answers.call import Call, CallDependencies
from vanillabeam.answers.callrun import may_repeat, needs_claim
from vanillabeam.answers.connection import Head
from vanillabeam.answers.exceptions import BodyNotKept
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

#: Largest body that is recorded for replay.
RECORDED_BODY_LIMIT_BYTES = 4096
RECORDED_HEADERS = frozenset({"content-type", "content-language", "location", "etag"})

CallResult = Result[ServiceAnswer, VanillabeamError]


class Services:
    """Calls plain services.

    Usage::

        result = await services.call(request)
        # Success(ServiceAnswer) or a failure whose ``run`` says whether it ran
    """

    def __init__(self, deps: CallDependencies, claims: ClaimsClient):
        self._deps = deps
        self._claims = claims
        self._unfinished = 0
        self._call_finished = trio.Event()

    async def call(self, request: ServiceRequest) -> CallResult:
        """Perform one call and return its answer or failure.

        A call that may not be repeated continues when the caller disconnects,
        so that its outcome is recorded.

        :returns: the answer, or a failure whose ``run`` says whether the call
            may have run.
        """
        deadline_at_s = trio.current_time() + request.route.deadline_s
        if not needs_claim(request.method, request.repeats, request.idempotency_key):
            return await self._call_unclaimed(request, deadline_at_s)
        started_s = trio.current_time()
        result = await self._claim(request)
        if isinstance(result, Failure):
            return self._trace_unsent(request, result, started_s)
        claim = result.unwrap()
        if isinstance(claim, RecordedOutcome):
            return self._trace_unsent(request, _replay(claim), started_s)
        send_by_s = min(deadline_at_s, claim.send_by_s)
        end_by_s = send_by_s + self._deps.timeouts.late_answer_s
        call = Call(request, self._deps, send_by_s, end_by_s)
        return await self._wait(call, claim, deadline_at_s)

    async def _call_unclaimed(
        self, request: ServiceRequest, deadline_at_s: float
    ) -> CallResult:
        call = Call(request, self._deps, deadline_at_s, deadline_at_s)
        if may_repeat(request.method, request.repeats, request.idempotency_key):
            return await call.perform()
        return await self._wait(call, None, math.inf)

    async def _wait(
        self, call: Call, claim: ClaimGrant | None, until_s: float
    ) -> CallResult:
        """Run ``call`` in the background and wait for it until ``until_s``."""
        send, receive = trio.open_memory_channel(1)
        self._unfinished += 1
        self._deps.background.spawn(self._perform, call, claim, send)
        with trio.move_on_at(until_s):
            return await receive.receive()
        return Failure(call.annotate(DeadlineExceeded()))

    async def flush(self) -> None:
        """Wait for unfinished calls and for the recording of their outcomes."""
        while self._unfinished:
            await self._call_finished.wait()
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

    def _trace_unsent(
        self, request: ServiceRequest, result: CallResult, started_s: float
    ) -> CallResult:
        """Trace a call that ended at its claim, before anything was sent."""
        trace = TraceBuilder("service", request.route, request.ticket_index, started_s)
        failure = result.failure() if isinstance(result, Failure) else None
        run = failure.run if failure else Run.RAN
        replayed = failure is None or isinstance(failure, BodyNotKept)
        record = trace.finish(run, failure, trio.current_time(), replayed=replayed)
        self._deps.trace(request.route.request_id, record)
        return result

    async def _perform(
        self,
        call: Call,
        claim: ClaimGrant | None,
        send: trio.MemorySendChannel[CallResult],
    ) -> None:
        try:
            with send:
                result = await call.perform()
                if claim is not None:
                    with trio.move_on_after(self._deps.timeouts.record_timeout_s):
                        await self._record(call, claim, result)
                send.send_nowait(result)
        finally:
            self._unfinished -= 1
            self._call_finished.set()
            self._call_finished = trio.Event()

    async def _record(self, call: Call, claim: ClaimGrant, result: CallResult) -> None:
        if isinstance(result, Success):
            await self._claims.finish(claim, _recorded_outcome(result.unwrap()))
        elif call.run is Run.NOT_RUN:
            await self._claims.withdraw(claim)
        elif call.run is Run.RAN and call.head is not None:
            await self._claims.finish(claim, _outcome_without_body(call.head))
        else:
            await self._claims.abandon(claim)


def _recorded_outcome(answer: ServiceAnswer) -> Outcome:
    has_body = len(answer.body) <= RECORDED_BODY_LIMIT_BYTES
    return Outcome(
        status=answer.status,
        headers=[header for header in answer.headers if header[0] in RECORDED_HEADERS],
        body=b64encode(answer.body).decode() if has_body else None,
        bytes=len(answer.body),
    )


def _outcome_without_body(head: Head) -> Outcome:
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
