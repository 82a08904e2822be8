"""HTTP API of a control VM for the platform's workers and operators."""

from collections.abc import Awaitable, Callable
from functools import partial
from typing import NamedTuple, TypedDict
from urllib.parse import unquote

from returns.result import Failure, Result
from starlette.responses import Response

from vanillabeam import wire
from vanillabeam.decisions import (
    AnnouncementUnreadable,
    DeploymentRefused,
    OrderSettled,
    OrderUnsettled,
    log_record,
)
from vanillabeam.exceptions import MalformedBody, VanillabeamError
from vanillabeam.fleet import Command, Limits, make_deploy
from vanillabeam.fleet.cachescopes import make_sharing
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.deployments import MAX_NUMBER
from vanillabeam.fleet.orderguard import Caller
from vanillabeam.fleetvm import MAX_BODY_BYTES
from vanillabeam.forwarding.sending.downstream import read_body
from vanillabeam.log import Applied
from vanillabeam.memory import MemoryBudget
from vanillabeam.platform.documents import check_document
from vanillabeam.platform.heartbeats import read_heartbeat, read_leave
from vanillabeam.platform.rollouts import encode_rollout, read_rollout_order
from vanillabeam.requestscope import connection_of

__all__ = ["ControlApp"]

LIMITS = Limits(body_bytes=MAX_BODY_BYTES)
OK, BAD_REQUEST, NOT_FOUND, UNAVAILABLE = 200, 400, 404, 503


class Answer(NamedTuple):
    """Status and JSON body of an HTTP answer."""

    status: int
    body: bytes = b"{}"


class _Call(NamedTuple):
    """A call of a worker or an operator.

    :param argument: rest of the path behind the call's name.
    """

    argument: str
    body: bytes
    caller: Caller


class _VersionOrder(TypedDict):
    model: str
    version: int


Handler = Callable[[_Call], Awaitable[Answer]]


class ControlApp:
    """ASGI application for workers' heartbeats and operators' commands."""

    def __init__(self, control: FleetControl):
        self._control = control
        self._memory = MemoryBudget()
        self._handlers: dict[tuple[str, str], Handler] = {
            ("POST", "/api/Instances.Heartbeat"): self._heartbeat,
            ("POST", "/api/Instances.Leave"): self._leave,
            ("POST", "/api/Config.Put"): self._put_config,
            ("GET", "/api/Config.Get"): self._get_config,
            ("POST", "/api/Evacuate.Start"): self._evacuate,
            ("POST", "/api/Evacuate.End"): self._restore,
            ("POST", "/api/version-put"): self._put_version,
            ("POST", "/api/Rollouts.Start"): self._start_rollout,
            ("GET", "/api/Rollouts.Get"): self._get_rollout,
        }

    async def __call__(self, scope, receive, send) -> None:
        """Answer one HTTP request."""
        answer = await self._answer(scope, receive)
        response = Response(answer.body, answer.status, media_type="application/json")
        await response(scope, receive, send)

    async def _answer(self, scope, receive) -> Answer:
        call, argument = _split_path(scope["raw_path"].decode("latin-1"))
        handler = self._handlers.get((scope["method"], call))
        if handler is None:
            return Answer(NOT_FOUND)
        with self._memory.open() as holding:
            body = await read_body(receive, LIMITS, holding)
            if isinstance(body, Failure):
                exc = body.failure()
                return _error_answer(int(exc.status), exc)
            caller = Caller(
                connection_of(scope).accepted_s, partial(_wait_gone, receive)
            )
            return await handler(_Call(unquote(argument), body.unwrap(), caller))

    async def _heartbeat(self, call: _Call) -> Answer:
        target = read_heartbeat(call.argument, call.body)
        if isinstance(target, Failure):
            log_record(AnnouncementUnreadable(call.argument, target.failure().detail))
            return _error_answer(BAD_REQUEST, target.failure())
        self._control.receive_announcement(target.unwrap())
        if not target.unwrap().draining:
            return Answer(OK)
        return _departure_answer(await self._control.commit_draining(target.unwrap()))

    async def _leave(self, call: _Call) -> Answer:
        born = read_leave(call.body)
        if isinstance(born, Failure):
            log_record(AnnouncementUnreadable(call.argument, born.failure().detail))
            return _error_answer(BAD_REQUEST, born.failure())
        if born.unwrap() is None:
            # Nothing but its caller tells a copy from the call of a later start.
            current = await self._control.orders.check(call.caller)
            if isinstance(current, Failure):
                return _error_answer(UNAVAILABLE, current.failure())
        left = self._control.receive_leave(call.argument, born.unwrap())
        if left is None:
            return Answer(OK)
        return _departure_answer(await self._control.departing.commit_end(left))

    async def _put_config(self, call: _Call) -> Answer:
        deployment = check_document(call.body)
        if isinstance(deployment, Failure):
            log_record(DeploymentRefused(deployment.failure().detail))
            return _error_answer(BAD_REQUEST, deployment.failure())
        number, sharing = deployment.unwrap().number, make_sharing(deployment.unwrap())
        return await self._propose(make_deploy(number, call.body.decode(), sharing))

    async def _get_config(self, call: _Call) -> Answer:
        state = await self._control.read_state()
        if isinstance(state, Failure):
            return _error_answer(UNAVAILABLE, state.failure())
        document = state.unwrap()["document"]
        return Answer(OK, document.encode()) if document else Answer(UNAVAILABLE)

    async def _evacuate(self, call: _Call) -> Answer:
        command = Command(kind="evacuate", data_centre=call.argument)
        return _order_answer(
            command, await self._control.orders.settle(command, call.caller)
        )

    async def _restore(self, call: _Call) -> Answer:
        command = Command(kind="restore", data_centre=call.argument)
        return _order_answer(
            command, await self._control.orders.settle(command, call.caller)
        )

    async def _put_version(self, call: _Call) -> Answer:
        order = wire.read(_VersionOrder, call.body)
        if isinstance(order, Failure):
            return _error_answer(BAD_REQUEST, order.failure())
        model, version = order.unwrap()["model"], order.unwrap()["version"]
        if not 1 <= version <= MAX_NUMBER:
            return _error_answer(BAD_REQUEST, MalformedBody("version out of range"))
        return await self._propose(Command(kind="weights", model=model, number=version))

    async def _start_rollout(self, call: _Call) -> Answer:
        order = read_rollout_order(call.body)
        if isinstance(order, Failure):
            return _error_answer(BAD_REQUEST, order.failure())
        started = await self._control.rollouts.start(**order.unwrap())
        if isinstance(started, Failure):
            return _error_answer(int(started.failure().status), started.failure())
        return Answer(OK)

    async def _get_rollout(self, call: _Call) -> Answer:
        record = await self._control.rollouts.state(call.argument)
        if isinstance(record, Failure):
            return _error_answer(int(record.failure().status), record.failure())
        return Answer(OK, encode_rollout(record.unwrap()))

    async def _propose(self, command: Command) -> Answer:
        return _order_answer(command, await self._control.propose(command))


def _departure_answer(settled: Result[None, VanillabeamError]) -> Answer:
    if isinstance(settled, Failure):
        return _error_answer(UNAVAILABLE, settled.failure())
    return Answer(OK)


def _order_answer(
    command: Command, settled: Result[Applied, VanillabeamError]
) -> Answer:
    """Return the answer to an operator's order, and log its outcome."""
    subject = command.get("data_centre") or command.get("model")
    fields = (command["kind"], command.get("number"), subject)
    if isinstance(settled, Failure):
        failure = settled.failure()
        log_record(OrderUnsettled(*fields, failure.type, str(failure.run)))
        return _error_answer(UNAVAILABLE, failure)
    log_record(OrderSettled(*fields, settled.unwrap().index))
    return Answer(OK)


async def _wait_gone(receive) -> None:
    """Wait until the caller of a request that was read has closed the connection."""
    while (await receive())["type"] != "http.disconnect":
        pass


def _split_path(path: str) -> tuple[str, str]:
    """Split a path into the call and its argument, which is empty if missing."""
    start = len("/api/")
    call, _, argument = path[start:].partition("/")
    return path[:start] + call, argument


def _error_answer(status: int, exc: VanillabeamError) -> Answer:
    return Answer(status, wire.encode({"error": exc.type, "detail": exc.detail}))
