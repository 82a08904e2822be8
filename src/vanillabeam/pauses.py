"""Pauses of this process: after one, what its sockets hold may be long out of date."""

from math import inf

import trio

__all__ = ["PAUSE_S", "SETTLE_S", "PauseDetector"]

TICK_S = 0.1
#: Shortest pause that counts. Callers wait for a second, then ask another VM.
PAUSE_S = 0.5
#: Seconds after a pause within which all that came before its end has been read.
SETTLE_S = 0.5


class PauseDetector:
    """Finds the times in which this process did not run, by its own steady clock.

    :ivar pause_s: length of the last pause in seconds, 0 before the first.

    >>> pauses = PauseDetector()
    >>> nursery.start_soon(pauses.run)
    >>> pauses.has_just_ended(trio.current_time())
    False
    """

    def __init__(self):
        self.pause_s = 0.0
        self._ticked_s = inf
        self._ended_s = -inf

    async def run(self) -> None:
        """Look at the clock until cancelled."""
        while True:
            self._tick(trio.current_time())
            await trio.sleep(TICK_S)

    def has_just_ended(self, now_s: float) -> bool:
        """Return whether a pause ended so lately that what is read may be older."""
        self._tick(now_s)
        return now_s - self._ended_s < SETTLE_S

    def _tick(self, now_s: float) -> None:
        """Record a pause if the clock has moved on by more than a tick."""
        gap_s = now_s - self._ticked_s
        if gap_s > TICK_S + PAUSE_S:
            self.pause_s, self._ended_s = gap_s, now_s
        self._ticked_s = now_s
