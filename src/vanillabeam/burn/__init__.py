"""Service-level burn rate: objectives, time windows and reports."""

from vanillabeam.burn.core import (
    OTHER_WORKSPACES,
    BurnCounter,
    BurnSummary,
    RowWire,
    SeriesWire,
)
from vanillabeam.burn.exceptions import SummaryInvalid
from vanillabeam.burn.objectives import (
    ALERT_RULES,
    WINDOWS,
    AlertRule,
    Objective,
    Objectives,
    Outcome,
    Window,
)
from vanillabeam.burn.render import html_page, text_report
from vanillabeam.burn.reporting import ALL, Report, report
from vanillabeam.burn.svg import Series, line_plot

__all__ = [
    "ALERT_RULES",
    "ALL",
    "OTHER_WORKSPACES",
    "WINDOWS",
    "AlertRule",
    "BurnCounter",
    "BurnSummary",
    "Objective",
    "Objectives",
    "Outcome",
    "Report",
    "RowWire",
    "Series",
    "SeriesWire",
    "SummaryInvalid",
    "Window",
    "html_page",
    "line_plot",
    "report",
    "text_report",
]
