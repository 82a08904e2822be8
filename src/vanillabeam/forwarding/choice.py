"""Which target a request goes to: a core without input or output."""

import random
from typing import NamedTuple

from vanillabeam.fleet import Bounds, Deployment, Directory, Route, Target, View
from vanillabeam.forwarding.bounds import ColdWindow, RetryBudget, rendezvous
from vanillabeam.forwarding.dialect import Facts

__all__ = ["Choice", "Chooser"]

#: Times the mean number of open requests that a preferred target may have.
LOAD_FACTOR = 1.5
LOAD_SPARE = 2
#: A target that failed is passed over for so long, doubled each time.
REST_S = 0.5
MOST_REST_S = 8.0
#: Share of the time for new weights after which older ones serve nothing.
VERSION_SHARE = 0.8
#: Time after which targets on older weights are used only if there is no other.
VERSION_GRACE_S = 1.0


class Choice(NamedTuple):
    """A target and the inputs that decided for it.

    :param candidates: targets that could have taken the request.
    :param is_cold: whether the target is in its cold window.
    """

    target: Target
    candidates: int
    is_cold: bool
    age_s: float


class _Health(NamedTuple):
    failures: int = 0
    rests_until_s: float = 0.0


class Chooser:
    """Picks targets by what this entry VM knows, and counts what it sends.

    :param vm: this VM's name.
    :param directory: the targets that are known.
    :param rng: seeded; breaks ties.
    """

    def __init__(
        self, vm: str, directory: Directory, bounds: Bounds, rng: random.Random
    ):
        self._vm = vm
        self._directory = directory
        self._bounds = bounds
        self._rng = rng
        self._open: dict[tuple[str, int], int] = {}
        self._health: dict[tuple[str, int], _Health] = {}
        self._budgets: dict[str, RetryBudget] = {}
        self._cold = ColdWindow(bounds)

    def requested(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._budget(service).request(now_s)

    def may_repeat(self, service: str, entries: int, now_s: float) -> bool:
        """Return whether the retry budget has room, and take from it."""
        return self._budget(service).take(now_s, entries)

    def service_of(self, route: Route) -> str:
        """Return one of the route's services, by their weights."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    def choose(
        self,
        service: str,
        facts: Facts,
        view: View,
        entries: tuple[str, ...],
        tried: set[str],
        now_s: float,
    ) -> Choice | None:
        """Return the best target, or ``None`` if none may take the request.

        :param tried: names of targets that had the request already.
        """
        usable = self._usable(service, facts, view, tried, now_s)
        rate = _cold_rate(view.deployment, service)
        ordered = self._ordered(usable, facts)
        for target in ordered:
            sighting = self._directory.sightings[target.name]
            is_cold = rate > 0 and sighting.cold_until_s > now_s
            if is_cold and not self._cold.may_send(
                target.name, rate, self._vm, entries, now_s
            ):
                continue
            if is_cold:
                self._cold.sent(target.name, rate, entries, now_s)
            age_s = round(now_s - sighting.heard_s, 3)
            return Choice(target, len(usable), is_cold, age_s)
        return None

    def began(self, target: Target) -> None:
        """Count a request that is on its way to a target."""
        self._open[target.life] = self._open.get(target.life, 0) + 1

    def ended(self, target: Target, failed: bool, now_s: float) -> None:
        """Count its end.

        :param failed: whether the target gave no sound answer.
        """
        left = self._open.get(target.life, 0) - 1
        if left > 0:
            self._open[target.life] = left
        else:
            self._open.pop(target.life, None)
        if not failed:
            self._health.pop(target.life, None)
            return
        failures = self._health.get(target.life, _Health()).failures + 1
        rest_s = min(REST_S * 2 ** (failures - 1), MOST_REST_S)
        self._health[target.life] = _Health(failures, now_s + rest_s)

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._bounds)
        return self._budgets[service]

    def _usable(
        self, service: str, facts: Facts, view: View, tried: set[str], now_s: float
    ) -> list[Target]:
        found = [
            each.target
            for each in self._directory.sightings.values()
            if each.target.service == service
            and not each.target.draining
            and each.target.data_centre not in view.evacuated
            and each.target.name not in tried
            and (not facts.model or facts.model in each.target.versions)
        ]
        found = self._on_new_weights(found, facts.model, view, now_s)
        rested = [each for each in found if self._is_rested(each, now_s)]
        return rested or found

    def _on_new_weights(
        self, found: list[Target], model: str, view: View, now_s: float
    ) -> list[Target]:
        newest = view.weights.get(model, 0)
        if not newest:
            return found
        waited_s = now_s - view.newer_since_s.get(model, now_s)
        current = [each for each in found if each.versions.get(model, 0) >= newest]
        if waited_s > VERSION_SHARE * self._bounds.version_s:
            return current
        if current and waited_s > VERSION_GRACE_S:
            return current
        return found

    def _is_rested(self, target: Target, now_s: float) -> bool:
        health = self._health.get(target.life)
        return health is None or now_s >= health.rests_until_s

    def _ordered(self, usable: list[Target], facts: Facts) -> list[Target]:
        """Return the targets, the best first."""
        by_name = {target.name: target for target in usable}
        names = sorted(by_name)
        if not facts.parts:
            self._rng.shuffle(names)
            names.sort(key=lambda name: self._open.get(by_name[name].life, 0))
            return [by_name[name] for name in names]
        preferred = rendezvous(_affinity(facts), names)
        open_requests = [self._open.get(each.life, 0) for each in usable]
        limit = LOAD_FACTOR * sum(open_requests) / max(1, len(usable)) + LOAD_SPARE
        preferred.sort(key=lambda name: self._open.get(by_name[name].life, 0) > limit)
        return [by_name[name] for name in preferred]


def _affinity(facts: Facts) -> str:
    """Return what keeps requests together that share most of a prompt."""
    shared = facts.parts[:-1] or facts.parts
    return shared[-1].part_id


def _cold_rate(deployment: Deployment, service: str) -> float:
    record = deployment.services.get(service)
    return record.cold_requests_s if record is not None else 0.0
