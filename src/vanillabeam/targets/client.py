"""Client for owners of targets, which include this VM."""

from collections.abc import Awaitable, Callable

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.peercall import PeerCall
from vanillabeam.targets import messages
from vanillabeam.targets.exceptions import OwnerUnreachable
from vanillabeam.targets.records import EntryVm, PermitRequest
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["OwnerClient"]


class OwnerClient:
    """Calls owners over HTTP, or directly where this VM is the owner.

    :param me: this VM.
    :param call: sends a request to another VM.
    :param answer_locally: answers a permit request on this VM.
    """

    def __init__(
        self,
        me: EntryVm,
        call: PeerCall,
        settings: TargetsSettings,
        answer_locally: Callable[[PermitRequest], Awaitable[messages.PermitReply]],
    ):
        self._me = me
        self._call = call
        self._settings = settings
        self._answer_locally = answer_locally

    async def request_permit(
        self, entry: EntryVm, request: PermitRequest
    ) -> Result[messages.PermitReply, VanillabeamError]:
        """Request a permit from ``entry``, which may answer that the request waits."""
        if entry.vm == self._me.vm:
            return Success(await self._answer_locally(request))
        limit_s = self._settings.poll_s + self._settings.call_s
        body = wire.encode(messages.pack_permit_request(request))
        return await self.send(
            entry, "/peer/targets/ask", body, messages.PermitReply, limit_s
        )

    async def send(
        self,
        entry: EntryVm,
        path: str,
        body: bytes,
        kind: type = dict,
        limit_s: float | None = None,
    ) -> Result[object, VanillabeamError]:
        """Call ``path`` at ``entry`` and decode the answer as ``kind``.

        :param limit_s: timeout in seconds; ``call_s`` by default.
        """
        with trio.move_on_after(limit_s or self._settings.call_s):
            reply = await self._call(entry.address, path, body)
            if isinstance(reply, Failure):
                return reply
            return wire.decode(kind, reply.unwrap())
        return Failure(OwnerUnreachable(entry.vm))

    def make_job(
        self, entry: EntryVm, path: str, message: object, tries: int = 1
    ) -> Callable[[], Awaitable[None]]:
        """Return a job for the outbox that calls ``path`` at ``entry``.

        :param tries: attempts until a call succeeds.
        """
        body = wire.encode(message)

        async def call() -> None:
            for _ in range(tries):
                result = await self.send(entry, path, body)
                if isinstance(result, Success):
                    return

        return call
