"""HTTP API of the store: upload, download, inspect and delete one block.

Engines call it on the listener for targets. A block id is a capability: its
digest is keyed with the workspace's secret. Only a client that received the id
from an entry that serves the workspace can therefore name the block.
"""

from contextlib import aclosing

import trio
from starlette.applications import Starlette
from starlette.requests import ClientDisconnect, Request
from starlette.responses import Response
from starlette.routing import Route

from vanillabeam import wire
from vanillabeam.blocks import is_block_id
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.store.disk import Checksum
from vanillabeam.store.exceptions import (
    BlockDamaged,
    ChecksumMismatch,
    HeaderInvalid,
    StoreBusy,
    StoreFull,
    UploadSilent,
)
from vanillabeam.store.records import (
    AlreadyStored,
    Deleted,
    ReadAccepted,
    ReadBegun,
    ReadEnded,
    ReadFailed,
    Refused,
    WriteAborted,
    WriteAccepted,
    WriteBegun,
    WriteEnded,
)
from vanillabeam.store.shell import Store
from vanillabeam.store.streams import Sink

__all__ = [
    "CHECKSUM_HEADER",
    "PARENT_HEADER",
    "TOKENS_HEADER",
    "make_app",
]

CHECKSUM_HEADER = "Vanillabeam-Checksum"
PARENT_HEADER = "Vanillabeam-Parent"
TOKENS_HEADER = "Vanillabeam-Tokens"

CHECKSUM_DIGITS = 32
MAX_DIGITS = 18
MAX_TOKENS = 10**6
#: Bytes of a refused upload's body that are read before the response is sent.
DRAIN_BYTES = 4 * 2**20
#: Time limit in seconds on reading that part of the body.
DRAIN_S = 1.0
MEDIA_TYPE = "application/octet-stream"
PROBLEM_TYPE = "application/problem+json"


def make_app(store: Store) -> Starlette:
    """Return the application that serves ``/blocks/{block_id}``."""
    handlers = _Handlers(store)
    routes = [
        Route("/blocks/{block_id}", handlers.put, methods=["PUT"]),
        Route("/blocks/{block_id}", handlers.get, methods=["GET", "HEAD"]),
        Route("/blocks/{block_id}", handlers.delete, methods=["DELETE"]),
    ]
    app = Starlette(routes=routes)
    app.router.redirect_slashes = False
    return app


class _Handlers:
    def __init__(self, store: Store):
        self._store = store

    async def put(self, request: Request) -> Response:
        try:
            event = _parse_upload(request)
            self._admit_transfer()
            self._store.transfers += 1
            try:
                return await self._upload(request, event)
            finally:
                self._store.transfers -= 1
        except VanillabeamError as exc:
            return _UploadRefusal(_problem_response(exc))

    async def get(self, request: Request) -> Response:
        block_id = request.path_params["block_id"]
        try:
            self._admit_transfer()
            await self._store.find_on_disk([block_id])
            reply = self._store.apply(ReadBegun(block_id))
            if isinstance(reply, Refused):
                raise reply.failure
        except VanillabeamError as exc:
            return _problem_response(exc)
        if request.method == "HEAD":
            self._store.apply(ReadEnded(reply.block_id, reply.generation))
            return Response(headers=_block_headers(reply), media_type=MEDIA_TYPE)
        return _Download(self._store, reply)

    async def delete(self, request: Request) -> Response:
        block_id = request.path_params["block_id"]
        await self._store.find_on_disk([block_id])
        reply = self._store.apply(Deleted(block_id))
        if isinstance(reply, Refused):
            return _problem_response(reply.failure)
        return Response(status_code=204)

    def _admit_transfer(self) -> None:
        store = self._store
        if not store.ready or store.transfers >= store.settings.max_transfers:
            raise StoreBusy()

    async def _upload(self, request: Request, event: WriteBegun) -> Response:
        store = self._store
        reply = store.apply(event)
        if isinstance(reply, AlreadyStored):
            return Response(status_code=200)
        if isinstance(reply, Refused):
            raise reply.failure
        try:
            sink, checksum = await self._receive_to_sink(request, event, reply)
        except BaseException as exc:
            full = isinstance(exc, StoreFull)
            store.apply(WriteAborted(reply.block_id, reply.generation, full))
            raise
        store.keep_data(reply, sink)
        ended = WriteEnded(
            event.block_id,
            reply.generation,
            checksum.length,
            checksum.hex(),
            event.parent,
        )
        sealed = store.apply(ended)
        if isinstance(sealed, Refused):
            raise sealed.failure
        return Response(status_code=201)

    async def _receive_to_sink(
        self, request: Request, event: WriteBegun, accepted: WriteAccepted
    ) -> tuple[Sink, Checksum]:
        """Receive the whole body into a sink and seal it.

        :returns: the sealed sink and the checksum of the received bytes.
        :raises StoreFull: if the disk refuses a write.
        :raises ChecksumMismatch: if length or checksum differ from the headers.
        :raises UploadSilent: if the client sends too slowly or disconnects.
        """
        try:
            sink = await self._store.open_sink(accepted, event)
        except OSError as exc:
            raise StoreFull(type(exc).__name__) from exc
        try:
            checksum = await self._receive_chunks(request, event, sink)
            _verify_checksum(event, checksum)
            await sink.seal()
        except BaseException as exc:
            with trio.CancelScope(shield=True):
                await _abandon(sink)
            if isinstance(exc, OSError):
                raise StoreFull(type(exc).__name__) from exc
            raise
        return sink, checksum

    async def _receive_chunks(
        self, request: Request, event: WriteBegun, sink: Sink
    ) -> Checksum:
        settings = self._store.settings
        checksum = Checksum()
        stream = request.stream()
        timeout_s = settings.idle_timeout_s + event.length / settings.min_bytes_s
        try:
            with trio.fail_after(timeout_s):
                while True:
                    with trio.fail_after(settings.idle_timeout_s):
                        data = await anext(stream, b"")
                    if not data and checksum.length >= event.length:
                        return checksum
                    if not data:
                        raise ChecksumMismatch("the upload ended early")
                    await self._write_chunk(event, checksum, sink, data)
        except (trio.TooSlowError, ClientDisconnect) as exc:
            raise UploadSilent(type(exc).__name__) from exc

    async def _write_chunk(
        self, event: WriteBegun, checksum: Checksum, sink: Sink, data: bytes
    ) -> None:
        checksum.update(data)
        if checksum.length > event.length:
            raise ChecksumMismatch("the upload is longer than stated")
        await sink.write(data)


class _UploadRefusal:
    """Response that refuses an upload whose body may still be arriving.

    Up to :data:`DRAIN_BYTES` of the body are read and discarded first, so that
    the client gets to read the response. The rest is discarded while the response
    is sent, because hypercorn never closes a connection whose request body is not
    read.
    """

    def __init__(self, response: Response):
        self._response = response

    async def __call__(self, scope, receive, send) -> None:
        """Discard the request body and send the response."""
        with trio.move_on_after(DRAIN_S):
            remaining = DRAIN_BYTES
            while remaining > 0:
                message = await receive()
                if not message.get("more_body"):
                    break
                remaining -= len(message["body"])
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_cancel_on_disconnect, receive, trio.CancelScope())
            await self._response(scope, receive, send)
            nursery.cancel_scope.cancel()


class _Download(Response):
    """Response that streams a block and sends the last chunk only if it is intact.

    If the checksum does not match, the connection is closed before the last
    chunk, so that a client can't take a damaged block for a complete one.
    """

    def __init__(self, store: Store, accepted: ReadAccepted):
        super().__init__(headers=_block_headers(accepted), media_type=MEDIA_TYPE)
        self._store = store
        self._accepted = accepted

    async def __call__(self, scope, receive, send) -> None:
        """Send the response until it ends, the client disconnects or stalls."""
        store = self._store
        store.transfers += 1
        try:
            async with trio.open_nursery() as nursery:
                nursery.start_soon(_cancel_on_disconnect, receive, nursery.cancel_scope)
                await self._send(send)
                nursery.cancel_scope.cancel()
        finally:
            store.transfers -= 1
            store.apply(ReadEnded(self._accepted.block_id, self._accepted.generation))

    async def _send(self, send) -> None:
        idle_timeout_s = self._store.settings.idle_timeout_s
        start = {
            "type": "http.response.start",
            "status": self.status_code,
            "headers": self.raw_headers,
        }
        try:
            with trio.fail_after(idle_timeout_s):
                await send(start)
            async with aclosing(self._verified_chunks()) as chunks:
                async for data, last in chunks:
                    with trio.fail_after(idle_timeout_s):
                        await send(_body_message(data, last))
        except BlockDamaged:
            self._store.apply(
                ReadFailed(self._accepted.block_id, self._accepted.generation)
            )
        except trio.TooSlowError:
            return

    async def _verified_chunks(self):
        checksum = Checksum()
        pending = b""
        async with aclosing(self._store.chunks(self._accepted)) as chunks:
            async for data in chunks:
                checksum.update(data)
                if pending:
                    yield pending, False
                pending = data
        expected = (self._accepted.length, self._accepted.checksum)
        if (checksum.length, checksum.hex()) != expected:
            raise BlockDamaged()
        yield pending, True


def _body_message(data: bytes, last: bool) -> dict:
    return {"type": "http.response.body", "body": data, "more_body": not last}


async def _cancel_on_disconnect(receive, scope: trio.CancelScope) -> None:
    while (await receive())["type"] != "http.disconnect":
        pass
    scope.cancel()


async def _abandon(sink: Sink) -> None:
    try:
        await sink.abandon()
    except OSError:
        return


def _verify_checksum(event: WriteBegun, checksum: Checksum) -> None:
    if checksum.hex() != event.checksum:
        raise ChecksumMismatch("checksum")


def _parse_upload(request: Request) -> WriteBegun:
    headers = request.headers
    block_id = request.path_params["block_id"]
    checksum = headers.get(CHECKSUM_HEADER, "")
    parent = headers.get(PARENT_HEADER, "")
    if not is_block_id(block_id):
        raise HeaderInvalid("the path does not end in a block id")
    if len(checksum) != CHECKSUM_DIGITS or not set(checksum) <= set("0123456789abcdef"):
        raise HeaderInvalid(CHECKSUM_HEADER)
    if parent and not is_block_id(parent):
        raise HeaderInvalid(PARENT_HEADER)
    length = _parse_number(headers.get("Content-Length", ""), "Content-Length")
    tokens = _parse_number(headers.get(TOKENS_HEADER, ""), TOKENS_HEADER)
    if tokens > MAX_TOKENS:
        raise HeaderInvalid(TOKENS_HEADER)
    return WriteBegun(block_id, length, checksum, tokens, parent)


def _parse_number(text: str, name: str) -> int:
    if not text.isascii() or not text.isdecimal() or len(text) > MAX_DIGITS:
        raise HeaderInvalid(name)
    return int(text)


def _block_headers(accepted: ReadAccepted) -> dict[str, str]:
    return {
        "Content-Length": str(accepted.length),
        CHECKSUM_HEADER: accepted.checksum,
        TOKENS_HEADER: str(accepted.tokens),
    }


def _problem_response(exc: VanillabeamError) -> Response:
    body = {
        "type": exc.type,
        "status": int(exc.status),
        "run": exc.run,
        "advice": exc.advice,
        "detail": exc.detail,
    }
    headers = {}
    if exc.retry_after_s is not None:
        headers["Retry-After"] = str(max(1, round(exc.retry_after_s)))
    return Response(
        wire.encode(body), int(exc.status), headers, media_type=PROBLEM_TYPE
    )
