"""Targets at which this entry VM's own requests have cached their blocks."""

from collections import OrderedDict
from collections.abc import Sequence

__all__ = ["BlockPlacements"]

MAX_BLOCKS = 50_000
MAX_TARGETS_PER_BLOCK = 3


class BlockPlacements:
    """The last few targets that computed each block.

    :param limit: maximum number of blocks; the least recently used are dropped.

    >>> placements = BlockPlacements()
    >>> placements.record("engine-1", ["a", "b"])
    >>> placements.count_leading("engine-1", ["a", "b", "c"])
    2
    """

    def __init__(self, limit: int = MAX_BLOCKS):
        self.limit = limit
        self._targets: OrderedDict[str, tuple[str, ...]] = OrderedDict()

    def record(self, target: str, blocks: Sequence[str]) -> None:
        """Record that ``target`` should hold ``blocks`` now."""
        for block in blocks:
            previous = self._targets.pop(block, ())
            others = tuple(name for name in previous if name != target)
            self._targets[block] = (target, *others[: MAX_TARGETS_PER_BLOCK - 1])
        while len(self._targets) > self.limit:
            self._targets.popitem(last=False)

    def forget(self, target: str, blocks: Sequence[str]) -> None:
        """Drop ``target`` as a holder of ``blocks``, after a failed request."""
        for block in blocks:
            names = self._targets.get(block)
            if names is not None:
                self._targets[block] = tuple(n for n in names if n != target)

    def holders(self, blocks: Sequence[str]) -> dict[str, int]:
        """Return how many leading blocks each target should hold."""
        held: dict[str, int] = {}
        for count, block in enumerate(blocks, start=1):
            names = self._targets.get(block, ())
            extended = [name for name in names if held.get(name, 0) == count - 1]
            if not extended:
                return held
            for name in extended:
                held[name] = count
        return held

    def count_leading(self, target: str, blocks: Sequence[str]) -> int:
        """Return how many leading blocks ``target`` should hold."""
        return self.holders(blocks).get(target, 0)
