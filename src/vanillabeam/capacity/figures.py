"""Speed of one target for one kind of work, and the load at which it slows."""

import math
from collections import deque
from statistics import median
from typing import NamedTuple

__all__ = ["Figure"]

#: Newest samples that the speed is the median of. They are 0.5 s apart and cover 1 s
#: each: half a second of slowness reaches three of them, a lasting change four in 2 s.
SAMPLES = 7
#: Time after which a sample no longer counts.
SAMPLE_TTL_S = 10.0
#: Time after which the growth at a number of open requests is forgotten.
GROWTH_TTL_S = 60.0
#: Least weight of a sample in the growth at its number of open requests.
GROWTH_RATE = 0.05
#: Samples without growth that are assumed of each number of open requests beforehand.
PRIOR_VISITS = 6
#: Samples at a number of open requests from which its growth is relied on.
MIN_VISITS = 6
#: Growth of the time per unit from which a target doesn't take more requests well.
KNEE_GROWTH = 1.4
MAX_GROWTH = 20.0
#: Numbers of open requests below which each is distinguished; above, each eighth of an
#: octave.
DISTINCT = 8
BUCKETS_PER_OCTAVE = 8
MAX_BUCKET = 64


class _Sample(NamedTuple):
    at_s: float
    answers: int
    pace_s: float
    bucket: int


class _Growth:
    """Time per unit at a number of open requests, relative to the figure's scale."""

    __slots__ = ("factor", "seen_s", "visits")

    def __init__(self, now_s: float):
        self.factor, self.visits, self.seen_s = 1.0, 0, now_s

    def update(self, factor: float, now_s: float) -> None:
        self.visits += 1
        rate = max(GROWTH_RATE, 1.0 / (PRIOR_VISITS + self.visits))
        moved = self.factor * (factor / self.factor) ** rate
        self.factor = min(MAX_GROWTH, max(1 / MAX_GROWTH, moved))
        self.seen_s = now_s


class Figure:
    """Speed of a target, and its growth with the number of open requests.

    The time per unit is a scale, which follows changes of speed in 2 s, times a growth
    for each number of open requests, which is learned slowly.

    :ivar seen_s: time of the newest sample; ``None`` before the first.
    """

    def __init__(self):
        self.seen_s: float | None = None
        self._samples: deque[_Sample] = deque(maxlen=SAMPLES)
        self._growth: dict[int, _Growth] = {}
        self._scale: float | None = None
        self._pruned_s = 0.0
        self._knee: int | None = None
        self._knee_is_known = False

    def record(
        self, answers: int, pace_s: float, mean_open: float, now_s: float
    ) -> None:
        """Record the mean time per unit of the last second.

        :param mean_open: requests that were open at the target.
        """
        bucket = _bucket(mean_open)
        self._forget_growth(now_s)
        while self._samples and now_s - self._samples[0].at_s > SAMPLE_TTL_S:
            self._samples.popleft()
        self._samples.append(_Sample(now_s, answers, pace_s, bucket))
        paces = [each.pace_s / self._factor(each.bucket) for each in self._samples]
        self._scale = median(paces)
        if len(self._samples) == SAMPLES:
            # The median around a sample doesn't lag behind a change of the speed, which
            # would otherwise be taken for growth.
            middle = self._samples[SAMPLES // 2]
            growth = self._growth.setdefault(middle.bucket, _Growth(now_s))
            growth.update(middle.pace_s / self._scale, now_s)
            self._knee_is_known = False
        self.seen_s = now_s

    def _forget_growth(self, now_s: float) -> None:
        if now_s - self._pruned_s < GROWTH_TTL_S / 4:
            return
        self._pruned_s, self._knee_is_known = now_s, False
        self._growth = {
            known: growth
            for known, growth in self._growth.items()
            if now_s - growth.seen_s <= GROWTH_TTL_S
        }

    @property
    def answers(self) -> int:
        """Answers that the speed is known from."""
        return sum(sample.answers for sample in self._samples)

    def pace_s(self, open_requests: float | None = None) -> float:
        """Return the seconds per unit.

        :param open_requests: number of requests open at the target; ``None`` for that
            of the newest samples.
        """
        bucket = self._samples[-1].bucket
        if open_requests is not None:
            bucket = _bucket(open_requests)
        return (self._scale or 0.0) * self._factor(bucket)

    @property
    def best_pace_s(self) -> float:
        """Seconds per unit at the number of open requests at which it is least."""
        least = min((each.factor for each in self._relied().values()), default=None)
        return (self._scale or 0.0) * (least or self._factor(self._samples[-1].bucket))

    @property
    def takes_well(self) -> int | None:
        """Open requests from which the time per unit grows; ``None`` if unknown."""
        if not self._knee_is_known:
            self._knee, self._knee_is_known = self._find_knee(), True
        return self._knee

    def _find_knee(self) -> int | None:
        relied = sorted(self._relied().items())
        for place in range(1, len(relied)):
            limit = KNEE_GROWTH * min(growth.factor for _, growth in relied[:place])
            if all(growth.factor >= limit for _, growth in relied[place:]):
                return _open_requests(relied[place - 1][0])
        return None

    def _relied(self) -> dict[int, _Growth]:
        return {
            bucket: growth
            for bucket, growth in self._growth.items()
            if growth.visits >= MIN_VISITS
        }

    def _factor(self, bucket: int) -> float:
        """Return the growth at a bucket, or at the nearest below it that is known."""
        growth = self._growth.get(bucket)
        if growth is not None:
            return growth.factor
        if not self._growth:
            return 1.0
        below = max((known for known in self._growth if known < bucket), default=None)
        if below is not None:
            return self._growth[below].factor
        return self._growth[min(self._growth)].factor


def _bucket(open_requests: float) -> int:
    if open_requests < DISTINCT:
        return max(1, round(open_requests))
    octaves = math.log2(open_requests / DISTINCT)
    return min(MAX_BUCKET, DISTINCT + int(BUCKETS_PER_OCTAVE * octaves))


def _open_requests(bucket: int) -> int:
    """Return the greatest number of open requests of a bucket."""
    if bucket < DISTINCT:
        return bucket
    return int(DISTINCT * 2 ** ((bucket + 1 - DISTINCT) / BUCKETS_PER_OCTAVE))
