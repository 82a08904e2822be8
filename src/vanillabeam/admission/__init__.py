"""Admission control: queueing, fair scheduling and load shedding."""

from vanillabeam.admission.budget import RetryBudget
from vanillabeam.admission.queue import FairQueue, QueuedRequest
from vanillabeam.shares import ReservedShares, Shares, WeightedShares

__all__ = [
    "FairQueue",
    "ReservedShares",
    "RetryBudget",
    "Shares",
    "QueuedRequest",
    "WeightedShares",
]
