"""Builders for the tests of service-level burn."""

from collections.abc import Iterable

from vanillabeam.burn import BurnCounter, BurnSummary, Objectives, Outcome

GOOD_S = 0.4
SLOW_S = 3.0
GAP_S = 0.02


def make_burn(vm: str = "a1", **options) -> BurnCounter:
    return BurnCounter(Objectives(), vm=vm, **options)


def record(
    burn: BurnCounter,
    now_s: float = 0.0,
    workspace: str = "icupa",
    data_centre: str = "kigali-1",
    first_token_s: float | None = GOOD_S,
    outcome: Outcome = Outcome.COMPLETED,
    times: int = 1,
) -> None:
    for _ in range(times):
        burn.record(
            now_s, workspace, data_centre, first_token_s, GAP_S, outcome, 100, 25
        )


def requests_of(summary: BurnSummary, window: str = "3d") -> int:
    return sum(
        row["windows"][window]["requests"]
        for row in summary["rows"]
        if window in row["windows"]
    )


def row_of(rows: Iterable[dict], workspace: str, data_centre: str) -> dict:
    for row in rows:
        if (row["workspace"], row["data_centre"]) == (workspace, data_centre):
            return row
    raise AssertionError(f"no row for {workspace} in {data_centre}")
