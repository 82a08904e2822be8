"""Limits of targets that VMs tell each other."""

from collections.abc import Callable

from vanillabeam.fleet.limitlog import log_limit
from vanillabeam.fleet.ratelimits import RateLimits, RateReport

__all__ = ["LimitNews"]


class LimitNews:
    """Exchanges what this VM knows of targets' limits with others.

    Each message holds the whole list, so that a lost one does no harm.

    :ivar limits: what this VM knows.
    :ivar on_change: called when another VM's word has changed it so that others must
        hear of it at once.
    """

    def __init__(self):
        self.limits = RateLimits()
        self.on_change: Callable[[], None] = lambda: None

    def add_to(self, message: dict, now_s: float) -> None:
        """Add what this VM knows to a message, if it knows of any limit."""
        self.limits.expire(now_s)
        if not self.limits.is_empty:
            message["limits"] = self.limits.reports(now_s)

    def apply(self, reports: list[RateReport], source: str, now_s: float) -> None:
        """Apply what another VM has told.

        :param source: its name or address, for the log.
        """
        changes = self.limits.merge(reports, now_s)
        for change in changes:
            log_limit(change, source=source)
        if any(change.is_urgent for change in changes):
            self.on_change()
