"""What each mechanism costs for one more of what drives it."""

from collections.abc import Iterable
from typing import Any, NamedTuple

from bench.fit import Line, fit_line
from bench.mechanisms import MECHANISMS, Mechanism

__all__ = ["Slope", "measure_slopes", "run"]


class Slope(NamedTuple):
    """One quantity of a mechanism at its sizes, and the line through them."""

    mechanism: str
    driver: str
    quantity: str
    sizes: tuple[int, ...]
    values: tuple[float, ...]
    line: Line


def measure_slopes(
    seed: int, mechanisms: Iterable[Mechanism] = MECHANISMS
) -> list[Slope]:
    """Measure every mechanism at each of its sizes and fit the lines."""
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
