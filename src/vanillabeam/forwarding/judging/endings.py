"""Requests of this entry VM that broke with their targets, and parts answered since.

A broken answer says little by itself: an answer may be lost or garbled, or a link cut.
It counts as evidence once the target's incarnation is known to have ended.
"""

from collections import OrderedDict
from typing import NamedTuple

from vanillabeam.decisions import RequestAccused, TargetEnded
from vanillabeam.fleet import Directory, Target, TargetRecord
from vanillabeam.fleet.evidence import BrokenRequest

__all__ = ["BrokenAnswer", "TargetEnds"]

#: Time for which an end of a target is reported to the leader.
REPORT_S = 15.0
#: Time within which the end of a target is known after its answers broke off.
PENDING_S = 10.0
#: Age of news that is taken to be older than the break of an answer.
NEWS_MARGIN_S = 0.3
#: Broken requests that are kept at most.
MAX_BROKEN = 64
#: Parts whose last whole answer is known.
MAX_ANSWERED = 8_192
#: Parts of a prompt in a log line.
MAX_LOGGED_PARTS = 8

Incarnation = tuple[str, int]


class BrokenAnswer(NamedTuple):
    """A request whose answer broke off.

    :param parts: parts of its prompt that other requests may share.
    :param sent_s: monotonic time at which it was sent to the target.
    :param broken_s: monotonic time at which its answer broke off.
    """

    request_id: str
    target: Target
    parts: tuple[str, ...]
    sent_s: float
    broken_s: float


class TargetEnds:
    """Tells which of the answers that broke off did so because their target ended.

    >>> ends = TargetEnds()
    >>> ends.record_broken(BrokenAnswer("r-1", target, ("p-1",), 1.0, 1.2))
    >>> ends.record_end(target.incarnation, "refused", now_s=1.3)
    >>> ends.broken(now_s=1.4)
    [BrokenRequest(request_id='r-1', ...)]
    """

    def __init__(self):
        #: Answers that broke off, of targets that may have ended.
        self._pending: list[BrokenAnswer] = []
        #: Answers that broke off with their targets, by request and incarnation.
        self._broken: OrderedDict[tuple[str, Incarnation], BrokenAnswer] = OrderedDict()
        #: Time at which the end of an incarnation became known.
        self._ended_s: dict[Incarnation, float] = {}
        self._answered_s: OrderedDict[str, float] = OrderedDict()

    def record_answer(self, parts: tuple[str, ...], now_s: float) -> None:
        """Record a whole answer to a prompt with these parts."""
        for part in parts:
            self._answered_s.pop(part, None)
            self._answered_s[part] = now_s
        while len(self._answered_s) > MAX_ANSWERED:
            self._answered_s.popitem(last=False)

    def record_broken(self, answer: BrokenAnswer) -> list[RequestAccused]:
        """Record an answer that broke off; return the lines to log."""
        if answer.target.incarnation in self._ended_s:
            return [self._accuse(answer)]
        self._pending.append(answer)
        del self._pending[:-MAX_BROKEN]
        return []

    def has_ended(self, incarnation: Incarnation) -> bool:
        """Return whether an incarnation is known to have ended under requests."""
        return incarnation in self._ended_s

    def record_alive(self, incarnation: Incarnation) -> None:
        """Drop the broken answers of a target that goes on."""
        self._pending = [
            a for a in self._pending if a.target.incarnation != incarnation
        ]

    def record_end(
        self, incarnation: Incarnation, evidence: str, now_s: float
    ) -> list[TargetEnded | RequestAccused]:
        """Record that an incarnation has ended; return the lines to log.

        :param evidence: how it is known.
        """
        broken = [a for a in self._pending if a.target.incarnation == incarnation]
        if not broken or incarnation in self._ended_s:
            return []
        self._ended_s[incarnation] = now_s
        self.record_alive(incarnation)
        accused = [self._accuse(answer) for answer in broken]
        return [TargetEnded(*incarnation, evidence, len(broken)), *accused]

    def settle(self, directory: Directory) -> list[Incarnation]:
        """Return the incarnations of broken answers that later ones have replaced.

        The broken answers of a target that has announced itself since are dropped.
        """
        records = directory.records.values()
        pending = {answer.target.incarnation: answer for answer in self._pending}
        for incarnation, answer in pending.items():
            if any(_is_alive(record, answer) for record in records):
                self.record_alive(incarnation)
        return [
            incarnation
            for incarnation, answer in pending.items()
            if any(_replaces(record.target, answer.target) for record in records)
        ]

    def expire(self, now_s: float) -> None:
        """Forget what no longer counts."""
        since_s = now_s - PENDING_S
        self._pending = [a for a in self._pending if a.broken_s > since_s]
        since_s = now_s - REPORT_S
        self._ended_s = {i: at for i, at in self._ended_s.items() if at > since_s}
        for key in [k for k, a in self._broken.items() if a.broken_s <= since_s]:
            del self._broken[key]

    def broken(self, now_s: float) -> list[BrokenRequest]:
        """Return the requests that broke with their targets lately, for the leader."""
        return [
            BrokenRequest(
                answer.request_id,
                *answer.target.incarnation,
                answer.parts,
                round(now_s - answer.sent_s, 3),
                round(now_s - answer.broken_s, 3),
            )
            for answer in self._broken.values()
            if answer.parts and answer.broken_s > now_s - REPORT_S
        ]

    def answered(self, parts: list[str], now_s: float) -> dict[str, float | None]:
        """Return the seconds since the last whole answer with each part."""
        return {
            part: round(now_s - self._answered_s[part], 3)
            if part in self._answered_s
            else None
            for part in parts
        }

    def _accuse(self, answer: BrokenAnswer) -> RequestAccused:
        key = (answer.request_id, answer.target.incarnation)
        self._broken[key] = answer
        while len(self._broken) > MAX_BROKEN:
            self._broken.popitem(last=False)
        return RequestAccused(
            answer.request_id,
            *answer.target.incarnation,
            list(answer.parts[-MAX_LOGGED_PARTS:]),
            round(answer.broken_s - answer.sent_s, 3),
        )


def _is_alive(record: TargetRecord, answer: BrokenAnswer) -> bool:
    """Return whether a target has announced itself since its answer broke off."""
    is_same = record.target.incarnation == answer.target.incarnation
    return is_same and record.last_seen_s > answer.broken_s + NEWS_MARGIN_S


def _replaces(later: Target, earlier: Target) -> bool:
    """Return whether a target is a later start of another one, or at its address."""
    is_same_place = later.name == earlier.name or later.address == earlier.address
    return is_same_place and later.born_ms > earlier.born_ms
