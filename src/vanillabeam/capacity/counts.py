"""Sums over answers of the last second, by target, as entry VMs share them."""

from collections import deque
from collections.abc import Mapping, Sequence
from enum import StrEnum
from typing import NamedTuple

__all__ = ["Kind", "OwnCounts", "Sums", "read_sums"]

#: Time for which an answer counts in the sums.
WINDOW_S = 1.0


class Kind(StrEnum):
    """Kind of work, and the field of a load that has its sums by target."""

    PROMPT = "prefills"
    CALL = "ended"


class Sums(NamedTuple):
    """Sums over answers of a target; they can be added over entry VMs.

    :param vms: entry VMs that have seen any of the answers.
    :param answers: number of answers.
    :param open_requests: requests that were open there when each was sent.
    :param took_ms: milliseconds until each answer.
    :param units: tokens queued there before each; for calls, their number.
    """

    vms: int = 0
    answers: int = 0
    open_requests: int = 0
    took_ms: int = 0
    units: int = 0

    @property
    def pace_s(self) -> float:
        """Seconds per unit."""
        return max(self.took_ms, 1) / 1_000 / max(self.units, 1)

    @property
    def mean_open(self) -> float:
        """Mean number of requests that were open there."""
        return self.open_requests / max(self.answers, 1)

    def plus(self, other: "Sums") -> "Sums":
        """Return the sums over the answers of both."""
        return Sums(*(one + two for one, two in zip(self, other, strict=True)))


def read_sums(values: Sequence[int] | None) -> Sums | None:
    """Return sums that another VM has sent; ``None`` if there are none."""
    if values is None or len(values) < len(Sums._fields):
        return None
    sums = Sums(*values[: len(Sums._fields)])
    return sums if sums.answers > 0 and sums.units > 0 else None


class _Answer(NamedTuple):
    at_s: float
    kind: Kind
    target: str
    sums: Sums


class OwnCounts:
    """Answers that this entry VM has received in the last second.

    >>> counts = OwnCounts()
    >>> counts.record(Kind.CALL, "t-1", Sums(1, 1, 2, 50, 1), now_s=1.0)
    >>> counts.sums(Kind.CALL, now_s=1.5)["t-1"].took_ms
    50
    """

    def __init__(self):
        self._answers: deque[_Answer] = deque()

    def record(self, kind: Kind, target: str, sums: Sums, now_s: float) -> None:
        """Record an answer, as the sums over it alone."""
        self._answers.append(_Answer(now_s, kind, target, sums))

    def sums(self, kind: Kind, now_s: float) -> Mapping[str, Sums]:
        """Return the sums of the last second by target."""
        while self._answers and self._answers[0].at_s <= now_s - WINDOW_S:
            self._answers.popleft()
        found: dict[str, Sums] = {}
        for answer in self._answers:
            if answer.kind is kind:
                known = found.get(answer.target)
                sums = answer.sums if known is None else known.plus(answer.sums)
                found[answer.target] = sums._replace(vms=1)
        return found

    def forget(self, targets: set[str]) -> None:
        """Forget the answers of some targets."""
        self._answers = deque(a for a in self._answers if a.target not in targets)
