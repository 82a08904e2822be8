import re

import pytest

from bench import capacity, plots
from bench.fit import Line
from bench.mechanisms import MECHANISMS
from bench.sizing import TOKENS_S, VMS, CostModel, make_needs
from bench.slopes import Slope

QUANTITIES = {
    "workspace records": ("json_bytes",),
    "ticket machine": ("state_bytes", "apply_cpu_s"),
    "remembered tickets": ("state_bytes",),
    "peer calls, both ends": ("wire_bytes", "cpu_s"),
    "log group at rest": (
        "leader_calls_per_s",
        "leader_bytes_per_s",
        "group_cpu_s_per_s",
    ),
    "log group of five": (
        "leader_calls_per_s",
        "leader_bytes_per_s",
        "group_cpu_s_per_s",
    ),
    "membership": (
        "calls_per_s",
        "body_bytes_per_s",
        "core_cpu_s_per_s",
        "state_bytes",
    ),
    "targets at rest": (
        "calls_per_s",
        "body_bytes_per_s",
        "core_cpu_s_per_s",
        "target_calls_per_s",
        "target_body_bytes_per_s",
    ),
    "owned targets": ("state_bytes",),
    "permits": ("calls_per_s", "body_bytes_per_s", "core_cpu_s_per_s"),
    "claims of a shard": ("state_bytes",),
    "blocks of a store": ("state_bytes",),
    "whole VM, at rest": ("memory_bytes",),
    "whole VM, prompts": ("cpu_s_per_s",),
    "whole VM, streams": ("cpu_s_per_s",),
    "burn rows": ("state_bytes",),
    "burn records": ("cpu_s",),
    "metrics, two a request": ("cpu_s",),
}


def make_slopes(base=1.0, slope=0.0, **changed):
    lines = {
        (name, quantity): Line(base, slope, 0.0)
        for name, quantities in QUANTITIES.items()
        for quantity in quantities
    }
    lines.update(changed.get("lines", {}))
    return [
        Slope(name, "things", quantity, (1, 2, 3, 4), (1.0,) * 4, line)
        for (name, quantity), line in lines.items()
    ]


def make_limits(slopes):
    limits = capacity._limits(make_needs(slopes), CostModel(slopes))
    return {each.name: each for each in limits}


def test_needs_are_estimated_from_the_lines_at_the_required_size():
    lines = {("whole VM, streams", "cpu_s_per_s"): Line(0.5, 0.001, 0.0)}
    needs = {each.mechanism: each for each in make_needs(make_slopes(lines=lines))}
    expected = 0.5 + 0.001 * TOKENS_S / VMS
    assert needs["streams"].cores == pytest.approx(expected)


def test_the_need_of_calls_includes_http_and_one_end_of_each_call():
    lines = {
        ("peer calls, both ends", "wire_bytes"): Line(0.0, 267.0, 0.0),
        ("peer calls, both ends", "cpu_s"): Line(0.0, 0.001, 0.0),
    }
    need = CostModel(make_slopes(lines=lines)).make_call_need(
        "entry", "x", "control", 10, 500, 0.01
    )
    assert need.bytes_s == pytest.approx(500 + 2670)
    assert need.cores == pytest.approx(0.01 + 10 * 0.0005)


def test_a_negative_estimate_counts_as_zero():
    slopes = make_slopes(base=-5.0)
    assert CostModel(slopes).at("membership", "state_bytes", 10) == 0.0


def test_permits_count_only_towards_the_limits_that_include_them():
    limits = make_limits(make_slopes())
    plain = limits["control bytes, entry, both ways"].need
    with_permits = limits["control bytes, entry, permits counted too"].need
    assert with_permits == pytest.approx(plain + 1.0)


def test_the_verdict_states_how_far_a_limit_is_exceeded():
    limit = capacity._Limit
    table = capacity._limits_table(
        [limit("a", 10.0, 10.0, "B/s"), limit("b", 10.0, 25.0, "B/s")]
    )
    assert "| a | 10 B/s | 10 B/s | met on paper |" in table
    assert "| b | 10 B/s | 25 B/s | short: 2.50 times the limit |" in table


def test_tables_replace_the_text_between_their_markers():
    page = "x\n<!-- begin t -->\nold\n<!-- end t -->\ny"
    once = capacity._fill(page, {"t": "new\n"})
    assert once == "x\n<!-- begin t -->\n\nnew\n\n<!-- end t -->\ny"
    assert capacity._fill(once, {"t": "new\n"}) == once
    with pytest.raises(ValueError, match="no markers for u"):
        capacity._fill(page, {"u": ""})


def test_plots_show_the_measured_points_and_the_line(tmp_path):
    lines = {
        ("whole VM, streams", "cpu_s_per_s"): Line(0.0, 1.0, 0.0),
        ("targets at rest", "body_bytes_per_s"): Line(0.0, 1.0, 0.0),
    }
    plots.write_plots(make_slopes(lines=lines), tmp_path)
    drawn = {path.stem: path.read_text() for path in tmp_path.glob("*.svg")}
    assert set(drawn) == {plot.file for plot in plots.PLOTS}
    assert all(text.count("<polyline") == 2 for text in drawn.values())
    assert "whole VM, streams" in drawn["streams"]


def test_sizing_uses_only_mechanisms_that_are_measured():
    assert set(QUANTITIES) <= {mechanism.name for mechanism in MECHANISMS}


def test_the_capacity_page_contains_all_tables():
    page = capacity.PAGE.read_text()
    for name in ("drivers", "limits", "needs", "failures", "slopes"):
        begin, end = capacity.BEGIN.format(name), capacity.END.format(name)
        table = page.partition(begin)[2].partition(end)[0]
        assert len(re.findall(r"^\|", table, flags=re.MULTILINE)) > 2
