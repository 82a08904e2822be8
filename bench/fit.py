"""Least-squares lines through measured values, with their residuals."""

from collections.abc import Sequence
from typing import NamedTuple

import numpy as np

__all__ = ["Line", "fit_line"]


class Line(NamedTuple):
    """Line ``value = base + slope * size``.

    :param residual: largest distance of a point from the line, relative to the
        largest value; large where growth is not linear.
    """

    base: float
    slope: float
    residual: float

    def at(self, size: float) -> float:
        """Return the line's value at ``size``."""
        return self.base + self.slope * size


def fit_line(sizes: Sequence[float], values: Sequence[float]) -> Line:
    """Return the least-squares line through the points.

    :param sizes: at least two different sizes.
    :param values: one value per size.
    """
    points = np.asarray(values, dtype=float)
    slope, base = np.polyfit(np.asarray(sizes, dtype=float), points, 1)
    misses = np.abs(points - (base + slope * np.asarray(sizes, dtype=float)))
    largest = np.abs(points).max()
    residual = misses.max() / largest if largest else 0.0
    return Line(float(base), float(slope), float(residual))
