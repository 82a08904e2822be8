"""Software versions of targets: which a request may go to, and what is seen of them."""

import math
import random
import secrets
from collections.abc import Callable

from vanillabeam.canary.counts import CountedRequest, VersionCounts
from vanillabeam.canary.exposure import STALE_S, Exposure
from vanillabeam.canary.records import RolloutReport, Rollouts
from vanillabeam.canary.sightings import HOLD_S
from vanillabeam.decisions import (
    ExposureChanged,
    RolloutInForce,
    VersionHeld,
    VersionsBarred,
    log_record,
)
from vanillabeam.fleet import Directory, Target
from vanillabeam.forwarding.choosing.chosen import Choice

__all__ = ["TargetVersions"]

BOOT_BYTES = 4
#: Seconds after its cold window in which a target's slowness tells nothing yet.
WARM_AFTER_S = 1.0


class TargetVersions:
    """Keeps requests from versions that they may not go to, and counts what is seen.

    :param is_enabled: whether the settings bound what a bad version receives; else
        versions are ignored.
    :param rng: draws the first credit of each rollout.
    :ivar rollouts: returns the newest rollout of each service.
    :ivar news_age_s: returns the seconds since the last news of the leader.
    :ivar count_sent: called with service and version role of each request that is sent
        while a rollout runs.
    """

    def __init__(self, is_enabled: bool, directory: Directory, rng: random.Random):
        self.is_enabled = is_enabled
        self.rollouts: Callable[[], Rollouts] = dict
        self.news_age_s: Callable[[], float] = float
        self.count_sent: Callable[[str, str], None] = _ignore
        self._directory = directory
        self._exposure = Exposure(rng)
        self._counts = VersionCounts(secrets.token_hex(BOOT_BYTES))
        #: Services of which some requests go to a new version.
        self._exposed: set[str] = set()
        #: Version of the directory at the last look at a service's targets.
        self._seen: dict[str, int] = {}
        #: Monotonic time from which the slowness of a target counts, by incarnation.
        self._warm_from_s: dict[tuple[str, int], float] = {}
        #: Records that were applied last.
        self._applied: Rollouts = {}

    def allowed(
        self, service: str, targets: list[Target], now_s: float
    ) -> list[Target]:
        """Return those of the known targets of a service that may be used by version.

        :param targets: all known targets of the service.
        """
        if not self.is_enabled:
            return targets
        self._update()
        self._see(service, targets, now_s)
        news_age_s = self.news_age_s()
        if self._exposure.is_open(service, now_s - news_age_s):
            return targets
        self._log_exposure(service, news_age_s)
        return self._exposure.allowed(service, targets, news_age_s, now_s)

    def preferred(self, service: str, usable: list[Target]) -> list[Target]:
        """Return the usable targets that the next request is meant for, if any."""
        if not self.is_enabled:
            return []
        # Without the leader's judgement this VM's own has to do.
        is_stale = self.news_age_s() > STALE_S
        avoids_new = is_stale and self._counts.looks_bad(service)
        return self._exposure.preferred(service, usable, avoids_new)

    def record_choice(self, target: Target, is_first: bool) -> None:
        """Record the choice of a target for a request.

        :param is_first: whether it is the first choice for the request.
        """
        if self.is_enabled:
            self._exposure.record_choice(target.service, target.software, is_first)

    def begin(
        self, choice: Choice, route: str, is_prompt: bool, now_s: float
    ) -> CountedRequest:
        """Record the begin of a request at a target.

        :param route: name of the request's route.
        """
        self._update()
        target = choice.target
        return self._counts.begin(
            (target.service, target.software),
            route,
            target.name,
            choice.wait_s if is_prompt else None,
            now_s,
            self._is_cold(target, now_s),
        )

    def may_send(self, target: Target, now_s: float) -> bool:
        """Return whether a request may still be sent to the target chosen for it."""
        if not self.is_enabled:
            return True
        self._update()
        news_age_s = self.news_age_s()
        if self._exposure.is_open(target.service, now_s - news_age_s):
            return True
        return self._exposure.may_send(
            target.service,
            target,
            lambda: self._known(target.service),
            news_age_s,
            now_s,
        )

    def record_sent(self, request: CountedRequest) -> None:
        """Record that a request is sent."""
        request.record_sent()
        service, software = request.version
        role = self._exposure.role(service, software)
        if role:
            self.count_sent(service, role)

    def end(self, request: CountedRequest) -> None:
        """Record that a request at a target has ended."""
        self._counts.end(request)

    def reports(self) -> list[RolloutReport]:
        """Return what this VM has seen of each running rollout."""
        if not self.is_enabled:
            return []
        self._update()
        return self._counts.reports()

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget what is recorded of all other incarnations of targets."""
        for incarnation in self._warm_from_s.keys() - incarnations:
            del self._warm_from_s[incarnation]

    def log_barred(self, request_id: str, service: str, now_s: float) -> None:
        """Log that a request found no target, if versions are a part of the reason."""
        known = self._known(service)
        barred = len(known) - len(self.allowed(service, known, now_s))
        if not barred:
            return
        record = self.rollouts().get(service)
        log_record(
            VersionsBarred(
                request_id,
                service,
                len(known),
                barred,
                record["to"] if record else "",
                str(record["step"]) if record else "",
                _loggable(self.news_age_s()),
            )
        )

    def _known(self, service: str) -> list[Target]:
        targets = self._directory.targets()
        return [target for target in targets if target.service == service]

    def _update(self) -> None:
        """Apply the newest records, if they have changed."""
        rollouts = self.rollouts()
        if rollouts is self._applied or not self.is_enabled:
            return
        self._applied = rollouts
        self._seen.clear()
        self._counts.update(rollouts)
        for record in self._exposure.update(rollouts):
            log_record(
                RolloutInForce(
                    record["service"],
                    record["to"],
                    record["order"],
                    str(record["step"]),
                    record["share"],
                    record["reason"],
                    record["evidence"],
                )
            )

    def _see(self, service: str, targets: list[Target], now_s: float) -> None:
        """Record the versions of a service's targets, if the targets have changed."""
        if self._seen.get(service) == self._directory.version:
            return
        self._seen[service] = self._directory.version
        for version in self._exposure.see(service, targets, now_s):
            count = sum(target.software == version for target in targets)
            log_record(VersionHeld(service, version, count, HOLD_S))

    def _log_exposure(self, service: str, news_age_s: float) -> None:
        """Log when requests begin to go to a new version, and when they cease to."""
        exposes = self._exposure.exposes(service, news_age_s)
        if exposes == (service in self._exposed):
            return
        self._exposed ^= {service}
        record = self._applied.get(service)
        to, order = (record["to"], record["order"]) if record else ("", 0)
        age_s = _loggable(news_age_s)
        log_record(ExposureChanged(service, to, order, exposes, age_s))

    def _is_cold(self, target: Target, now_s: float) -> bool:
        """Return whether a target is cold, or was lately."""
        record = self._directory.records.get(target.name)
        if record is not None and record.target.cold_ms > 0:
            warm_from_s = record.cold_until_s + WARM_AFTER_S
            self._warm_from_s[target.incarnation] = warm_from_s
        return self._warm_from_s.get(target.incarnation, now_s) > now_s


def _loggable(age_s: float) -> float | None:
    return round(age_s, 2) if math.isfinite(age_s) else None


def _ignore(service: str, role: str) -> None:
    """Count nothing."""
