import pytest
from hypothesis import given, settings, strategies as st

from tests.burn.builders import SLOW_S, make_burn, record, requests_of, row_of
from vanillabeam.burn import OTHER_WORKSPACES, Outcome
from vanillabeam.wire import encode

HOUR_S = 3600.0
DAY_S = 86400.0


def test_windows_drop_requests_older_than_their_length():
    burn = make_burn()
    record(burn, now_s=10.0, times=3)
    row = row_of(burn.summary(10.0)["rows"], "icupa", "kigali-1")
    assert {name: w["requests"] for name, w in row["windows"].items()} == {
        "5m": 3,
        "1h": 3,
        "6h": 3,
        "3d": 3,
    }
    later = row_of(burn.summary(2 * HOUR_S)["rows"], "icupa", "kigali-1")
    assert set(later["windows"]) == {"6h", "3d"}
    assert burn.summary(5 * DAY_S)["rows"] == []


@pytest.mark.parametrize(
    ("first_token_s", "outcome", "bad"),
    [
        (SLOW_S, Outcome.COMPLETED, {"first_token": 1}),
        (1.2, Outcome.COMPLETED, {}),
        (None, Outcome.REFUSED, {"success": 1}),
        (SLOW_S, Outcome.CALLER_DISCONNECTED, {"first_token": 1}),
    ],
)
def test_each_objective_counts_its_own_misses(first_token_s, outcome, bad):
    burn = make_burn()
    record(burn, first_token_s=first_token_s, outcome=outcome)
    tally = burn.summary(1.0)["rows"][0]["windows"]["5m"]
    assert tally["bad"] == bad
    assert ("success" in tally["seen"]) == (outcome is not Outcome.CALLER_DISCONNECTED)
    assert ("first_token" in tally["seen"]) == (first_token_s is not None)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(
    st.lists(
        st.tuples(
            st.floats(0.0, 90.0),
            st.integers(0, 12),
            st.sampled_from(["kigali-1", "kigali-2"]),
            st.booleans(),
        ),
        max_size=120,
    )
)
def test_sums_stay_exact_and_rows_bounded_whatever_the_workspaces(requests):
    burn = make_burn(detailed_rows=3)
    now_s, misses = 0.0, 0
    for gap_s, workspace, data_centre, slow in requests:
        now_s += gap_s
        misses += slow
        first_token_s = SLOW_S if slow else 0.1
        record(burn, now_s, f"w{workspace}", data_centre, first_token_s)
    summary = burn.summary(now_s)
    assert requests_of(summary) == len(requests)
    bad = (row["windows"]["3d"]["bad"] for row in summary["rows"])
    assert sum(each.get("first_token", 0) for each in bad) == misses
    assert len(summary["rows"]) <= 3 + 2


def test_a_busy_workspace_replaces_the_row_of_a_quiet_one():
    burn = make_burn(detailed_rows=1)
    record(burn, 0.0, "quiet")
    record(burn, 1.0, "busy", times=30)
    record(burn, 100.0, "busy", times=5)
    rows = burn.summary(100.0)["rows"]
    assert row_of(rows, "busy", "kigali-1")["windows"]["3d"]["requests"] == 5
    assert row_of(rows, OTHER_WORKSPACES, "kigali-1")["windows"]["3d"]["requests"] == 31


def test_no_row_is_replaced_while_rows_are_free():
    burn = make_burn(detailed_rows=2)
    record(burn, 0.0, "quiet")
    record(burn, 100.0, "busy", times=30)
    rows = burn.summary(100.0)["rows"]
    assert {row["workspace"] for row in rows} == {"quiet", "busy"}


def test_a_small_workspace_with_failed_requests_gets_a_row():
    burn = make_burn(detailed_rows=1)
    record(burn, 0.0, "busy", times=20)
    record(burn, 1.0, "failing", outcome=Outcome.FAILED, times=5)
    record(burn, 100.0, "failing", outcome=Outcome.FAILED)
    row_of(burn.summary(100.0)["rows"], "failing", "kigali-1")


def test_summary_stays_small_at_35_000_workspaces():
    burn = make_burn()
    for number in range(35_000):
        record(burn, number / 100, f"w{number % 5_000 * 7}", "kigali-1")
    summary = burn.summary(350.0)
    assert len(summary["rows"]) == 33
    assert len(encode(summary)) < 128_000
