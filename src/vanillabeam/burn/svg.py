"""Line plots as SVG text, with axes and a legend."""

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

    :param label: name of the line in the legend.
    :param points: pairs of ``x`` and ``y`` in order of ``x``.
    """

    label: str
    points: Sequence[tuple[float, float]]


class _Scale(NamedTuple):
    low: float
    high: float
    start_px: float
    end_px: float

    def pixel(self, value: float) -> float:
        share = (value - self.low) / (self.high - self.low)
        return self.start_px + share * (self.end_px - self.start_px)

    def ticks(self) -> list[float]:
        step = (self.high - self.low) / TICKS
        return [self.low + step * tick for tick in range(TICKS + 1)]


def line_plot(title: str, x_label: str, y_label: str, lines: Sequence[Series]) -> str:
    """Return an ``<svg>`` element with one polyline for each of ``lines``.

    :param x_label: name and unit of the horizontal axis.
    :param y_label: name and unit of the vertical axis.
    """
    points = [point for series in lines for point in series.points] or [(0.0, 0.0)]
    x_scale = _scale([x for x, _ in points], MARGIN_PX, WIDTH_PX - MARGIN_PX / 2)
    y_scale = _scale([0.0, *(y for _, y in points)], HEIGHT_PX - MARGIN_PX, MARGIN_PX)
    parts = [_text(WIDTH_PX / 2, 16, title, "middle")]
    parts += _axes(x_scale, y_scale, x_label, y_label)
    for number, series in enumerate(lines):
        parts += _line(series, COLOURS[number % len(COLOURS)], number, x_scale, y_scale)
    size = f'viewBox="0 0 {WIDTH_PX} {HEIGHT_PX}" width="{WIDTH_PX}"'
    head = f'<svg xmlns="http://www.w3.org/2000/svg" {size}'
    return f'{head} font-family="sans-serif" font-size="11">{"".join(parts)}</svg>'


def _scale(values: Sequence[float], start_px: float, end_px: float) -> _Scale:
    low, high = min(values), max(values)
    return _Scale(low, high if high > low else low + 1.0, start_px, end_px)


def _axes(x_scale: _Scale, y_scale: _Scale, x_label: str, y_label: str) -> list[str]:
    left, right = x_scale.start_px, x_scale.end_px
    bottom, top = y_scale.start_px, y_scale.end_px
    frame = f'<path d="M{left},{top}V{bottom}H{right}" fill="none" stroke="#888"/>'
    parts = [frame]
    for value in x_scale.ticks():
        tick_px = x_scale.pixel(value)
        parts.append(_text(tick_px, bottom + 14, f"{value:.4g}", "middle"))
    for value in y_scale.ticks():
        tick_px = y_scale.pixel(value) + 4
        parts.append(_text(left - 6, tick_px, f"{value:.4g}", "end"))
    parts.append(_text((left + right) / 2, bottom + 30, x_label, "middle"))
    parts.append(_text(left, top - 8, y_label, "start"))
    return parts


def _line(
    series: Series, colour: str, number: int, x_scale: _Scale, y_scale: _Scale
) -> list[str]:
    points = (
        f"{x_scale.pixel(x):.1f},{y_scale.pixel(y):.1f}" for x, y in series.points
    )
    line = f'<polyline points="{" ".join(points)}" fill="none" stroke="{colour}"/>'
    label_x = x_scale.end_px - 4
    label_y = y_scale.end_px + 12 + 13 * number
    return [line, _text(label_x, label_y, series.label, "end", colour)]


def _text(x: float, y: float, text: str, anchor: str, colour: str = "#333") -> str:
    attributes = f'x="{x:.1f}" y="{y:.1f}" text-anchor="{anchor}" fill="{colour}"'
    return f"<text {attributes}>{escape(text)}</text>"
