"""One attempt of a request: sent to one target, whose answer is passed on."""

from collections.abc import AsyncIterator
from functools import partial

import trio

from vanillabeam.exceptions import Run
from vanillabeam.fleet import RouteKind, Target
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.choice import Choice
from vanillabeam.forwarding.choosing.ratelines import Permit
from vanillabeam.forwarding.dialect import AnswerKind, Headers
from vanillabeam.forwarding.exceptions import (
    AnswerBroken,
    AnswerTooLong,
    MismatchedAnswer,
    NoTarget,
    RefusalUnproven,
    StreamNotResumed,
)
from vanillabeam.forwarding.judging.noticing import apply_notice
from vanillabeam.forwarding.judging.passage import Passage
from vanillabeam.forwarding.judging.recorder import AttemptEnd, OutcomeRecorder
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.sending.context import make_context
from vanillabeam.forwarding.sending.downstream import ResponseWriter
from vanillabeam.forwarding.sending.events import EventCutter
from vanillabeam.forwarding.sending.opening import OpenAttempt
from vanillabeam.forwarding.sending.outcomes import AnswerEnd, Delivered, Outcome
from vanillabeam.forwarding.sending.plain import Prefix, read_plain, read_refusal
from vanillabeam.forwarding.sending.readahead import read_ahead
from vanillabeam.forwarding.sending.relay import StreamRelay
from vanillabeam.forwarding.sending.upstream import (
    Broken,
    OpenResponse,
    close_response,
    iter_body,
    open_response,
)
from vanillabeam.notices import Notice

__all__ = ["Attempt"]

SERVER_ERROR = 500
#: Interval of the checks for a target that turned suspect.
SUSPECT_CHECK_S = 0.1


class Attempt:
    """Sends a request to one target and passes a good answer on to the caller.

    :param service: name of the service that the target belongs to.
    :param cutter: cuts a stream into whole events, over all attempts.
    :param passage: tells whether a part of the prompt was quarantined meanwhile.
    :param permit: permit for the target, if it names a limit.
    :param may_go_elsewhere: whether the request may be sent to another target, so
        that it is given up as soon as this one turns suspect.
    :ivar was_sent: whether any of the request may have reached the target.
    :ivar may_have_run: whether the target may have run the request.
    :ivar has_passed_on: whether a part of a plain answer was passed on to the caller.
    :ivar answer_end: how the answer ended.
    """

    def __init__(
        self,
        request: AdmittedRequest,
        resources: Resources,
        service: str,
        writer: ResponseWriter,
        cutter: EventCutter,
        choice: Choice,
        passage: Passage,
        permit: Permit,
        may_go_elsewhere: bool,
    ):
        self.was_sent = False
        self.may_have_run = False
        self.has_passed_on = False
        self.answer_end = AnswerEnd()
        self._request = request
        self._resources = resources
        self._service = service
        self._writer = writer
        self._cutter = cutter
        self._choice = choice
        self._may_go_elsewhere = may_go_elsewhere
        self._passage = passage
        self._permit = permit
        self._was_refused = False
        self._is_closed = False
        self._open: OpenAttempt | None = None

    async def run(self) -> Outcome:
        """Send the request and record the target's load, health and outcome."""
        self._open = OpenAttempt(
            self._request, self._resources, self._service, self._choice
        )
        outcome: Outcome | None = None
        try:
            outcome = await self._send_and_receive()
            return outcome
        finally:
            self._open.end(outcome, self.may_have_run, self._was_refused)
            if outcome is not None:
                self._record_outcome(outcome)

    async def _record_whole(self, response: OpenResponse) -> None:
        """Record that the target has sent its whole answer.

        Its connection and its place don't wait for a caller that reads slowly.
        """
        self._open.record_whole(response.status)
        self._writer.record_whole()
        await self._close(response)

    async def _send_and_receive(self) -> Outcome:
        target = self._choice.target
        pool = self._resources.pools.pool(target, self._max_connections())
        headers = self._request_headers(target)
        self.may_have_run = True
        response = await self._send_to(pool, target, headers)
        if isinstance(response, Broken):
            self.may_have_run = response.exc.run is not Run.NOT_RUN
            self.was_sent = self.may_have_run
            if self._writer.is_abandoned:
                # The request was cancelled with this finding.
                await trio.lowlevel.checkpoint_if_cancelled()
            return response
        try:
            self.was_sent = True
            self.answer_end = AnswerEnd(str(response.framing))
            self._open.record_head()
            return await self._handle_response(response)
        finally:
            await self._close(response)

    async def _close(self, response: OpenResponse) -> None:
        """Close the answer once: its connection may serve another request by now."""
        if not self._is_closed:
            self._is_closed = True
            await close_response(response)

    async def _send_to(
        self, pool, target: Target, headers: Headers
    ) -> OpenResponse | Broken:
        """Send the request and return the head of the answer.

        If the request may go to another target, it is cancelled as soon as this
        target turns suspect.
        """
        request = self._request
        send = partial(
            open_response,
            pool,
            target,
            request.metadata,
            headers,
            request.body,
            self._may_send,
        )
        if not self._may_go_elsewhere:
            return await send()
        result: OpenResponse | Broken = Broken(AnswerBroken(f"{target.name}: silent"))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(self._cancel_if_suspect, target, nursery.cancel_scope)
            result = await send()
            # A cancellation of the request would have the nursery raise, and the
            # response dropped before anyone can close it.
            nursery.cancel_scope.shield = True
            nursery.cancel_scope.cancel()
        return result

    async def _cancel_if_suspect(self, target: Target, scope: trio.CancelScope) -> None:
        """Cancel a scope once a target turns suspect."""
        load = self._resources.chooser.load
        while True:
            await trio.sleep(SUSPECT_CHECK_S)
            if load.is_suspect(target.name, self._service, trio.current_time()):
                scope.cancel()

    def _may_send(self) -> bool:
        """Return whether the request may still be sent, after a wait for a connection.

        The target may have asked to be left out or have named a limit, a part may have
        been quarantined, or the caller may have left.
        """
        if self._writer.has_caller_left() or self._passage.is_barred():
            return False
        chooser, now_s = self._resources.chooser, trio.current_time()
        target = self._choice.target
        if not chooser.notices.may_send(target.incarnation, now_s):
            return False
        if not chooser.versions.may_send(target, now_s):
            return False
        if not chooser.rates.may_send(self._permit, now_s):
            return False
        chooser.versions.record_sent(self._open.counted)
        if chooser.rates.is_limited(target, now_s):
            self._resources.counters.limited_requests.labels(target.name).inc()
        return True

    def _request_headers(self, target: Target) -> Headers:
        resources, now_s = self._resources, trio.current_time()
        context, plan = make_context(
            self._request,
            target,
            self._cutter.last_id,
            resources.follower,
            resources.sent_parts,
            now_s,
        )
        for stored in plan.fetches:
            outcome = "read" if stored is None else "fetched"
            resources.counters.parts.labels(outcome).inc()
        return resources.dialect.request_headers(self._request.headers, context)

    def _max_connections(self) -> int:
        """Return this VM's share of the service's connections; 0 without a limit."""
        follower = self._resources.follower
        service = follower.view.deployment.services.get(self._service)
        if service is None or not service.max_connections:
            return 0
        return max(1, service.max_connections // max(1, len(follower.entry_vms)))

    async def _handle_response(self, response: OpenResponse) -> Outcome:
        request, target = self._request, self._choice.target
        kind = self._resources.dialect.classify_answer(
            request.metadata, response.status, response.headers, response.is_first
        )
        if kind is AnswerKind.WRONG_REQUEST:
            return Broken(MismatchedAnswer(target.name))
        if kind is AnswerKind.INCOMPLETE:
            return Broken(AnswerBroken(f"{target.name}: a head without its stamp"))
        self._apply_keep_alive(response)
        notice = Notice()
        if kind is not AnswerKind.OTHER_TARGET:
            notice = apply_notice(
                self._resources,
                target,
                request.metadata.request_id,
                response,
                self._open.began_s,
            )
        headers = self._resources.dialect.answer_headers(
            response.status, response.headers
        )
        response = response._replace(headers=headers)
        if kind is AnswerKind.UNPROVEN:
            return Broken(RefusalUnproven(f"{target.name}: status {response.status}"))
        if kind is AnswerKind.ANSWER:
            self._open.end_return(is_answered=True)
        if kind in (AnswerKind.NOT_RUN, AnswerKind.OTHER_TARGET):
            self.may_have_run = False
        if self._is_stream(response):
            return await self._stream(response)
        if kind in (AnswerKind.NOT_RUN, AnswerKind.OTHER_TARGET):
            refusal = await read_refusal(response, target)
            if kind is AnswerKind.OTHER_TARGET:
                return Broken(NoTarget(f"another target is at {target.address}"))
            self._was_refused = True
            return refusal._replace(is_pause=notice.pause is not None)
        return await self._handle_plain(response)

    async def _handle_plain(self, response: OpenResponse) -> Outcome:
        """Pass a plain answer on, or return a failure of the target."""
        if self._writer.has_begun:
            name, status = self._choice.target.name, response.status
            return Broken(StreamNotResumed(f"{name}: status {status}"))
        parts = iter_body(response, self._choice.target)
        with self._resources.memory.open() as holding:
            read = await read_plain(response, parts, holding)
            if isinstance(read, Broken):
                return read
            if isinstance(read, Prefix):
                return await self._pass_on(response, read, parts)
            if response.status >= SERVER_ERROR:
                return read
            self._record_activity()
            await self._record_whole(response)
            await self._writer.send_response(read.status, read.headers, read.body)
        return Delivered(read.status)

    async def _pass_on(
        self, response: OpenResponse, prefix: Prefix, parts: AsyncIterator
    ) -> Outcome:
        """Pass an answer that is too long to be held on as it arrives."""
        name, status = self._choice.target.name, response.status
        if status >= SERVER_ERROR and self._may_go_elsewhere:
            return Broken(AnswerTooLong(f"{name}: status {status}"))
        writer = self._writer
        if not await writer.start_long(status, response.headers, response.length):
            return Broken(AnswerTooLong(f"{name}: the caller speaks HTTP/1.0"))
        self.has_passed_on = True
        whole = partial(self._record_whole, response)
        self._record_activity()
        async with read_ahead(parts, self._resources.memory, whole) as ahead:
            await writer.send(prefix.take())
            async for part in ahead:
                if isinstance(part, Broken):
                    return part
                await writer.send(part)
        await writer.finish()
        return Delivered(status)

    def _is_stream(self, response: OpenResponse) -> bool:
        """Return whether the answer is passed on as it arrives."""
        if self._request.route.kind is not RouteKind.STREAM or response.status >= 300:
            return False
        if self._writer.has_begun and response.status != self._writer.begun_status:
            return False
        return response.may_be_event_stream

    def _apply_keep_alive(self, response: OpenResponse) -> None:
        for name, value in response.headers:
            if name.lower() == b"keep-alive":
                self._resources.pools.apply_keep_alive(self._choice.target, value)

    async def _stream(self, response: OpenResponse) -> Outcome:
        target = self._choice.target
        with self._resources.memory.open() as holding:
            relay = StreamRelay(
                response,
                target,
                self._cutter,
                self._writer,
                self._request.route.resumable,
                self._record_activity,
                holding,
                self._resources.memory,
                partial(self._record_whole, response),
            )
            broken = await relay.run()
        self.answer_end = self.answer_end._replace(partial_bytes=relay.partial_bytes)
        return broken or Delivered(response.status)

    def _record_activity(self) -> None:
        """Record that a part of the answer has arrived."""
        self._open.record_part()
        self._writer.pace.record(trio.current_time())

    def _record_outcome(self, outcome: Outcome) -> None:
        recorder = OutcomeRecorder(
            self._resources, self._request.metadata, self._service, self._choice
        )
        end = AttemptEnd(
            outcome,
            self.answer_end,
            self._open.began_s,
            self.may_have_run,
            self._was_refused,
        )
        recorder.record(end, trio.current_time())
