"""The ASGI application that serves callers on an entry VM."""

import itertools
import random
from collections.abc import Awaitable, Callable
from functools import partial

import trio
from returns.result import Failure, Result, Success

from vanillabeam.counters import Counters
from vanillabeam.decisions import (
    AnswerCut,
    CallerGone,
    RequestAdmitted,
    RequestAnswered,
    RequestRefused,
    TargetCapacityChanged,
    log_record,
)
from vanillabeam.exceptions import MalformedBody, VanillabeamError
from vanillabeam.fleet import Deployment, Follower
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.choice import Chooser
from vanillabeam.forwarding.dialect import Dialect, RequestMetadata
from vanillabeam.forwarding.exceptions import StateUnknown
from vanillabeam.forwarding.judging.endings import TargetEnds
from vanillabeam.forwarding.judging.endprobe import EndProbe
from vanillabeam.forwarding.judging.gate import QuarantineGate
from vanillabeam.forwarding.overloadgate import OverloadGate, ReportedOverload
from vanillabeam.forwarding.resources import Resources
from vanillabeam.forwarding.routes import RouteTable
from vanillabeam.forwarding.sending.downstream import (
    ResponseWriter,
    discard_body,
    read_body,
    spread_retry_after,
)
from vanillabeam.forwarding.sending.exchange import Exchange
from vanillabeam.forwarding.sending.pools import Pools
from vanillabeam.forwarding.sending.sentparts import SentParts
from vanillabeam.lifecycle import Lifecycle
from vanillabeam.memory import Holding, MemoryBudget
from vanillabeam.overload.task import Overload
from vanillabeam.requestscope import connection_of

__all__ = ["ForwardingApp"]

CLEANUP_INTERVAL_S = 2.0
#: Time after the start by which the fleet state has arrived, unless the control
#: VMs are unreachable.
STARTUP_S = 1.5
#: Time after the end of a request at which its connection is closed if its answer
#: still arrives.
ABORT_DELAY_S = 0.2
#: Longest time that a request waits for the fleet state during the startup.
STATE_WAIT_S = 0.6


class ForwardingApp:
    """An ASGI application that forwards requests to targets.

    :param dialect: reads and writes the headers of the environment.
    :param follower: follows the state of the fleet.
    :param chooser: chooses the target of each request.
    :param lifecycle: counts open requests and reports when this VM drains.
    :param counters: counts the outcomes of requests.
    :param rng: seeded; adds jitter to the Retry-After of refused callers.
    :param memory: bytes of bodies that all requests may hold.
    :param vm: name of this VM.
    :param overload: overload of this VM; ``None`` where it is not measured.
    :ivar probe: task that checks whether targets have ended.
    """

    def __init__(
        self,
        dialect: Dialect,
        follower: Follower,
        chooser: Chooser,
        lifecycle: Lifecycle,
        counters: Counters,
        rng: random.Random,
        memory: MemoryBudget | None = None,
        vm: str = "",
        overload: Overload | None = None,
    ):
        memory = memory or MemoryBudget()
        ends = TargetEnds()
        self.probe = EndProbe(ends, follower.directory, chooser)
        gate = QuarantineGate(vm, ends)
        self._resources = Resources(
            dialect,
            follower,
            chooser,
            Pools(),
            SentParts(),
            counters,
            memory,
            ends,
            self.probe,
            gate,
        )
        follower.evidence = gate
        self._counters = counters
        chooser.is_paused = follower.targets.is_paused
        follower.load = chooser.load
        if overload is not None:
            follower.load = ReportedOverload(chooser.load, overload)
        self._overload = OverloadGate(overload)
        self._lifecycle = lifecycle
        self._began_s = trio.current_time()
        self._rng = rng
        self._table = RouteTable(Deployment())
        self._numbers = itertools.count(1)

    def connection_counts(self) -> dict[tuple[str, str], int]:
        """Return the number of connections by target and state."""
        return self._resources.pools.counts()

    async def run(self) -> None:
        """Drop the state of targets that are no longer known, until cancelled."""
        while True:
            await trio.sleep(CLEANUP_INTERVAL_S)
            chooser = self._resources.chooser
            records = self._resources.follower.directory.records.values()
            incarnations = {record.target.incarnation for record in records}
            now_s = trio.current_time()
            chooser.keep_only(incarnations, now_s)
            for row in chooser.load.capacity.changes(now_s):
                log_record(TargetCapacityChanged(*row))
            self._resources.sent_parts.keep_only(incarnations)
            view = self._resources.follower.view
            self._resources.gate.keep_only(view.quarantine)
            leaving = chooser.notices.leaving(incarnations)
            await self._resources.pools.keep_only(incarnations - leaving)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        now_s = trio.current_time()
        began_s = min(now_s, connection_of(scope).arrived_s)
        self._overload.record_start(began_s, now_s)
        number = str(next(self._numbers))
        writer = ResponseWriter(
            send,
            closes=self._lifecycle.draining.is_set,
            collects=scope["http_version"] == "1.0",
            has_left=connection_of(scope).has_left,
        )
        self._lifecycle.request_started(number)
        try:
            await self._serve(scope, receive, writer, began_s)
        finally:
            self._lifecycle.request_ended(number)

    async def _serve(
        self, scope, receive, writer: ResponseWriter, began_s: float
    ) -> None:
        metadata = self._resources.dialect.read_metadata(scope)
        if isinstance(metadata, Failure):
            await self._refuse(writer, "", metadata.failure())
            return
        await self._wait_for_state(began_s)
        admitted = self._admit(metadata.unwrap(), scope, began_s)
        admitted = admitted.bind(self._overload.check)
        if isinstance(admitted, Failure):
            kind = admitted.failure().type
            self._counters.requests.labels("", "refused", kind).inc()
            await self._refuse(writer, metadata.unwrap().request_id, admitted.failure())
            return
        request = admitted.unwrap()
        with self._resources.memory.open() as holding:
            body = await self._read_body(request, receive, holding)
            if isinstance(body, Failure):
                await self._refuse_body(request, body.failure(), receive, writer)
                return
            request = request._replace(body=body.unwrap())
            await self._overload.take_turn()
            if writer.has_caller_left():
                self._record_left(request)
                return
            checked = self._overload.check(request)
            if isinstance(checked, Failure):
                await self._refuse_admitted(request, checked.failure(), writer)
                return
            abort = connection_of(scope).abort
            await self._exchange(request, receive, writer, abort)

    async def _refuse_body(
        self,
        request: AdmittedRequest,
        exc: VanillabeamError,
        receive,
        writer: ResponseWriter,
    ) -> None:
        is_gone = isinstance(exc, MalformedBody)
        before_end = None if is_gone else partial(discard_body, receive)
        await self._refuse_admitted(request, exc, writer, before_end)

    async def _refuse_admitted(
        self,
        request: AdmittedRequest,
        exc: VanillabeamError,
        writer: ResponseWriter,
        before_end: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        labels = (request.route.name, "refused", exc.type)
        self._counters.requests.labels(*labels).inc()
        await self._refuse(writer, request.metadata.request_id, exc, before_end)

    async def _read_body(
        self, request: AdmittedRequest, receive, holding: Holding
    ) -> Result[bytes, VanillabeamError]:
        """Return the body if it is there in time and this VM can hold it.

        The length that a caller announces is held from the start, so that bodies that
        were begun can be completed.
        """
        limits = self._table.deployment.limits
        lengths = [v for n, v in request.headers if n == b"content-length"]
        holding.grow_to(min(int(lengths[0]), limits.body_bytes) if lengths else 0)
        return await read_body(receive, limits, holding, request.ends_s)

    async def _wait_for_state(self, began_s: float) -> None:
        """Wait a short time for the fleet state if this VM has just started.

        The state then arrives soon. A caller that is refused would return later
        than this VM could have served it.
        """
        follower = self._resources.follower
        until_s = min(began_s + STATE_WAIT_S, self._began_s + STARTUP_S)
        if not follower.is_current and trio.current_time() < until_s:
            with trio.move_on_at(until_s):
                await follower.wait_for_deployment()

    def _admit(
        self, metadata: RequestMetadata, scope, began_s: float
    ) -> Result[AdmittedRequest, VanillabeamError]:
        """Return the request with its route and workspace.

        :param began_s: monotonic time at which the request arrived.
        """
        view = self._resources.follower.view
        if not self._resources.follower.is_current:
            return Failure(StateUnknown())
        if view.deployment is not self._table.deployment:
            self._table = RouteTable(view.deployment)
        route = self._table.route(metadata.host, metadata.path)
        if isinstance(route, Failure):
            return route
        workspace = self._table.workspace(route.unwrap(), metadata.key)
        if isinstance(workspace, Failure):
            return workspace
        workspace = workspace.unwrap()
        wait_s = route.unwrap().timeout_s
        if metadata.budget_s is not None:
            wait_s = min(wait_s, metadata.budget_s)
        request = AdmittedRequest(
            metadata,
            route.unwrap(),
            workspace,
            scope["headers"],
            b"",
            began_s,
            min(began_s + wait_s, self._lifecycle.answers_until_s),
        )
        log_record(
            RequestAdmitted(
                metadata.request_id,
                request.route.name,
                workspace.name if workspace else "",
                request.rank,
                view.index,
                view.deployment.number,
                round(wait_s, 3),
                request.route.objective_s,
            )
        )
        return Success(request)

    async def _exchange(
        self,
        request: AdmittedRequest,
        receive,
        writer: ResponseWriter,
        abort: Callable[[], None],
    ) -> None:
        exchange = Exchange(request, self._resources, writer)
        failure = None
        async with trio.open_nursery() as nursery:
            writer.on_left = nursery.cancel_scope.cancel
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            ends_s = max(request.ends_s, trio.current_time())
            nursery.start_soon(_abort_at, ends_s + ABORT_DELAY_S, writer, abort)
            nursery.start_soon(self._conclude_before_stop, exchange, writer)
            failure = await exchange.run()
            if failure is not None and not writer.started:
                await self._refuse(writer, request.metadata.request_id, failure)
            nursery.cancel_scope.cancel()
        self._record_outcome(request, exchange, writer, failure)

    async def _conclude_before_stop(
        self, exchange: Exchange, writer: ResponseWriter
    ) -> None:
        """Have a request get its final answer before a planned stop ends.

        An answer that has begun goes on, as nothing can make it whole any sooner.
        """
        await self._lifecycle.draining.wait()
        await trio.sleep_until(self._lifecycle.answers_until_s)
        if not writer.started:
            exchange.conclude()

    def _record_outcome(
        self,
        request: AdmittedRequest,
        exchange: Exchange,
        writer: ResponseWriter,
        failure: VanillabeamError | None,
    ) -> None:
        request_id = request.metadata.request_id
        total_s = round(trio.current_time() - request.began_s, 4)
        route, counters = request.route.name, self._counters
        if failure is not None and not writer.finished:
            index = self._resources.follower.view.index
            log_record(AnswerCut(request_id, failure.type, failure.detail, index))
            counters.requests.labels(route, "cut", failure.type).inc()
        elif failure is not None:
            counters.requests.labels(route, "refused", failure.type).inc()
        elif writer.finished:
            log_record(
                RequestAnswered(
                    request_id,
                    writer.status,
                    exchange.attempts,
                    total_s,
                    *exchange.answer_end,
                    writer.pace.first_s(request.began_s),
                    writer.pace.gap_s,
                )
            )
            counters.requests.labels(route, "answered", str(writer.status)).inc()
            counters.total_s.labels(route).observe(total_s)
        else:
            self._record_left(request)

    def _record_left(self, request: AdmittedRequest) -> None:
        total_s = round(trio.current_time() - request.began_s, 4)
        log_record(CallerGone(request.metadata.request_id, total_s))
        self._counters.requests.labels(request.route.name, "caller-gone", "").inc()

    async def _refuse(
        self,
        writer: ResponseWriter,
        request_id: str,
        exc: VanillabeamError,
        before_end: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        retry_after_s = exc.retry_after_s
        # Some failures have spread the returns of their callers already.
        if retry_after_s is not None and not getattr(exc, "is_scheduled", False):
            retry_after_s = spread_retry_after(retry_after_s, self._rng)
        log_record(
            RequestRefused(
                request_id,
                exc.type,
                exc.detail,
                int(exc.status),
                str(exc.run),
                retry_after_s and round(retry_after_s, 3),
                self._resources.follower.view.index,
            )
        )
        await writer.send_problem(exc, retry_after_s, before_end)


async def _abort_at(
    time_s: float, writer: ResponseWriter, abort: Callable[[], None]
) -> None:
    """Close the caller's connection at a time, unless cancelled before.

    A caller that is slow to take a whole answer gets it late; the listener closes the
    connection of one that takes nothing.
    """
    await trio.sleep_until(time_s)
    if not writer.is_whole:
        abort()


async def _cancel_on_disconnect(receive, scope: trio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
