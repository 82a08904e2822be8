"""Costs of a prompt before it is forwarded: its block ids."""

import random

from bench.cost import cpu_seconds
from bench.mechanisms.base import Mechanism
from bench.mechanisms.configuration import make_workspace
from vanillabeam.cache import block_ids, cut

__all__ = ["MECHANISMS"]

BLOCKS = (2, 8, 32, 128)
BLOCK_CHARACTERS = 16_000


def _measure_block_ids(size: int, seed: int) -> dict[str, float]:
    rng = random.Random(seed)
    workspace = make_workspace(0, rng)
    prompt = rng.randbytes(size * BLOCK_CHARACTERS // 2).hex()

    def compute_ids() -> None:
        chunks = cut(prompt)
        ids = block_ids(workspace, "ledger", "v7", "", chunks)
        assert len(ids) == size

    return {"cpu_s": cpu_seconds(compute_ids)}


MECHANISMS = (Mechanism("block ids", "blocks of a prompt", BLOCKS, _measure_block_ids),)
