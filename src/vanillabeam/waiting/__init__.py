"""Waiting of requests for targets whose places are short."""

from vanillabeam.waiting.claim import Claim
from vanillabeam.waiting.queue import WaitingLine
from vanillabeam.waiting.window import CallWindow

__all__ = ["CallWindow", "Claim", "WaitingLine"]
