"""The committed fleet state as one VM knows it."""

from collections.abc import Callable
from typing import NamedTuple

from vanillabeam.canary.records import Rollouts
from vanillabeam.decisions import DeploymentUnreadable, log_record
from vanillabeam.fleet.cachescopes import CacheScopes, make_scopes
from vanillabeam.fleet.machine import FleetState
from vanillabeam.fleet.quarantine import Quarantine
from vanillabeam.fleet.records import Deployment

__all__ = [
    "MAX_VERSIONS_KEPT",
    "NO_DEPLOYMENT",
    "FleetView",
    "make_view",
    "merge_version_times",
    "read_or_keep",
]

#: In place of a deployment before the first one.
NO_DEPLOYMENT = Deployment()

#: Number of weight versions of a model whose time is kept.
MAX_VERSIONS_KEPT = 16

#: Versions of each model with the monotonic time at which each was named.
VersionTimes = dict[str, tuple[tuple[int, float], ...]]


class FleetView(NamedTuple):
    """The committed fleet state that is in force on this VM.

    :param index: index of the fleet state; 0 before the first.
    :param evacuated: data centres that get no new work.
    :param weights: newest version of each model.
    :param version_times: versions of each model with the monotonic time at which
        each was named, the newest last.
    :param quarantine: parts of prompts that are kept from targets.
    :param scopes: scopes of cached prompts of the deployment's workspaces.
    :param rollouts: newest rollout of each service to another software version.
    """

    index: int = 0
    deployment: Deployment = NO_DEPLOYMENT
    evacuated: frozenset[str] = frozenset()
    weights: dict[str, int] = {}
    version_times: VersionTimes = {}
    quarantine: Quarantine = {}
    scopes: CacheScopes = CacheScopes()
    rollouts: Rollouts = {}

    @property
    def is_known(self) -> bool:
        """Whether a deployment is in force."""
        return self.deployment is not NO_DEPLOYMENT

    def is_older_than(self, state: FleetState) -> bool:
        """Return whether ``state`` has a newer deployment, or the first one."""
        is_higher = state["number"] > self.deployment.number
        return bool(state["document"]) and (is_higher or not self.is_known)

    def version_named_before(self, model: str, before_s: float) -> int:
        """Return the newest version that was named before ``before_s``."""
        versions = self.version_times.get(model, ())
        return max((version for version, at in versions if at <= before_s), default=0)


def make_view(
    view: FleetView,
    state: FleetState,
    read: Callable[[str], Deployment],
    named: dict[str, list[tuple[int, float]]],
    now_s: float,
) -> FleetView:
    """Return the view of a newer fleet state.

    :param view: the view until now.
    :param read: parses an operator's document into a deployment.
    :param named: age in seconds of each weight version, by model.
    """
    deployment = view.deployment
    if view.is_older_than(state):
        deployment = read_or_keep(read, state, deployment)
    is_kept = deployment is view.deployment
    return FleetView(
        state["index"],
        deployment,
        frozenset(state["evacuated"]),
        state["weights"],
        merge_version_times(view.version_times, named, now_s),
        state.get("quarantine", {}),
        view.scopes if is_kept else make_scopes(state, deployment),
        state.get("rollouts", {}),
    )


def merge_version_times(
    known: VersionTimes, named: dict[str, list[tuple[int, float]]], now_s: float
) -> VersionTimes:
    """Return the earliest known time at which each weight version was named.

    :param known: times that this VM knows already.
    :param named: age in seconds of each version, by model.
    """
    merged: dict[str, dict[int, float]] = {
        model: dict(versions) for model, versions in known.items()
    }
    for model, versions in named.items():
        for version, age_s in versions:
            times = merged.setdefault(model, {})
            times[version] = min(times.get(version, now_s), now_s - age_s)
    return {
        model: tuple(sorted(times.items())[-MAX_VERSIONS_KEPT:])
        for model, times in merged.items()
    }


def read_or_keep(
    read: Callable[[str], Deployment], state: FleetState, known: Deployment
) -> Deployment:
    """Return the deployment of a fleet state, or ``known`` if it can't be read.

    Another release may have committed a document that this one doesn't read.
    """
    try:
        return read(state["document"])
    except (ValueError, RecursionError) as exc:
        log_record(DeploymentUnreadable(state["number"], str(exc)))
        return known
