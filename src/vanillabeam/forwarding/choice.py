"""Which target a request goes to: a core without input or output."""

import random
from collections.abc import Callable
from typing import NamedTuple

from vanillabeam.fleet import (
    Bounds,
    Deployment,
    Directory,
    Engine,
    Route,
    Target,
    View,
)
from vanillabeam.forwarding.bounds import ColdWindow, RetryBudget
from vanillabeam.forwarding.dialect import Facts
from vanillabeam.forwarding.load import Load
from vanillabeam.forwarding.reach import Reach
from vanillabeam.forwarding.room import RoomNeeded, fitting
from vanillabeam.rendezvous import rank

__all__ = ["Choice", "Chooser", "PromptCosts", "prompt_costs"]

#: What fetching a kept part costs of reading it.
FETCH_SHARE = 0.1
#: A target that is not heard for so many heartbeats is used last.
DOUBTFUL_HEARTBEATS = 1.9
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
    :param work: tokens that the request brings to the target.
    :param wait_s: expected time to its first event; 0 if that is unknown.
    :param room: tokens of memory that the request takes there.
    """

    target: Target
    candidates: int
    is_cold: bool
    age_s: float
    work: int = 0
    wait_s: float = 0.0
    room: int = 0


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
        self.load = Load()
        self.is_paused: Callable[[str, float], bool] = _never
        self._reach = Reach()
        self._health: dict[tuple[str, int], _Health] = {}
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
        found = self._directory.sightings.values()
        return any(each.target.service == service for each in found)

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
        costs: "PromptCosts | None" = None,
    ) -> Choice | None:
        """Return the best target, or ``None`` if none may take the request.

        :param tried: names of targets that had the request already.
        :param costs: of a prompt; a plain call has none.
        """
        usable = self._usable(service, facts, view, tried, now_s)
        rate = _cold_rate(view.deployment, service)
        count = len(entries)
        usable = self._with_room(usable, service, view.deployment, costs, count, now_s)
        ordered = self._ordered(usable, costs, count, now_s)
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
            work = _work_at(target, usable, costs)
            rank = costs.rank if costs else 0
            ahead = self.load.ahead(target.name, rank) + work
            wait_s = self.load.wait_s(service, ahead)
            room = costs.room if costs else 0
            return Choice(target, len(usable), is_cold, age_s, work, wait_s, room)
        return None

    def ended(self, target: Target, failed: bool, now_s: float) -> None:
        """Count the end of a request at a target.

        :param failed: whether the target gave no sound answer.
        """
        if not failed:
            self._health.pop(target.life, None)
            self._reach.answered(target)
            return
        self._reach.failed(target, now_s)
        failures = self._health.get(target.life, _Health()).failures + 1
        rest_s = min(REST_S * 2 ** (failures - 1), MOST_REST_S)
        self._health[target.life] = _Health(failures, now_s + rest_s)

    def refusal(
        self,
        service: str,
        facts: Facts,
        view: View,
        entries: int,
        now_s: float,
        costs: "PromptCosts | None",
    ) -> str:
        """Say why no target may take a request: how many are left at each step."""
        known = [
            each.target
            for each in self._directory.sightings.values()
            if each.target.service == service
        ]
        usable = self._usable(service, facts, view, set(), now_s)
        free = self._with_room(usable, service, view.deployment, costs, entries, now_s)
        counts = f"{len(known)} known, {len(usable)} usable, {len(free)} with room"
        return f"{service}: {counts}"

    def _budget(self, service: str) -> RetryBudget:
        if service not in self._budgets:
            self._budgets[service] = RetryBudget(self._bounds)
        return self._budgets[service]

    def _usable(
        self,
        service: str,
        facts: Facts,
        view: View,
        tried: set[str],
        now_s: float,
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
        sound = [each for each in rested if not self._is_doubtful(each, now_s)]
        free = [each for each in sound if not self.is_paused(each.name, now_s)]
        return free or sound or rested or found

    def _on_new_weights(
        self, found: list[Target], model: str, view: View, now_s: float
    ) -> list[Target]:
        due_s = now_s - VERSION_SHARE * self._bounds.version_s
        due = view.weights_due(model, due_s)
        found = [each for each in found if each.versions.get(model, 0) >= due]
        wanted = view.weights_due(model, now_s - VERSION_GRACE_S)
        current = [each for each in found if each.versions.get(model, 0) >= wanted]
        return current or found

    def _is_doubtful(self, target: Target, now_s: float) -> bool:
        """Return whether the target is silent, to everybody or to this VM."""
        if self._reach.is_doubtful(target.data_centre, now_s):
            return True
        heard_s = self._directory.sightings[target.name].heard_s
        if now_s - heard_s > DOUBTFUL_HEARTBEATS * self._bounds.heartbeat_s:
            return True
        return self.load.is_doubtful(target.name, target.service, now_s)

    def _with_room(
        self,
        usable: list[Target],
        service: str,
        deployment: Deployment,
        costs: "PromptCosts | None",
        entries: int,
        now_s: float,
    ) -> list[Target]:
        engine = _engine(deployment, service)
        if costs is None or engine is None:
            return usable
        return fitting(usable, engine, costs.needed, self.load, entries, now_s)

    def _is_rested(self, target: Target, now_s: float) -> bool:
        health = self._health.get(target.life)
        return health is None or now_s >= health.rests_until_s

    def _ordered(
        self,
        usable: list[Target],
        costs: "PromptCosts | None",
        entries: int,
        now_s: float,
    ) -> list[Target]:
        """Return the targets, the best first."""
        by_name = {target.name: target for target in usable}
        names = sorted(by_name)
        if costs is None:
            self._rng.shuffle(names)
            names.sort(key=self.load.open_requests)
            return [by_name[name] for name in names]
        preferred = rank(costs.affinity, names)
        expected = {
            name: self.load.ahead(name, costs.rank)
            + self.load.unseen(name, entries, now_s).tokens
            + (costs.at_favourite if name == preferred[0] else costs.elsewhere)
            for name in names
        }
        preferred.sort(key=expected.__getitem__)
        return [by_name[name] for name in preferred]


class PromptCosts(NamedTuple):
    """What a prompt costs, in tokens to read.

    :param affinity: what keeps prompts together that share most.
    :param at_favourite: at the target that has had the prompts before it.
    :param elsewhere: at any other.
    :param rank: 0 is the most urgent.
    :param room: tokens of memory that it takes.
    """

    affinity: str
    at_favourite: int
    elsewhere: int
    rank: int = 0
    room: int = 0

    @property
    def needed(self) -> RoomNeeded:
        """What it takes of a target's memory."""
        return RoomNeeded(self.rank, self.room)


def prompt_costs(
    facts: Facts, is_kept: Callable[[str], bool], rank: int
) -> PromptCosts | None:
    """Return the costs of a prompt, ``None`` for a plain call.

    :param is_kept: says whether a store keeps a part.
    """
    if not facts.parts:
        return None
    own = facts.parts[-1].tokens
    shared = facts.parts[:-1]
    fetched = 0.0
    for at, part in enumerate(shared):
        if not is_kept(part.part_id):
            fetched += sum(each.tokens for each in shared[at:])
            break
        fetched += FETCH_SHARE * part.tokens
    affinity = (shared or facts.parts)[-1].part_id
    room = sum(part.tokens for part in facts.parts) + facts.output_tokens
    return PromptCosts(affinity, own, own + int(fetched), rank, room)


def _work_at(target: Target, usable: list[Target], costs: PromptCosts | None) -> int:
    if costs is None:
        return 0
    favourite = rank(costs.affinity, [each.name for each in usable])[0]
    return costs.at_favourite if target.name == favourite else costs.elsewhere


def _engine(deployment: Deployment, service: str) -> Engine | None:
    record = deployment.services.get(service)
    return record.engine if record is not None else None


def _cold_rate(deployment: Deployment, service: str) -> float:
    record = deployment.services.get(service)
    return record.cold_requests_s if record is not None else 0.0


def _never(target: str, now_s: float) -> bool:
    """Take no target for paused."""
    return False
