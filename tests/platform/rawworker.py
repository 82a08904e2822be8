"""A worker that writes the bytes of its answers itself."""

import math
import socket
import struct

import trio

from tests.platform.standin import Worker

HEAD_END = b"\r\n\r\n"
RECEIVE_BYTES = 65_536


class RawWorker(Worker):
    """A worker that answers with scripted bytes, then closes the connection.

    :ivar answers: the next answers; the last one is given again and again.
    """

    def __init__(self, name):
        super().__init__(name)
        self.answers = []

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        self.address = f"127.0.0.1:{listeners[0].socket.getsockname()[1]}"
        task_status.started()
        await trio.serve_listeners(self._serve, listeners)

    async def _serve(self, stream):
        head = await read_head(stream)
        if head is None:
            return
        self.received_headers.append(head)
        answer = self.answers.pop(0) if len(self.answers) > 1 else self.answers[0]
        await answer(head, stream)


async def read_head(stream, body_bytes=math.inf):
    """Return the headers of a request and read its body; ``None`` without one.

    :param body_bytes: bytes of the body from which on no more of it is read.
    """
    received = b""
    while HEAD_END not in received:
        data = await stream.receive_some(RECEIVE_BYTES)
        if not data:
            return None
        received += data
    head, _, body = received.partition(HEAD_END)
    lines = [line.partition(b":") for line in head.split(b"\r\n")[1:]]
    headers = {name.lower(): value.strip() for name, _, value in lines}
    while len(body) < min(body_bytes, int(headers.get(b"content-length", b"0"))):
        body += await stream.receive_some(RECEIVE_BYTES)
    return headers


def raw_answer(
    body,
    extra=(),
    is_reset=False,
    status=b"200 OK",
    content_type=b"text/event-stream",
):
    """Return an answer whose framing is only what ``extra`` says.

    :param body: all bytes after the head.
    :param extra: header lines beside the content type, the id and the stamp.
    :param is_reset: whether the connection is reset after the body; else it is
        closed in order.
    """

    async def answer(headers, stream):
        lines = [
            b"HTTP/1.1 " + status,
            b"Content-Type: " + content_type,
            b"X-Vanillabeam-Request-Id: "
            + headers.get(b"x-vanillabeam-request-id", b""),
            b"X-Vanillabeam-Response-Stamp: stamp",
            *extra,
        ]
        await stream.send_all(b"\r\n".join(lines) + HEAD_END + body)
        if is_reset:
            await trio.sleep(0.05)
            reset_on_close(stream)
        await stream.aclose()

    return answer


def reset_on_close(stream):
    """Make the closing of a TCP connection reset it."""
    linger = struct.pack("ii", 1, 0)
    stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, linger)


def chunked(body):
    """Return a body as one chunk and the end mark."""
    return b"%x\r\n%b\r\n0\r\n\r\n" % (len(body), body)
