"""Mechanisms of the system whose cost is measured at several sizes of a driver."""

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
