"""What a block is worth: recompute saved × rate of return ÷ bytes."""

from vanillabeam.cache.blocks import release_tag_of
from vanillabeam.cache.placement import store_rank
from vanillabeam.store.gaps import GapTable
from vanillabeam.store.records import Block

__all__ = ["Worth"]

OLD_RELEASE_FACTOR = 0.01
COPY_FACTOR = 0.03


class Worth:
    """Prices blocks by what is learnt of each workspace's return gaps.

    :ivar releases: release tags in force; ``None`` before any is known.
    :ivar stores: live stores of the data centre; empty before any is known.
    """

    def __init__(self) -> None:
        self.gaps = GapTable()
        self.releases: frozenset[str] | None = None
        self.name = ""
        self.stores: tuple[str, ...] = ()

    def of(self, block: Block, now_s: float) -> float:
        """Return the worth of ``block`` in tokens a byte and second."""
        idle_s = max(0.0, now_s - block.used_s)
        rate = self.gaps.rate(block.workspace, idle_s)
        worth = block.tokens * rate / block.length
        if self.releases is not None:
            worth *= self._release_factor(block)
        if len(self.stores) > 1 and store_rank(block.block_id, self.name, self.stores):
            worth *= COPY_FACTOR
        return worth

    def _release_factor(self, block: Block) -> float:
        if release_tag_of(block.block_id) in self.releases:
            return 1.0
        return OLD_RELEASE_FACTOR
