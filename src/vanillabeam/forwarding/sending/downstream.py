"""The caller's side of a request: read its body, send the answer."""

import random
from collections.abc import Awaitable, Callable
from math import inf

import trio
from returns.result import Failure, Result

from vanillabeam import wire
from vanillabeam.exceptions import BodyTooSlow, Run, VanillabeamError
from vanillabeam.fleet import Limits
from vanillabeam.forwarding.dialect import Headers
from vanillabeam.forwarding.sending.pace import Pace
from vanillabeam.hopheaders import strip_hop_by_hop
from vanillabeam.limits import collect_body
from vanillabeam.memory import Holding
from vanillabeam.problems import PROBLEM_TYPE, RUN_HEADER, to_problem

__all__ = ["ResponseWriter", "discard_body", "read_body", "spread_retry_after"]

#: Random share that is added to Retry-After, and its limit, so that callers don't all
#: return at the same time.
RETRY_AFTER_JITTER = 1.0
MAX_RETRY_AFTER_JITTER_S = 2.0
#: Time for which the rest of a refused body is read and dropped.
DISCARD_S = 0.5


def spread_retry_after(wait_s: float, rng: random.Random) -> float:
    """Return the seconds after which one of several callers should return.

    :param wait_s: seconds until the first of them may return.
    """
    jitter_s = min(RETRY_AFTER_JITTER * wait_s, MAX_RETRY_AFTER_JITTER_S)
    return wait_s + jitter_s * rng.random()


class ResponseWriter:
    """Sends one answer through an ASGI ``send``.

    :param closes: asked as the head is sent, whether the connection is closed after
        this answer.
    :param collects: whether a stream is held until it is whole and sent with its
        length, because the caller's HTTP version has no chunks: only the end of the
        connection would mark the end of the stream, broken off or not.
    :param has_left: asked whether the caller has ended its connection.
    :ivar on_left: called when the caller is found to have left.
    :ivar is_abandoned: whether the caller was found to have left.
    :ivar pace: when the parts of the answer arrived.
    :ivar on_whole: called when all of the answer is here, or is not after all.
    :ivar started: whether the head of the answer has been sent.
    :ivar is_whole: whether all of the answer is here, though the caller may not yet
        have taken it.
    :ivar finished: whether the answer has been sent completely.
    :ivar status: HTTP status of the answer; 0 before its head is sent.
    """

    def __init__(
        self,
        send,
        closes: Callable[[], bool] = lambda: False,
        collects: bool = False,
        has_left: Callable[[], bool] = lambda: False,
    ):
        self._has_left = has_left
        self.on_left: Callable[[], None] = lambda: None
        self.is_abandoned = False
        self._send = send
        self._closes = closes
        self._collects = collects
        self._collected_head: tuple[int, Headers] | None = None
        self._collected = bytearray()
        self.pace = Pace()
        self.on_whole: Callable[[bool], None] = _ignore
        self.started = False
        self.is_whole = False
        self.finished = False
        self.status = 0

    def has_caller_left(self) -> bool:
        """Return whether the caller has left; if so, its request is given up."""
        if not self.is_abandoned and self._has_left():
            self.is_abandoned = True
            self.on_left()
        return self.is_abandoned

    def record_whole(self, is_whole: bool = True) -> None:
        """Record that all of the answer is here; a slow caller may take it late.

        :param is_whole: ``False`` if another attempt follows.
        """
        self.is_whole = is_whole
        self.on_whole(is_whole)

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete answer of a target."""
        self.is_whole = True
        kept = [(n, v) for n, v in strip_hop_by_hop(headers) if n != b"content-length"]
        kept.append((b"content-length", str(len(body)).encode()))
        await self._send_head(status, kept)
        await self.send(body)
        await self.finish()

    async def start_stream(self, status: int, headers: Headers) -> None:
        """Send the head of a stream; do nothing if it has been sent.

        The length that a target announces is dropped: only :meth:`finish` marks the
        end, so that a stream that breaks off never looks complete.
        """
        if self.has_begun:
            return
        kept = [(n, v) for n, v in strip_hop_by_hop(headers) if n != b"content-length"]
        if self._collects:
            self._collected_head = (status, kept)
            return
        await self._send_head(status, kept)

    async def start_long(
        self, status: int, headers: Headers, length: bytes | None
    ) -> bool:
        """Send the head of an answer whose body follows in parts.

        :param length: length of the body that the target announced. Without it the
            body is sent in chunks, so that an early end never looks complete.
        :returns: whether the caller's HTTP version has a mark of the end.
        """
        if self._collects and length is None:
            return False
        kept = [(n, v) for n, v in strip_hop_by_hop(headers) if n != b"content-length"]
        if length is not None:
            kept.append((b"content-length", length))
        await self._send_head(status, kept)
        return True

    async def send_problem(
        self,
        exc: VanillabeamError,
        retry_after_s: float | None,
        before_end: Callable[[], Awaitable[None]] | None = None,
    ) -> None:
        """Send a failure of this system as a problem document.

        :param retry_after_s: seconds to put into ``Retry-After``, if the request
            has not run.
        :param before_end: awaited once the document is sent, before the end of the
            answer may close the connection.
        """
        self.is_whole = True
        body = wire.encode(to_problem(exc))
        headers = [
            (b"content-type", PROBLEM_TYPE.encode()),
            (b"content-length", str(len(body)).encode()),
            (RUN_HEADER.lower().encode(), str(exc.run).encode()),
        ]
        if retry_after_s is not None and exc.run is Run.NOT_RUN:
            headers.append((b"retry-after", f"{retry_after_s:.2f}".encode()))
        await self._send_head(int(exc.status), headers)
        await self.send(body)
        if before_end is not None:
            await before_end()
        await self.finish()

    @property
    def has_begun(self) -> bool:
        """Whether an answer has begun; its stream may still be held."""
        return bool(self.begun_status)

    @property
    def begun_status(self) -> int:
        """HTTP status of the answer that has begun; 0 before."""
        return self._collected_head[0] if self._collected_head else self.status

    @property
    def collected_bytes(self) -> int:
        """Number of bytes of a stream that is held until it is whole."""
        return len(self._collected)

    async def send(self, data: bytes) -> None:
        """Send a chunk of the body, or hold it if the stream is collected."""
        if self._collected_head is not None:
            self._collected += data
        elif data:
            await self._send_message(
                {"type": "http.response.body", "body": data, "more_body": True}
            )

    async def finish(self) -> None:
        """Mark the answer as complete and end it."""
        if self._collected_head is not None:
            await self.send_response(*self._collected_head, bytes(self._collected))
            return
        self.is_whole = True
        self.finished = True
        await self._send_message({"type": "http.response.body", "body": b""})

    async def _send_head(self, status: int, headers: Headers) -> None:
        self.started = True
        self.status = status
        self._collected_head = None
        if self._closes():
            headers = [*headers, (b"connection", b"close")]
        await self._send_message(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _send_message(self, message) -> None:
        """Send an ASGI message, shielded from cancellation.

        The server records a message as sent only after sending it. A cancellation
        in between would make it send a second head.
        """
        with trio.CancelScope(shield=True):
            await self._send(message)


def _ignore(is_whole: bool) -> None:
    return None


async def read_body(
    receive, limits: Limits, holding: Holding | None = None, until_s: float = inf
) -> Result[bytes, VanillabeamError]:
    """Return the body of a caller's request, within the limits in force.

    :param receive: the ASGI ``receive`` of the request.
    :param holding: counts the bytes of the body; ``None`` counts them nowhere.
    :param until_s: monotonic time by which the body must be there.
    :returns: the same as :func:`collect_body`; :class:`BodyTooSlow` if nothing
        arrives within the idle limit, or not all by ``until_s``.
    """
    with trio.move_on_at(until_s):
        return await _read_steady_body(receive, limits, holding)
    return Failure(BodyTooSlow("not whole within the time limit of the request"))


async def discard_body(receive) -> None:
    """Read the rest of a refused body for a short time, without holding it.

    A connection that is closed with unread bytes is reset, and a caller that is still
    sending would lose its answer.
    """
    more = True
    with trio.move_on_after(DISCARD_S):
        while more:
            message = await receive()
            more = message.get("more_body", False)


async def _read_steady_body(
    receive, limits: Limits, holding: Holding | None
) -> Result[bytes, VanillabeamError]:

    async def receive_soon():
        with trio.fail_after(limits.idle_s):
            return await receive()

    try:
        return await collect_body(receive_soon, limits.body_bytes, holding)
    except trio.TooSlowError:
        return Failure(BodyTooSlow(f"nothing for {limits.idle_s:g} s"))
