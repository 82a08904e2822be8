from vanillabeam.cache import TargetRef, block_ids, cut
from vanillabeam.cache.transferrecords import (
    ExportOffered,
    ImportRequested,
    SizedBlock,
    TransferKind,
)
from vanillabeam.config import Workspace

CHUNK_CHARACTERS = 16_000


def make_workspace(name="depot", secret="11"):
    return Workspace(name, (), cache_secret=secret * 32)


def make_text(chunks, filler="x"):
    lines = (f"{i}{filler}".ljust(CHUNK_CHARACTERS, filler) for i in range(chunks))
    return "".join(lines)


def make_ids(chunks=3, workspace=None, version="v1", adapter="", filler="x"):
    workspace = workspace or make_workspace()
    prompt_chunks = cut(make_text(chunks, filler))
    return block_ids(workspace, "ledger", version, adapter, prompt_chunks)


def make_target_ref(target="engine-1", boot_id="b1", version="v1"):
    return TargetRef(target, "10.0.0.9:80", boot_id, "dc1", "ledger", version, 7)


def make_sized(ids, size=1_000):
    return tuple(SizedBlock(block_id, size) for block_id in ids)


def make_import(
    import_id=1, ids=None, size=1_000, kind=TransferKind.IMPORT, **target_fields
):
    blocks = make_sized(ids or make_ids(3), size)
    return ImportRequested(
        import_id, make_target_ref(**target_fields), "s1", blocks, kind
    )


def make_offer(ids, size=1_000, value=1.0, **target_fields):
    return ExportOffered(
        make_target_ref(**target_fields), "s1", make_sized(ids, size), value
    )
