"""Merges the VMs' summaries into one report on service-level burn."""

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

#: Name that stands for all workspaces, or for all data centres.
ALL = "(all)"

#: Requests below which a row raises no alert.
MIN_REQUESTS = 20
PERCENTILES = (50.0, 75.0, 90.0, 95.0, 99.0, 99.9)

_Key = tuple[str, str]
_Windows = dict[str, Tally]


class WindowReport(TypedDict):
    """One window of a row.

    :param burn: by objective; 1 uses up exactly the share that may miss.
    :param first_token_s: percentiles, by name such as ``"95"``; empty for
        windows that keep counts only. ``token_gap_s`` likewise.
    :param recomputed_share: recomputed prompt tokens among all.
    """

    requests: int
    burn: dict[str, float]
    first_token_s: dict[str, float]
    token_gap_s: dict[str, float]
    recomputed_share: float


class ReportRow(TypedDict):
    """One workspace in one data centre, or all of them (``"(all)"``)."""

    workspace: str
    data_centre: str
    windows: dict[str, WindowReport]


class Alert(TypedDict):
    """A rule that a row breaks."""

    rule: str
    workspace: str
    data_centre: str
    objective: str
    burn_long: float
    burn_short: float


class LeftOut(TypedDict):
    """A VM whose summary is not in the report, and why."""

    vm: str
    reason: str


class Report(TypedDict):
    """The whole report.

    :param vms: names of the VMs that are in it.
    :param series: burn by ``data centre``, ``window`` and objective as pairs
        of seconds before now and burn, the oldest first.
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

    A VM that counts by other objectives than the first, or whose summary can't
    be read, is left out and named.
    """
    objectives = summaries[0]["objectives"] if summaries else Objectives()._asdict()
    merged: dict[_Key, _Windows] = {}
    series: dict[tuple[str, str], _Slots] = {}
    vms: list[str] = []
    left_out: list[LeftOut] = []
    for summary in summaries:
        reason = _take_in(summary, objectives, merged, series)
        if reason:
            left_out.append(LeftOut(vm=summary["vm"], reason=reason))
        else:
            vms.append(summary["vm"])
    level = Objectives(**objectives)
    return Report(
        objectives=objectives,
        vms=vms,
        left_out=left_out,
        alerts=_alerts(merged, level, rules),
        rows=[_row(key, merged[key], level) for key in sorted(merged, key=_order)],
        series=_series(series, level),
    )


class _Slots(TypedDict):
    slot_s: float
    tallies: list[Tally]


def _take_in(
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
    slots = _decode_series(summary)
    if isinstance(slots, str):
        return slots
    for key, window, tally in decoded:
        for wider in _wider(key):
            _merge(merged, wider, window, tally)
    for place, own in slots.items():
        _merge_slots(series, place, own)
    return ""


def _decode_series(summary: BurnSummary) -> dict[tuple[str, str], _Slots] | str:
    found = {}
    for line in summary["series"]:
        tallies = [decode_tally(wire) for wire in line["slots"]]
        for tally in tallies:
            if isinstance(tally, Failure):
                return str(tally.failure())
        place = (line["data_centre"], line["window"])
        kept = [tally.unwrap() for tally in tallies]
        found[place] = _Slots(slot_s=line["slot_s"], tallies=kept)
    return found


def _wider(key: _Key) -> list[_Key]:
    workspace, data_centre = key
    keys = [(ALL, ALL), (ALL, data_centre), key]
    if workspace != OTHER_WORKSPACES:
        keys.append((workspace, ALL))
    return keys


def _merge(merged: dict[_Key, _Windows], key: _Key, window: str, tally: Tally) -> None:
    windows = merged.setdefault(key, {})
    windows.setdefault(window, Tally(detailed=True)).merge(tally)


def _merge_slots(
    series: dict[tuple[str, str], _Slots], place: tuple[str, str], own: _Slots
) -> None:
    if place not in series:
        series[place] = own
        return
    # Newest against newest: the oldest are last to agree in number.
    newest_first = (reversed(each["tallies"]) for each in (series[place], own))
    for whole, part in zip(*newest_first, strict=False):
        whole.merge(part)


def _order(key: _Key) -> tuple[bool, bool, str, str]:
    workspace, data_centre = key
    return (workspace != ALL, data_centre != ALL, workspace, data_centre)


def _row(key: _Key, windows: _Windows, level: Objectives) -> ReportRow:
    reports = {name: _window(tally, level) for name, tally in windows.items()}
    return ReportRow(workspace=key[0], data_centre=key[1], windows=reports)


def _window(tally: Tally, level: Objectives) -> WindowReport:
    share = tally.recomputed_tokens / max(1, tally.prompt_tokens)
    return WindowReport(
        requests=tally.requests,
        burn={str(each): tally.burn(each, level) for each in Objective},
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
    merged: dict[_Key, _Windows], level: Objectives, rules: tuple[AlertRule, ...]
) -> list[Alert]:
    found = [
        _alert(rule, key, objective, merged[key], level)
        for key in sorted(merged, key=_order)
        for rule in rules
        for objective in Objective
    ]
    return [alert for alert in found if alert is not None]


def _alert(
    rule: AlertRule,
    key: _Key,
    objective: Objective,
    windows: _Windows,
    level: Objectives,
) -> Alert | None:
    long, short = windows.get(rule.long), windows.get(rule.short)
    if long is None or short is None or long.requests < MIN_REQUESTS:
        return None
    burn_long = long.burn(objective, level)
    burn_short = short.burn(objective, level)
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
    series: dict[tuple[str, str], _Slots], level: Objectives
) -> dict[str, dict[str, dict[str, list[tuple[float, float]]]]]:
    lines: dict[str, dict[str, dict[str, list[tuple[float, float]]]]] = {}
    for (data_centre, window), slots in sorted(series.items()):
        ages = range(len(slots["tallies"]) - 1, -1, -1)
        pairs = list(zip(ages, slots["tallies"], strict=True))
        lines.setdefault(data_centre, {})[window] = {
            str(objective): [
                (-age * slots["slot_s"], tally.burn(objective, level))
                for age, tally in pairs
            ]
            for objective in Objective
        }
    return lines
