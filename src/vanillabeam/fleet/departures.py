"""Starts of targets that have ended or drain, in the replicated state.

A control VM acknowledges a leave call or a draining announcement only once it is
committed, so that a late announcement of before can't bring the target back when
processes or a disk are lost.
"""

from collections.abc import Sequence
from typing import TypedDict

__all__ = ["MAX_DEPARTED", "Departures", "apply_departures", "make_departures"]

#: Starts of each kind that are kept; the oldest ones are dropped.
MAX_DEPARTED = 4_096


class Departures(TypedDict):
    """Names and start times in Unix milliseconds, in the order of their departure.

    :param ended: starts that have left for good.
    :param draining: starts that get no new work.
    """

    ended: list[tuple[str, int]]
    draining: list[tuple[str, int]]


def make_departures(
    ended: Sequence[tuple[str, int]] = (), draining: Sequence[tuple[str, int]] = ()
) -> Departures:
    """Return departures of these starts."""
    return Departures(ended=list(ended), draining=list(draining))


def apply_departures(known: Departures, change: Departures) -> Departures:
    """Return the known departures with those of a change.

    A start that has ended is no longer kept as draining.
    """
    ended = dict.fromkeys((*known["ended"], *change["ended"]))
    draining = dict.fromkeys((*known["draining"], *change["draining"]))
    return make_departures(
        list(ended)[-MAX_DEPARTED:],
        [start for start in draining if start not in ended][-MAX_DEPARTED:],
    )
