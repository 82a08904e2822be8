"""Admission of requests whose prompts have quarantined parts: a functional core."""

from collections import Counter
from enum import StrEnum
from typing import NamedTuple

from vanillabeam.fleet.evidence import Evidence
from vanillabeam.fleet.quarantine import NO_TRIAL, Quarantine
from vanillabeam.forwarding.judging.endings import TargetEnds

__all__ = ["Pass", "QuarantineGate", "Verdict"]

#: Longest time that a request waits for the trial of its part.
TRIAL_WAIT_S = 1.0
#: Ends of targets, one after the other, from which a part is suspect.
SUSPECT_ENDS = 2


class Pass(StrEnum):
    """Whether a request may be sent to a target.

    :cvar FREE: none of its parts is quarantined.
    :cvar TRIAL: it is the one request that tries its part.
    :cvar WAIT: its part is about to be tried, or being tried.
    :cvar BARRED: a part of its prompt is kept from targets.
    """

    FREE = "free"
    TRIAL = "trial"
    WAIT = "wait"
    BARRED = "barred"


class Verdict(NamedTuple):
    """Whether a request may be sent, and the part that decides it.

    :param part: empty if no part is quarantined.
    :param number: number of the part's record.
    """

    result: Pass
    part: str = ""
    number: int = 0


class QuarantineGate:
    """Bars requests with quarantined parts, but for the trials of this VM.

    :param vm: name of this VM.
    :param ends: what this VM has seen of targets that ended.
    """

    def __init__(self, vm: str, ends: TargetEnds):
        self._vm = vm
        self._ends = ends
        #: Newest record of each part whose trial this VM has begun.
        self._begun: dict[str, int] = {}
        self._waiting: Counter[str] = Counter()
        self._trying: Counter[str] = Counter()

    def judge(self, parts: tuple[str, ...], quarantine: Quarantine) -> Verdict:
        """Return whether a request may be sent.

        :param parts: parts of its prompt that other requests may share.
        """
        held = [part for part in parts if part in quarantine]
        if not held:
            return Verdict(Pass.FREE)
        part = held[0]
        record = quarantine[part]
        verdict = Verdict(Pass.BARRED, part, record["number"])
        if len(held) > 1:
            # A trial of two parts would tell nothing of either.
            return verdict
        if record["trial"] == NO_TRIAL:
            return verdict
        if record["trial"] != self._vm or self._begun.get(part) == record["number"]:
            return verdict._replace(result=Pass.WAIT)
        return verdict._replace(result=Pass.TRIAL)

    def begin_trial(self, verdict: Verdict) -> None:
        """Record that the request of a trial is about to be sent."""
        self._begun[verdict.part] = verdict.number
        self._trying[verdict.part] += 1

    def end_trial(self, verdict: Verdict) -> None:
        """Record that the request of a trial has ended."""
        _subtract(self._trying, verdict.part)

    def begin_wait(self, part: str) -> None:
        """Record that a request waits for the trial of its part."""
        self._waiting[part] += 1

    def end_wait(self, part: str) -> None:
        """Record that such a request waits no longer."""
        _subtract(self._waiting, part)

    def is_suspect(self, parts: tuple[str, ...], accused: dict[str, int]) -> bool:
        """Return whether one more target should not get a request after a failure.

        :param accused: ends of targets by part, one after the other, as the leader
            tells.
        """
        return any(accused.get(part, 0) >= SUSPECT_ENDS for part in parts)

    def keep_only(self, quarantine: Quarantine) -> None:
        """Forget the trials of parts that are no longer quarantined."""
        self._begun = {p: n for p, n in self._begun.items() if p in quarantine}

    def evidence(self, accused: dict[str, int], now_s: float) -> Evidence | None:
        """Return what there is to tell the leader; ``None`` for nothing."""
        broken = self._ends.broken(now_s)
        asked = [*accused, *(part for part in self._begun if part not in accused)]
        if not broken and not asked and not self._waiting:
            return None
        return Evidence(
            broken=broken,
            answered=self._ends.answered(asked, now_s),
            waiting=sorted(self._waiting),
            trying=sorted(self._trying),
        )


def _subtract(counts: Counter[str], part: str) -> None:
    counts[part] -= 1
    if counts[part] <= 0:
        del counts[part]
