"""Store role: keeps KV cache blocks in memory and on disk, outside the engines."""

from vanillabeam.store.files import DiskFiles, FileLayer
from vanillabeam.store.messages import FindReply, FindRequest
from vanillabeam.store.server import make_app
from vanillabeam.store.shell import (
    Store,
    StoreReport,
    StoreSettings,
)

__all__ = [
    "DiskFiles",
    "FileLayer",
    "FindReply",
    "FindRequest",
    "Store",
    "StoreReport",
    "StoreSettings",
    "make_app",
]
