"""What a mechanism is to the measuring tool, and what measures share."""

from collections.abc import Callable
from typing import NamedTuple

__all__ = ["Measure", "Mechanism"]

#: ``measure(size, seed)`` returns quantities by name; a name ends in its unit.
Measure = Callable[[int, int], dict[str, float]]


class Mechanism(NamedTuple):
    """Something of the system whose cost grows with one driver.

    :param driver: what ``sizes`` counts.
    :param sizes: at least four, the largest near what is asked for.
    """

    name: str
    driver: str
    sizes: tuple[int, ...]
    measure: Measure
