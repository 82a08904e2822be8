"""Decisions of the leader on quarantined parts of prompts: a functional core."""

from enum import StrEnum
from typing import NamedTuple

from vanillabeam.fleet.evidence import Evidence
from vanillabeam.fleet.quarantine import (
    NO_TRIAL,
    OPEN_TRIAL,
    Quarantine,
    QuarantinedPart,
    trial_delay_s,
)
from vanillabeam.fleet.suspects import Conviction, Suspects

__all__ = ["Change", "QuarantineKeeper", "Reason"]

#: Age up to which an entry VM's word counts that a request waits or is being tried.
WORD_S = 1.2
#: Time after which a trial without any word of its entry VM is given again.
SILENT_TRIAL_S = 2.0
#: Longest time that a trial may take.
MAX_TRIAL_S = 60.0
#: Time without a request after which a part whose trial is due is forgotten.
UNUSED_S = 86_400.0


class Reason(StrEnum):
    """Reason for a change of a part's record."""

    CONVICTED = "convicted"
    TRIAL_DUE = "trial-due"
    TRIAL_GIVEN = "trial-given"
    TRIAL_FAILED = "trial-failed"
    TRIAL_UNSETTLED = "trial-unsettled"
    ANSWERED = "answered"
    UNUSED = "unused"
    OPERATOR = "operator"


class Change(NamedTuple):
    """A change of a part's record that is to be committed.

    :param basis: number of the record that it replaces, 0 for none; ``None`` replaces
        any.
    :param record: ``None`` ends the quarantine.
    :param conviction: the evidence, for a new part.
    """

    part: str
    reason: Reason
    basis: int | None
    record: QuarantinedPart | None
    conviction: Conviction | None = None


class _Words:
    """Entry VMs that have said something of a part lately."""

    def __init__(self):
        self._said_s: dict[str, dict[str, float]] = {}

    def update(self, vm: str, parts: list[str], now_s: float) -> None:
        for part in parts:
            self._said_s.setdefault(part, {})[vm] = now_s

    def vms(self, part: str, now_s: float) -> list[str]:
        """Return the entry VMs whose word still counts."""
        said = self._said_s.get(part, {})
        for vm in [vm for vm, at_s in said.items() if at_s < now_s - WORD_S]:
            del said[vm]
        if not said:
            self._said_s.pop(part, None)
        return sorted(said)


class QuarantineKeeper:
    """Decides which parts are quarantined, tried and released.

    :ivar suspects: evidence against parts that are not quarantined yet.

    >>> keeper = QuarantineKeeper()
    >>> keeper.update("entry-1", evidence, now_s=1.0)
    >>> keeper.decide({}, ["entry-1"], now_s=1.2, now_ms=1_700_000_000_000)
    """

    def __init__(self):
        self.suspects = Suspects()
        self._waiting = _Words()
        self._trying = _Words()
        self._answered_s: dict[str, float] = {}
        #: Time from which each record is known here, by part and number.
        self._began_s: dict[tuple[str, int], float] = {}

    def is_idle(self, quarantine: Quarantine) -> bool:
        """Return whether there is nothing to decide."""
        return not quarantine and self.suspects.is_empty

    def update(self, vm: str, evidence: Evidence, now_s: float) -> None:
        """Record the observations of an entry VM."""
        self.suspects.update(vm, evidence, now_s)
        self._waiting.update(vm, evidence["waiting"], now_s)
        self._trying.update(vm, evidence["trying"], now_s)
        for part, age_s in evidence["answered"].items():
            if age_s is not None:
                known_s = self._answered_s.get(part, float("-inf"))
                self._answered_s[part] = max(known_s, now_s - age_s)

    def observe(self, quarantine: Quarantine, now_s: float, now_ms: float) -> None:
        """Record the committed state, on the leader and on all others.

        What was held against a part whose quarantine has ended no longer counts.
        """
        for part in {part for part, _ in self._began_s} - set(quarantine):
            self.suspects.acquit(part, now_s)
        known = {(part, record["number"]) for part, record in quarantine.items()}
        self._began_s = {key: at for key, at in self._began_s.items() if key in known}
        for part, number in known - set(self._began_s):
            age_s = (now_ms - quarantine[part]["next_ms"]) / 1000
            self._began_s[part, number] = now_s - min(max(0.0, age_s), MAX_TRIAL_S)

    def decide(
        self, quarantine: Quarantine, entries: list[str], now_s: float, now_ms: float
    ) -> Change | None:
        """Return the next change to commit, if any.

        :param quarantine: the committed state.
        :param entries: entry VMs that are in touch.
        :param now_ms: time of day in Unix milliseconds.
        """
        self.observe(quarantine, now_s, now_ms)
        for part, record in quarantine.items():
            change = self._decide_trial(part, record, now_s, now_ms)
            if change is not None:
                return change
        confirmed = {part: r["failed"] > 0 for part, r in quarantine.items()}
        conviction = self.suspects.convict(entries, confirmed, now_s)
        if conviction is None:
            self._forget_answers(quarantine)
            return None
        record = QuarantinedPart(
            number=0,
            since_ms=int(now_ms),
            targets=len(conviction.targets),
            was_answered=conviction.answered_age_s is not None,
            failed=0,
            trial=OPEN_TRIAL,
            next_ms=int(now_ms),
        )
        return Change(conviction.part, Reason.CONVICTED, 0, record, conviction)

    def _decide_trial(
        self, part: str, record: QuarantinedPart, now_s: float, now_ms: float
    ) -> Change | None:
        if record["trial"] == NO_TRIAL:
            if now_ms < record["next_ms"]:
                return None
            return _change(part, record, Reason.TRIAL_DUE, OPEN_TRIAL, now_ms)
        began_s = self._began_s[part, record["number"]]
        if record["trial"] != OPEN_TRIAL:
            return self._settle(part, record, began_s, now_s, now_ms)
        waiting = self._waiting.vms(part, now_s)
        if waiting:
            return _change(part, record, Reason.TRIAL_GIVEN, waiting[0], now_ms)
        if now_s - began_s > UNUSED_S:
            return Change(part, Reason.UNUSED, record["number"], None)
        return None

    def _settle(
        self,
        part: str,
        record: QuarantinedPart,
        began_s: float,
        now_s: float,
        now_ms: float,
    ) -> Change | None:
        """Return what follows from the trial that an entry VM was given."""
        if self._answered_s.get(part, float("-inf")) > began_s:
            return Change(part, Reason.ANSWERED, record["number"], None)
        if self.suspects.ended_after(part, began_s):
            failed = record["failed"] + 1
            later_ms = now_ms + 1000 * trial_delay_s(failed, record["was_answered"])
            after = record | {"failed": failed, "targets": record["targets"] + 1}
            return _change(part, after, Reason.TRIAL_FAILED, NO_TRIAL, later_ms)
        since_s = now_s - began_s
        is_tried = record["trial"] in self._trying.vms(part, now_s)
        if since_s > (MAX_TRIAL_S if is_tried else SILENT_TRIAL_S):
            return _change(part, record, Reason.TRIAL_UNSETTLED, OPEN_TRIAL, now_ms)
        return None

    def _forget_answers(self, quarantine: Quarantine) -> None:
        if len(self._answered_s) > len(quarantine):
            self._answered_s = {
                part: at_s
                for part, at_s in self._answered_s.items()
                if part in quarantine
            }


def _change(
    part: str, record: QuarantinedPart, reason: Reason, trial: str, next_ms: float
) -> Change:
    after = record | {"trial": trial, "next_ms": int(next_ms)}
    return Change(part, reason, record["number"], after)
