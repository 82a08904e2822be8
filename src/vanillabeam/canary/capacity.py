"""Targets of the old and the new version of a service."""

from collections.abc import Iterable
from typing import NamedTuple

__all__ = ["Capacity", "VersionTarget", "count_capacity"]

#: Slots of warm new targets per slot of the old ones, at which the new ones carry all.
ENOUGH = 0.75
#: The same below which a shift is given up: the rest of them has failed.
TOO_FEW = 0.5


class VersionTarget(NamedTuple):
    """A listed target of a service that takes new requests."""

    name: str
    software: str
    slots: int
    data_centre: str
    is_warm: bool


class Capacity(NamedTuple):
    """Slots of both versions.

    :param new: number of targets of the new version.
    :param new_warm_slots: slots of those that are warm.
    :param missing: data centres with old targets and no warm new one.
    """

    new: int = 0
    new_slots: int = 0
    new_warm_slots: int = 0
    old: int = 0
    old_slots: int = 0
    missing: tuple[str, ...] = ()

    @property
    def is_enough(self) -> bool:
        """Whether the new targets can take all requests."""
        has_slots = self.new_warm_slots >= ENOUGH * self.old_slots
        return self.new > 0 and has_slots and not self.missing

    @property
    def is_lost(self) -> bool:
        """Whether so many new targets have failed that a shift can't go on."""
        return self.new_slots < TOO_FEW * self.old_slots

    def describe(self) -> str:
        """Return one line for operators."""
        text = f"{self.new_warm_slots} warm slots for {self.old_slots}"
        return text + (f", none in {', '.join(self.missing)}" if self.missing else "")


def count_capacity(targets: Iterable[VersionTarget], to: str) -> Capacity:
    """Return the capacity of version ``to`` and of all others."""
    new, old = [], []
    for target in targets:
        (new if target.software == to else old).append(target)
    warm = [target for target in new if target.is_warm]
    missing = {t.data_centre for t in old} - {t.data_centre for t in warm}
    return Capacity(
        len(new),
        sum(target.slots for target in new),
        sum(target.slots for target in warm),
        len(old),
        sum(target.slots for target in old),
        tuple(sorted(missing)),
    )
