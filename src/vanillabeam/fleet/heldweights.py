"""Targets on older weights that get no order now, and the reasons."""

from collections.abc import Iterable
from enum import StrEnum
from typing import NamedTuple

from vanillabeam.decisions import WeightsHeld

__all__ = ["Held", "HeldReason", "HeldTargets", "count_behind", "count_versions"]

#: Seconds after which the line of an unchanged reason is written again.
REPEAT_S = 10.0


class HeldReason(StrEnum):
    """Reason why an outdated target gets no order now."""

    #: It refused or didn't answer its last order, and waits for the next one.
    BACKOFF = "backoff"
    DRAINING = "draining"
    #: It refused the fencing number, and no higher one is in force yet.
    FENCED = "fenced"
    #: This VM leads the log, but another one may have until a lease ago.
    NO_LEASE = "no-lease"
    #: Others of its model load, or are about to.
    NO_SLOT = "no-slot"
    #: It announces itself to this VM, and the merged directory doesn't have it.
    NOT_KNOWN = "not-known"


class Held(NamedTuple):
    """An outdated target that gets no order now.

    :param version: version that it has.
    :param newest: newest version of the model.
    :param reply: its answer to the last order; empty if it got none.
    """

    target: str
    model: str
    version: int
    newest: int
    reason: HeldReason
    reply: str = ""


class HeldTargets:
    """State of the log lines on targets that get no order.

    >>> held = HeldTargets()
    >>> held.update([Held("t-1", "m", 1, 2, HeldReason.DRAINING)], now_s=5.0)
    [WeightsHeld(target='t-1', model='m', version=1, ... held_s=0.0)]
    """

    def __init__(self):
        self._since_s: dict[Held, float] = {}
        self._logged_s: dict[Held, float] = {}

    def update(self, held: Iterable[Held], now_s: float) -> list[WeightsHeld]:
        """Return the lines to write now: changed reasons, and old ones at times."""
        self._since_s = {each: self._since_s.get(each, now_s) for each in held}
        self._logged_s = {
            each: at_s for each, at_s in self._logged_s.items() if each in self._since_s
        }
        lines = []
        for each, since_s in self._since_s.items():
            if now_s - self._logged_s.get(each, float("-inf")) < REPEAT_S:
                continue
            self._logged_s[each] = now_s
            lines.append(WeightsHeld(*each, round(now_s - since_s, 1)))
        return lines


def count_behind(
    versions: Iterable[dict[str, int]], weights: dict[str, int]
) -> dict[str, int]:
    """Return the number of targets on older weights, by model.

    :param versions: version of each model, of each target.
    :param weights: newest version of each model.
    """
    behind = dict.fromkeys(weights, 0)
    for held in versions:
        for model, version in held.items():
            if version < weights.get(model, 0):
                behind[model] += 1
    return behind


def count_versions(versions: Iterable[dict[str, int]]) -> dict[tuple[str, str], int]:
    """Return the number of targets, by model and version."""
    counts: dict[tuple[str, str], int] = {}
    for held in versions:
        for model, version in held.items():
            counts[model, str(version)] = counts.get((model, str(version)), 0) + 1
    return counts
