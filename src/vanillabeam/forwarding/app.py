"""The application behind the callers' listener of an entry VM."""

import itertools
import random

import trio
from returns.result import Failure, Result, Success

from vanillabeam.counters import Counters
from vanillabeam.decisions import (
    AnswerCut,
    CallerGone,
    RequestAdmitted,
    RequestAnswered,
    RequestRefused,
    log_record,
)
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.fleet import Deployment, Follower
from vanillabeam.forwarding.admitted import Admitted
from vanillabeam.forwarding.choice import Chooser
from vanillabeam.forwarding.dialect import Dialect, Facts
from vanillabeam.forwarding.exceptions import StateUnknown
from vanillabeam.forwarding.exchange import Exchange, Tools
from vanillabeam.forwarding.pools import Pools
from vanillabeam.forwarding.routes import RouteTable
from vanillabeam.forwarding.sentparts import SentParts
from vanillabeam.forwarding.upstream import Caller, read_body
from vanillabeam.lifecycle import Lifecycle

__all__ = ["ForwardingApp"]

CLEAN_PERIOD_S = 2.0
#: After so long without a state, control VMs are out of reach.
STARTUP_S = 1.5
#: Time that a request waits for the state within that.
STATE_WAIT_S = 0.6
#: Share of Retry-After by which callers' returns are spread.
SPREAD_SHARE = 1.0


class ForwardingApp:
    """An ASGI application that forwards requests to targets.

    :param dialect: names and headers of the environment.
    :param follower: what this VM knows of the fleet.
    :param lifecycle: counts requests in and out.
    :param counters: takes what becomes of requests.
    :param rng: seeded; spreads the return of refused callers.
    """

    def __init__(
        self,
        dialect: Dialect,
        follower: Follower,
        chooser: Chooser,
        lifecycle: Lifecycle,
        counters: Counters,
        rng: random.Random,
    ):
        self._tools = Tools(dialect, follower, chooser, Pools(), SentParts(), counters)
        self._counters = counters
        chooser.is_paused = follower.is_paused
        follower.load = chooser.load
        self._lifecycle = lifecycle
        self._began_s = trio.current_time()
        self._rng = rng
        self._table = RouteTable(Deployment())
        self._numbers = itertools.count(1)

    async def run(self) -> None:
        """Close connections to targets that are gone, until cancelled."""
        while True:
            await trio.sleep(CLEAN_PERIOD_S)
            sightings = self._tools.follower.directory.records.values()
            lives = {sighting.target.incarnation for sighting in sightings}
            await self._tools.pools.keep_only(lives)
            self._tools.sent.keep_only(lives)

    async def __call__(self, scope, receive, send) -> None:
        """Serve one request."""
        began_s = trio.current_time()
        number = str(next(self._numbers))
        caller = Caller(send, closes=self._lifecycle.draining.is_set())
        self._lifecycle.request_started(number)
        try:
            await self._serve(scope, receive, caller, began_s)
        finally:
            self._lifecycle.request_ended(number)

    async def _serve(self, scope, receive, caller: Caller, began_s: float) -> None:
        facts = self._tools.dialect.read_facts(scope)
        if isinstance(facts, Failure):
            await self._refuse(caller, "", facts.failure())
            return
        await self._wait_for_state(began_s)
        admitted = self._admit(facts.unwrap(), scope, began_s)
        if isinstance(admitted, Failure):
            kind = admitted.failure().type
            self._counters.requests.labels("", "refused", kind).inc()
            await self._refuse(caller, facts.unwrap().request_id, admitted.failure())
            return
        order = admitted.unwrap()
        limits = self._table.deployment.limits
        body = await read_body(receive, limits)
        if isinstance(body, Failure):
            await self._refuse(caller, order.facts.request_id, body.failure())
            return
        await self._exchange(order._replace(body=body.unwrap()), receive, caller)

    async def _wait_for_state(self, began_s: float) -> None:
        """Wait a little for the state, if this VM has only just begun.

        It is then on its way, and a caller that is sent away comes back later
        than it could have been served.
        """
        follower = self._tools.follower
        until_s = min(began_s + STATE_WAIT_S, self._began_s + STARTUP_S)
        if not follower.view.is_known and trio.current_time() < until_s:
            with trio.move_on_at(until_s):
                await follower.wait_for_deployment()

    def _admit(
        self, facts: Facts, scope, began_s: float
    ) -> Result[Admitted, VanillabeamError]:
        """Return the request with its route and workspace."""
        view = self._tools.follower.view
        if not view.is_known:
            return Failure(StateUnknown())
        if view.deployment is not self._table.deployment:
            self._table = RouteTable(view.deployment)
        route = self._table.route(facts.host, facts.path)
        if isinstance(route, Failure):
            return route
        workspace = self._table.workspace(route.unwrap(), facts.key)
        if isinstance(workspace, Failure):
            return workspace
        workspace = workspace.unwrap()
        wait_s = route.unwrap().timeout_s
        if facts.budget_s is not None:
            wait_s = min(wait_s, facts.budget_s)
        order = Admitted(
            facts,
            route.unwrap(),
            workspace,
            scope["headers"],
            b"",
            began_s,
            began_s + wait_s,
        )
        log_record(
            RequestAdmitted(
                facts.request_id,
                order.route.name,
                workspace.name if workspace else "",
                order.rank,
                view.index,
                view.deployment.number,
                round(wait_s, 3),
            )
        )
        return Success(order)

    async def _exchange(self, order: Admitted, receive, caller: Caller) -> None:
        exchange = Exchange(order, self._tools, caller)
        failure = None
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_when_gone, receive, nursery.cancel_scope)
            failure = await exchange.run()
            if failure is not None and not caller.begun:
                await self._refuse(caller, order.facts.request_id, failure)
            nursery.cancel_scope.cancel()
        self._note_end(order, exchange, caller, failure)

    def _note_end(
        self,
        order: Admitted,
        exchange: Exchange,
        caller: Caller,
        failure: VanillabeamError | None,
    ) -> None:
        request_id = order.facts.request_id
        total_s = round(trio.current_time() - order.began_s, 4)
        route, counters = order.route.name, self._counters
        if failure is not None and not caller.finished:
            index = self._tools.follower.view.index
            log_record(AnswerCut(request_id, failure.type, failure.detail, index))
            counters.requests.labels(route, "cut", failure.type).inc()
        elif failure is not None:
            counters.requests.labels(route, "refused", failure.type).inc()
        elif caller.finished:
            log_record(
                RequestAnswered(request_id, caller.status, exchange.attempts, total_s)
            )
            counters.requests.labels(route, "answered", str(caller.status)).inc()
            counters.total_s.labels(route).observe(total_s)
        else:
            log_record(CallerGone(request_id, total_s))
            counters.requests.labels(route, "caller-gone", "").inc()

    async def _refuse(
        self, caller: Caller, request_id: str, exc: VanillabeamError
    ) -> None:
        retry_after_s = exc.retry_after_s
        if retry_after_s is not None:
            retry_after_s *= 1 + SPREAD_SHARE * self._rng.random()
        log_record(
            RequestRefused(
                request_id,
                exc.type,
                exc.detail,
                int(exc.status),
                str(exc.run),
                retry_after_s and round(retry_after_s, 3),
                self._tools.follower.view.index,
            )
        )
        await caller.refuse(exc, retry_after_s)


async def _cancel_when_gone(receive, scope: trio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return
