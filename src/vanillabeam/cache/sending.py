"""Transfer orders to targets, and measurements of what the targets moved."""

import random
from collections.abc import Awaitable, Callable

import trio
from returns.result import Failure, Result

from vanillabeam import wire
from vanillabeam.blocks import BLOCK_TOKENS
from vanillabeam.cache.transferrecords import (
    StartTransfer,
    TransferEnded,
    TransferKind,
)
from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targetwire import BlockOrder, TransferReply

__all__ = ["TargetCall", "TransferSender"]

TRANSFER_TIMEOUT_S = 120.0
#: Weight of a new measurement in the moving average of bytes per token.
TOKEN_BYTES_SMOOTHING = 0.2

TargetCall = Callable[[str, str, bytes], Awaitable[Result[bytes, VanillabeamError]]]


class TransferSender:
    """Orders targets to move blocks and measures what they moved.

    :param vm: this VM's name, the prefix of its transfer ids.
    :param call_target: sends transfer orders to targets.
    :param rng: draws the part of transfer ids that differs at each start.
    :ivar moved_bytes: bytes moved so far, by kind of transfer.
    :ivar failed: transfers that moved no block.
    """

    def __init__(self, vm: str, call_target: TargetCall, rng: random.Random):
        self._vm = vm
        self._call_target = call_target
        self._boot = f"{rng.getrandbits(32):08x}"
        self._scopes: dict[int, trio.CancelScope] = {}
        self._token_bytes: dict[str, float] = {}
        self.moved_bytes = dict.fromkeys(TransferKind, 0)
        self.failed = 0

    def token_bytes(self, model: str, assumed: float) -> float:
        """Return the average bytes of KV cache per token of a model.

        :param assumed: the value until a transfer of the model has been measured.
        """
        return self._token_bytes.get(model, assumed)

    def cancel(self, transfer_id: int) -> None:
        """Cancel a transfer; do nothing if it does not run."""
        scope = self._scopes.get(transfer_id)
        if scope is not None:
            scope.cancel()

    async def move(self, start: StartTransfer, store_address: str) -> TransferEnded:
        """Order a transfer and wait for its end.

        :param store_address: ``host:port`` of the store's blocks.
        :returns: what was moved; nothing if the transfer failed, took too long
            or was cancelled.
        """
        ended = _failed(start)
        try:
            with trio.move_on_after(TRANSFER_TIMEOUT_S) as scope:
                self._scopes[start.transfer_id] = scope
                ended = await self._send_order(start, store_address)
        finally:
            del self._scopes[start.transfer_id]
        self.failed += not ended.moved
        return ended

    async def _send_order(
        self, start: StartTransfer, store_address: str
    ) -> TransferEnded:
        path = (
            "/blocks/export" if start.kind is TransferKind.EXPORT else "/blocks/import"
        )
        body = wire.encode(self._block_order(start, store_address))
        answer = await self._call_target(start.target_ref.address, path, body)
        decoded = answer.bind(lambda reply: wire.decode(TransferReply, reply))
        if isinstance(decoded, Failure):
            return _failed(start)
        reply = decoded.unwrap()
        moved = tuple(block for block in reply["blocks"] if block in start.blocks)
        if reply["status"] not in ("done", "partial") or reply["bytes"] < 0:
            return _failed(start)
        self._record_transfer(start, len(moved), reply["bytes"])
        seconds = max(0.0, reply["seconds"])
        return TransferEnded(start.transfer_id, moved, reply["bytes"], seconds)

    def _block_order(self, start: StartTransfer, store_address: str) -> BlockOrder:
        target_ref = start.target_ref
        return {
            "transfer": f"{self._vm}-{self._boot}-{start.transfer_id}",
            "boot_id": target_ref.boot_id,
            "index": target_ref.index,
            "model": target_ref.model,
            "version": target_ref.version,
            "store": store_address,
            "blocks": list(start.blocks),
        }

    def _record_transfer(self, start: StartTransfer, blocks: int, size: int) -> None:
        self.moved_bytes[start.kind] += size
        if not blocks or not size:
            return
        measured = size / blocks / BLOCK_TOKENS
        average = self._token_bytes.setdefault(start.target_ref.model, measured)
        self._token_bytes[start.target_ref.model] = average + TOKEN_BYTES_SMOOTHING * (
            measured - average
        )


def _failed(start: StartTransfer) -> TransferEnded:
    return TransferEnded(start.transfer_id, (), 0, 0.0)
