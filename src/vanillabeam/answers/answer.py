"""Answer to one prompt: reads from engines and produces bytes for the caller."""

from collections import deque
from collections.abc import AsyncIterator
from functools import partial, singledispatchmethod
from typing import Any, NamedTuple

import msgspec
import trio
from loguru import logger
from returns.result import Failure

from vanillabeam.admission import RetryBudget
from vanillabeam.answers import promptevents as pe
from vanillabeam.answers.background import Background
from vanillabeam.answers.completion import assemble
from vanillabeam.answers.connection import Connection, ConnectionTimeouts, Head, Request
from vanillabeam.answers.continuation import (
    Emitted,
    Rewriter,
    continued_body,
    limit_tokens,
)
from vanillabeam.answers.events import DONE, KEEP_ALIVE, EventReader, Piece
from vanillabeam.answers.exceptions import AnswerTooLarge, CallerDisconnected
from vanillabeam.answers.permits import request_permit
from vanillabeam.answers.promptrun import PromptLimits, PromptRun, abort, handle
from vanillabeam.answers.promptwire import (
    Usage,
    error_event,
    problem_type,
    read_usage,
    run_headers,
)
from vanillabeam.answers.records import (
    Acquire,
    NoticeBoard,
    PromptRequest,
    Release,
    TraceSink,
)
from vanillabeam.answers.traces import TraceBuilder
from vanillabeam.exceptions import InvariantBroken, Run, VanillabeamError
from vanillabeam.targets import Outcome, Permit

__all__ = ["Answer", "PromptDependencies", "PromptTimeouts"]

#: Largest answer that is assembled for a caller who didn't ask for a stream.
BUFFERED_ANSWER_LIMIT_BYTES = 32 * 1024 * 1024
PROBLEM_LIMIT_BYTES = 64 * 1024
EVENT_STREAM = "text/event-stream"
JSON = "application/json"
VERSION_HEADER = "vanillabeam-model-version"
#: Effects that are performed even if the prompt is aborted.
CLEANUP_EFFECTS = pe.Close | pe.Cancel | pe.Release


class PromptTimeouts(NamedTuple):
    """Timeouts of a prompt, in seconds.

    :param connection: timeouts of each connection to an engine.
    :param first_piece_timeout_s: time that the head of a stream is held back for
        the first piece; after that it is sent with keep-alive comments alone.
    :param cancel_timeout_s: longest time for a request that cancels a run.
    """

    connection: ConnectionTimeouts = ConnectionTimeouts()
    first_piece_timeout_s: float = 10.0
    cancel_timeout_s: float = 5.0


class PromptDependencies(NamedTuple):
    """Collaborators shared by all prompts of a VM.

    :param acquire: grants permits.
    :param release: takes permits back.
    :param background: runs connections.
    :param budget: retry budget of all requests of this VM.
    :param trace: receives the trace of each finished prompt.
    :param notices: what targets say of themselves.
    """

    acquire: Acquire
    release: Release
    background: Background
    budget: RetryBudget
    limits: PromptLimits
    timeouts: PromptTimeouts
    trace: TraceSink
    notices: NoticeBoard

    def cancel(self, run_id: str, permit: Permit) -> None:
        """Cancel a run at its target, in the background."""
        request = Request("DELETE", permit.address, f"/runs/{run_id}")
        connection = Connection(request, self.timeouts.connection)
        self.background.spawn(connection.run_within, self.timeouts.cancel_timeout_s)


class Answer:
    """Answer to a prompt, an asynchronous iterator of bytes for the caller.

    A slow caller holds the engine back: once
    :data:`vanillabeam.answers.connection.BUFFER_LIMIT_BYTES` are buffered, nothing more
    is read.

    :ivar content_type: media type of the bytes.
    :ivar failure: why the answer is incomplete; ``None`` if it is complete or has
        not ended.
    :ivar deadline_at_s: monotonic time by which the answer ends.
    """

    def __init__(self, request: PromptRequest, deps: PromptDependencies):
        self.request = request
        self.content_type = EVENT_STREAM if request.stream else JSON
        self.failure: VanillabeamError | None = None
        self._deps = deps
        self._started_s = trio.current_time()
        self.deadline_at_s = self._started_s + request.route.deadline_s
        self._run = PromptRun(request.route.request_id, deps.limits, deps.budget)
        self._trace = TraceBuilder(
            "prompt", request.route, request.ticket_index, self._started_s
        )
        self._effects: deque[pe.Effect] = deque()
        self._output: list[bytes] = []
        self._opened = False
        self._ended = False
        self._connection: Connection | None = None
        self._connection_id = 0
        self._reader = EventReader()
        self._last_event_s = 0.0
        self._emitted = Emitted()
        self._limit_tokens = limit_tokens(request.body)
        self._rewriter: Rewriter | None = None
        self._pieces: list[Piece] = []
        self._pieces_bytes = 0
        self._sent_s = 0.0
        self._first_piece_s: float | None = None
        self._usage = Usage()

    @property
    def run(self) -> Run:
        """Return whether the prompt ran, as far as known."""
        return self._run.history.run

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the answer itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return all bytes that became available since the last call."""
        while not self._output:
            if self._ended:
                raise StopAsyncIteration
            await self._advance()
        data = b"".join(self._output)
        self._output.clear()
        return data

    async def begin(self) -> None:
        """Run until there are bytes for the caller or the answer ends."""
        self._handle(pe.Start())
        while not self._output and not self._ended:
            await self._advance()
        self._opened = True

    async def aclose(self) -> None:
        """Release all resources; cancel the run if the answer is incomplete."""
        if not self._run.ended:
            self._handle(pe.CallerClosed())
        for effect in self._effects:
            if isinstance(effect, CLEANUP_EFFECTS):
                self._perform(effect)
        self._effects.clear()
        if self._connection is not None:
            self._connection.close()
        if not self._ended:
            self._end(self._run.history.annotate(CallerDisconnected()))

    async def _advance(self) -> None:
        try:
            if self._effects:
                await self._perform_next(self._effects.popleft())
            else:
                await self._read()
        except InvariantBroken as exc:
            logger.exception("invariant broken in a prompt")
            self._abort(exc)

    def _abort(self, exc: VanillabeamError) -> None:
        cleanup = [
            effect for effect in self._effects if isinstance(effect, CLEANUP_EFFECTS)
        ]
        self._effects = deque(cleanup + abort(self._run, exc))

    async def _perform_next(self, effect: pe.Effect) -> None:
        if isinstance(effect, pe.Acquire):
            await self._acquire(effect)
        elif isinstance(effect, pe.Send):
            await self._send(effect)
        elif isinstance(effect, pe.Resume):
            await self._resume(effect)
        else:
            self._perform(effect)

    def _handle(self, event: pe.Event) -> None:
        self._effects.extend(handle(event, self._run, trio.current_time()))

    async def _acquire(self, effect: pe.Acquire) -> None:
        route = self.request.route
        route = route._replace(version=effect.version or route.version)
        event = await request_permit(
            self._deps.acquire, route, effect.excluded, self.deadline_at_s
        )
        self._handle(event)

    async def _send(self, effect: pe.Send) -> None:
        self._sent_s = trio.current_time()
        self._first_piece_s = None
        self._trace.add_attempt(effect.run_id, effect.permit, self._sent_s)
        body = {**self.request.body, "stream": True}
        if effect.continues:
            self._rewriter = Rewriter(self._emitted)
            body = continued_body(body, self._emitted)
        request = Request(
            "POST",
            effect.permit.address,
            self.request.path,
            run_headers(self.request, effect),
            msgspec.json.encode(body),
        )
        head = await self._connect(effect.connection_id, effect.permit, request)
        if head is None:
            return
        if head.status == 200:
            self._handle(
                pe.StreamOpened(effect.connection_id, head.get(VERSION_HEADER))
            )
            return
        detail = await self._connection.read_all(PROBLEM_LIMIT_BYTES) or b""
        if head.refused:
            self._handle(pe.Refused(effect.connection_id, problem_type(detail)))
        else:
            text = detail.decode(errors="replace")
            self._handle(pe.Rejected(effect.connection_id, head.status, text))

    async def _resume(self, effect: pe.Resume) -> None:
        self._trace.add_resume()
        target = f"/runs/{effect.run_id}?after={effect.after}"
        request = Request("GET", effect.permit.address, target)
        head = await self._connect(effect.connection_id, effect.permit, request)
        if head is None:
            return
        if head.status == 200:
            self._handle(
                pe.StreamOpened(effect.connection_id, head.get(VERSION_HEADER))
            )
        else:
            self._handle(pe.RunNotFound(effect.connection_id))

    async def _connect(
        self, connection_id: int, permit: Permit, request: Request
    ) -> Head | None:
        self._reader = EventReader()
        self._connection_id = connection_id
        self._connection = Connection(
            request,
            self._deps.timeouts.connection,
            on_sending=lambda: self._handle(pe.Sent(connection_id)),
            end_by_s=self.deadline_at_s,
            may_send=partial(self._may_send, permit, request),
        )
        self._deps.background.spawn(self._connection.run)
        head = await self._connection.head()
        self._last_event_s = trio.current_time()
        if head is None:
            self._handle_loss(self._connection.error)
        else:
            self._deps.notices.record_notice(permit, head.notice)
        return head

    def _may_send(self, permit: Permit, request: Request) -> bool:
        """Return whether a new run may be sent; a run that is under way goes on."""
        return request.method == "GET" or self._deps.notices.may_send(permit)

    def _handle_loss(self, detail: str) -> None:
        if trio.current_time() >= self.deadline_at_s:
            self._handle(pe.DeadlinePassed())
        else:
            self._handle(pe.Lost(self._connection_id, detail))

    async def _read(self) -> None:
        data = await self._connection.read()
        if not data:
            self._handle_loss(
                self._connection.error or "the stream ended without an end mark"
            )
            return
        result = self._reader.feed(data)
        if isinstance(result, Failure):
            self._handle_loss(result.failure().detail)
            return
        batch = result.unwrap()
        if batch.is_empty:
            if self._is_stalled():
                self._connection.close()
                self._handle_loss("an event is incomplete for too long")
            return
        self._last_event_s = trio.current_time()
        if batch.pieces or batch.end:
            self._handle(pe.Read(self._connection_id, batch.pieces, batch.end))
        else:
            self._send_keep_alive()

    def _is_stalled(self) -> bool:
        """Return whether only bytes inside an event have come for the silence limit."""
        silent_s = trio.current_time() - self._last_event_s
        limit_s = self._deps.timeouts.connection.idle_timeout_s
        return self._reader.is_inside_event and silent_s >= limit_s

    def _send_keep_alive(self) -> None:
        waited_s = trio.current_time() - self._started_s
        head_due = self._opened or waited_s >= self._deps.timeouts.first_piece_timeout_s
        if self.request.stream and head_due:
            self._output.append(KEEP_ALIVE)

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise InvariantBroken(f"no way to perform {type(effect).__name__}")

    @_perform.register
    def _(self, effect: pe.Emit) -> None:
        pieces = effect.pieces
        now_s = trio.current_time()
        self._first_piece_s = self._first_piece_s or now_s
        self._trace.set_first_token(now_s)
        if pieces[-1].last:
            self._usage = read_usage(pieces[-1]) or self._usage
        if effect.continued:
            pieces = [self._rewriter.rewrite(piece) for piece in pieces]
        self._emitted.add(pieces)
        if self._emitted.tokens >= self._limit_tokens:
            self._handle(pe.TokenLimitReached())
        if self.request.stream:
            events = b"\n\ndata: ".join([piece.data for piece in pieces])
            self._output.append(b"data: " + events + b"\n\n")
        else:
            self._buffer_pieces(pieces)

    @_perform.register
    def _(self, effect: pe.Finish) -> None:
        self._output.append(DONE if self.request.stream else assemble(self._pieces))
        self._end(None)

    @_perform.register
    def _(self, effect: pe.GiveUp) -> None:
        if self._opened or self._output:
            self._output.append(error_event(effect.failure))
        self._end(effect.failure)

    @_perform.register
    def _(self, effect: pe.Cancel) -> None:
        self._deps.cancel(effect.run_id, effect.permit)

    @_perform.register
    def _(self, effect: pe.Release) -> None:
        first_token_s = (
            None if self._first_piece_s is None else self._first_piece_s - self._sent_s
        )
        outcome = Outcome(
            effect.kind,
            first_token_s,
            self._usage.prompt_tokens,
            self._usage.cached_tokens,
        )
        self._trace.end_attempt(str(effect.kind), trio.current_time())
        self._deps.release(effect.permit, outcome)

    @_perform.register
    def _(self, effect: pe.Close) -> None:
        if self._connection is not None and effect.connection_id == self._connection_id:
            self._connection.close()

    def _buffer_pieces(self, pieces: list[Piece]) -> None:
        self._pieces.extend(pieces)
        self._pieces_bytes += sum(len(piece.data) for piece in pieces)
        if self._pieces_bytes > BUFFERED_ANSWER_LIMIT_BYTES:
            self._abort(AnswerTooLarge())

    def _end(self, failure: VanillabeamError | None) -> None:
        self._ended = True
        self.failure = failure
        record = self._trace.finish(
            self.run,
            failure,
            trio.current_time(),
            pieces=self._run.emitted_pieces,
            resumes=self._run.total_resumes,
            prompt_tokens=self._usage.prompt_tokens,
        )
        self._deps.trace(self.request.route.request_id, record)
