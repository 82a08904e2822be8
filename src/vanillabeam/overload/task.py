"""Shell around the overload cores of an entry VM: timer, readiness, reports."""

import time
from collections.abc import Callable
from typing import Protocol

import trio

from vanillabeam.decisions import OverloadChanged, log_record
from vanillabeam.overload.backlog import TICK_S, Backlog
from vanillabeam.overload.turns import Turns
from vanillabeam.overload.withdrawal import Withdrawal

__all__ = ["Overload"]

#: Time without a backlog after which the overload counts as over.
OVER_S = 1.0
#: Age of the news of other VMs beyond which they count as unknown.
NEWS_AGE_S = 1.5
#: States of a VM in the load that it reports.
OVERLOADED, WITHDRAWN = 1, 2


class Readiness(Protocol):
    """Readiness of this VM as the load balancer sees it.

    :ivar is_withdrawn: whether other VMs are to take the requests for a time.
    """

    is_withdrawn: bool


class Overload:
    """Overload of one entry VM.

    :param vm: name of this VM.
    :param lifecycle: told whether this VM is withdrawn.
    :param entries: returns the number of entry VMs, this one included.
    :ivar backlog: delay of new requests.
    :ivar turns: turns of new requests.
    :ivar is_overloaded: whether there was a backlog lately.

    >>> overload = Overload("vm-1", lifecycle, lambda: len(follower.entry_vms))
    >>> nursery.start_soon(overload.run)
    """

    def __init__(self, vm: str, lifecycle: Readiness, entries: Callable[[], int]):
        self.backlog = Backlog()
        self.turns = Turns(self._has_backlog)
        self.is_overloaded = False
        self._vm = vm
        self._lifecycle = lifecycle
        self._entries = entries
        self._withdrawal = Withdrawal(vm)
        self._last_s = 0.0
        self._others: dict[str, bool] = {}
        self._others_seen_s: float | None = None

    async def run(self) -> None:
        """Record the lateness of a timer and what follows from it, until cancelled."""
        ran_s = time.process_time()
        due_s = trio.current_time() + TICK_S
        while True:
            await trio.sleep_until(due_s)
            now_s, ran_before_s, ran_s = (
                trio.current_time(),
                ran_s,
                time.process_time(),
            )
            self.backlog.record_lag(now_s - due_s, now_s, ran_s - ran_before_s)
            self.update(now_s)
            due_s = trio.current_time() + TICK_S

    def update(self, now_s: float) -> None:
        """Apply the backlog of this VM and the news of the others."""
        if self.backlog.delay_s(now_s) > 0.0:
            self._last_s = now_s
            changed = not self.is_overloaded
            self.is_overloaded = True
        else:
            changed = self.is_overloaded and now_s - self._last_s >= OVER_S
            self.is_overloaded = self.is_overloaded and not changed
        others = self._known_others(now_s)
        if self._withdrawal.update(self.is_overloaded, others, self._entries(), now_s):
            self._lifecycle.is_withdrawn = self._withdrawal.is_withdrawn
            changed = True
        if changed:
            self._log(others, now_s)

    def delay_s(self) -> float:
        """Return the seconds until a request that is read now is sent."""
        return self.backlog.delay_s(trio.current_time())

    def own(self) -> dict[str, int]:
        """Return what other VMs hear of this one: its name and state, if not well."""
        if self._withdrawal.is_withdrawn:
            return {self._vm: WITHDRAWN}
        return {self._vm: OVERLOADED} if self.is_overloaded else {}

    def update_others(self, overloaded: dict[str, int], now_s: float) -> None:
        """Replace the states of the other VMs that have no room, by their names."""
        self._others = {
            name: state >= WITHDRAWN
            for name, state in overloaded.items()
            if name != self._vm
        }
        self._others_seen_s = now_s

    def _known_others(self, now_s: float) -> dict[str, bool] | None:
        seen_s = self._others_seen_s
        return None if seen_s is None or now_s - seen_s > NEWS_AGE_S else self._others

    def _has_backlog(self) -> bool:
        return self.delay_s() > 0.0

    def _log(self, others: dict[str, bool] | None, now_s: float) -> None:
        backlog = self.backlog
        log_record(
            OverloadChanged(
                self.is_overloaded,
                not self._withdrawal.is_withdrawn,
                round(backlog.delay_s(now_s), 3),
                round(backlog.waited_s(now_s), 3),
                round(backlog.lag_s(now_s), 3),
                None if others is None else len(others),
                backlog.refused,
            )
        )
