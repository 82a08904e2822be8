"""The caller's side of a request: its body in, the answer out."""

import trio
from returns.result import Failure, Result

from vanillabeam import wire
from vanillabeam.exceptions import BodyTooSlow, Run, VanillabeamError
from vanillabeam.fleet import Limits
from vanillabeam.forwarding.dialect import Headers
from vanillabeam.hops import end_to_end
from vanillabeam.limits import collect_body
from vanillabeam.problems import PROBLEM_TYPE, RUN_HEADER, to_problem

__all__ = ["ResponseWriter", "read_body"]


class ResponseWriter:
    """Sends one answer, once, through an ASGI ``send``.

    :param closes: whether the connection is to end with this answer.
    :ivar begun: whether the answer's head has been sent.
    :ivar finished: whether the whole answer has.
    :ivar status: of the answer, 0 before its head.
    """

    def __init__(self, send, closes: bool = False):
        self._send = send
        self._closes = closes
        self.started = False
        self.finished = False
        self.status = 0

    async def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a target's whole answer."""
        kept = [(n, v) for n, v in end_to_end(headers) if n != b"content-length"]
        kept.append((b"content-length", str(len(body)).encode()))
        await self._send_head(status, kept)
        await self.send(body)
        await self.finish()

    async def start_stream(self, status: int, headers: Headers, joined: bool) -> None:
        """Send a stream's head, the first time it is called.

        :param joined: the body may be made of several answers.
        """
        if self.started:
            return
        kept = end_to_end(headers)
        if joined:
            kept = [(n, v) for n, v in kept if n != b"content-length"]
        await self._send_head(status, kept)

    async def send_problem(
        self, exc: VanillabeamError, retry_after_s: float | None
    ) -> None:
        """Send a failure of the system's own."""
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
        await self.finish()

    async def send(self, data: bytes) -> None:
        """Send a part of the body."""
        if data:
            await self._send_message(
                {"type": "http.response.body", "body": data, "more_body": True}
            )

    async def finish(self) -> None:
        """End the answer as whole."""
        self.finished = True
        await self._send_message({"type": "http.response.body", "body": b""})

    async def _send_head(self, status: int, headers: Headers) -> None:
        self.started = True
        self.status = status
        if self._closes:
            headers = [*headers, (b"connection", b"close")]
        await self._send_message(
            {"type": "http.response.start", "status": status, "headers": headers}
        )

    async def _send_message(self, message) -> None:
        """Hand a message over whole.

        The server notes what it has sent only afterwards; cancelled between
        the two, it would send a second head.
        """
        with trio.CancelScope(shield=True):
            await self._send(message)


async def read_body(receive, limits: Limits) -> Result[bytes, VanillabeamError]:
    """Return a caller's body, within the limits in force.

    :returns: as :func:`collect_body`; :class:`BodyTooSlow` after a pause.
    """

    async def receive_soon():
        with trio.fail_after(limits.idle_s):
            return await receive()

    try:
        return await collect_body(receive_soon, limits.body_bytes)
    except trio.TooSlowError:
        return Failure(BodyTooSlow(f"nothing for {limits.idle_s:g} s"))
