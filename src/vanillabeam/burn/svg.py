"""Line plots as SVG text: axes, a few lines, a legend, nothing more."""

from collections.abc import Sequence
from html import escape
from typing import NamedTuple

__all__ = ["Series", "line_plot"]

WIDTH_PX = 560
HEIGHT_PX = 260
MARGIN_PX = 56
TICKS = 4
COLOURS = ("#1f5fa8", "#b5531c", "#2c7a3f", "#7a3f98", "#8a7400", "#444444")


class Series(NamedTuple):
    """One line of a plot.

    :param points: ``(x, y)`` in order of ``x``.
    """

    label: str
    points: Sequence[tuple[float, float]]


class _Scale(NamedTuple):
    low: float
    high: float
    start_px: float
    end_px: float

    def place(self, value: float) -> float:
        share = (value - self.low) / (self.high - self.low)
        return self.start_px + share * (self.end_px - self.start_px)

    def ticks(self) -> list[float]:
        step = (self.high - self.low) / TICKS
        return [self.low + step * tick for tick in range(TICKS + 1)]


def line_plot(title: str, x_label: str, y_label: str, lines: Sequence[Series]) -> str:
    """Return an ``<svg>`` element with one polyline for each of ``lines``.

    :param x_label: name and unit of the horizontal axis; ``y_label`` likewise.
    """
    points = [point for series in lines for point in series.points] or [(0.0, 0.0)]
    across = _scale([x for x, _ in points], MARGIN_PX, WIDTH_PX - MARGIN_PX / 2)
    upward = _scale([0.0, *(y for _, y in points)], HEIGHT_PX - MARGIN_PX, MARGIN_PX)
    parts = [_text(WIDTH_PX / 2, 16, title, "middle")]
    parts += _axes(across, upward, x_label, y_label)
    for number, series in enumerate(lines):
        parts += _line(series, COLOURS[number % len(COLOURS)], number, across, upward)
    size = f'viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" width="{WIDTH_PX}"'
    head = f'<svg xmlns="http://www.w3.org/2000/svg" {size}'
    return f'{head} font-family="sans-serif" font-size="11">{"".join(parts)}</svg>'


def _scale(values: Sequence[float], start_px: float, end_px: float) -> _Scale:
    low, high = min(values), max(values)
    return _Scale(low, high if high > low else low + 1.0, start_px, end_px)


def _axes(across: _Scale, upward: _Scale, x_label: str, y_label: str) -> list[str]:
    left, right = across.start_px, across.end_px
    bottom, top = upward.start_px, upward.end_px
    frame = f'<path d="M{left},{top}V{bottom}H{right}" fill="none" stroke="#888"/>'
    parts = [frame]
    for value in across.ticks():
        place = across.place(value)
        parts.append(_text(place, bottom + 14, f"{value:.4g}", "middle"))
    for value in upward.ticks():
        place = upward.place(value) + 4
        parts.append(_text(left - 6, place, f"{value:.4g}", "end"))
    parts.append(_text((left + right) / 2, bottom + 30, x_label, "middle"))
    parts.append(_text(left, top - 8, y_label, "start"))
    return parts


def _line(
    series: Series, colour: str, number: int, across: _Scale, upward: _Scale
) -> list[str]:
    places = (f"{across.place(x):.1f},{upward.place(y):.1f}" for x, y in series.points)
    line = f'<polyline points="{" ".join(places)}" fill="none" stroke="{colour}"/>'
    beside = across.end_px - 4
    below = upward.end_px + 12 + 13 * number
    return [line, _text(beside, below, series.label, "end", colour)]


def _text(x: float, y: float, text: str, anchor: str, colour: str = "#333") -> str:
    place = f'x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" fill="{colour}"'
    return f"<text {place}>{escape(text)}</text>"
