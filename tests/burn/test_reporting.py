import io

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure
from rich.console import Console

from tests.burn.builders import SLOW_S, make_burn, record, row_of
from vanillabeam.burn import (
    ALL,
    BurnSummary,
    Objectives,
    Outcome,
    html_page,
    report,
    text_report,
)
from vanillabeam.burn.tally import decode_tally
from vanillabeam.wire import decode, encode


def encode_and_decode(burn, now_s):
    return decode(BurnSummary, encode(burn.summary(now_s))).unwrap()


def make_summaries():
    first, second = make_burn("a1"), make_burn("b1")
    record(first, 10.0, times=90)
    record(first, 20.0, workspace="brewer", first_token_s=SLOW_S, times=10)
    record(second, 900.0, data_centre="kigali-2", times=60)
    record(second, 950.0, outcome=Outcome.REFUSED, first_token_s=None, times=40)
    return [encode_and_decode(first, 30.0), encode_and_decode(second, 960.0)]


def test_merged_summaries_equal_the_summary_of_one_vm():
    one, counters = make_burn("one"), [make_burn("a1"), make_burn("b1")]
    for number in range(200):
        seconds = 0.1 + number / 50
        for burn in (one, counters[number % 2]):
            record(burn, 10.0, f"w{number % 5}", first_token_s=seconds)
    merged = report([encode_and_decode(counter, 20.0) for counter in counters])
    whole = report([encode_and_decode(one, 20.0)])
    assert merged["rows"] == whole["rows"]
    assert merged["alerts"] == whole["alerts"]
    assert merged["series"] == whole["series"]


def test_burn_is_the_missed_share_over_the_allowed_share():
    rows = report(make_summaries())["rows"]
    all_rows = row_of(rows, ALL, ALL)["windows"]["1h"]
    assert all_rows["requests"] == 200
    assert all_rows["burn"]["first_token"] == pytest.approx(10 / 160 / 0.05)
    assert all_rows["burn"]["success"] == pytest.approx(40 / 200 / 0.001)
    assert all_rows["recomputed_share"] == pytest.approx(0.25)
    brewer = row_of(rows, "brewer", "kigali-1")["windows"]["1h"]
    assert brewer["first_token_s"]["95"] == pytest.approx(SLOW_S, rel=0.01)
    centre = row_of(rows, ALL, "kigali-2")["windows"]["1h"]
    assert centre["requests"] == 60


def test_fast_alert_needs_both_windows():
    burn = make_burn()
    record(burn, 10.0, first_token_s=SLOW_S, times=30)
    rules = [a["rule"] for a in report([burn.summary(20.0)])["alerts"]]
    assert "fast" in rules
    record(burn, 1000.0, times=1)
    later = report([burn.summary(1000.0)])
    assert [a["rule"] for a in later["alerts"] if a["workspace"] == ALL] == [
        "slow",
        "slow",
    ]


def test_few_requests_raise_no_alert():
    burn = make_burn()
    record(burn, 10.0, first_token_s=SLOW_S, times=19)
    assert report([burn.summary(20.0)])["alerts"] == []


def test_a_vm_with_other_objectives_or_an_invalid_summary_is_left_out():
    good, other, damaged = make_burn("a1"), make_burn("b1"), make_burn("c1")
    other.objectives = Objectives(first_token_s=2.0)
    for burn in (good, other, damaged):
        record(burn, 1.0, times=2)
    broken = damaged.summary(2.0)
    broken["rows"][0]["windows"]["1h"]["histograms"]["first_token"] = "HISTFAAA"
    result = report([good.summary(2.0), other.summary(2.0), broken])
    assert result["vms"] == ["a1"]
    assert [each["vm"] for each in result["left_out"]] == ["b1", "c1"]
    assert row_of(result["rows"], ALL, ALL)["windows"]["1h"]["requests"] == 2


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.text(max_size=60), st.integers(0, 400), st.integers(0, 255))
def test_any_histogram_text_is_a_tally_or_a_typed_failure(text, place, byte):
    burn = make_burn()
    record(burn, 1.0, times=3)
    wire = burn.summary(2.0)["rows"][0]["windows"]["1h"]
    sound = wire["histograms"]["token_gap"]
    bent = sound[: place % len(sound)] + chr(byte) + sound[place % len(sound) + 1 :]
    for candidate in (text, bent):
        wire["histograms"]["token_gap"] = candidate
        result = decode_tally(wire)
        if isinstance(result, Failure):
            assert result.failure().type == "burn-summary-invalid"


def test_text_report(snapshot):
    out = io.StringIO()
    console = Console(file=out, width=150, color_system=None)
    console.print(text_report(report(make_summaries())))
    lines = [line.rstrip() for line in out.getvalue().splitlines()]
    assert "\n".join(lines) == snapshot


def test_html_page_is_self_contained_and_escapes_names():
    burn = make_burn()
    record(burn, 1.0, workspace="<script>alert(1)</script>", times=30)
    page = html_page(report([burn.summary(2.0)]))
    assert "<script" not in page
    assert page.count("<svg") == 5
    outside = page.replace('xmlns="http://www.w3.org/2000/svg"', "")
    assert "http" not in outside
    assert "src=" not in outside


def test_report_without_vms_is_empty():
    empty = report([])
    assert empty["rows"] == empty["alerts"] == []
    assert "0 VMs" in html_page(empty)
