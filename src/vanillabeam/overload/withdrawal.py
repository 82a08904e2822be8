"""Whether an overloaded entry VM reports itself not ready: a functional core."""

from collections.abc import Mapping
from math import inf

__all__ = ["Withdrawal"]

#: Time for which a VM must be overloaded without a break.
LONG_S = 3.0
#: Shortest time for which a VM stays withdrawn, and without overload before it returns.
#: A load balancer checks every second and reacts to the second check.
MIN_OUT_S = 5.0
CALM_S = 2.0
#: Time after a return within which a VM doesn't withdraw. It doubles with each
#: withdrawal, so that a load that it can't take doesn't make it come and go.
FIRST_HOLD_S = 10.0
MAX_HOLD_S = 160.0
#: Share of the entry VMs that may be withdrawn at the same time.
MAX_OUT_SHARE = 0.25
#: Share of the entry VMs that must not be overloaded, for others to take over.
MIN_FREE_SHARE = 0.5
MIN_ENTRY_VMS = 3


class Withdrawal:
    """Decides for one entry VM; all decide alike by the same names.

    :param vm: name of this VM.
    :ivar is_withdrawn: whether this VM reports itself not ready.
    """

    def __init__(self, vm: str):
        self._vm = vm
        self.is_withdrawn = False
        self._overloaded_since_s = inf
        self._calm_since_s = inf
        self._changed_s = -inf
        self._hold_s = FIRST_HOLD_S

    def update(
        self,
        is_overloaded: bool,
        others: Mapping[str, bool] | None,
        entries: int,
        now_s: float,
    ) -> bool:
        """Apply what is known now; return whether :attr:`is_withdrawn` has changed.

        :param others: other entry VMs that are overloaded or withdrawn, with whether
            they are withdrawn; ``None`` if that is not known.
        :param entries: number of entry VMs, this one included.
        """
        self._record(is_overloaded, now_s)
        if self.is_withdrawn:
            changes = not self._may_stay(others, entries) or self._is_recovered(now_s)
        else:
            changes = self._may_leave(others, entries, now_s)
        if not changes:
            return False
        if not self.is_withdrawn:
            was_long_ago = now_s - self._changed_s > MAX_HOLD_S
            doubled_s = min(2 * self._hold_s, MAX_HOLD_S)
            self._hold_s = FIRST_HOLD_S if was_long_ago else doubled_s
        self.is_withdrawn = not self.is_withdrawn
        self._changed_s = now_s
        return True

    def _record(self, is_overloaded: bool, now_s: float) -> None:
        if is_overloaded:
            self._overloaded_since_s = min(self._overloaded_since_s, now_s)
            self._calm_since_s = inf
        else:
            self._overloaded_since_s = inf
            self._calm_since_s = min(self._calm_since_s, now_s)

    def _is_recovered(self, now_s: float) -> bool:
        is_calm = now_s - self._calm_since_s >= CALM_S
        return is_calm and now_s - self._changed_s >= MIN_OUT_S

    def _may_stay(self, others: Mapping[str, bool] | None, entries: int) -> bool:
        """Return whether enough other VMs are known to have room."""
        if others is None or entries < MIN_ENTRY_VMS:
            return False
        return len({*others, self._vm}) <= (1 - MIN_FREE_SHARE) * entries

    def _may_leave(
        self, others: Mapping[str, bool] | None, entries: int, now_s: float
    ) -> bool:
        if not self._may_stay(others, entries):
            return False
        if now_s - self._overloaded_since_s < LONG_S:
            return False
        if now_s - self._changed_s < self._hold_s:
            return False
        withdrawn = [name for name, is_withdrawn in others.items() if is_withdrawn]
        places = max(1, int(MAX_OUT_SHARE * entries)) - len(withdrawn)
        # All VMs know about the same names, so that few leave at the same moment.
        waiting = sorted({*others, self._vm}.difference(withdrawn))
        return waiting.index(self._vm) < places
