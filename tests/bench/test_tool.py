import json

import pytest
from typer.testing import CliRunner

from bench import __main__ as tool
from bench.cost import held_bytes, interleave
from bench.entries import find_entries
from bench.fit import fit_line
from bench.latency import Latency
from bench.results import (
    earlier_result,
    flatten,
    keep_result,
    make_measurement,
    spread_of,
)
from bench.tables import compare_table
from tests.bench.builders import make_result


def test_modules_with_run_are_entries_even_if_their_imports_are_broken(tmp_path):
    (tmp_path / "good.py").write_text('"""Good one."""\ndef run(seed): ...\n')
    (tmp_path / "fails.py").write_text("import nothing_here\ndef run(seed): ...\n")
    (tmp_path / "part.py").write_text("def walk(): ...\n")
    assert find_entries(tmp_path) == {"good": "Good one.", "fails": ""}


def test_repeats_increment_the_seed_and_json_has_all_figures(tmp_path, monkeypatch):
    monkeypatch.setattr(tool, "find_entries", lambda: {"sample": ""})
    monkeypatch.setattr(
        tool, "load_entry", lambda name: lambda seed: {"a": {"b": seed}}
    )
    target = tmp_path / "out.json"
    arguments = ["sample", "--seed", "4", "--repeats", "3", "--json", str(target)]
    done = CliRunner().invoke(tool.app, arguments)
    assert done.exit_code == 0, done.output
    assert json.loads(target.read_text())["values"] == {"a.b": [4.0, 5.0, 6.0]}


@pytest.mark.parametrize(("name", "code"), [([], 0), (["nothing"], 2)])
def test_the_entries_are_listed_for_an_unknown_or_missing_name(name, code):
    done = CliRunner().invoke(tool.app, name)
    assert done.exit_code == code
    assert "make bench NAME" in done.output


def test_numbers_are_figures_and_other_values_are_notes():
    outputs = [{"x": [1, 2.5], "say": "so", "held": True}]
    measurement = make_measurement("sample", 1, outputs)
    assert measurement["values"] == {"x.0": [1.0], "x.1": [2.5]}
    assert measurement["notes"] == {"say": "so", "held": "True"}
    assert flatten({}) == {}


def test_earlier_results_are_compared_by_ratio(tmp_path):
    old = make_result("aaa", "2026-01-01", t=[2.0])
    keep_result(old, tmp_path)
    keep_result(make_result("bbb", "2026-02-01", t=[3.0, 5.0]), tmp_path)
    now = make_result("ccc", "2026-03-01", t=[8.0])
    latest = earlier_result("sample", "ccc", folder=tmp_path)
    assert latest["commit"] == "bbb"
    assert earlier_result("sample", "ccc", "aa", tmp_path) == old
    assert earlier_result("sample", "ccc", "zz", tmp_path) is None
    cells = list(compare_table(now, latest).columns[3].cells)
    assert cells == ["2.00"]


def test_spread_is_the_width_over_the_median():
    assert spread_of([1.0, 2.0, 3.0]) == (2.0, 1.0, 3.0, 1.0)
    assert spread_of([0.0]).relative == 0.0


def test_a_fitted_line_has_a_large_residual_where_growth_is_not_linear():
    line = fit_line([1, 2, 4, 8], [5, 7, 11, 19])
    assert line.slope == pytest.approx(2.0)
    assert line.at(100) == pytest.approx(203.0)
    assert line.residual < 1e-9
    assert fit_line([1, 2, 4, 8], [1, 4, 16, 64]).residual > 0.1


def test_variants_share_a_seed_and_alternate_in_running_first():
    order = []
    variants = {
        name: lambda seed, name=name: order.append((name, seed)) for name in "ab"
    }
    interleave(variants, 2)
    interleave(variants, 3)
    assert order == [("a", 2), ("b", 2), ("b", 3), ("a", 3)]


def test_held_bytes_excludes_memory_that_was_released():
    def build():
        bytes(1_000_000)
        return bytearray(100_000)

    assert 100_000 <= held_bytes(build) < 200_000


def test_latency_percentiles_are_in_seconds():
    latency = Latency()
    for number in range(1, 101):
        latency.record(number / 1000)
    summary = latency.summary()
    assert summary["p95_s"] == pytest.approx(0.095, rel=0.01)
    assert summary["max_s"] == pytest.approx(0.1, rel=0.01)
