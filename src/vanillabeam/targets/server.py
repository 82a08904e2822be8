"""Handlers for calls of other entries to an owner."""

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.peercall import PeerHandler, PeerRoutes
from vanillabeam.targets import messages
from vanillabeam.targets.dispatcher import OwnerDispatcher
from vanillabeam.targets.events import (
    Announced,
    BlocksChanged,
    HandoverReceived,
    HandoverRequested,
    LoadReported,
    SendHandover,
    Withdrawn,
)
from vanillabeam.targets.records import EntryVm, PermitRequest
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

__all__ = ["OwnerServer"]

Reply = Result[bytes, VanillabeamError]
DONE = Success(b"{}")


class OwnerServer:
    """Handlers of the paths that other entries call.

    :param dispatcher: passes events to the owner's core.
    :param receive_summary: accepts the views of targets from another owner.
    """

    def __init__(self, dispatcher: OwnerDispatcher, receive_summary):
        self._dispatcher = dispatcher
        self._receive_summary = receive_summary

    def routes(self) -> PeerRoutes:
        """Return the handlers by path."""
        return {
            "/peer/targets/ask": _decoding_handler(
                messages.PermitRequestMessage, self.request_permit
            ),
            "/peer/targets/withdraw": _decoding_handler(
                messages.WithdrawMessage, self._withdraw
            ),
            "/peer/targets/renew": _decoding_handler(
                messages.RenewMessage, self._renew
            ),
            "/peer/targets/release": _decoding_handler(
                messages.ReleaseMessage, self._release
            ),
            "/peer/targets/announce": _decoding_handler(Announcement, self._announce),
            "/peer/targets/load": _decoding_handler(LoadReport, self._load),
            "/peer/targets/events": _decoding_handler(CacheEvents, self._events),
            "/peer/targets/summary": _decoding_handler(
                messages.SummaryMessage, self._summary
            ),
            "/peer/targets/handover/ask": _decoding_handler(
                messages.HandoverQuery, self._hand_over
            ),
            "/peer/targets/handover": _decoding_handler(
                messages.HandoverMessage, self._handed_over
            ),
        }

    async def request_permit(self, message: messages.PermitRequestMessage) -> Reply:
        """Return the encoded answer to a permit request."""
        return Success(
            wire.encode(await self.answer(messages.unpack_permit_request(message)))
        )

    async def answer(self, request: PermitRequest) -> messages.PermitReply:
        """Return the answer to ``request``, with the present view of its target."""
        result = await self._dispatcher.request_permit(request)
        now_s = trio.current_time()
        view = self._view(request.target, now_s)
        if result is None:
            return _reply_without_grant("waiting", 0.0, view)
        if isinstance(result, Failure):
            exc = result.failure()
            return _reply_without_grant(exc.type, exc.retry_after_s or 1.0, view)
        decision = result.unwrap()
        return messages.PermitReply(
            status="granted",
            grant=messages.pack_grant(decision.grant, now_s),
            version=decision.version,
            retry_after_s=0.0,
            view=view,
        )

    def _view(self, name: str, now_s: float) -> messages.ViewMessage | None:
        target = self._dispatcher.owner.owned.get(name)
        if target is None:
            return None
        return messages.pack_view(self._dispatcher.owner.view(target, now_s))

    async def _withdraw(self, message: messages.WithdrawMessage) -> Reply:
        self._dispatcher.post(Withdrawn(message["permit_id"], message["target"]))
        return DONE

    async def _renew(self, message: messages.RenewMessage) -> Reply:
        now_s = trio.current_time()
        renewals = [messages.unpack_renewal(m, now_s) for m in message["renewals"]]
        renewed = [r.grant.permit_id for r in renewals if self._dispatcher.renew(r)]
        return Success(wire.encode(messages.RenewReply(renewed=renewed)))

    async def _release(self, message: messages.ReleaseMessage) -> Reply:
        outcome = messages.unpack_outcome(message)
        self._dispatcher.release(message["permit_id"], message["target"], outcome)
        return DONE

    async def _announce(self, message: Announcement) -> Reply:
        self._dispatcher.post(Announced(message))
        return DONE

    async def _load(self, message: LoadReport) -> Reply:
        self._dispatcher.post(LoadReported(message))
        return DONE

    async def _events(self, message: CacheEvents) -> Reply:
        self._dispatcher.post(BlocksChanged(message))
        return DONE

    async def _summary(self, message: messages.SummaryMessage) -> Reply:
        self._receive_summary(message)
        return DONE

    async def _hand_over(self, message: messages.HandoverQuery) -> Reply:
        entry = EntryVm(message["entry"], message["data_centre"], message["address"])
        effects = self._dispatcher.post(HandoverRequested(message["target"], entry))
        sent = [effect for effect in effects if isinstance(effect, SendHandover)]
        if len(sent) != 1:
            raise InvariantBroken("an asked handover has one answer")
        me = self._dispatcher.owner.me.vm
        now_s = trio.current_time()
        reply = messages.pack_handover(sent[0].handover, me, False, now_s)
        return Success(wire.encode(reply))

    async def _handed_over(self, message: messages.HandoverMessage) -> Reply:
        handover = messages.unpack_handover(message, trio.current_time())
        self._dispatcher.post(
            HandoverReceived(handover, message["entry"], message["leaving"])
        )
        return DONE


def _decoding_handler(kind: type, handler) -> PeerHandler:
    """Return a handler that decodes the body as ``kind`` and calls ``handler``."""

    async def decoded(body: bytes) -> Reply:
        message = wire.decode(kind, body)
        if isinstance(message, Failure):
            return message
        return await handler(message.unwrap())

    return decoded


def _reply_without_grant(
    status: str, retry_after_s: float, view: messages.ViewMessage | None
) -> messages.PermitReply:
    return messages.PermitReply(
        status=status,
        grant=None,
        version="",
        retry_after_s=retry_after_s,
        view=view,
    )
