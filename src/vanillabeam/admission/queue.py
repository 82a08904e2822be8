"""A bounded queue with deadlines, two classes and fair shares."""

from collections import deque
from typing import NamedTuple

from vanillabeam.admission.shares import Shares
from vanillabeam.config import Priority

__all__ = ["FairQueue", "QueuedRequest"]


class QueuedRequest(NamedTuple):
    """A request that waits.

    :param cost: tokens that it will take.
    :param deadline_s: monotonic time after which it is of no use.
    """

    key: str
    workspace: str
    priority: Priority
    cost: float
    deadline_s: float


class FairQueue:
    """Interactive before batch, fair between workspaces, bounded.

    :param limit: most requests that wait.
    :param shares: who goes next within a class.

    >>> from vanillabeam.admission.shares import Share, WeightedShares
    >>> queue = FairQueue(8, WeightedShares(lambda name: Share()))
    >>> queue.push(Waiting("r1", "icupa", Priority.BATCH, 10.0, 5.0))
    []
    >>> queue.pop(0.0).key
    'r1'
    """

    def __init__(self, limit: int, shares: Shares):
        self.limit = limit
        self._shares = shares
        self._lines: dict[Priority, dict[str, deque[QueuedRequest]]] = {
            priority: {} for priority in Priority
        }
        self._keys: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._keys)

    def __contains__(self, key: str) -> bool:
        return key in self._keys

    def ahead_of(self, priority: Priority) -> int:
        """Return how many wait that a newcomer of this class lets pass."""
        if priority is Priority.BATCH:
            return len(self._keys)
        return sum(map(len, self._lines[Priority.INTERACTIVE].values()))

    def push(self, waiting: QueuedRequest) -> list[QueuedRequest]:
        """Add a request and return what is shed, which may be itself.

        A full queue sheds batch before interactive work, and in a class the
        newest request of the workspace with the most of them.
        """
        self._add(waiting)
        if len(self._keys) <= self.limit:
            return []
        return [self._shed_one()]

    def pop(self, now_s: float, batch: bool = True) -> QueuedRequest | None:
        """Remove and return who goes next, ``None`` if nobody may.

        :param batch: whether batch work may go.
        """
        classes = list(Priority) if batch else [Priority.INTERACTIVE]
        for priority in classes:
            lines = self._lines[priority]
            if lines:
                return self._pop_line(lines, now_s)
        return None

    def remove(self, key: str) -> QueuedRequest | None:
        """Remove and return a request that no longer waits."""
        waiting = self._keys.pop(key, None)
        if waiting is None:
            return None
        lines = self._lines[waiting.priority]
        lines[waiting.workspace].remove(waiting)
        if not lines[waiting.workspace]:
            del lines[waiting.workspace]
        return waiting

    def expire(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return what waited past its deadline."""
        late = [w for w in self._keys.values() if w.deadline_s <= now_s]
        for waiting in late:
            self.remove(waiting.key)
        return late

    def clear(self) -> list[QueuedRequest]:
        """Remove and return everything."""
        everything = list(self._keys.values())
        for waiting in everything:
            self.remove(waiting.key)
        return everything

    def _add(self, waiting: QueuedRequest) -> None:
        self._keys[waiting.key] = waiting
        lines = self._lines[waiting.priority]
        lines.setdefault(waiting.workspace, deque()).append(waiting)

    def _shed_one(self) -> QueuedRequest:
        lines = self._lines[Priority.BATCH] or self._lines[Priority.INTERACTIVE]
        longest = max(lines.values(), key=len)
        return self.remove(longest[-1].key)

    def _pop_line(
        self, lines: dict[str, deque[QueuedRequest]], now_s: float
    ) -> QueuedRequest:
        heads = [(name, line[0].cost) for name, line in lines.items()]
        waiting = lines[self._shares.pick(heads, now_s)][0]
        self.remove(waiting.key)
        self._shares.charge(waiting.workspace, waiting.cost, now_s)
        return waiting
