"""Gauges of the speed of each target."""

from collections.abc import Callable

from vanillabeam.capacity.core import CapacityRow, TargetCapacity
from vanillabeam.counters import Counters

__all__ = ["add_capacity_gauges"]

LABELS = ("service", "target")


def add_capacity_gauges(
    counters: Counters, capacity: TargetCapacity, now: Callable[[], float]
) -> None:
    """Add the gauges that ``vanillabeam capacity`` shows.

    :param now: returns the monotonic time in seconds.
    """

    def add(name: str, help_text: str, value: Callable[[CapacityRow], float]) -> None:
        counters.add_gauges(
            name,
            help_text,
            LABELS,
            lambda: {
                (row.service, row.target): value(row)
                for row in capacity.rows(now())
                if value(row) > 0
            },
        )

    add("target_tokens_s", "Tokens that a target prefills a second.", _tokens_s)
    add("target_takes_well", "Open requests from which a target slows.", _takes_well)
    add("target_call_seconds", "Time of a plain call at a target.", _call_s)
    add("target_slow", "Targets much slower than their service's median.", _is_slow)


def _tokens_s(row: CapacityRow) -> float:
    return row.tokens_s


def _takes_well(row: CapacityRow) -> float:
    return float(row.takes_well)


def _call_s(row: CapacityRow) -> float:
    return row.call_s


def _is_slow(row: CapacityRow) -> float:
    return float(row.is_slow)
