"""Costs of the blocks that a store keeps track of."""

import random

from bench.cost import cpu_seconds, held_bytes
from bench.mechanisms.base import Mechanism
from vanillabeam.store.core import handle
from vanillabeam.store.records import ConfigUpdated, WriteBegun, WriteEnded
from vanillabeam.store.state import StoreLimits, StoreState

__all__ = ["MECHANISMS"]

BLOCKS = (1_000, 4_000, 16_000, 32_000)
BLOCKS_OF_A_PROMPT = 8
BLOCK_BYTES = 64 << 20
CHECKSUM = "5a" * 16
WORKSPACES = 500


def _ids(count: int, seed: int) -> list[tuple[str, str]]:
    rng = random.Random(seed)
    ids = []
    while len(ids) < count:
        workspace = f"{rng.randrange(WORKSPACES):012x}"
        lineage = f"{workspace}{0:06x}{rng.getrandbits(24):06x}"
        parent = ""
        for _ in range(BLOCKS_OF_A_PROMPT):
            block_id = f"{lineage}{rng.getrandbits(128):032x}"
            ids.append((block_id, parent))
            parent = block_id
    return ids[:count]


def _fill(ids: list[tuple[str, str]]) -> StoreState:
    limits = StoreLimits(memory_bytes=len(ids) * BLOCK_BYTES, disk_bytes=0)
    state = StoreState(limits, random.Random(1))
    quotas = {f"{number:012x}": 0 for number in range(WORKSPACES)}
    handle(ConfigUpdated(quotas, frozenset({"000000"})), state, 0.0)
    for now_s, (block_id, parent) in enumerate(ids):
        begun = WriteBegun(block_id, BLOCK_BYTES, CHECKSUM, 4_000, parent)
        accepted = handle(begun, state, float(now_s))[-1]
        ended = WriteEnded(block_id, accepted.generation, BLOCK_BYTES, CHECKSUM, parent)
        handle(ended, state, float(now_s))
    return state


def _blocks(size: int, seed: int) -> dict[str, float]:
    ids = _ids(size, seed)
    assert len(_fill(ids).blocks) == size
    return {
        "state_bytes": held_bytes(lambda: _fill(ids)),
        "write_cpu_s": cpu_seconds(lambda: _fill(ids)),
    }


MECHANISMS = (Mechanism("blocks of a store", "blocks", BLOCKS, _blocks),)
