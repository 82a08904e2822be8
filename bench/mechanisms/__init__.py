"""Mechanisms whose cost is measured against what drives it."""

from bench.mechanisms import configuration, level, logs, peers, prompts
from bench.mechanisms.base import Measure, Mechanism

__all__ = ["MECHANISMS", "Measure", "Mechanism"]

MECHANISMS: tuple[Mechanism, ...] = (
    *configuration.MECHANISMS,
    *peers.MECHANISMS,
    *logs.MECHANISMS,
    *prompts.MECHANISMS,
    *level.MECHANISMS,
)
