"""Cost of each mechanism per unit of its driver."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from bench.fit import Line, fit_line
from bench.mechanisms import MECHANISMS, Mechanism

__all__ = ["Slope", "measure_slopes", "run"]


class Slope(NamedTuple):
    """Quantity of a mechanism measured at several sizes, with the fitted line.

    :param driver: thing that ``sizes`` counts.
    :param quantity: name of the quantity; ends in its unit.
    """

    mechanism: str
    driver: str
    quantity: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    line: Line


def measure_slopes(
    seed: int, mechanisms: Iterable[Mechanism] = MECHANISMS
) -> list[Slope]:
    """Return the slopes of all quantities, measured at each mechanism's sizes."""
    slopes = []
    for mechanism in mechanisms:
        samples = [mechanism.measure(size, seed) for size in mechanism.sizes]
        for quantity in samples[0]:
            values = tuple(float(sample[quantity]) for sample in samples)
            line = fit_line(mechanism.sizes, values)
            sizes = mechanism.sizes
            name, driver = mechanism.name, mechanism.driver
            slopes.append(Slope(name, driver, quantity, sizes, values, line))
    return slopes


def run(seed: int) -> dict[str, Any]:
    """Return base, slope and residual of each quantity of each mechanism."""
    figures: dict[str, Any] = {}
    for slope in measure_slopes(seed):
        name = f"{slope.mechanism}: {slope.quantity} by {slope.driver}"
        figures[name] = slope.line._asdict()
    return figures
