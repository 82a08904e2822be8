from vanillabeam.cache import TargetRef, block_ids, cut
from vanillabeam.cache.transferrecords import (
    ExportOffered,
    ImportRequested,
    SizedBlock,
    TransferKind,
)
from vanillabeam.config import Workspace

PIECE_CHARACTERS = 16_000


def make_workspace(name="depot", secret="11"):
    return Workspace(name, (), cache_secret=secret * 32)


def make_text(pieces, filler="x"):
    lines = (f"{i}{filler}".ljust(PIECE_CHARACTERS, filler) for i in range(pieces))
    return "".join(lines)


def make_ids(pieces=3, workspace=None, version="v1", adapter="", filler="x"):
    workspace = workspace or make_workspace()
    cuts = cut(make_text(pieces, filler))
    return block_ids(workspace, "ledger", version, adapter, cuts)


def make_place(target="engine-1", boot_id="b1", version="v1"):
    return TargetRef(target, "10.0.0.9:80", boot_id, "dc1", "ledger", version, 7)


def make_sized(ids, size=1_000):
    return tuple(SizedBlock(block_id, size) for block_id in ids)


def make_ask(import_id=1, ids=None, size=1_000, kind=TransferKind.IMPORT, **place):
    blocks = make_sized(ids or make_ids(3), size)
    return ImportRequested(import_id, make_place(**place), "s1", blocks, kind)


def make_offer(ids, size=1_000, value=1.0, **place):
    return ExportOffered(make_place(**place), "s1", make_sized(ids, size), value)
