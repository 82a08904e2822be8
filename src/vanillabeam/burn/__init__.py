"""Service-level burn: objectives, windows, reports."""

from vanillabeam.burn.svg import Series, line_plot

__all__ = ["Series", "line_plot"]
