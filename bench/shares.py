"""Fair shares: waits of a quiet workspace among noisy ones, by policy."""

import heapq
import random
from collections import deque
from typing import Any, NamedTuple

import numpy as np

from vanillabeam.admission import (
    FairQueue,
    QueuedRequest,
    ReservedShares,
    WeightedShares,
)
from vanillabeam.config import Priority
from vanillabeam.shares import Share

__all__ = ["run"]

DURATION_S = 300.0
SLOTS = 8
SLOT_TOKENS_S = 2000.0
QUIET = "quiet"
QUIET_TOKENS_S = 2000.0
QUIET_COST = 1000.0
NOISY_COST = 8000.0
NOISY_FACTOR = 1.5
QUEUE_LIMIT = 400
NEIGHBOURS = (1, 6, 24)


class Arrival(NamedTuple):
    """Request that arrives at the queue."""

    at_s: float
    workspace: str
    cost: float


class Fifo:
    """First in, first out, regardless of the workspace."""

    def __init__(self, share_of):
        self._queue: deque[str] = deque()

    def arrived(self, workspace: str) -> None:
        """Append a request of ``workspace`` to the queue."""
        self._queue.append(workspace)

    def pick(self, heads, now_s: float) -> str:
        """Return the workspace of the oldest request that still waits."""
        names = {name for name, _ in heads}
        while self._queue[0] not in names:
            self._queue.popleft()
        return self._queue[0]

    def charge(self, workspace: str, cost: float, now_s: float) -> None:
        """Remove the oldest request of ``workspace``."""
        self._queue.remove(workspace)


def equal_share(name: str) -> Share:
    """Return the same share for every workspace, without a reservation."""
    return Share()


def weighted_share(name: str) -> Share:
    """Return a share with three times the weight for the quiet workspace."""
    return Share(weight=3.0 if name == QUIET else 1.0)


def reserved_share(name: str) -> Share:
    """Return a share that reserves 1.2 times its rate for the quiet workspace."""
    rate = 1.2 * QUIET_TOKENS_S if name == QUIET else 0.0
    return Share(reservation_tokens_s=rate)


POLICIES = {
    "fifo": (Fifo, equal_share),
    "equal-weights": (WeightedShares, equal_share),
    "weight-3": (WeightedShares, weighted_share),
    "reservation": (ReservedShares, reserved_share),
}


def run(seed: int) -> dict[str, Any]:
    """Measure the waits of the quiet workspace under each policy."""
    figures: dict[str, Any] = {}
    for neighbours in NEIGHBOURS:
        arrivals = make_arrivals(neighbours, seed)
        for name, (policy, share_of) in POLICIES.items():
            key = f"neighbours-{neighbours}.{name}"
            figures[key] = simulate(arrivals, policy(share_of))
    return figures


def make_arrivals(neighbours: int, seed: int) -> list[Arrival]:
    """Return arrivals of a quiet workspace and of noisy ones, in order of time.

    The noisy workspaces together request ``NOISY_FACTOR`` times the capacity.
    """
    rng = random.Random(seed)
    arrivals = _poisson(rng, QUIET, QUIET_TOKENS_S / QUIET_COST, QUIET_COST)
    rate = NOISY_FACTOR * SLOTS * SLOT_TOKENS_S / NOISY_COST / neighbours
    for number in range(neighbours):
        arrivals += _poisson(rng, f"noisy-{number}", rate, NOISY_COST)
    return sorted(arrivals)


def _poisson(
    rng: random.Random, workspace: str, rate_s: float, cost: float
) -> list[Arrival]:
    arrivals = []
    at_s = 0.0
    while (at_s := at_s + rng.expovariate(rate_s)) < DURATION_S:
        arrivals.append(Arrival(at_s, workspace, cost))
    return arrivals


def simulate(arrivals: list[Arrival], shares) -> dict[str, float]:
    """Return the quiet workspace's waits in seconds and the noisy ones' tokens.

    :param shares: policy that picks the workspace served next.
    """
    queue = FairQueue(QUEUE_LIMIT, shares)
    arrival_times = {}
    waits: list[float] = []
    busy: list[float] = []
    noisy_tokens = shed = 0.0
    for number, arrival in enumerate(arrivals):
        while busy and busy[0] <= arrival.at_s:
            noisy_tokens += _start(
                queue, heapq.heappop(busy), busy, arrival_times, waits
            )
        key = str(number)
        arrival_times[key] = arrival.at_s
        if hasattr(shares, "arrived"):
            shares.arrived(arrival.workspace)
        deadline_s = arrival.at_s + DURATION_S
        waiting = QueuedRequest(
            key, arrival.workspace, Priority.INTERACTIVE, arrival.cost, deadline_s
        )
        shed += sum(w.workspace == QUIET for w in queue.push(waiting))
        if len(busy) < SLOTS:
            noisy_tokens += _start(queue, arrival.at_s, busy, arrival_times, waits)
    p50, p95, p99 = np.percentile(waits, [50, 95, 99]).tolist()
    return {
        "quiet_wait_p50_s": p50,
        "quiet_wait_p95_s": p95,
        "quiet_wait_p99_s": p99,
        "quiet_served": len(waits),
        "quiet_shed": shed,
        "noisy_tokens_s": noisy_tokens / DURATION_S,
    }


def _start(
    queue, now_s: float, busy: list[float], arrival_times, waits: list[float]
) -> float:
    waiting = queue.pop(now_s)
    if waiting is None:
        return 0.0
    heapq.heappush(busy, now_s + waiting.cost / SLOT_TOKENS_S)
    if waiting.workspace == QUIET:
        waits.append(now_s - arrival_times[waiting.key])
        return 0.0
    return waiting.cost
