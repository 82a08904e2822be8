"""Rendering of the service-level burn report as text and as an HTML page."""

from html import escape

from rich.console import Group
from rich.table import Table
from rich.text import Text

from vanillabeam.burn.reporting import ALL, Alert, Report, ReportRow
from vanillabeam.burn.svg import Series, line_plot

__all__ = ["html_page", "text_report"]

#: Name of the window whose percentiles the tables and plots show.
SHOWN_WINDOW = "1h"
MINUTE_S = 60.0
STYLE = (
    "body{font:14px sans-serif;margin:2em;max-width:75em}"
    "table{border-collapse:collapse}td,th{padding:.2em .7em;text-align:right;"
    "border-bottom:1px solid #ddd}td:nth-child(-n+2){text-align:left}"
    ".burns{color:#a01010;font-weight:bold}"
)
LEGEND = "burn of the objective that burns most: F first token, G gap, S success"
_TITLES = {
    "first_token": "First token",
    "token_gap": "Gap between tokens",
    "success": "Success",
}


def text_report(report: Report) -> Group:
    """Return ``report`` as a renderable of the rich library."""
    table = Table(
        *_headings(report), title=f"Burn, {_subtitle(report)}", caption=LEGEND
    )
    for column in table.columns[2:]:
        column.justify = "right"
    for row in report["rows"]:
        table.add_row(*_cells(row, _windows(report)))
    lines = [Text(_alert_line(alert), style="red") for alert in report["alerts"]]
    notes = [Text(_left_out_line(each)) for each in report["left_out"]]
    return Group(table, *(lines or [Text("no alert")]), *notes)


def html_page(report: Report) -> str:
    """Return ``report`` as a self-contained HTML page."""
    alerts = "".join(
        f'<li class="burns">{escape(_alert_line(alert))}</li>'
        for alert in report["alerts"]
    )
    left_out = "".join(
        f"<li>{escape(_left_out_line(each))}</li>" for each in report["left_out"]
    )
    parts = [
        '<!doctype html><html lang="en"><meta charset="utf-8">',
        f"<title>Service-level burn</title><style>{STYLE}</style>",
        f"<h1>Service-level burn</h1><p>{escape(_subtitle(report))}</p>",
        f"<ul>{alerts or '<li>no alert</li>'}{left_out}</ul>",
        _html_table(report),
        *_burn_plots(report),
        *_time_plots(report),
    ]
    return "".join(parts) + "</html>\n"


def _subtitle(report: Report) -> str:
    required = report["objectives"]
    first = f"first token {required['first_token_s']:g} s"
    gap = f"between tokens {required['token_gap_s'] * 1000:g} ms"
    shares = (
        f"for {required['first_token_share']:.1%} and "
        f"{required['token_gap_share']:.1%}, "
        f"success {required['success_share']:.2%}"
    )
    return f"{len(report['vms'])} VMs; {first}, {gap} {shares}"


def _windows(report: Report) -> list[str]:
    names: dict[str, None] = {}
    for row in report["rows"]:
        names.update(dict.fromkeys(row["windows"]))
    return list(names)


def _headings(report: Report) -> list[str]:
    burns = [f"burn {name}" for name in _windows(report)]
    shown = ("requests", "first p95", "gap p95", "recomputed")
    return ["workspace", "data centre", *burns, *(f"{s} {SHOWN_WINDOW}" for s in shown)]


def _cells(row: ReportRow, windows: list[str]) -> list[str]:
    burns = [_worst_burn(row, window) for window in windows]
    names = [row["workspace"], row["data_centre"], *burns]
    shown = row["windows"].get(SHOWN_WINDOW)
    if shown is None:
        return [*names, "0", "-", "-", "-"]
    first = shown["first_token_s"].get("95")
    gap = shown["token_gap_s"].get("95")
    return [
        *names,
        f"{shown['requests']:,}",
        "-" if first is None else f"{first:.3g} s",
        "-" if gap is None else f"{gap * 1000:.3g} ms",
        f"{shown['recomputed_share']:.1%}",
    ]


def _worst_burn(row: ReportRow, window: str) -> str:
    if window not in row["windows"]:
        return "-"
    burns = row["windows"][window]["burn"]
    objective = max(burns, key=burns.__getitem__)
    if not burns[objective]:
        return "0"
    return f"{burns[objective]:.1f} {_TITLES[objective][0]}"


def _alert_line(alert: Alert) -> str:
    objective = alert["objective"].replace("_", " ")
    return (
        f"{alert['rule']} burn: {objective}, workspace {alert['workspace']}, "
        f"data centre {alert['data_centre']}: {alert['burn_long']:.1f} times, "
        f"now {alert['burn_short']:.1f} times what the objective allows"
    )


def _left_out_line(left_out: dict[str, str]) -> str:
    return f"left out: {left_out['vm']}: {left_out['reason']}"


def _html_table(report: Report) -> str:
    headings = "".join(f"<th>{escape(name)}</th>" for name in _headings(report))
    windows = _windows(report)
    rows = []
    for row in report["rows"]:
        cells = "".join(f"<td>{escape(cell)}</td>" for cell in _cells(row, windows))
        rows.append(f"<tr>{cells}</tr>")
    body = "".join(rows)
    return f"<table><caption>{LEGEND}</caption><tr>{headings}</tr>{body}</table>"


def _burn_plots(report: Report) -> list[str]:
    plots = []
    for objective, title in _TITLES.items():
        lines = [
            Series(data_centre, _minutes(windows[SHOWN_WINDOW][objective]))
            for data_centre, windows in report["series"].items()
            if SHOWN_WINDOW in windows
        ]
        name = f"{title}: burn by data centre"
        plots.append(line_plot(name, "minutes before now", "burn", lines))
    return plots


def _minutes(points: list[tuple[float, float]]) -> list[tuple[float, float]]:
    return [(seconds / MINUTE_S, burn) for seconds, burn in points]


def _time_plots(report: Report) -> list[str]:
    plots = []
    for field, title in (("first_token_s", "First token"), ("token_gap_s", "Gap")):
        lines = [
            Series(row["data_centre"], _percentile_points(row, field))
            for row in report["rows"]
            if row["workspace"] == ALL and SHOWN_WINDOW in row["windows"]
        ]
        name = f"{title}: percentiles, {SHOWN_WINDOW}"
        plots.append(line_plot(name, "percentile", "seconds", lines))
    return plots


def _percentile_points(row: ReportRow, field: str) -> list[tuple[float, float]]:
    percentiles = row["windows"][SHOWN_WINDOW][field]
    return [(float(name), seconds) for name, seconds in percentiles.items()]
