"""Versions that the requests of one entry VM may go to: a functional core.

Each request adds the share of the new version to a credit, and one request goes to the
new version for each whole credit. The credit begins at a random value in [0, 1), so
that the requests of any number of entry VMs together stay within the share: without
it, each VM would round in the same direction.
"""

import math
import random
from collections.abc import Callable
from typing import TypeVar

from vanillabeam.canary.records import Rollouts, Step, VersionRollout, is_running
from vanillabeam.canary.sightings import HOLD_S, Sightings, VersionedTarget
from vanillabeam.rendezvous import rank

__all__ = ["STALE_S", "Exposure"]

#: Seconds without news of the leader after which nothing is sent to a version on trial:
#: it may have been rolled back meanwhile.
STALE_S = 2.0

T = TypeVar("T", bound=VersionedTarget)


class _Rollout:
    """A running or ended rollout, and the credit of this VM in it.

    :ivar alone_s: monotonic time since which no target of another version is known.
    """

    def __init__(self, record: VersionRollout, credit: float):
        self.record = record
        self.credit = credit
        self.alone_s: float | None = None


class Exposure:
    """Decides which targets the requests of one entry VM may go to, by their version.

    :param rng: draws the first credit of each rollout.
    """

    def __init__(self, rng: random.Random):
        self._rng = rng
        self._rollouts: dict[str, _Rollout] = {}
        self._sightings: dict[str, Sightings] = {}

    def update(self, rollouts: Rollouts) -> list[VersionRollout]:
        """Follow the newest records; return those that have changed."""
        changed = []
        for service, record in rollouts.items():
            known = self._rollouts.get(service)
            if known is None or known.record["order"] != record["order"]:
                self._rollouts[service] = _Rollout(record, self._rng.random())
            elif known.record == record:
                continue
            else:
                known.record = record
            changed.append(record)
        for service in [name for name in self._rollouts if name not in rollouts]:
            del self._rollouts[service]
        return changed

    def see(self, service: str, targets: list[T], now_s: float) -> list[str]:
        """Record the known targets of a service; return the versions that are held.

        :returns: those that appear now, beside another one, and that no record names.
        """
        rollout = self._rollouts.get(service)
        sightings = self._sightings.setdefault(service, Sightings())
        new = sightings.update(targets, now_s)
        if rollout is None:
            return new
        to = rollout.record["to"]
        if any(target.software != to and not target.draining for target in targets):
            rollout.alone_s = None
        elif rollout.alone_s is None:
            rollout.alone_s = now_s
        return [version for version in new if version != to]

    def is_open(self, service: str, news_s: float) -> bool:
        """Return whether all targets of a service are allowed, without a look.

        :param news_s: monotonic time of the last news of the leader.
        """
        return service not in self._rollouts and not self._held(service, news_s)

    def allowed(
        self, service: str, targets: list[T], news_age_s: float, now_s: float
    ) -> list[T]:
        """Return the targets that the next request may go to.

        :param targets: all known targets of the service, as in the last :meth:`see`.
        :param news_age_s: seconds since the last news of the leader.
        :param now_s: monotonic time in seconds.
        """
        rollout = self._rollouts.get(service)
        if rollout is None:
            return self._without_held(service, targets, now_s - news_age_s)
        record = rollout.record
        new = [target for target in targets if target.software == record["to"]]
        is_complete = record["step"] is Step.COMPLETE
        if is_complete and any(not target.draining for target in new):
            return new
        old = [target for target in targets if target.software != record["to"]]
        old = self._without_held(service, old, now_s - news_age_s)
        if not is_running(record):
            return old
        if self._is_alone(rollout, now_s):
            return new + old
        if not self._admits(rollout, news_age_s):
            return old
        return old + (_subset(record, new) if record["step"] is Step.TRIAL else new)

    def preferred(
        self, service: str, usable: list[T], avoids_new: bool = False
    ) -> list[T]:
        """Return those of the allowed targets that the next request is meant for.

        :param usable: allowed targets that may take the request otherwise.
        :param avoids_new: whether the new version comes last.
        :returns: targets of the new version, if the request may go there; else none.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or not is_running(rollout.record):
            return []
        to = rollout.record["to"]
        return [target for target in usable if (target.software == to) != avoids_new]

    def may_send(
        self,
        service: str,
        target: T,
        known: Callable[[], list[T]],
        news_age_s: float,
        now_s: float,
    ) -> bool:
        """Return whether a request may still be sent to the target chosen for it.

        :param known: returns all known targets of the service.
        """
        rollout = self._rollouts.get(service)
        step = rollout.record["step"] if rollout is not None else None
        if rollout is not None and target.software == rollout.record["to"]:
            if not is_running(rollout.record):
                return step is Step.COMPLETE
            is_alone = self._is_alone(rollout, now_s)
            return is_alone or _exposes(rollout.record, news_age_s)
        held = self._held(service, now_s - news_age_s)
        if step is not Step.COMPLETE and target.software not in held:
            return True
        allowed = self.allowed(service, known(), news_age_s, now_s)
        return any(other.software == target.software for other in allowed)

    def record_choice(self, service: str, software: str, is_first: bool) -> None:
        """Record the choice of a target for a request.

        :param software: version of the target.
        :param is_first: whether it is the first choice for the request.
        """
        rollout = self._rollouts.get(service)
        if rollout is None or not is_running(rollout.record):
            return
        share = rollout.record["share"]
        if software == rollout.record["to"]:
            rollout.credit = max(0.0, rollout.credit - 1.0)
        if is_first:
            # Not more: credit that can't be used would be used up at once later.
            rollout.credit = min(rollout.credit + share, 1.0 + share)

    def exposes(self, service: str, news_age_s: float) -> bool:
        """Return whether some requests go to the new version of a running rollout."""
        rollout = self._rollouts.get(service)
        if rollout is None or not is_running(rollout.record):
            return False
        return _exposes(rollout.record, news_age_s)

    def role(self, service: str, software: str) -> str:
        """Return ``new`` or ``old`` while a rollout runs; empty otherwise."""
        rollout = self._rollouts.get(service)
        if rollout is None or not is_running(rollout.record):
            return ""
        return "new" if software == rollout.record["to"] else "old"

    def _admits(self, rollout: _Rollout, news_age_s: float) -> bool:
        """Return whether the next request may go to the new version."""
        record = rollout.record
        has_credit = rollout.credit >= 1.0 or record["share"] >= 1.0
        return has_credit and _exposes(record, news_age_s)

    def _is_alone(self, rollout: _Rollout, now_s: float) -> bool:
        """Return whether there have been no targets of another version for some time.

        Refusing all requests would help nobody. A VM that has just started may not
        have heard of the others yet.
        """
        return rollout.alone_s is not None and now_s - rollout.alone_s >= HOLD_S

    def _held(self, service: str, news_s: float) -> set[str]:
        sightings = self._sightings.get(service)
        return sightings.held(news_s) if sightings is not None else set()

    def _without_held(self, service: str, targets: list[T], news_s: float) -> list[T]:
        """Return the targets without those of held versions, unless all are held."""
        held = self._held(service, news_s)
        if not held:
            return targets
        others = [target for target in targets if target.software not in held]
        return others if any(not target.draining for target in others) else targets


def _exposes(record: VersionRollout, news_age_s: float) -> bool:
    """Return whether a running rollout sends anything to the new version now.

    Once all requests go there, a VM without news goes on: the old targets may be gone.
    """
    if record["step"] is Step.SHIFT and record["share"] >= 1.0:
        return True
    is_exposed = record["step"] in (Step.TRIAL, Step.SHIFT) and record["share"] > 0.0
    return is_exposed and news_age_s <= STALE_S


def _subset(record: VersionRollout, new: list[T]) -> list[T]:
    """Return the targets of the new version that are tried, the same on all VMs.

    Each of them carries the load of a normal target, so that a version that is bad
    under load shows.
    """
    by_name = {target.name: target for target in new if not target.draining}
    count = math.ceil(record["share"] * len(by_name))
    return [by_name[name] for name in rank(str(record["order"]), by_name)[:count]]
