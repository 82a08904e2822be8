"""ASGI responses for prompts: streamed or buffered."""

import contextlib
from collections.abc import Awaitable, Callable
from typing import TypeVar

import trio
from starlette.responses import Response
from starlette.types import ASGIApp, Receive, Scope, Send

from vanillabeam.answers import Answer
from vanillabeam.problems import RUN_HEADER, problem_response

__all__ = [
    "StreamingAnswer",
    "buffered_answer",
    "client_closed_response",
    "while_connected",
]

CLIENT_CLOSED_REQUEST = 499
#: Time that a slow caller has after the answer's deadline to read the last bytes.
SLOW_READER_GRACE_S = 5.0

T = TypeVar("T")
R = TypeVar("R")


class StreamingAnswer:
    """An ASGI application that forwards an answer while it is generated.

    A disconnect of the caller is detected by a parallel task, since sending to
    a closed connection raises no error.

    :param answer: the opened answer; it is closed in every case.
    """

    def __init__(self, answer: Answer):
        self._answer = answer

    async def __call__(self, scope: Scope, receive: Receive, send: Send) -> None:
        """Send head and body until the answer ends or the caller disconnects."""
        async with contextlib.aclosing(self._answer), trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
            # A caller that stops reading would keep its stream open for ever.
            nursery.cancel_scope.deadline = (
                self._answer.deadline_at_s + SLOW_READER_GRACE_S
            )
            await send(self._head())
            async for data in self._answer:
                await send(_body(data, more=True))
            await send(_body(b"", more=False))
            nursery.cancel_scope.cancel()

    def _head(self) -> dict:
        headers = [
            (b"content-type", self._answer.content_type.encode()),
            (b"cache-control", b"no-store"),
            (RUN_HEADER.lower().encode(), str(self._answer.run).encode()),
        ]
        return {"type": "http.response.start", "status": 200, "headers": headers}


async def while_connected(
    receive: Receive, act: Callable[[T], Awaitable[R]], argument: T
) -> R | None:
    """Return the result of ``act(argument)``, or ``None`` on a disconnect.

    The listener does not cancel an application when the caller disconnects, so
    it is cancelled here.

    :param receive: the request's ASGI channel, whose body was already read.
    """
    result = None
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
        result = await act(argument)
        # A cancellation from outside would have the nursery raise, and a result that
        # must be closed would be dropped.
        nursery.cancel_scope.shield = True
        nursery.cancel_scope.cancel()
    return result


def client_closed_response() -> Response:
    """Return the response for a caller that has already disconnected."""
    return Response(status_code=CLIENT_CLOSED_REQUEST)


async def buffered_answer(answer: Answer) -> ASGIApp:
    """Read an answer to its end and return it, or its failure, as one response."""
    async with contextlib.aclosing(answer):
        data = b"".join([part async for part in answer])
    if answer.failure is not None:
        return problem_response(answer.failure)
    headers = {RUN_HEADER: str(answer.run)}
    return Response(data, media_type=answer.content_type, headers=headers)


async def _cancel_on_disconnect(receive: Receive, scope: trio.CancelScope) -> None:
    while True:
        message = await receive()
        if message["type"] == "http.disconnect":
            scope.cancel()
            return


def _body(data: bytes, more: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": more}
