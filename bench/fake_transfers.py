"""Blocks that a fake target sends to stores and fetches from them."""

from hashlib import blake2b

import msgspec
import trio
from starlette.requests import Request
from starlette.responses import Response

from bench.fake_engine import FakeEngine
from bench.fake_http import as_json, call

__all__ = ["FakeTransfers"]

CHECKSUM_BYTES = 16


class FakeTransfers:
    """Handlers of the orders to move blocks.

    :param engine: holds the blocks, and the sizes and rates in its settings.
    """

    def __init__(self, engine: FakeEngine):
        self._engine = engine
        self._settings = engine.settings

    async def export_blocks(self, request: Request) -> Response:
        """Send blocks to a store, as ordered."""
        return await self._transfer(request, "PUT")

    async def import_blocks(self, request: Request) -> Response:
        """Fetch blocks from a store, as ordered."""
        return await self._transfer(request, "GET")

    async def _transfer(self, request: Request, method: str) -> Response:
        order = msgspec.json.decode(await request.body())
        reply = {"transfer": order["transfer"], "blocks": [], "bytes": 0}
        version = self._engine.models.get(order["model"])
        if order["boot_id"] != self._engine.boot_id or order["version"] != version:
            return as_json({**reply, "status": "stale", "seconds": 0.0})
        began_s = trio.current_time()
        parent = ""
        for block in order["blocks"]:
            size_bytes = await self._transfer_block(
                method, order["store"], block, parent
            )
            if size_bytes is None:
                break
            parent = block
            reply["blocks"].append(block)
            reply["bytes"] += size_bytes
        seconds = trio.current_time() - began_s
        is_complete = len(reply["blocks"]) == len(order["blocks"])
        status = "done" if is_complete else "partial" if reply["blocks"] else "failed"
        return as_json({**reply, "status": status, "seconds": seconds})

    async def _transfer_block(
        self, method: str, store: str, block: str, parent: str
    ) -> int | None:
        if method == "PUT" and block not in self._engine.cache:
            return None
        seed = block.encode() or b"0"
        size = self._settings.block_bytes
        content = (seed * (size // len(seed) + 1))[:size] if method == "PUT" else None
        headers = {} if content is None else self._block_headers(content, parent)
        reply = await call(method, f"http://{store}/blocks/{block}", content, headers)
        if reply is None or reply.status >= 300:
            return None
        if method == "GET":
            size = len(reply.content)
            declared = dict(reply.headers).get(b"vanillabeam-checksum", b"").decode()
            if declared != checksum(reply.content):
                return None
            self._engine.import_blocks([block])
        await trio.sleep(size / self._settings.link_bytes_s)
        return size

    def _block_headers(self, content: bytes, parent: str) -> dict[str, str]:
        headers = {
            "Vanillabeam-Checksum": checksum(content),
            "Vanillabeam-Tokens": str(self._settings.block_tokens),
        }
        return headers | ({"Vanillabeam-Parent": parent} if parent else {})


def checksum(content: bytes) -> str:
    return blake2b(content, digest_size=CHECKSUM_BYTES).hexdigest()
