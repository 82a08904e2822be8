"""Definition of a measured mechanism."""

from collections.abc import Callable
from typing import NamedTuple

__all__ = ["Measure", "Mechanism"]

#: Function ``measure(size, seed)``, which returns quantities by name. A name ends
#: in the unit of the quantity.
Measure = Callable[[int, int], dict[str, float]]


class Mechanism(NamedTuple):
    """Part of the system whose cost grows with one driver.

    :param driver: thing that ``sizes`` counts.
    :param sizes: at least four sizes, the largest near the required one.
    :param measure: measures the costs at one size.
    """

    name: str
    driver: str
    sizes: tuple[int, ...]
    measure: Measure
