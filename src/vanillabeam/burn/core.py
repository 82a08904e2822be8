"""The service level as one VM sees it, in bounded memory."""

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

__all__ = ["OTHER_WORKSPACES", "BurnCounter", "RowWire", "SeriesWire", "BurnSummary"]

#: Workspace name of the row that holds all workspaces without one.
OTHER_WORKSPACES = "(rest)"

DETAILED_ROWS = 32
CANDIDATES = 512
REVIEW_PERIOD_S = 60.0
FORGET_PERIOD_S = 3600.0
#: A request that missed an objective counts as this many for a row of its own.
MISS_WEIGHT = 10
#: How much more a candidate must count than the row whose place it takes.
REPLACE_FACTOR = 2

_Key = tuple[str, str]


class RowWire(TypedDict):
    """One workspace in one data centre, by window name."""

    workspace: str
    data_centre: str
    windows: dict[str, TallyWire]


class SeriesWire(TypedDict):
    """A data centre's slots in one window, the oldest first, without times.

    :param slot_s: seconds that each slot covers; slots of different VMs are
        shifted against each other by less than that.
    """

    data_centre: str
    window: str
    slot_s: float
    slots: list[TallyWire]


class BurnSummary(TypedDict):
    """What one VM hands to the report.

    :param objectives: as the VM counted by them.
    """

    vm: str
    objectives: dict[str, float]
    rows: list[RowWire]
    series: list[SeriesWire]


class BurnCounter:
    """Counts requests against objectives, by workspace and data centre.

    The workspaces that matter most, by requests and more so by misses, have
    rows of their own; all others of a data centre share one. A row that loses
    its place is added to the shared one, so the sums stay exact whatever the
    number of workspaces. A workspace's row begins when it gets its place.

    :param vm: name of this VM.
    :param detailed_rows: most rows for single workspaces.

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
        self._rest: dict[str, list[SlidingWindow]] = {}
        self._volumes: Counter[_Key] = Counter()
        self._reviewed_s = 0.0
        self._forgot_s = 0.0

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
        """Count one request that has ended.

        :param now_s: monotonic time in seconds.
        :param first_token_s: ``None`` if no token came.
        :param token_gap_s: mean seconds between tokens, if there were several.
        :param prompt_tokens: tokens of the prompt, of which
            ``recomputed_tokens`` were computed although they had been before.
        """
        request = RequestSample(
            first_token_s, token_gap_s, outcome, prompt_tokens, recomputed_tokens
        )
        key = (workspace, data_centre)
        self._volumes[key] += MISS_WEIGHT if self._missed(request) else 1
        self._review(now_s)
        for ring in self._row(key):
            ring.tally(now_s).record(request, self.objectives)

    def summary(self, now_s: float) -> BurnSummary:
        """Return what the report needs, for windows that end at ``now_s``."""
        self._review(now_s)
        rows = [
            _row_wire(workspace, data_centre, rings, now_s)
            for (workspace, data_centre), rings in self._rows.items()
        ]
        rows += [
            _row_wire(OTHER_WORKSPACES, data_centre, rings, now_s)
            for data_centre, rings in self._rest.items()
        ]
        return BurnSummary(
            vm=self.vm,
            objectives=self.objectives._asdict(),
            rows=[row for row in rows if row["windows"]],
            series=self._series(now_s),
        )

    def _missed(self, request: RequestSample) -> bool:
        tally = Tally()
        tally.record(request, self.objectives)
        return bool(tally.bad)

    def _row(self, key: _Key) -> list[SlidingWindow]:
        if key in self._rows:
            return self._rows[key]
        if len(self._rows) < self.detailed_rows:
            self._rows[key] = self._rings()
            return self._rows[key]
        return self._rest_row(key[1])

    def _rest_row(self, data_centre: str) -> list[SlidingWindow]:
        if data_centre not in self._rest:
            self._rest[data_centre] = self._rings()
        return self._rest[data_centre]

    def _rings(self) -> list[SlidingWindow]:
        return [SlidingWindow(window) for window in self.windows]

    def _review(self, now_s: float) -> None:
        if len(self._volumes) > 2 * CANDIDATES:
            self._volumes = Counter(dict(self._volumes.most_common(CANDIDATES)))
        if now_s - self._reviewed_s < REVIEW_PERIOD_S:
            return
        self._reviewed_s = now_s
        self._replace_rows(now_s)
        if now_s - self._forgot_s >= FORGET_PERIOD_S:
            self._forgot_s = now_s
            halves = {key: count // 2 for key, count in self._volumes.items()}
            self._volumes = Counter({key: n for key, n in halves.items() if n})

    def _replace_rows(self, now_s: float) -> None:
        if len(self._rows) < self.detailed_rows:
            return
        least_first = sorted(self._rows, key=lambda key: self._volumes[key])
        candidates = (
            (key, volume)
            for key, volume in self._volumes.most_common()
            if key not in self._rows
        )
        for (key, volume), old in zip(candidates, least_first, strict=False):
            if volume <= REPLACE_FACTOR * self._volumes[old]:
                return
            rest = self._rest_row(old[1])
            for ring, other in zip(rest, self._rows.pop(old), strict=True):
                ring.merge(other, now_s)
            self._rows[key] = self._rings()

    def _series(self, now_s: float) -> list[SeriesWire]:
        all_rings: dict[str, list[list[SlidingWindow]]] = {}
        for (_, data_centre), rings in self._rows.items():
            all_rings.setdefault(data_centre, []).append(rings)
        for data_centre, rings in self._rest.items():
            all_rings.setdefault(data_centre, []).append(rings)
        return [
            _series_wire(data_centre, place, window, rows, now_s)
            for data_centre, rows in sorted(all_rings.items())
            for place, window in enumerate(self.windows)
            if window.detailed
        ]


def _row_wire(
    workspace: str, data_centre: str, rings: list[SlidingWindow], now_s: float
) -> RowWire:
    windows = {}
    for ring in rings:
        tally = ring.merged(now_s)
        if tally.requests:
            windows[ring.window.name] = encode_tally(tally)
    return RowWire(workspace=workspace, data_centre=data_centre, windows=windows)


def _series_wire(
    data_centre: str,
    place: int,
    window: Window,
    rows: list[list[SlidingWindow]],
    now_s: float,
) -> SeriesWire:
    slots = [Tally() for _ in range(window.slots)]
    for rings in rows:
        for slot, tally in zip(slots, rings[place].series(now_s), strict=True):
            slot.merge(tally)
    return SeriesWire(
        data_centre=data_centre,
        window=window.name,
        slot_s=window.length_s / window.slots,
        slots=[encode_tally(slot) for slot in slots],
    )
