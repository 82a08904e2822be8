"""Waiting of requests for targets whose places are short."""

from vanillabeam.waiting.claim import Claim
from vanillabeam.waiting.queue import WaitingLine

__all__ = ["Claim", "WaitingLine"]
