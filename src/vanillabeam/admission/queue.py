"""A bounded request queue with deadlines, priority classes and fair shares."""

from collections import deque
from typing import NamedTuple

from vanillabeam.config import Priority
from vanillabeam.shares import Shares

__all__ = ["FairQueue", "QueuedRequest"]


class QueuedRequest(NamedTuple):
    """A request in a :class:`FairQueue`.

    :param key: id of the request, unique in the queue.
    :param cost: estimated tokens.
    :param deadline_s: monotonic time at which the request expires.
    """

    key: str
    workspace: str
    priority: Priority
    cost: float
    deadline_s: float


class FairQueue:
    """Bounded queue that serves interactive before batch requests.

    Workspaces share each priority class fairly.

    :param limit: maximum number of queued requests.
    :param shares: scheduler that picks the next workspace within a class.

    >>> from vanillabeam.shares import Share, WeightedShares
    >>> queue = FairQueue(8, WeightedShares(lambda name: Share()))
    >>> queue.push(QueuedRequest("r1", "icupa", Priority.BATCH, 10.0, 5.0))
    []
    >>> queue.pop(0.0).key
    'r1'
    """

    def __init__(self, limit: int, shares: Shares):
        self.limit = limit
        self._shares = shares
        self._queues: dict[Priority, dict[str, deque[QueuedRequest]]] = {
            priority: {} for priority in Priority
        }
        self._requests: dict[str, QueuedRequest] = {}

    def __len__(self) -> int:
        return len(self._requests)

    def __contains__(self, key: str) -> bool:
        return key in self._requests

    def ahead_of(self, priority: Priority) -> int:
        """Return how many requests are ahead of a new one of this class."""
        if priority is Priority.BATCH:
            return len(self._requests)
        return sum(map(len, self._queues[Priority.INTERACTIVE].values()))

    def push(self, request: QueuedRequest) -> list[QueuedRequest]:
        """Add a request; return the shed requests, which may include it.

        A full queue sheds batch before interactive requests, and within a class
        the newest request of the workspace with the most.
        """
        self._add(request)
        if len(self._requests) <= self.limit:
            return []
        return [self._shed_one()]

    def pop(self, now_s: float, batch: bool = True) -> QueuedRequest | None:
        """Remove and return the next request, ``None`` if there is none.

        :param batch: whether batch requests may be returned.
        """
        classes = list(Priority) if batch else [Priority.INTERACTIVE]
        for priority in classes:
            queues = self._queues[priority]
            if queues:
                return self._pop_next(queues, now_s)
        return None

    def remove(self, key: str) -> QueuedRequest | None:
        """Remove and return a request by key, ``None`` if it is not queued."""
        request = self._requests.pop(key, None)
        if request is None:
            return None
        queues = self._queues[request.priority]
        queues[request.workspace].remove(request)
        if not queues[request.workspace]:
            del queues[request.workspace]
        return request

    def expire(self, now_s: float) -> list[QueuedRequest]:
        """Remove and return the requests whose deadline has passed."""
        expired = [r for r in self._requests.values() if r.deadline_s <= now_s]
        for request in expired:
            self.remove(request.key)
        return expired

    def clear(self) -> list[QueuedRequest]:
        """Remove and return all requests."""
        removed = list(self._requests.values())
        for request in removed:
            self.remove(request.key)
        return removed

    def _add(self, request: QueuedRequest) -> None:
        self._requests[request.key] = request
        queues = self._queues[request.priority]
        queues.setdefault(request.workspace, deque()).append(request)

    def _shed_one(self) -> QueuedRequest:
        queues = self._queues[Priority.BATCH] or self._queues[Priority.INTERACTIVE]
        longest = max(queues.values(), key=len)
        return self.remove(longest[-1].key)

    def _pop_next(
        self, queues: dict[str, deque[QueuedRequest]], now_s: float
    ) -> QueuedRequest:
        heads = [(name, queue[0].cost) for name, queue in queues.items()]
        request = queues[self._shares.pick(heads, now_s)][0]
        self.remove(request.key)
        self._shares.charge(request.workspace, request.cost, now_s)
        return request
