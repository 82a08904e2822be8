"""One prompt's answer: connections to engines in, bytes for the caller out."""

from collections import deque
from collections.abc import AsyncIterator
from functools import singledispatchmethod
from typing import Any, NamedTuple

import msgspec
import trio
from loguru import logger
from returns.result import Failure, Success

from vanillabeam.admission import RetryBudget
from vanillabeam.answers import promptevents as pe
from vanillabeam.answers.background import Background
from vanillabeam.answers.completion import assemble
from vanillabeam.answers.continuation import (
    Emitted,
    Rewriter,
    continued_body,
    limit_tokens,
)
from vanillabeam.answers.events import ALIVE, DONE, EventReader, Piece
from vanillabeam.answers.exceptions import AnswerTooLarge, CallerDisconnected
from vanillabeam.answers.link import Head, Link, LinkTimes, Request
from vanillabeam.answers.promptrun import PromptLimits, PromptRun, abort, handle
from vanillabeam.answers.promptwire import (
    Usage,
    error_event,
    problem_type,
    read_usage,
    run_headers,
)
from vanillabeam.answers.records import Acquire, PromptRequest, Release, Trace
from vanillabeam.answers.traces import TraceBuilder
from vanillabeam.exceptions import InvariantBroken, Run, VanillabeamError
from vanillabeam.targets import Outcome, Permit

__all__ = ["Answer", "PromptParts", "PromptTimes"]

WHOLE_LIMIT_BYTES = 32 * 1024 * 1024
PROBLEM_LIMIT_BYTES = 64 * 1024
EVENT_STREAM = "text/event-stream"
JSON = "application/json"
RUN_HEADER = "vanillabeam-run"
VERSION_HEADER = "vanillabeam-model-version"
GIVING_BACK = pe.Close | pe.Cancel | pe.Release


class PromptTimes(NamedTuple):
    """Times of a prompt, in seconds.

    :param head_wait_s: how long a stream's head waits for the first piece
        before it goes out with comments alone.
    :param cancel_s: bound on telling an engine that a run is not wanted.
    """

    link: LinkTimes = LinkTimes()
    head_wait_s: float = 10.0
    cancel_s: float = 5.0


class PromptParts(NamedTuple):
    """What every prompt of a VM uses.

    :param acquire: gives permits.
    :param release: takes them back.
    :param background: holds connections.
    :param budget: retries of all prompts of this VM.
    :param trace: takes the record of each finished prompt.
    """

    acquire: Acquire
    release: Release
    background: Background
    budget: RetryBudget
    limits: PromptLimits
    times: PromptTimes
    trace: Trace

    def cancel(self, run_id: str, permit: Permit) -> None:
        """Tell a target, in the background, that a run is not wanted."""
        request = Request("DELETE", permit.address, f"/runs/{run_id}")
        link = Link(request, self.times.link)
        self.background.spawn(link.run_within, self.times.cancel_s)


class Answer:
    """A prompt's answer: its bytes for the caller, as they come.

    A caller that takes its time is waited for: nothing more is read from the
    engine than :data:`vanillabeam.answers.link.BUFFER_LIMIT_BYTES`.

    :ivar content_type: of what the iteration gives.
    :ivar failure: why the answer is not whole, once it has ended.
    :ivar deadline_at_s: monotonic time by which it ends.
    """

    def __init__(self, request: PromptRequest, parts: PromptParts):
        self.request = request
        self.content_type = EVENT_STREAM if request.stream else JSON
        self.failure: VanillabeamError | None = None
        self._parts = parts
        self._began_s = trio.current_time()
        self.deadline_at_s = self._began_s + request.route.deadline_s
        self._run = PromptRun(request.route.request_id, parts.limits, parts.budget)
        self._trace = TraceBuilder(
            "prompt", request.route, request.ticket_index, self._began_s
        )
        self._todo: deque[pe.Effect] = deque()
        self._out: list[bytes] = []
        self._begun = False
        self._ended = False
        self._link: Link | None = None
        self._link_number = 0
        self._reader = EventReader()
        self._emitted = Emitted()
        self._limit_tokens = limit_tokens(request.body)
        self._rewriter: Rewriter | None = None
        self._whole: list[Piece] = []
        self._whole_bytes = 0
        self._sent_s = 0.0
        self._first_s: float | None = None
        self._usage = Usage()

    @property
    def run(self) -> Run:
        """Return what is known of the prompt's run."""
        return self._run.life.run

    def __aiter__(self) -> AsyncIterator[bytes]:
        """Return the answer itself."""
        return self

    async def __anext__(self) -> bytes:
        """Return the next bytes: everything that has come since the last."""
        while not self._out:
            if self._ended:
                raise StopAsyncIteration
            await self._advance()
        data = b"".join(self._out)
        self._out.clear()
        return data

    async def begin(self) -> None:
        """Run until there are bytes for the caller, or a failure."""
        self._handle(pe.Start())
        while not self._out and not self._ended:
            await self._advance()
        self._begun = True

    async def aclose(self) -> None:
        """Let go of everything; cancels the run if the answer is not whole."""
        if not self._run.over:
            self._handle(pe.Left())
        for effect in self._todo:
            if isinstance(effect, GIVING_BACK):
                self._perform(effect)
        self._todo.clear()
        if self._link is not None:
            self._link.close()
        if not self._ended:
            self._end(self._run.life.tell(CallerDisconnected()))

    async def _advance(self) -> None:
        try:
            if self._todo:
                await self._perform_next(self._todo.popleft())
            else:
                await self._read()
        except InvariantBroken as exc:
            logger.exception("invariant broken in a prompt")
            self._abort(exc)

    def _abort(self, exc: VanillabeamError) -> None:
        kept = [effect for effect in self._todo if isinstance(effect, GIVING_BACK)]
        self._todo = deque(kept + abort(self._run, exc))

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
        self._todo.extend(handle(event, self._run, trio.current_time()))

    async def _acquire(self, effect: pe.Acquire) -> None:
        route = self.request.route._replace(
            excluded=self.request.route.excluded | effect.excluded,
            version=effect.version or self.request.route.version,
            deadline_s=self.deadline_at_s - trio.current_time(),
        )
        with trio.move_on_at(self.deadline_at_s) as scope:
            result = await self._parts.acquire(route)
        if scope.cancelled_caught:
            self._handle(pe.DeadlinePassed())
        elif isinstance(result, Success):
            self._handle(pe.Granted(result.unwrap()))
        else:
            self._handle(pe.Denied(result.failure()))

    async def _send(self, effect: pe.Send) -> None:
        self._sent_s = trio.current_time()
        self._first_s = None
        self._trace.attempt(effect.run_id, effect.permit, self._sent_s)
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
        head = await self._connect(effect.link, request)
        if head is None:
            return
        if head.status == 200:
            self._handle(pe.Opened(effect.link, head.get(VERSION_HEADER)))
            return
        detail = await self._link.read_all(PROBLEM_LIMIT_BYTES) or b""
        if head.get(RUN_HEADER) == Run.NOT_RUN:
            self._handle(pe.Refused(effect.link, problem_type(detail)))
        else:
            text = detail.decode(errors="replace")
            self._handle(pe.Rejected(effect.link, head.status, text))

    async def _resume(self, effect: pe.Resume) -> None:
        self._trace.resumed()
        target = f"/runs/{effect.run_id}?after={effect.after}"
        request = Request("GET", effect.permit.address, target)
        head = await self._connect(effect.link, request)
        if head is None:
            return
        if head.status == 200:
            self._handle(pe.Opened(effect.link, head.get(VERSION_HEADER)))
        else:
            self._handle(pe.Gone(effect.link))

    async def _connect(self, number: int, request: Request) -> Head | None:
        self._reader = EventReader()
        self._link_number = number
        self._link = Link(
            request,
            self._parts.times.link,
            on_sending=lambda: self._handle(pe.Sent(number)),
            end_by_s=self.deadline_at_s,
        )
        self._parts.background.spawn(self._link.run)
        head = await self._link.head()
        if head is None:
            self._lose(self._link.lost)
        return head

    def _lose(self, detail: str) -> None:
        if trio.current_time() >= self.deadline_at_s:
            self._handle(pe.DeadlinePassed())
        else:
            self._handle(pe.Lost(self._link_number, detail))

    async def _read(self) -> None:
        data = await self._link.read()
        if not data:
            self._lose(self._link.lost or "the stream ended without an end mark")
            return
        result = self._reader.feed(data)
        if isinstance(result, Failure):
            self._lose(result.failure().detail)
            return
        batch = result.unwrap()
        if batch.pieces or batch.end:
            self._handle(pe.Read(self._link_number, batch.pieces, batch.end))
        elif batch.alive:
            self._keep_alive()

    def _keep_alive(self) -> None:
        waited_s = trio.current_time() - self._began_s
        patient = self._begun or waited_s >= self._parts.times.head_wait_s
        if self.request.stream and patient:
            self._out.append(ALIVE)

    @singledispatchmethod
    def _perform(self, effect: Any) -> None:
        raise InvariantBroken(f"no way to perform {type(effect).__name__}")

    @_perform.register
    def _(self, effect: pe.Emit) -> None:
        pieces = effect.pieces
        now_s = trio.current_time()
        self._first_s = self._first_s or now_s
        self._trace.first_token(now_s)
        if pieces[-1].last:
            self._usage = read_usage(pieces[-1]) or self._usage
        if effect.continued:
            pieces = [self._rewriter.rewrite(piece) for piece in pieces]
        self._emitted.add(pieces)
        if self._emitted.tokens >= self._limit_tokens:
            self._handle(pe.Exhausted())
        if self.request.stream:
            datas = b"\n\ndata: ".join([piece.data for piece in pieces])
            self._out.append(b"data: " + datas + b"\n\n")
        else:
            self._keep(pieces)

    @_perform.register
    def _(self, effect: pe.Finish) -> None:
        self._out.append(DONE if self.request.stream else assemble(self._whole))
        self._end(None)

    @_perform.register
    def _(self, effect: pe.GiveUp) -> None:
        if self._begun or self._out:
            self._out.append(error_event(effect.failure))
        self._end(effect.failure)

    @_perform.register
    def _(self, effect: pe.Cancel) -> None:
        self._parts.cancel(effect.run_id, effect.permit)

    @_perform.register
    def _(self, effect: pe.Release) -> None:
        first_token_s = None if self._first_s is None else self._first_s - self._sent_s
        outcome = Outcome(
            effect.kind,
            first_token_s,
            self._usage.prompt_tokens,
            self._usage.cached_tokens,
        )
        self._trace.released(str(effect.kind), trio.current_time())
        self._parts.release(effect.permit, outcome)

    @_perform.register
    def _(self, effect: pe.Close) -> None:
        if self._link is not None and effect.link == self._link_number:
            self._link.close()

    def _keep(self, pieces: list[Piece]) -> None:
        self._whole.extend(pieces)
        self._whole_bytes += sum(len(piece.data) for piece in pieces)
        if self._whole_bytes > WHOLE_LIMIT_BYTES:
            self._abort(AnswerTooLarge())

    def _end(self, failure: VanillabeamError | None) -> None:
        self._ended = True
        self.failure = failure
        record = self._trace.finish(
            self.run,
            failure,
            trio.current_time(),
            pieces=self._run.emitted,
            resumes=self._run.resumed,
            prompt_tokens=self._usage.prompt_tokens,
        )
        self._parts.trace(self.request.route.request_id, record)
