"""Execution of one call of a plain service.

A call runs to its end even if its caller disconnects.
"""

import contextlib
from collections import deque
from collections.abc import Iterator
from typing import NamedTuple

import trio
from loguru import logger
from returns.result import Failure, Result, Success

from vanillabeam.admission import RetryBudget
from vanillabeam.answers import callrun as cr
from vanillabeam.answers.background import Background
from vanillabeam.answers.connection import (
    LEAVING_HEADER,
    Connection,
    ConnectionTimeouts,
    Head,
    Request,
)
from vanillabeam.answers.permits import request_permit
from vanillabeam.answers.promptwire import problem_type
from vanillabeam.answers.records import (
    Acquire,
    NoticeBoard,
    Release,
    ServiceAnswer,
    ServiceRequest,
    TraceSink,
)
from vanillabeam.answers.traces import TraceBuilder
from vanillabeam.exceptions import InvariantBroken, Run, VanillabeamError
from vanillabeam.hopheaders import strip_hop_by_hop
from vanillabeam.targets import Outcome

__all__ = ["Call", "CallDependencies", "CallTimeouts"]

ANSWER_LIMIT_BYTES = 64 * 1024 * 1024
#: Headers of a target's answer that are meant for this VM only.
DROPPED_HEADERS = frozenset({"content-length", LEAVING_HEADER})


class CallTimeouts(NamedTuple):
    """Timeouts of a call, in seconds.

    :param connection: its ``idle_timeout_s`` limits the wait for the answer's
        next byte.
    :param record_timeout_s: longest time that an answer is held back until its
        outcome is recorded.
    :param late_answer_s: time after the deadline during which the answer to a
        claimed call is still received, so that it can be recorded; must be
        below the margin of the claim's lease.
    """

    connection: ConnectionTimeouts = ConnectionTimeouts(
        connect_timeout_s=2.0, idle_timeout_s=30.0
    )
    record_timeout_s: float = 1.0
    late_answer_s: float = 10.0


class CallDependencies(NamedTuple):
    """Collaborators shared by all calls of a VM.

    :param acquire: grants permits.
    :param release: takes permits back.
    :param background: runs connections.
    :param budget: retry budget of all requests of this VM.
    :param trace: receives the trace of each finished call.
    :param notices: what targets say of themselves.
    """

    acquire: Acquire
    release: Release
    background: Background
    budget: RetryBudget
    timeouts: CallTimeouts
    trace: TraceSink
    notices: NoticeBoard


class Call:
    """One call in progress.

    :param send_by_s: monotonic time from which on nothing is sent.
    :param end_by_s: monotonic time until which the answer is awaited.
    :ivar head: head of the last response, ``None`` until one is received.
    """

    def __init__(
        self,
        request: ServiceRequest,
        deps: CallDependencies,
        send_by_s: float,
        end_by_s: float,
    ):
        self.request = request
        self.head: Head | None = None
        self._deps = deps
        self._send_by_s = send_by_s
        self._end_by_s = end_by_s
        repeatable = cr.may_repeat(
            request.method, request.repeats, request.idempotency_key
        )
        self._run = cr.CallRun(repeatable, deps.budget)
        self._trace = TraceBuilder(
            "service", request.route, request.ticket_index, trio.current_time()
        )
        self._effects: deque[cr.Effect] = deque()
        self._body = b""
        self._result: Result[ServiceAnswer, VanillabeamError] | None = None

    @property
    def run(self) -> Run:
        """Return whether the call ran, as far as known."""
        return self._run.history.run

    def annotate(self, failure: VanillabeamError) -> VanillabeamError:
        """Set the known run state on ``failure`` and return it."""
        return self._run.history.annotate(failure)

    async def perform(self) -> Result[ServiceAnswer, VanillabeamError]:
        """Perform the call, with retries, and return its answer or failure."""
        try:
            return await self._perform_all()
        finally:
            if self._run.permit is not None:
                self._release_cancelled()

    async def _perform_all(self) -> Result[ServiceAnswer, VanillabeamError]:
        try:
            self._handle(cr.Start())
            while self._result is None:
                with trio.move_on_at(self._end_by_s) as scope:
                    await self._perform(self._effects.popleft())
                if scope.cancelled_caught:
                    self._handle(cr.DeadlinePassed())
        except InvariantBroken as exc:
            logger.exception("invariant broken in a call")
            self._result = Failure(self._run.history.annotate(exc))
        self._write_trace(self._result)
        return self._result

    def _release_cancelled(self) -> None:
        """Release the permit after the task was cancelled."""
        kind = cr.OutcomeKind.CANCELLED
        self._deps.release(self._run.permit, Outcome(kind))
        self._run.permit = None

    def _handle(self, event: cr.Event) -> None:
        self._effects.extend(cr.handle(event, self._run, trio.current_time()))

    async def _perform(self, effect: cr.Effect) -> None:
        match effect:
            case cr.Acquire():
                await self._acquire(effect)
            case cr.Send():
                await self._send(effect)
            case cr.Release():
                self._trace.end_attempt(str(effect.kind), trio.current_time())
                self._deps.release(effect.permit, Outcome(effect.kind))
            case cr.Deliver():
                headers = tuple(_end_to_end_headers(self.head))
                answer = ServiceAnswer(self.head.status, headers, self._body)
                self._result = Success(answer)
            case cr.Fail():
                self._result = Failure(effect.failure)

    async def _acquire(self, effect: cr.Acquire) -> None:
        event = await request_permit(
            self._deps.acquire, self.request.route, effect.excluded, self._send_by_s
        )
        self._handle(event)

    async def _send(self, effect: cr.Send) -> None:
        run_id = f"{self.request.route.request_id}-{effect.attempt}"
        self._trace.add_attempt(run_id, effect.permit, trio.current_time())
        connection = Connection(
            self._wire_request(effect, run_id),
            self._deps.timeouts.connection,
            on_sending=lambda: self._handle(cr.Sent(effect.attempt)),
            send_by_s=self._send_by_s,
            may_send=lambda: self._deps.notices.may_send(effect.permit),
        )
        self._deps.background.spawn(connection.run)
        try:
            await self._receive(effect, connection)
        finally:
            connection.close()

    async def _receive(self, effect: cr.Send, connection: Connection) -> None:
        attempt = effect.attempt
        self.head = await connection.head()
        if self.head is None:
            self._handle(cr.Lost(attempt, connection.error))
            return
        self._deps.notices.record_notice(effect.permit, self.head.notice)
        refused = self.head.refused
        if not refused:
            self._handle(cr.HeadReceived(attempt))
        body = await connection.read_all(ANSWER_LIMIT_BYTES)
        if refused:
            self._handle(cr.Refused(attempt, problem_type(body or b"")))
        elif body is None:
            self._handle(cr.Oversized(attempt))
        elif connection.error:
            self._handle(cr.Lost(attempt, connection.error))
        else:
            self._body = body
            self._handle(cr.Answered(attempt))

    def _wire_request(self, effect: cr.Send, run_id: str) -> Request:
        headers = [*self.request.headers, ("Vanillabeam-Run-Id", run_id)]
        if self.request.idempotency_key:
            headers.append(("Idempotency-Key", self.request.idempotency_key))
        name = self.request.route.service
        path = self.request.path.lstrip("/")
        return Request(
            self.request.method,
            effect.permit.address,
            f"/services/{name}/{path}",
            tuple(headers),
            self.request.body,
        )

    def _write_trace(self, result: Result[ServiceAnswer, VanillabeamError]) -> None:
        failure = result.failure() if isinstance(result, Failure) else None
        with contextlib.suppress(InvariantBroken):
            record = self._trace.finish(self.run, failure, trio.current_time())
            self._deps.trace(self.request.route.request_id, record)


def _end_to_end_headers(head: Head) -> Iterator[tuple[str, str]]:
    raw = [(n.encode("latin-1"), v.encode("latin-1")) for n, v in head.headers]
    for raw_name, raw_value in strip_hop_by_hop(raw):
        name = raw_name.decode("latin-1")
        if name not in DROPPED_HEADERS:
            yield name, raw_value.decode("latin-1")
