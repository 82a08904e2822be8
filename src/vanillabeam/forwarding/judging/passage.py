"""Passage of one request through the gate of quarantined parts."""

import time
from contextlib import contextmanager

import trio

from vanillabeam.fleet import Follower
from vanillabeam.forwarding.exceptions import PartQuarantined
from vanillabeam.forwarding.judging.gate import (
    TRIAL_WAIT_S,
    Pass,
    QuarantineGate,
    Verdict,
)

__all__ = ["Passage"]

#: Interval of the checks for the end of a trial.
POLL_INTERVAL_S = 0.03


class Passage:
    """Tells whether a request may be sent, from its admission to its last attempt.

    :param parts: parts of its prompt that other requests may share.
    """

    def __init__(
        self, gate: QuarantineGate, follower: Follower, parts: tuple[str, ...]
    ):
        self._gate = gate
        self._follower = follower
        self._parts = parts
        self._verdict = Verdict(Pass.FREE)

    @property
    def is_trial(self) -> bool:
        """Whether the request tries a quarantined part."""
        return self._verdict.result is Pass.TRIAL

    @property
    def was_barred(self) -> bool:
        """Whether the request was found to have a quarantined part."""
        return self._verdict.result is Pass.BARRED

    @property
    def is_suspect(self) -> bool:
        """Whether targets may have ended because of a part of the prompt."""
        return self._gate.is_suspect(self._parts, self._follower.accused)

    async def enter(self) -> None:
        """Judge the request; wait a short time while its part is being tried."""
        self._verdict = self._judge()
        if self._verdict.result is not Pass.WAIT:
            return
        part, until_s = self._verdict.part, trio.current_time() + TRIAL_WAIT_S
        self._gate.begin_wait(part)
        try:
            while self._verdict.result is Pass.WAIT and trio.current_time() < until_s:
                await trio.sleep(POLL_INTERVAL_S)
                self._verdict = self._judge()
        finally:
            self._gate.end_wait(part)
        if self._verdict.result is Pass.WAIT:
            self._verdict = self._verdict._replace(result=Pass.BARRED)

    @contextmanager
    def sending(self):
        """Count the request as its part's trial, if it is one, while it is sent."""
        if not self.is_trial:
            yield
            return
        self._gate.begin_trial(self._verdict)
        try:
            yield
        finally:
            self._gate.end_trial(self._verdict)

    def is_barred(self) -> bool:
        """Return whether a part was quarantined since the request was admitted."""
        if self.is_trial:
            return False
        verdict = self._judge()
        if verdict.result is Pass.FREE:
            return False
        self._verdict = verdict._replace(result=Pass.BARRED)
        return True

    def failure(self) -> PartQuarantined:
        """Return the failure to report to the caller of a barred request."""
        part = self._verdict.part
        record = self._follower.view.quarantine.get(part)
        if record is None:
            return PartQuarantined(f"part {part}")
        wait_s = record["next_ms"] / 1000 - time.time()
        detail = f"part {part}, {record['targets']} targets ended under it"
        return PartQuarantined(detail, wait_s)

    def _judge(self) -> Verdict:
        return self._gate.judge(self._parts, self._follower.view.quarantine)
