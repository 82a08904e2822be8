"""Source of an entry VM's reports on rollouts."""

from typing import Protocol

from vanillabeam.canary.records import RolloutReport

__all__ = ["NoReports", "ReportSource"]


class ReportSource(Protocol):
    """Source of the reports on running rollouts."""

    def reports(self) -> list[RolloutReport]:
        """Return a report on each running rollout."""


class NoReports:
    """Reports of a VM that sends no requests to targets."""

    def reports(self) -> list[RolloutReport]:
        """Return none."""
        return []
