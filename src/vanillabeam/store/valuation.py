"""Value of a stored block: saved recompute × reuse rate ÷ bytes."""

from vanillabeam.blocks import release_tag_of
from vanillabeam.store.placement import store_rank
from vanillabeam.store.records import Block
from vanillabeam.store.reuse import ReuseModel

__all__ = ["BlockValuation"]

#: Factor on the value of a block whose release is no longer in force.
OLD_RELEASE_FACTOR = 0.01
#: Factor on the value of a block whose first copy belongs on another live store.
COPY_FACTOR = 0.03


class BlockValuation:
    """Values blocks by the reuse statistics of their workspaces.

    :ivar reuse: reuse statistics of each workspace.
    :ivar releases: release tags in force; ``None`` before the first
        configuration.
    :ivar name: name of this store in ``stores``.
    :ivar stores: names of the live stores of the data centre; empty before
        the first list.
    """

    def __init__(self) -> None:
        self.reuse = ReuseModel()
        self.releases: frozenset[str] | None = None
        self.name = ""
        self.stores: tuple[str, ...] = ()

    def value(self, block: Block, now_s: float) -> float:
        """Return the value of ``block`` in tokens per byte and second."""
        idle_s = max(0.0, now_s - block.used_s)
        rate = self.reuse.rate(block.workspace, idle_s)
        value = block.tokens * rate / block.length
        if self.releases is not None:
            value *= self._release_factor(block)
        if len(self.stores) > 1 and store_rank(block.block_id, self.name, self.stores):
            value *= COPY_FACTOR
        return value

    def _release_factor(self, block: Block) -> float:
        if release_tag_of(block.block_id) in self.releases:
            return 1.0
        return OLD_RELEASE_FACTOR
