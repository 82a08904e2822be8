"""Choice of the target of a request: a functional core."""

import random
from collections import Counter
from collections.abc import Callable

from vanillabeam.decisions import TargetRested
from vanillabeam.fleet import (
    Bounds,
    Deployment,
    Directory,
    FleetView,
    Route,
    Target,
)
from vanillabeam.fleet.ratelimits import RateLimits
from vanillabeam.forwarding.choosing.bounds import ColdTargetLimiter, ServiceRetryBudget
from vanillabeam.forwarding.choosing.chosen import Choice
from vanillabeam.forwarding.choosing.costs import PromptCosts
from vanillabeam.forwarding.choosing.health import Health
from vanillabeam.forwarding.choosing.leftout import LeftOutTargets
from vanillabeam.forwarding.choosing.lines import ServiceLines
from vanillabeam.forwarding.choosing.load import Load
from vanillabeam.forwarding.choosing.memory import with_free_memory
from vanillabeam.forwarding.choosing.ordering import TargetOrder
from vanillabeam.forwarding.choosing.rategate import RateGate
from vanillabeam.forwarding.choosing.ratelines import Claim
from vanillabeam.forwarding.choosing.usable import Checks, usable_targets
from vanillabeam.forwarding.choosing.versions import TargetVersions
from vanillabeam.forwarding.dialect import RequestMetadata
from vanillabeam.forwarding.sending.downstream import spread_retry_after
from vanillabeam.notices import LeftOut, Reason, TargetNotices

__all__ = ["Choice", "Chooser"]

#: Heartbeat periods without an announcement after which a target is suspect.
SUSPECT_HEARTBEATS = 1.9


class Chooser:
    """Chooses targets by their health, load and memory, and records requests.

    :param vm: name of this VM.
    :param data_centre: data centre of this VM. Its targets are preferred, as
        requests within it survive a network failure around it.
    :param directory: the known targets.
    :param bounds: limits that all entry VMs keep together.
    :param rng: seeded; breaks ties.
    :param limits: what this VM knows of targets' limits.
    :ivar load: open requests at the targets.
    :ivar order: sorts the targets that may take a request.
    :ivar notices: what targets have asked of this VM.
    :ivar rates: permits for targets that name a limit.
    :ivar versions: software versions that requests may go to.
    :ivar lines: requests that wait for places.
    :ivar is_paused: returns whether a target is paused to load weights, given its
        name and the monotonic time.
    """

    def __init__(
        self,
        vm: str,
        data_centre: str,
        directory: Directory,
        bounds: Bounds,
        rng: random.Random,
        limits: RateLimits | None = None,
    ):
        self._vm = vm
        self._directory = directory
        self._bounds = bounds
        self._rng = rng
        self.load = Load()
        self.lines = ServiceLines()
        self.load.on_report = self.lines.record_report
        self.notices = TargetNotices(rng)
        self.rates = RateGate(vm, limits or RateLimits(), rng)
        self.versions = TargetVersions(bounds.expose_share > 0, directory, rng)
        self.is_paused: Callable[[str, float], bool] = _never
        self.order = TargetOrder(data_centre, rng)
        self._health = Health()
        self._budgets: dict[str, ServiceRetryBudget] = {}
        self._cold_limiter = ColdTargetLimiter(bounds)

    def record_request(self, service: str, now_s: float) -> None:
        """Count a caller's request for a service."""
        self._budget(service).record_request(now_s)

    def allow_retry(self, service: str, entries: int, now_s: float) -> bool:
        """Return whether the retry budget allows one more, and count it if so."""
        return self._budget(service).try_take(now_s, entries)

    def has_targets(self, service: str) -> bool:
        """Return whether any target of a service is known."""
        return bool(self.targets_of(service))

    def pick_service(self, route: Route) -> str:
        """Return one of the route's services at random, by weight."""
        if len(route.shares) == 1:
            return route.shares[0].service
        weights = [share.weight for share in route.shares]
        return self._rng.choices(route.shares, weights)[0].service

    def choose(
        self,
        service: str,
        metadata: RequestMetadata,
        view: FleetView,
        entries: tuple[str, ...],
        tried: set[str],
        now_s: float,
        costs: PromptCosts | None = None,
    ) -> Choice | None:
        """Return the best target, or ``None`` if none may take the request.

        While new weights are loaded, the few targets that have them can't take all
        prompts: those that would be late or find no memory there go to the others.

        :param entries: names of all entry VMs.
        :param tried: names of targets that were sent the request already.
        :param now_s: monotonic time in seconds.
        :param costs: costs of a prompt; ``None`` for a plain call.
        """
        usable = self.usable_targets(service, metadata, view, tried, now_s)
        meant = self.versions.preferred(service, usable)
        choice = self._choose_among(service, meant, view, entries, now_s, costs)
        if choice is not None and not _is_late_choice(choice, costs):
            return choice
        choice = self._choose_among(service, usable, view, entries, now_s, costs)
        is_late = choice is not None and _is_late_choice(choice, costs)
        if costs is None or (choice is not None and not is_late):
            return choice
        wider = self.usable_targets(service, metadata, view, tried, now_s, False)
        if len(wider) <= len(usable):
            return choice
        older = self._choose_among(service, wider, view, entries, now_s, costs)
        if choice is None or (older and older.wait_s < choice.wait_s):
            return older
        return choice

    def _choose_among(
        self,
        service: str,
        usable: list[Target],
        view: FleetView,
        entries: tuple[str, ...],
        now_s: float,
        costs: PromptCosts | None,
    ) -> Choice | None:
        rate = view.deployment.cold_rate(service)
        count = len(entries)
        usable = self._with_free_memory(
            usable, service, view.deployment, costs, count, now_s
        )
        for target, work in self.order.sort(
            self.load, service, usable, costs, count, now_s
        ):
            is_cold = self._is_cold(target, rate, now_s)
            if is_cold and not self.may_send_cold(target, view, entries, now_s):
                continue
            return self._choice(service, target, work, costs, now_s)._replace(
                candidates=len(usable), is_cold=is_cold
            )
        return None

    def may_send_cold(
        self, target: Target, view: FleetView, entries: tuple[str, ...], now_s: float
    ) -> bool:
        """Return whether a request to a cold target is within this VM's share."""
        rate = view.deployment.cold_rate(target.service)
        return self._cold_limiter.may_send(target.name, rate, self._vm, entries, now_s)

    def record_sent(
        self,
        service: str,
        choice: Choice,
        view: FleetView,
        entries: tuple[str, ...],
        now_s: float,
    ) -> None:
        """Record a request that is sent to a target, if the target is cold."""
        if choice.is_cold:
            rate = view.deployment.cold_rate(service)
            self._cold_limiter.record_sent(choice.target.name, rate, entries, now_s)

    def record_success(self, target: Target) -> None:
        """Record a valid answer of a target."""
        self._health.record_success(target)

    def record_failure(
        self, target: Target, now_s: float, is_refused: bool = False
    ) -> TargetRested:
        """Record a request without a valid answer; return the decision to log.

        :param is_refused: whether the target's address refused the connection.
        """
        backoff_s = self._health.record_failure(target, now_s, is_refused)
        is_unreachable = self._health.is_unreachable(target, now_s)
        return TargetRested(target.name, backoff_s, is_unreachable)

    def record_end(self, incarnation: tuple[str, int]) -> None:
        """Record that a target has ended: its failures tell nothing of its network."""
        self._health.record_end(incarnation)

    def is_leaving(self, target: Target) -> bool:
        """Return whether a target leaves as planned, by its word or announcement."""
        incarnation = target.incarnation
        return self._directory.is_leaving(incarnation) or bool(
            self.notices.leaving({incarnation})
        )

    def keep_only(self, incarnations: set[tuple[str, int]], now_s: float) -> None:
        """Forget what is recorded of all other incarnations of targets."""
        names = {name for name, _ in incarnations}
        self._health.keep_only(incarnations)
        self.notices.keep_only(incarnations, now_s)
        self.rates.keep_only(incarnations, now_s)
        self.versions.keep_only(incarnations)
        self._cold_limiter.keep_only(names)
        self.load.keep_only(incarnations, now_s)

    def explain_refusal(
        self,
        service: str,
        metadata: RequestMetadata,
        view: FleetView,
        entries: int,
        now_s: float,
        costs: PromptCosts | None,
    ) -> str:
        """Return why no target may take a request: the count left after each filter."""
        known = self.targets_of(service)
        usable = self.usable_targets(service, metadata, view, set(), now_s)
        self.versions.log_barred(metadata.request_id, service, now_s)
        fitting = self._with_free_memory(
            usable, service, view.deployment, costs, entries, now_s
        )
        counts = f"{len(known)} known, {len(usable)} usable, {len(fitting)} with room"
        reasons = Counter(why.reason for why in self.left_out(service, now_s).values())
        asked = "".join(f", {count} {reason}" for reason, count in reasons.items())
        return f"{service}: {counts}{asked}"

    def _budget(self, service: str) -> ServiceRetryBudget:
        if service not in self._budgets:
            self._budgets[service] = ServiceRetryBudget(self._bounds)
        return self._budgets[service]

    def targets_of(self, service: str) -> list[Target]:
        """Return the known targets of a service."""
        return list(self._directory.targets_of(service))

    def allowed_targets(self, service: str, now_s: float) -> list[Target]:
        """Return the known targets of a service that may be used by their version."""
        return self.versions.allowed(service, self.targets_of(service), now_s)

    def usable_targets(
        self,
        service: str,
        metadata: RequestMetadata,
        view: FleetView,
        tried: set[str],
        now_s: float,
        newest_only: bool = True,
    ) -> list[Target]:
        """Return the targets that may take a request but for their places."""
        return usable_targets(
            self.allowed_targets(service, now_s),
            metadata,
            view,
            tried,
            Checks(
                self._health.is_available,
                self._is_suspect,
                self.is_paused,
                self._left_out.contains,
            ),
            self._bounds.version_s,
            now_s,
            newest_only,
        )

    @property
    def _left_out(self) -> LeftOutTargets:
        return LeftOutTargets(self.notices, self.load, self.rates)

    def left_out(self, service: str, now_s: float) -> dict[str, LeftOut]:
        """Return the targets of a service that are left out for that, by name."""
        return self._left_out.among(self.allowed_targets(service, now_s), now_s)

    def spread_retry_after(self, wait_s: float) -> float:
        """Return the seconds after which one of several callers should return."""
        return spread_retry_after(wait_s, self._rng)

    def pause_left_s(
        self,
        service: str,
        metadata: RequestMetadata,
        view: FleetView,
        tried: set[str],
        now_s: float,
        claim: Claim | None = None,
    ) -> float | None:
        """Return the seconds until the first paused target may take a request.

        :param claim: its claim to targets that name a limit.
        :returns: ``None`` if another target may take it now, or if none is paused that
            could take it otherwise.
        """
        left_out = self.left_out(service, now_s)
        if not left_out or self.usable_targets(service, metadata, view, tried, now_s):
            return None
        paused = [
            target
            for target in self.allowed_targets(service, now_s)
            if target.name in left_out
            and left_out[target.name].reason is not Reason.LEAVING
        ]
        waiting = usable_targets(
            paused,
            metadata,
            view,
            tried,
            Checks(_always, _never, self.is_paused, _never),
            self._bounds.version_s,
            now_s,
        )
        if not waiting:
            return None
        first_s = min(left_out[target.name].remaining_s for target in waiting)
        return first_s + self.rates.queue_s(service, claim, waiting, now_s)

    def _is_suspect(self, target: Target, now_s: float) -> bool:
        """Return whether the target is silent or its data centre unreachable."""
        if self._health.is_unreachable(target, now_s):
            return True
        last_seen_s = self._directory.records[target.name].last_seen_s
        if now_s - last_seen_s > SUSPECT_HEARTBEATS * self._bounds.heartbeat_s:
            return True
        return self.load.is_suspect(target.name, target.service, now_s)

    def _with_free_memory(
        self,
        usable: list[Target],
        service: str,
        deployment: Deployment,
        costs: PromptCosts | None,
        entries: int,
        now_s: float,
    ) -> list[Target]:
        engine = deployment.engine(service)
        if costs is None or engine is None:
            return usable
        return with_free_memory(
            usable, engine, costs.memory_demand, self.load, entries, now_s
        )

    def _is_cold(self, target: Target, rate: float, now_s: float) -> bool:
        record = self._directory.records[target.name]
        return rate > 0 and record.cold_until_s > now_s

    def _choice(
        self,
        service: str,
        target: Target,
        work: int,
        costs: PromptCosts | None,
        now_s: float,
    ) -> Choice:
        age_s = now_s - self._directory.records[target.name].last_seen_s
        rank, memory_tokens = (costs.rank, costs.memory_tokens) if costs else (0, 0)
        queued_tokens = self.load.queued_tokens(target.name, rank) + work
        wait_s = self.load.wait_s(target.name, service, queued_tokens, now_s)
        loads_age_s = self.load.others_age_s(now_s)
        names = [other.name for other in self.targets_of(service)]
        failures = self.load.observed.failure_excess(names)
        return Choice(
            target,
            age_s=round(age_s, 3),
            loads_age_s=None if loads_age_s is None else round(loads_age_s, 3),
            failing=round(failures.get(target.name, 0.0), 3),
            work=work,
            wait_s=wait_s,
            memory_tokens=memory_tokens,
            tries_speed=self.load.tries_speed(target.name, service, rank, now_s),
        )


def _is_late_choice(choice: Choice, costs: PromptCosts | None) -> bool:
    """Return whether a prompt would miss its objective at the chosen target."""
    return costs is not None and 0 < costs.objective_s < choice.wait_s


def _always(target: Target, now_s: float) -> bool:
    return True


def _never(target: Target | str, now_s: float) -> bool:
    return False
