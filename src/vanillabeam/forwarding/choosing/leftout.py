"""Targets that get no request of this VM because of what they said themselves."""

from collections.abc import Iterable

from vanillabeam.fleet import Target
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.forwarding.choosing.rategate import RateGate
from vanillabeam.notices import LeftOut, Reason, TargetNotices

__all__ = ["LeftOutTargets"]

#: Open requests of this VM at a target that refused one lately, as a share of the
#: target's slots: other VMs send to it too.
BUSY_SLOTS_SHARE = 0.5


class LeftOutTargets:
    """Tells which targets are left out, by their notices and what is open there.

    :param rates: permits for targets that name a limit.
    """

    def __init__(self, notices: TargetNotices, load: Load, rates: RateGate):
        self._notices = notices
        self._load = load
        self._rates = rates

    @property
    def is_empty(self) -> bool:
        """Whether no target has asked for anything."""
        return self._notices.is_empty and self._rates.limits.is_empty

    def contains(self, target: Target, now_s: float) -> bool:
        """Return whether a target is left out."""
        return not self.is_empty and self.why(target, now_s) is not None

    def why(self, target: Target, now_s: float) -> LeftOut | None:
        """Return why a target is left out; ``None`` if it isn't."""
        why = self._notices.left_out(target.incarnation, now_s)
        if why is not None:
            return why
        return self._rates.left_out(target, now_s) or self._full(target, now_s)

    def _full(self, target: Target, now_s: float) -> LeftOut | None:
        age_s = self._notices.busy_for_s(target.incarnation, now_s)
        if age_s is None:
            return None
        limit = max(1, int(BUSY_SLOTS_SHARE * target.slots))
        if self._load.open_requests(target.name) < limit:
            return None
        return LeftOut(Reason.FULL, age_s, 0.0)

    def among(self, targets: Iterable[Target], now_s: float) -> dict[str, LeftOut]:
        """Return those of the targets that are left out, by name."""
        if self.is_empty:
            return {}
        found = {target.name: self.why(target, now_s) for target in targets}
        return {name: why for name, why in found.items() if why is not None}
