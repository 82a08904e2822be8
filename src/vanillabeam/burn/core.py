"""Counts of one VM's requests against the objectives, in bounded memory."""

from collections import Counter
from typing import TypedDict

from vanillabeam.burn.objectives import (
    WINDOWS,
    Objectives,
    Outcome,
    Window,
)
from vanillabeam.burn.tally import (
    RequestSample,
    SlidingWindow,
    Tally,
    TallyWire,
    encode_tally,
)

__all__ = ["OTHER_WORKSPACES", "BurnCounter", "BurnSummary", "RowWire", "SeriesWire"]

#: Workspace name of the row that sums up all workspaces without their own row.
OTHER_WORKSPACES = "(rest)"

DETAILED_ROWS = 32
#: Workspaces whose volume is tracked to choose the rows.
CANDIDATES = 512
REVIEW_PERIOD_S = 60.0
#: Period in seconds after which all volumes are halved.
DECAY_PERIOD_S = 3600.0
#: Requests that one request which missed an objective counts as, when workspaces
#: are ranked for a row.
MISS_WEIGHT = 10
#: Factor by which a candidate's volume must exceed that of the row it replaces.
REPLACE_FACTOR = 2

_Key = tuple[str, str]


class RowWire(TypedDict):
    """Tallies of one workspace in one data centre, by window name."""

    workspace: str
    data_centre: str
    windows: dict[str, TallyWire]


class SeriesWire(TypedDict):
    """Slots of a window for one data centre, the oldest first, without timestamps.

    :param window: name of the window.
    :param slot_s: seconds that each slot covers; the slots of different VMs are
        offset against each other by less than that.
    """

    data_centre: str
    window: str
    slot_s: float
    slots: list[TallyWire]


class BurnSummary(TypedDict):
    """Summary that one VM sends for the report.

    :param objectives: objectives against which the VM counted its requests.
    """

    vm: str
    objectives: dict[str, float]
    rows: list[RowWire]
    series: list[SeriesWire]


class BurnCounter:
    """Counts requests against objectives, by workspace and data centre.

    The workspaces with the highest volume have their own rows; a request that
    missed an objective weighs more. All other workspaces of a data centre share
    one row. A replaced row is merged into the shared row, so the sums stay exact
    for any number of workspaces. A workspace's row counts only requests since
    the row was created.

    :param vm: name of this VM.
    :param windows: time windows of each row.
    :param detailed_rows: maximum number of rows for single workspaces.

    >>> burn = BurnCounter(Objectives(), vm="a1")
    >>> burn.record(0.0, "icupa", "kigali-1", 0.4, 0.02, Outcome.COMPLETED, 900, 100)
    >>> burn.summary(1.0)["rows"][0]["windows"]["5m"]["requests"]
    1
    """

    def __init__(
        self,
        objectives: Objectives,
        vm: str = "",
        windows: tuple[Window, ...] = WINDOWS,
        detailed_rows: int = DETAILED_ROWS,
    ):
        self.objectives = objectives
        self.vm = vm
        self.windows = windows
        self.detailed_rows = detailed_rows
        self._rows: dict[_Key, list[SlidingWindow]] = {}
        self._shared_rows: dict[str, list[SlidingWindow]] = {}
        self._volumes: Counter[_Key] = Counter()
        self._reviewed_s = 0.0
        self._decayed_s = 0.0

    def record(
        self,
        now_s: float,
        workspace: str,
        data_centre: str,
        first_token_s: float | None,
        token_gap_s: float | None,
        outcome: Outcome,
        prompt_tokens: int = 0,
        recomputed_tokens: int = 0,
    ) -> None:
        """Count one finished request.

        :param now_s: monotonic time in seconds.
        :param first_token_s: seconds to the first token; ``None`` without tokens.
        :param token_gap_s: mean seconds between tokens; ``None`` below two tokens.
        :param prompt_tokens: number of prompt tokens.
        :param recomputed_tokens: prompt tokens that were computed again although
            they had been computed for an earlier request.
        """
        request = RequestSample(
            first_token_s, token_gap_s, outcome, prompt_tokens, recomputed_tokens
        )
        key = (workspace, data_centre)
        self._volumes[key] += MISS_WEIGHT if self._missed_objective(request) else 1
        self._review_rows(now_s)
        for sliding_window in self._row(key):
            sliding_window.tally(now_s).record(request, self.objectives)

    def summary(self, now_s: float) -> BurnSummary:
        """Return the summary for windows that end at ``now_s``.

        :param now_s: monotonic time in seconds.
        """
        self._review_rows(now_s)
        rows = [
            _row_wire(workspace, data_centre, sliding_windows, now_s)
            for (workspace, data_centre), sliding_windows in self._rows.items()
        ]
        rows += [
            _row_wire(OTHER_WORKSPACES, data_centre, sliding_windows, now_s)
            for data_centre, sliding_windows in self._shared_rows.items()
        ]
        return BurnSummary(
            vm=self.vm,
            objectives=self.objectives._asdict(),
            rows=[row for row in rows if row["windows"]],
            series=self._series(now_s),
        )

    def _missed_objective(self, request: RequestSample) -> bool:
        tally = Tally()
        tally.record(request, self.objectives)
        return bool(tally.bad)

    def _row(self, key: _Key) -> list[SlidingWindow]:
        if key in self._rows:
            return self._rows[key]
        if len(self._rows) < self.detailed_rows:
            self._rows[key] = self._new_windows()
            return self._rows[key]
        return self._shared_row(key[1])

    def _shared_row(self, data_centre: str) -> list[SlidingWindow]:
        if data_centre not in self._shared_rows:
            self._shared_rows[data_centre] = self._new_windows()
        return self._shared_rows[data_centre]

    def _new_windows(self) -> list[SlidingWindow]:
        return [SlidingWindow(window) for window in self.windows]

    def _review_rows(self, now_s: float) -> None:
        if len(self._volumes) > 2 * CANDIDATES:
            self._volumes = Counter(dict(self._volumes.most_common(CANDIDATES)))
        if now_s - self._reviewed_s < REVIEW_PERIOD_S:
            return
        self._reviewed_s = now_s
        self._replace_rows(now_s)
        if now_s - self._decayed_s >= DECAY_PERIOD_S:
            self._decayed_s = now_s
            halves = {key: count // 2 for key, count in self._volumes.items()}
            self._volumes = Counter({key: n for key, n in halves.items() if n})

    def _replace_rows(self, now_s: float) -> None:
        if len(self._rows) < self.detailed_rows:
            return
        lowest_first = sorted(self._rows, key=lambda key: self._volumes[key])
        candidates = (
            (key, volume)
            for key, volume in self._volumes.most_common()
            if key not in self._rows
        )
        for (key, volume), old in zip(candidates, lowest_first, strict=False):
            if volume <= REPLACE_FACTOR * self._volumes[old]:
                return
            shared = self._shared_row(old[1])
            for window, other in zip(shared, self._rows.pop(old), strict=True):
                window.merge(other, now_s)
            self._rows[key] = self._new_windows()

    def _series(self, now_s: float) -> list[SeriesWire]:
        rows_by_data_centre: dict[str, list[list[SlidingWindow]]] = {}
        for (_, data_centre), sliding_windows in self._rows.items():
            rows_by_data_centre.setdefault(data_centre, []).append(sliding_windows)
        for data_centre, sliding_windows in self._shared_rows.items():
            rows_by_data_centre.setdefault(data_centre, []).append(sliding_windows)
        return [
            _series_wire(data_centre, index, window, rows, now_s)
            for data_centre, rows in sorted(rows_by_data_centre.items())
            for index, window in enumerate(self.windows)
            if window.detailed
        ]


def _row_wire(
    workspace: str, data_centre: str, sliding_windows: list[SlidingWindow], now_s: float
) -> RowWire:
    windows = {}
    for sliding_window in sliding_windows:
        tally = sliding_window.merged(now_s)
        if tally.requests:
            windows[sliding_window.window.name] = encode_tally(tally)
    return RowWire(workspace=workspace, data_centre=data_centre, windows=windows)


def _series_wire(
    data_centre: str,
    index: int,
    window: Window,
    rows: list[list[SlidingWindow]],
    now_s: float,
) -> SeriesWire:
    slots = [Tally() for _ in range(window.slots)]
    for windows in rows:
        for slot, tally in zip(slots, windows[index].series(now_s), strict=True):
            slot.merge(tally)
    return SeriesWire(
        data_centre=data_centre,
        window=window.name,
        slot_s=window.length_s / window.slots,
        slots=[encode_tally(slot) for slot in slots],
    )
