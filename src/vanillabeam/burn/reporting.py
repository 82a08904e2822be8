"""Merging the VMs' summaries into one service-level burn report."""

from typing import TypedDict

from returns.result import Failure

from vanillabeam.burn.core import OTHER_WORKSPACES, BurnSummary
from vanillabeam.burn.objectives import (
    ALERT_RULES,
    AlertRule,
    Objective,
    Objectives,
)
from vanillabeam.burn.tally import Tally, decode_tally

__all__ = ["ALL", "Alert", "LeftOut", "Report", "ReportRow", "WindowReport", "report"]

#: Name of the row that covers all workspaces, or all data centres.
ALL = "(all)"

#: Minimum number of requests in the long window of a row for an alert.
MIN_REQUESTS = 20
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9)

_Key = tuple[str, str]
_Windows = dict[str, Tally]


class WindowReport(TypedDict):
    """Figures of one window of a row.

    :param burn: burn rate by objective; 1 uses up exactly the error budget.
    :param first_token_s: percentiles in seconds of the time to first token, by
        name such as ``"95"``; empty for windows that keep only counts.
    :param token_gap_s: percentiles of the time between tokens, likewise.
    :param recomputed_share: share of the prompt tokens that were recomputed.
    """

    requests: int
    burn: dict[str, float]
    first_token_s: dict[str, float]
    token_gap_s: dict[str, float]
    recomputed_share: float


class ReportRow(TypedDict):
    """Figures of one workspace in one data centre; ``"(all)"`` covers all of them."""

    workspace: str
    data_centre: str
    windows: dict[str, WindowReport]


class Alert(TypedDict):
    """An alert rule that fires for a row.

    :param burn_long: burn rate in the rule's long window.
    :param burn_short: burn rate in the rule's short window.
    """

    rule: str
    workspace: str
    data_centre: str
    objective: str
    burn_long: float
    burn_short: float


class LeftOut(TypedDict):
    """A VM whose summary is not part of the report, with the reason."""

    vm: str
    reason: str


class Report(TypedDict):
    """Service-level burn report of all VMs.

    :param objectives: objectives that the VMs counted against.
    :param vms: names of the VMs that the report covers.
    :param left_out: VMs whose summaries could not be merged.
    :param series: burn rate by data centre, window and objective as pairs of
        seconds relative to now and burn rate, the oldest first.
    """

    objectives: dict[str, float]
    vms: list[str]
    left_out: list[LeftOut]
    alerts: list[Alert]
    rows: list[ReportRow]
    series: dict[str, dict[str, dict[str, list[tuple[float, float]]]]]


def report(
    summaries: list[BurnSummary], rules: tuple[AlertRule, ...] = ALERT_RULES
) -> Report:
    """Return the report on all ``summaries``.

    A VM whose summary cannot be decoded, or whose objectives differ from those of
    the first VM, is listed in ``left_out``.

    :param rules: alert rules to evaluate.
    """
    objectives = summaries[0]["objectives"] if summaries else Objectives()._asdict()
    merged: dict[_Key, _Windows] = {}
    series: dict[tuple[str, str], _Slots] = {}
    vms: list[str] = []
    left_out: list[LeftOut] = []
    for summary in summaries:
        reason = _merge_summary(summary, objectives, merged, series)
        if reason:
            left_out.append(LeftOut(vm=summary["vm"], reason=reason))
        else:
            vms.append(summary["vm"])
    required = Objectives(**objectives)
    return Report(
        objectives=objectives,
        vms=vms,
        left_out=left_out,
        alerts=_alerts(merged, required, rules),
        rows=[
            _row(key, merged[key], required) for key in sorted(merged, key=_sort_key)
        ],
        series=_series(series, required),
    )


class _Slots(TypedDict):
    slot_s: float
    tallies: list[Tally]


def _merge_summary(
    summary: BurnSummary,
    objectives: dict[str, float],
    merged: dict[_Key, _Windows],
    series: dict[tuple[str, str], _Slots],
) -> str:
    if summary["objectives"] != objectives:
        return "counts by other objectives"
    decoded: list[tuple[_Key, str, Tally]] = []
    for row in summary["rows"]:
        for window, wire in row["windows"].items():
            tally = decode_tally(wire)
            if isinstance(tally, Failure):
                return str(tally.failure())
            key = (row["workspace"], row["data_centre"])
            decoded.append((key, window, tally.unwrap()))
    decoded_series = _decode_series(summary)
    if isinstance(decoded_series, str):
        return decoded_series
    for key, window, tally in decoded:
        for row_key in _row_keys(key):
            _merge(merged, row_key, window, tally)
    for series_key, slots in decoded_series.items():
        _merge_slots(series, series_key, slots)
    return ""


def _decode_series(summary: BurnSummary) -> dict[tuple[str, str], _Slots] | str:
    decoded = {}
    for line in summary["series"]:
        tallies = [decode_tally(wire) for wire in line["slots"]]
        for tally in tallies:
            if isinstance(tally, Failure):
                return str(tally.failure())
        key = (line["data_centre"], line["window"])
        unwrapped = [tally.unwrap() for tally in tallies]
        decoded[key] = _Slots(slot_s=line["slot_s"], tallies=unwrapped)
    return decoded


def _row_keys(key: _Key) -> list[_Key]:
    workspace, data_centre = key
    keys = [(ALL, ALL), (ALL, data_centre), key]
    if workspace != OTHER_WORKSPACES:
        keys.append((workspace, ALL))
    return keys


def _merge(merged: dict[_Key, _Windows], key: _Key, window: str, tally: Tally) -> None:
    windows = merged.setdefault(key, {})
    windows.setdefault(window, Tally(detailed=True)).merge(tally)


def _merge_slots(
    series: dict[tuple[str, str], _Slots], key: tuple[str, str], slots: _Slots
) -> None:
    if key not in series:
        series[key] = slots
        return
    # Align the newest slots, since the series may differ in length at the old end.
    newest_first = (reversed(each["tallies"]) for each in (series[key], slots))
    for total, part in zip(*newest_first, strict=False):
        total.merge(part)


def _sort_key(key: _Key) -> tuple[bool, bool, str, str]:
    workspace, data_centre = key
    return (workspace != ALL, data_centre != ALL, workspace, data_centre)


def _row(key: _Key, windows: _Windows, required: Objectives) -> ReportRow:
    reports = {name: _window(tally, required) for name, tally in windows.items()}
    return ReportRow(workspace=key[0], data_centre=key[1], windows=reports)


def _window(tally: Tally, required: Objectives) -> WindowReport:
    share = tally.recomputed_tokens / max(1, tally.prompt_tokens)
    return WindowReport(
        requests=tally.requests,
        burn={str(each): tally.burn(each, required) for each in Objective},
        first_token_s=_percentiles(tally, Objective.FIRST_TOKEN),
        token_gap_s=_percentiles(tally, Objective.TOKEN_GAP),
        recomputed_share=share,
    )


def _percentiles(tally: Tally, objective: Objective) -> dict[str, float]:
    if objective not in tally.histograms:
        return {}
    return {
        f"{percentile:g}": tally.percentile_s(objective, percentile)
        for percentile in PERCENTILES
    }


def _alerts(
    merged: dict[_Key, _Windows], required: Objectives, rules: tuple[AlertRule, ...]
) -> list[Alert]:
    alerts = [
        _alert(rule, key, objective, merged[key], required)
        for key in sorted(merged, key=_sort_key)
        for rule in rules
        for objective in Objective
    ]
    return [alert for alert in alerts if alert is not None]


def _alert(
    rule: AlertRule,
    key: _Key,
    objective: Objective,
    windows: _Windows,
    required: Objectives,
) -> Alert | None:
    long, short = windows.get(rule.long), windows.get(rule.short)
    if long is None or short is None or long.requests < MIN_REQUESTS:
        return None
    burn_long = long.burn(objective, required)
    burn_short = short.burn(objective, required)
    if min(burn_long, burn_short) < rule.burn:
        return None
    return Alert(
        rule=rule.name,
        workspace=key[0],
        data_centre=key[1],
        objective=str(objective),
        burn_long=burn_long,
        burn_short=burn_short,
    )


def _series(
    series: dict[tuple[str, str], _Slots], required: Objectives
) -> dict[str, dict[str, dict[str, list[tuple[float, float]]]]]:
    lines: dict[str, dict[str, dict[str, list[tuple[float, float]]]]] = {}
    for (data_centre, window), slots in sorted(series.items()):
        ages = range(len(slots["tallies"]) - 1, -1, -1)
        pairs = list(zip(ages, slots["tallies"], strict=True))
        lines.setdefault(data_centre, {})[window] = {
            str(objective): [
                (-age * slots["slot_s"], tally.burn(objective, required))
                for age, tally in pairs
            ]
            for objective in Objective
        }
    return lines
