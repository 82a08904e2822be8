"""Mechanisms whose cost is measured against what drives it."""

from bench.mechanisms import (
    claimed,
    configuration,
    daemon,
    level,
    logs,
    membership,
    ownership,
    peers,
    prompts,
    stored,
)
from bench.mechanisms.base import Measure, Mechanism

__all__ = ["MECHANISMS", "Measure", "Mechanism"]

MECHANISMS: tuple[Mechanism, ...] = (
    *configuration.MECHANISMS,
    *peers.MECHANISMS,
    *logs.MECHANISMS,
    *membership.MECHANISMS,
    *ownership.MECHANISMS,
    *claimed.MECHANISMS,
    *stored.MECHANISMS,
    *daemon.MECHANISMS,
    *prompts.MECHANISMS,
    *level.MECHANISMS,
)
