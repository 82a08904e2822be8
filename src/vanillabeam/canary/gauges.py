"""Metrics of rollouts on a control VM."""

from collections.abc import Callable
from typing import Protocol

from vanillabeam.canary.judge import bad_responses
from vanillabeam.canary.records import Rollouts
from vanillabeam.canary.tally import Sums

__all__ = ["add_rollout_gauges"]

Labels = tuple[str, ...]
Values = dict[Labels, float]


class _Rollouts(Protocol):
    def rollouts(self) -> Rollouts:
        """Return the newest rollouts."""

    def sums(self) -> dict[str, Sums]:
        """Return what was counted of each running rollout."""


def add_rollout_gauges(
    add_gauges: Callable[[str, str, Labels, Callable[[], Values]], None],
    rollouts: _Rollouts,
) -> None:
    """Add the gauges of rollouts to a VM's metrics."""

    def steps() -> Values:
        return {
            (record["service"], record["to"], record["step"]): 1.0
            for record in rollouts.rollouts().values()
        }

    def shares() -> Values:
        return {
            (record["service"], record["to"]): record["share"]
            for record in rollouts.rollouts().values()
        }

    def sent() -> Values:
        return _by_role(
            rollouts.sums(), lambda sums: (sums.all_new.sent, sums.all_old.sent)
        )

    def failed() -> Values:
        return _by_role(
            rollouts.sums(), lambda sums: (bad_responses(sums), sums.all_old.failures)
        )

    by_version, by_role = ("service", "version"), ("service", "role")
    add_gauges(
        "rollout_step",
        "1 for the step of a service's newest rollout.",
        (*by_version, "step"),
        steps,
    )
    add_gauges(
        "rollout_share",
        "Share of a service's requests for the new version.",
        by_version,
        shares,
    )
    add_gauges(
        "rollout_sent",
        "Requests to the new and old versions since the order.",
        by_role,
        sent,
    )
    add_gauges(
        "rollout_failed",
        "Failures, with slow responses of the new version, since the order.",
        by_role,
        failed,
    )


def _by_role(
    sums: dict[str, Sums], read: Callable[[Sums], tuple[float, float]]
) -> Values:
    values: Values = {}
    for service, of in sums.items():
        values[service, "new"], values[service, "old"] = read(of)
    return values
