"""One caller's request from its route to its final answer."""

from functools import partial
from typing import NamedTuple

import trio

from vanillabeam.counters import Counters
from vanillabeam.decisions import AttemptFailed, TargetChosen, log_record
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.fleet import Follower, RouteKind, Target
from vanillabeam.forwarding.admitted import Admitted
from vanillabeam.forwarding.choice import Choice, Chooser
from vanillabeam.forwarding.costs import PromptCosts
from vanillabeam.forwarding.dialect import Dialect, Headers, Verdict
from vanillabeam.forwarding.events import EventCutter
from vanillabeam.forwarding.exceptions import (
    AnswerBroken,
    AnswerLate,
    NoTarget,
    StrangeAnswer,
    TooLate,
)
from vanillabeam.forwarding.handover import make_handover
from vanillabeam.forwarding.load import OpenRequest
from vanillabeam.forwarding.pools import Pools
from vanillabeam.forwarding.pricing import price_prompt
from vanillabeam.forwarding.sending import Broken, Opened, body_of, open_answer
from vanillabeam.forwarding.sentparts import SentParts
from vanillabeam.forwarding.upstream import Caller

__all__ = ["Exchange", "Tools"]

SERVER_ERROR = 500
#: Connections that could not be had, before a request is refused.
MOST_UNSENT = 5
#: Objectives, or seconds where a route has none, that a target may be silent
#: before it is doubtful.
PATIENCE_OBJECTIVES = 1.5
PATIENCE_S = 0.5
#: Objectives that a prompt waits at most for a target with room.
ROOM_OBJECTIVES = 0.6
#: Targets that fail together are noticed in this time, before the next is chosen.
SETTLE_S = 0.03
#: Time between two looks whether a target has room, or has turned doubtful.
LOOK_S = 0.1
#: Objectives that a prompt may be expected to wait for its first event. What
#: would wait longer is worth little, and what comes behind it would be late.
MOST_OBJECTIVES = 1.5


class Tools(NamedTuple):
    """What an entry VM's requests share."""

    dialect: Dialect
    follower: Follower
    chooser: Chooser
    pools: Pools
    sent: SentParts
    counters: Counters


class Whole(NamedTuple):
    """An answer that is whole and not yet passed on."""

    status: int
    headers: Headers
    body: bytes


class Delivered(NamedTuple):
    """The caller has a whole answer."""

    status: int


#: How one attempt ended.
Outcome = Whole | Delivered | Broken


class Exchange:
    """Sends a request to targets until it has an answer for the caller.

    :param caller: takes the answer.
    """

    def __init__(self, order: Admitted, tools: Tools, caller: Caller):
        self._order = order
        self._tools = tools
        self._caller = caller
        self._service = tools.chooser.service_of(order.route)
        self._cutter = EventCutter(order.facts.last_event_id)
        self._tried: set[str] = set()
        self._sent = 0
        self._unsent = 0
        self._wait_s: float | None = None
        self._counted: OpenRequest | None = None
        self.may_have_run = False

    @property
    def attempts(self) -> int:
        """How many targets the request was sent to."""
        return self._sent

    async def run(self) -> VanillabeamError | None:
        """Answer the caller; return the failure to answer with, if any."""
        self._tools.chooser.requested(self._service, trio.current_time())
        last: Outcome | None = None
        with trio.move_on_at(self._order.ends_s):
            while True:
                choice = await self._wait_for_choice()
                if choice is None:
                    return await self._give_up(last)
                last = await self._attempt(choice)
                if isinstance(last, Delivered):
                    return None
                if not self._may_go_on(last):
                    return await self._give_up(last)
                if isinstance(last, Broken):
                    await trio.sleep(SETTLE_S)
        if self.may_have_run:
            return AnswerLate(f"after {self._order.route.timeout_s:g} s")
        return NoTarget("no target in time")

    async def _wait_for_choice(self) -> Choice | None:
        """Return a target, waiting a little for one that can take the request."""
        while True:
            choice = self._choose()
            if choice is not None or not self._may_wait(trio.current_time()):
                return choice
            await trio.sleep(LOOK_S)

    def _may_wait(self, now_s: float) -> bool:
        """Return whether a target may turn up, or have room, in time."""
        tools, order = self._tools, self._order
        gathers = tools.follower.is_discovering(now_s)
        if gathers and not tools.chooser.knows_any(self._service):
            return True
        if not order.facts.parts or self._wait_s is not None:
            return False
        return now_s < order.began_s + ROOM_OBJECTIVES * order.route.objective_s

    def _choose(self) -> Choice | None:
        order, tools, costs = self._order, self._tools, self._costs()
        choice = tools.chooser.choose(
            self._service,
            order.facts,
            tools.follower.view,
            tools.follower.entry_vms,
            self._tried,
            trio.current_time(),
            costs,
        )
        if choice is None or self._is_too_late(choice):
            return None
        log_record(
            TargetChosen(
                order.facts.request_id,
                self._service,
                choice.target.name,
                choice.candidates,
                choice.age_s,
                choice.work,
                costs.unread if costs else 0,
                round(choice.wait_s, 3),
                choice.is_cold,
                self._sent,
                tools.follower.view.index,
            )
        )
        return choice

    def _is_too_late(self, choice: Choice) -> bool:
        """Return whether the wait is not worth the target's time."""
        objective_s = self._order.route.objective_s
        if not objective_s or self._order.facts.last_event_id or self._caller.begun:
            return False
        late = choice.wait_s > MOST_OBJECTIVES * objective_s
        if late:
            self._wait_s = choice.wait_s - objective_s
        return late

    def _costs(self) -> PromptCosts | None:
        tools = self._tools
        return price_prompt(
            self._order,
            self._service,
            tools.follower,
            tools.sent,
            tools.chooser.load.tokens_s(self._service),
            trio.current_time(),
        )

    def _may_go_on(self, last: Outcome) -> bool:
        """Return whether the request may go to one more target."""
        route = self._order.route
        if isinstance(last, Broken) and last.exc.run is Run.NOT_RUN:
            self._unsent += 1
            if self._unsent >= MOST_UNSENT:
                return False
            return self._sent < route.attempts
        if self._sent >= route.attempts:
            return False
        if self.may_have_run and not route.is_idempotent:
            return False
        entries = len(self._tools.follower.entry_vms)
        now_s = trio.current_time()
        if not self._tools.chooser.may_repeat(self._service, entries, now_s):
            return False
        self._tools.counters.repeats.labels(self._service).inc()
        return True

    async def _give_up(self, last: Outcome | None) -> VanillabeamError | None:
        """Pass the last answer on, or return the failure to answer with."""
        if isinstance(last, Whole):
            await self._caller.answer_whole(last.status, last.headers, last.body)
            return None
        if last is None and self._wait_s is not None:
            return TooLate(f"{self._wait_s:.2f} s beyond the objective", self._wait_s)
        if last is None:
            return NoTarget(self._refusal())
        if self.may_have_run and last.exc.run is Run.NOT_RUN:
            return AnswerBroken("an earlier target may have run it")
        return last.exc

    def _refusal(self) -> str:
        tools = self._tools
        return tools.chooser.refusal(
            self._service,
            self._order.facts,
            tools.follower.view,
            len(tools.follower.entry_vms),
            trio.current_time(),
            self._costs(),
        )

    async def _attempt(self, choice: Choice) -> Outcome:
        target, chooser = choice.target, self._tools.chooser
        self._tried.add(target.name)
        load, now_s = chooser.load, trio.current_time()
        follower = self._tools.follower
        chooser.sent(self._service, choice, follower.view, follower.entry_vms, now_s)
        counted = load.began(
            target.name,
            self._order.rank,
            choice.work,
            now_s,
            PATIENCE_OBJECTIVES * self._order.route.objective_s or PATIENCE_S,
            choice.room,
        )
        self._counted = counted
        outcome: Outcome | None = None
        try:
            outcome = await self._exchange(choice)
            return outcome
        finally:
            load.ended(counted)
            if isinstance(outcome, Broken):
                log_record(chooser.failed(target, trio.current_time()))
            elif outcome is not None:
                chooser.answered(target)

    async def _exchange(self, choice: Choice) -> Outcome:
        target = choice.target
        pool = self._tools.pools.pool(target, self._connections())
        headers = self._headers_for(target)
        was_run, self.may_have_run = self.may_have_run, True
        opened = await self._open(pool, target, headers)
        if isinstance(opened, Broken):
            if opened.exc.run is Run.NOT_RUN:
                self.may_have_run = was_run
            else:
                self._sent += 1
            return self._noted(opened, choice)
        self._sent += 1
        self._answered(trio.current_time())
        try:
            return self._noted(await self._take(opened, choice, was_run), choice)
        finally:
            with trio.CancelScope(shield=True):
                await opened.response.aclose()

    def _answered(self, now_s: float) -> None:
        """Learn from the time to the head of an answer."""
        load = self._tools.chooser.load
        load.answered(self._counted, self._service, now_s)
        first_s = now_s - self._counted.began_s
        self._tools.counters.first_event_s.labels(self._service).observe(first_s)

    async def _open(self, pool, target: Target, headers: Headers) -> Opened | Broken:
        """Send the request; leave a doubtful target if it may go elsewhere."""
        order = self._order
        send = partial(open_answer, pool, target, order.facts, headers, order.body)
        route = order.route
        if not route.is_idempotent or self._sent + 1 >= route.attempts:
            return await send()
        result: Opened | Broken = Broken(AnswerBroken(f"{target.name}: silent"))

        async def sending(scope: trio.CancelScope) -> None:
            nonlocal result
            result = await send()
            scope.cancel()

        load = self._tools.chooser.load
        async with trio.open_nursery() as nursery:
            nursery.start_soon(sending, nursery.cancel_scope)
            while True:
                await trio.sleep(LOOK_S)
                now_s = trio.current_time()
                if load.is_doubtful(target.name, self._service, now_s):
                    nursery.cancel_scope.cancel()
        return result

    def _headers_for(self, target: Target) -> Headers:
        tools, now_s = self._tools, trio.current_time()
        handover, plan = make_handover(
            self._order, target, self._cutter.last_id, tools.follower, tools.sent, now_s
        )
        for held in plan.fetches:
            outcome = "read" if held is None else "fetched"
            tools.counters.parts.labels(outcome).inc()
        return tools.dialect.request_headers(self._order.headers, handover)

    def _connections(self) -> int:
        follower = self._tools.follower
        service = follower.view.deployment.services.get(self._service)
        if service is None or not service.max_connections:
            return 0
        return service.max_connections // max(1, len(follower.entry_vms))

    async def _take(self, opened: Opened, choice: Choice, was_run: bool) -> Outcome:
        order, target = self._order, choice.target
        verdict = self._tools.dialect.judge(order.facts, opened.status, opened.headers)
        if verdict is Verdict.STRANGER:
            return Broken(StrangeAnswer(target.name))
        self._learn(opened, choice)
        if verdict in (Verdict.NOT_RUN, Verdict.OTHER_TARGET):
            self.may_have_run = was_run
        if order.route.kind is RouteKind.STREAM and opened.status < 300:
            return await self._stream(opened, choice)
        whole = await _read_whole(opened, choice)
        if isinstance(whole, Broken):
            return whole
        if verdict is Verdict.OTHER_TARGET:
            return Broken(NoTarget(f"another target is at {target.address}"))
        if verdict is Verdict.NOT_RUN or opened.status >= SERVER_ERROR:
            return whole
        await self._caller.answer_whole(whole.status, whole.headers, whole.body)
        return Delivered(whole.status)

    def _learn(self, opened: Opened, choice: Choice) -> None:
        for name, value in opened.headers:
            if name.lower() == b"keep-alive":
                self._tools.pools.learn(choice.target, value)

    async def _stream(self, opened: Opened, choice: Choice) -> Outcome:
        """Pass a stream on as it comes."""
        resumable = self._order.route.resumable
        async for part in body_of(opened, choice.target):
            if isinstance(part, Broken):
                self._cutter.drop_torn()
                return part
            self._tools.chooser.load.heard(choice.target.name, trio.current_time())
            data = self._cutter.feed(part) if resumable else part
            if data:
                await self._caller.begin(opened.status, opened.headers, resumable)
                await self._caller.send(data)
        await self._caller.begin(opened.status, opened.headers, resumable)
        await self._caller.send(self._cutter.finish())
        await self._caller.finish()
        return Delivered(opened.status)

    def _noted(self, outcome: Outcome, choice: Choice) -> Outcome:
        attempts = self._tools.counters.attempts
        attempts.labels(self._service, type(outcome).__name__.lower()).inc()
        if isinstance(outcome, Broken):
            log_record(
                AttemptFailed(
                    self._order.facts.request_id,
                    self._service,
                    choice.target.name,
                    outcome.exc.type,
                    outcome.exc.detail,
                    str(outcome.exc.run),
                    choice.age_s,
                )
            )
        return outcome


async def _read_whole(opened: Opened, choice: Choice) -> Whole | Broken:
    parts: list[bytes] = []
    async for part in body_of(opened, choice.target):
        if isinstance(part, Broken):
            return part
        parts.append(part)
    return Whole(opened.status, opened.headers, b"".join(parts))
