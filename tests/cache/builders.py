from vanillabeam.cache import block_ids, cut
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
