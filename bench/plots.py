"""Plots of measured slopes: measured points and fitted line."""

from pathlib import Path
from typing import NamedTuple

from bench.slopes import Slope
from vanillabeam.burn import Series, line_plot

__all__ = ["FOLDER", "write_plots"]

FOLDER = Path(__file__).parent.parent / "docs" / "plots"


class _Plot(NamedTuple):
    file: str
    mechanism: str
    quantity: str
    y_label: str
    scale: float


PLOTS = (
    _Plot("streams", "whole VM, streams", "cpu_s_per_s", "cores", 1.0),
    _Plot("memory", "whole VM, at rest", "memory_bytes", "MB", 1e-6),
    _Plot("membership", "membership", "body_bytes_per_s", "bytes a second", 1.0),
    _Plot("targets", "targets at rest", "body_bytes_per_s", "bytes a second", 1.0),
)


def write_plots(slopes: list[Slope], folder: Path = FOLDER) -> None:
    """Write each of ``PLOTS`` as an SVG file."""
    folder.mkdir(exist_ok=True)
    slopes_by_name = {(each.mechanism, each.quantity): each for each in slopes}
    for plot in PLOTS:
        slope = slopes_by_name[plot.mechanism, plot.quantity]
        (folder / f"{plot.file}.svg").write_text(_draw(plot, slope) + "\n")


def _draw(plot: _Plot, slope: Slope) -> str:
    values = [value * plot.scale for value in slope.values]
    points = list(zip(slope.sizes, values, strict=True))
    line = [(size, slope.line.at(size) * plot.scale) for size in slope.sizes]
    lines = [Series("measured", points), Series("line", line)]
    return line_plot(slope.mechanism, slope.driver, plot.y_label, lines)
