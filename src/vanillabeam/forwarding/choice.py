"""Which target a request goes to: a core without input or output."""

import random
from collections.abc import Callable
from typing import NamedTuple

from vanillabeam.decisions import TargetRested
from vanillabeam.fleet import (
    Bounds,
    Deployment,
    Directory,
    Engine,
    FleetView,
    Route,
    Target,
)
from vanillabeam.forwarding.bounds import ColdWindow, RetryBudget
from vanillabeam.forwarding.costs import PromptCosts
from vanillabeam.forwarding.dialect import Facts
from vanillabeam.forwarding.health import Health
from vanillabeam.forwarding.load import Load
from vanillabeam.forwarding.room import fitting
from vanillabeam.rendezvous import rank

__all__ = ["Choice", "Chooser"]

#: A target that is not heard for so many heartbeats is used last.
DOUBTFUL_HEARTBEATS = 1.9
#: What another data centre's target must have less to do to be preferred:
#: tokens of work, or open requests of a plain service.
FAR_TOKENS = 400
FAR_REQUESTS = 1
#: Share of the time for new weights after which older ones serve nothing.
VERSION_SHARE = 0.8
#: Time after which targets on older weights are used only if there is no other.
VERSION_GRACE_S = 1.0


class Choice(NamedTuple):
    """A target and the inputs that decided for it.

    :param candidates: targets that could have taken the request.
    :param is_cold: whether the target is in its cold window.
    :param work: tokens that the request brings to the target.
    :param wait_s: expected time to its first event; 0 if that is unknown.
    :param room: tokens of memory that the request takes there.
    """

    target: Target
    candidates: int = 1
    is_cold: bool = False
    age_s: float = 0.0
    work: int = 0
    wait_s: float = 0.0
    room: int = 0


class Chooser:
    """Picks targets by what this entry VM knows, and counts what it sends.

    :param vm: this VM's name.
    :param data_centre: this VM's; what stays in it outlives a cut around it.
    :param directory: the targets that are known.
    :param rng: seeded; breaks ties.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        directory: Directory,
        bounds: Bounds,
        rng: random.Random,
    ):
        self._vm = vm
        self._data_centre = data_centre
        self._directory = directory
        self._bounds = bounds
        self._rng = rng
        self.load = Load()
        self.is_paused: Callable[[str, float], bool] = _never
        self._health = Health()
        self._budgets: dict[str, RetryBudget] = {}
        self._cold = ColdWindow(bounds)

    def requested(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._budget(service).request(now_s)

    def may_repeat(self, service: str, entries: int, now_s: float) -> bool:
        """Return whether the retry budget has room, and take from it."""
        return self._budget(service).take(now_s, entries)

    def knows_any(self, service: str) -> bool:
        """Return whether some target of a service is known."""
        return bool(self._known(service))

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
        view: FleetView,
        entries: tuple[str, ...],
        tried: set[str],
        now_s: float,
        costs: PromptCosts | None = None,
    ) -> Choice | None:
        """Return the best target, or ``None`` if none may take the request.

        :param tried: names of targets that had the request already.
        :param costs: of a prompt; a plain call has none.
        """
        usable = self._usable(service, facts, view, tried, now_s)
        rate = _cold_rate(view.deployment, service)
        count = len(entries)
        usable = self._with_room(usable, service, view.deployment, costs, count, now_s)
        for target, work in self._ordered(usable, costs, count, now_s):
            is_cold = self._is_cold(target, rate, now_s)
            if is_cold and not self._cold.may_send(
                target.name, rate, self._vm, entries, now_s
            ):
                continue
            return self._choice(service, target, work, costs, now_s)._replace(
                candidates=len(usable), is_cold=is_cold
            )
        return None

    def sent(
        self,
        service: str,
        choice: Choice,
        view: FleetView,
        entries: tuple[str, ...],
        now_s: float,
    ) -> None:
        """Count a request that goes to a target, if that is cold."""
        if choice.is_cold:
            rate = _cold_rate(view.deployment, service)
            self._cold.sent(choice.target.name, rate, entries, now_s)

    def answered(self, target: Target) -> None:
        """Count a sound answer of a target."""
        self._health.answered(target)

    def failed(self, target: Target, now_s: float) -> TargetRested:
        """Count a request without a sound answer; return what follows."""
        rest_s = self._health.failed(target, now_s)
        cut_off = self._health.is_cut_off(target, now_s)
        return TargetRested(target.name, rest_s, cut_off)

    def refusal(
        self,
        service: str,
        facts: Facts,
        view: FleetView,
        entries: int,
        now_s: float,
        costs: PromptCosts | None,
    ) -> str:
        """Say why no target may take a request: how many are left at each step."""
        known = self._known(service)
        usable = self._usable(service, facts, view, set(), now_s)
        free = self._with_room(usable, service, view.deployment, costs, entries, now_s)
        counts = f"{len(known)} known, {len(usable)} usable, {len(free)} with room"
        return f"{service}: {counts}"

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._bounds)
        return self._budgets[service]

    def _known(self, service: str) -> list[Target]:
        sightings = self._directory.records.values()
        targets = [sighting.target for sighting in sightings]
        return [target for target in targets if target.service == service]

    def _usable(
        self,
        service: str,
        facts: Facts,
        view: FleetView,
        tried: set[str],
        now_s: float,
    ) -> list[Target]:
        found = [
            target
            for target in self._known(service)
            if not target.draining
            and target.data_centre not in view.evacuated
            and target.name not in tried
            and (not facts.model or facts.model in target.versions)
        ]
        found = self._on_new_weights(found, facts.model, view, now_s)
        rested = [each for each in found if self._health.is_rested(each, now_s)]
        sound = [each for each in rested if not self._is_doubtful(each, now_s)]
        free = [each for each in sound if not self.is_paused(each.name, now_s)]
        return free or sound or rested or found

    def _on_new_weights(
        self, found: list[Target], model: str, view: FleetView, now_s: float
    ) -> list[Target]:
        due_s = now_s - VERSION_SHARE * self._bounds.version_s
        due = view.version_named_before(model, due_s)
        found = [each for each in found if each.versions.get(model, 0) >= due]
        wanted = view.version_named_before(model, now_s - VERSION_GRACE_S)
        current = [each for each in found if each.versions.get(model, 0) >= wanted]
        return current or found

    def _is_doubtful(self, target: Target, now_s: float) -> bool:
        """Return whether the target is silent, to everybody or to this VM."""
        if self._health.is_cut_off(target, now_s):
            return True
        last_seen_s = self._directory.records[target.name].last_seen_s
        if now_s - last_seen_s > DOUBTFUL_HEARTBEATS * self._bounds.heartbeat_s:
            return True
        return self.load.is_doubtful(target.name, target.service, now_s)

    def _with_room(
        self,
        usable: list[Target],
        service: str,
        deployment: Deployment,
        costs: PromptCosts | None,
        entries: int,
        now_s: float,
    ) -> list[Target]:
        engine = _engine(deployment, service)
        if costs is None or engine is None:
            return usable
        return fitting(usable, engine, costs.needed, self.load, entries, now_s)

    def _is_cold(self, target: Target, rate: float, now_s: float) -> bool:
        sighting = self._directory.records[target.name]
        return rate > 0 and sighting.cold_until_s > now_s

    def _choice(
        self,
        service: str,
        target: Target,
        work: int,
        costs: PromptCosts | None,
        now_s: float,
    ) -> Choice:
        age_s = now_s - self._directory.records[target.name].last_seen_s
        rank, room = (costs.rank, costs.room) if costs else (0, 0)
        ahead = self.load.ahead(target.name, rank) + work
        wait_s = self.load.wait_s(service, ahead)
        return Choice(
            target, age_s=round(age_s, 3), work=work, wait_s=wait_s, room=room
        )

    def _is_far(self, target: Target) -> bool:
        return target.data_centre != self._data_centre

    def _open_and_far(self, target: Target) -> int:
        far = FAR_REQUESTS if self._is_far(target) else 0
        return self.load.open_requests(target.name) + far

    def _ordered(
        self,
        usable: list[Target],
        costs: PromptCosts | None,
        entries: int,
        now_s: float,
    ) -> list[tuple[Target, int]]:
        """Return the targets and the work of the request there, the best first."""
        by_name = {target.name: target for target in usable}
        names = sorted(by_name)
        if costs is None:
            self._rng.shuffle(names)
            names.sort(key=lambda name: self._open_and_far(by_name[name]))
            return [(by_name[name], 0) for name in names]
        preferred = rank(costs.affinity, names)
        work = {
            name: costs.at(by_name[name], is_favourite=name == preferred[0])
            for name in names
        }
        expected = {
            name: self.load.ahead(name, costs.rank)
            + self.load.unseen(name, entries, now_s).tokens
            + work[name]
            + (FAR_TOKENS if self._is_far(by_name[name]) else 0)
            for name in names
        }
        preferred.sort(key=expected.__getitem__)
        return [(by_name[name], work[name]) for name in preferred]


def _engine(deployment: Deployment, service: str) -> Engine | None:
    record = deployment.services.get(service)
    return record.engine if record is not None else None


def _cold_rate(deployment: Deployment, service: str) -> float:
    record = deployment.services.get(service)
    return record.cold_requests_s if record is not None else 0.0


def _never(target: str, now_s: float) -> bool:
    """Take no target for paused."""
    return False
