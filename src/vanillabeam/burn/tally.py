"""Counts and histograms of requests, and sliding windows of them."""

import zlib
from typing import NamedTuple, NotRequired, TypedDict, TypeVar

from hdrh.codec import (
    HdrCookieException,
    HdrHistogramEncoder,
    HdrHistogramSettingsException,
    HdrLengthException,
)
from hdrh.histogram import HdrHistogram
from returns.result import Failure, Result, Success

from vanillabeam.burn.exceptions import SummaryInvalid
from vanillabeam.burn.objectives import Objective, Objectives, Outcome, Window

__all__ = [
    "RequestSample",
    "SlidingWindow",
    "Tally",
    "TallyWire",
    "decode_tally",
    "encode_tally",
]

_SIGNIFICANT_DIGITS = 2
_FIRST_TOKEN_LIMIT_MS = 600_000
_TOKEN_GAP_LIMIT_MS = 60_000
_MS_PER_S = 1000
_COUNT_BYTES = 4
_TIME_LIMITS_MS = {
    Objective.FIRST_TOKEN: _FIRST_TOKEN_LIMIT_MS,
    Objective.TOKEN_GAP: _TOKEN_GAP_LIMIT_MS,
}
_DECODE_ERRORS = (
    ValueError,
    IndexError,
    KeyError,
    zlib.error,
    HdrCookieException,
    HdrHistogramSettingsException,
    HdrLengthException,
)

_Value = TypeVar("_Value", int, str)


class RequestSample(NamedTuple):
    """Measurements of one request for the service level.

    :param first_token_s: seconds to the first token, ``None`` without one.
    :param token_gap_s: mean seconds between tokens, ``None`` below two tokens.
    :param prompt_tokens: number of prompt tokens.
    :param recomputed_tokens: prompt tokens that were computed again.
    """

    first_token_s: float | None
    token_gap_s: float | None
    outcome: Outcome
    prompt_tokens: int = 0
    recomputed_tokens: int = 0

    def seconds(self, objective: Objective) -> float | None:
        """Return the measured time in seconds that ``objective`` limits."""
        if objective is Objective.FIRST_TOKEN:
            return self.first_token_s
        return self.token_gap_s


class TallyWire(TypedDict):
    """A tally on the wire.

    :param seen: number of requests that count for each objective.
    :param bad: number of those requests that missed the objective.
    :param histograms: HDR histograms in milliseconds, compressed, base64.
    """

    requests: int
    seen: dict[str, int]
    bad: dict[str, int]
    prompt_tokens: int
    recomputed_tokens: int
    histograms: NotRequired[dict[str, str]]


class Tally:
    """Requests of one period, counted against the objectives.

    :param detailed: whether to keep histograms.
    :ivar seen: number of requests that count for each objective.
    :ivar bad: number of those requests that missed the objective.
    """

    __slots__ = (
        "bad",
        "detailed",
        "histograms",
        "prompt_tokens",
        "recomputed_tokens",
        "requests",
        "seen",
    )

    def __init__(self, detailed: bool = False):
        self.detailed = detailed
        self.requests = 0
        self.seen: dict[Objective, int] = {}
        self.bad: dict[Objective, int] = {}
        self.prompt_tokens = 0
        self.recomputed_tokens = 0
        self.histograms: dict[Objective, HdrHistogram] = {}

    def record(self, request: RequestSample, objectives: Objectives) -> None:
        """Count ``request``."""
        self.requests += 1
        self.prompt_tokens += request.prompt_tokens
        self.recomputed_tokens += request.recomputed_tokens
        limits = (objectives.first_token_s, objectives.token_gap_s)
        for objective, limit_s in zip(_TIME_LIMITS_MS, limits, strict=True):
            seconds = request.seconds(objective)
            if seconds is not None:
                self._count(objective, seconds > limit_s)
                self._record_time(objective, seconds)
        if request.outcome is not Outcome.CALLER_DISCONNECTED:
            self._count(Objective.SUCCESS, request.outcome is not Outcome.COMPLETED)

    def merge(self, other: "Tally") -> None:
        """Add the counts and histograms of ``other``."""
        self.requests += other.requests
        self.prompt_tokens += other.prompt_tokens
        self.recomputed_tokens += other.recomputed_tokens
        for objective, count in other.seen.items():
            self.seen[objective] = self.seen.get(objective, 0) + count
        for objective, count in other.bad.items():
            self.bad[objective] = self.bad.get(objective, 0) + count
        if self.detailed:
            for objective, histogram in other.histograms.items():
                own = self._histogram(objective, histogram.word_size)
                own.add(histogram)

    def burn(self, objective: Objective, objectives: Objectives) -> float:
        """Return the burn rate: the share of misses over the allowed share."""
        count = self.seen.get(objective, 0)
        if not count:
            return 0.0
        missed_share = self.bad.get(objective, 0) / count
        return missed_share / (1.0 - objectives.share(objective))

    def percentile_s(self, objective: Objective, percentile: float) -> float | None:
        """Return a percentile of the times in seconds, ``None`` without a histogram.

        :param percentile: from 0 to 100.
        """
        histogram = self.histograms.get(objective)
        if histogram is None:
            return None
        return histogram.get_value_at_percentile(percentile) / _MS_PER_S

    def _count(self, objective: Objective, bad: bool) -> None:
        self.seen[objective] = self.seen.get(objective, 0) + 1
        if bad:
            self.bad[objective] = self.bad.get(objective, 0) + 1

    def _record_time(self, objective: Objective, seconds: float) -> None:
        if not self.detailed:
            return
        milliseconds = max(1, round(seconds * _MS_PER_S))
        bounded = min(milliseconds, _TIME_LIMITS_MS[objective])
        self._histogram(objective).record_value(bounded)

    def _histogram(
        self, objective: Objective, count_bytes: int = _COUNT_BYTES
    ) -> HdrHistogram:
        if objective not in self.histograms:
            self.histograms[objective] = HdrHistogram(
                1,
                _TIME_LIMITS_MS[objective],
                _SIGNIFICANT_DIGITS,
                word_size=count_bytes,
            )
        return self.histograms[objective]


class SlidingWindow:
    """Ring buffer with one tally for each slot of a window that ends now.

    It covers at least ``(slots - 1) / slots`` of the window's length.
    """

    __slots__ = ("_numbers", "_tallies", "window")

    def __init__(self, window: Window):
        self.window = window
        self._tallies: list[Tally | None] = [None] * window.slots
        self._numbers = [-1] * window.slots

    def tally(self, now_s: float) -> Tally:
        """Return the tally of the current slot."""
        number = self._slot_number(now_s)
        index = number % self.window.slots
        tally = self._tallies[index]
        if tally is None or self._numbers[index] != number:
            tally = Tally(self.window.detailed)
            self._tallies[index] = tally
            self._numbers[index] = number
        return tally

    def series(self, now_s: float) -> list[Tally]:
        """Return the tallies of the window, from the oldest to the current slot."""
        newest = self._slot_number(now_s)
        oldest = newest - self.window.slots + 1
        return [self._tally_at(number) for number in range(oldest, newest + 1)]

    def merged(self, now_s: float) -> Tally:
        """Return one tally of the whole window."""
        total = Tally(self.window.detailed)
        for tally in self.series(now_s):
            total.merge(tally)
        return total

    def merge(self, other: "SlidingWindow", now_s: float) -> None:
        """Add the tallies of another instance of the same window, slot by slot."""
        newest = self._slot_number(now_s)
        for index, number in enumerate(other._numbers):
            is_current = newest - self.window.slots < number <= newest
            if is_current and other._tallies[index] is not None:
                start_s = number * self._slot_s()
                self.tally(start_s + self._slot_s() / 2).merge(other._tallies[index])

    def _tally_at(self, number: int) -> Tally:
        index = number % self.window.slots
        tally = self._tallies[index]
        if tally is None or self._numbers[index] != number:
            return Tally(self.window.detailed)
        return tally

    def _slot_number(self, now_s: float) -> int:
        return int(now_s // self._slot_s())

    def _slot_s(self) -> float:
        return self.window.length_s / self.window.slots


def encode_tally(tally: Tally) -> TallyWire:
    """Return ``tally`` in the format of a message."""
    wire = TallyWire(
        requests=tally.requests,
        seen={str(objective): count for objective, count in tally.seen.items()},
        bad={str(objective): count for objective, count in tally.bad.items()},
        prompt_tokens=tally.prompt_tokens,
        recomputed_tokens=tally.recomputed_tokens,
    )
    if tally.histograms:
        wire["histograms"] = {
            str(objective): histogram.encode().decode("ascii")
            for objective, histogram in tally.histograms.items()
        }
    return wire


def decode_tally(wire: TallyWire) -> Result[Tally, SummaryInvalid]:
    """Return the tally of a message.

    :returns: the tally, or :class:`SummaryInvalid` if it contains objectives or
        histograms that this release does not support.
    """
    tally = Tally(detailed=True)
    tally.requests = wire["requests"]
    tally.prompt_tokens = wire["prompt_tokens"]
    tally.recomputed_tokens = wire["recomputed_tokens"]
    try:
        tally.seen = _by_objective(wire["seen"])
        tally.bad = _by_objective(wire["bad"])
        for objective, text in _by_objective(wire.get("histograms", {})).items():
            tally.histograms[objective] = _decode_histogram(objective, text)
    except _DECODE_ERRORS as exc:
        return Failure(SummaryInvalid(f"{type(exc).__name__}: {exc}"))
    return Success(tally)


def _by_objective(values: dict[str, _Value]) -> dict[Objective, _Value]:
    return {Objective(name): value for name, value in values.items()}


def _decode_histogram(objective: Objective, text: str) -> HdrHistogram:
    # The library adds the raw count arrays of two histograms, so check first that
    # they have the same size.
    decoded = HdrHistogramEncoder.decode(text)
    header = decoded.payload
    bounds = (header.lowest_trackable_value, header.highest_trackable_value)
    if (
        bounds != (1, _TIME_LIMITS_MS[objective])
        or header.significant_figures != _SIGNIFICANT_DIGITS
    ):
        raise HdrHistogramSettingsException
    return HdrHistogram(
        1, _TIME_LIMITS_MS[objective], _SIGNIFICANT_DIGITS, hdr_payload=decoded
    )
