"""Task of a control VM that takes orders of rollouts and decides on their steps."""

import time
from collections.abc import Callable, Sequence
from math import isfinite
from typing import Protocol

import trio
from returns.result import Failure, Result, Success

from vanillabeam import wire
from vanillabeam.canary.ages import RolloutAges
from vanillabeam.canary.capacity import VersionTarget, count_capacity
from vanillabeam.canary.exceptions import (
    DurationInvalid,
    NoRollout,
    RolloutRunning,
    RolloutsDisabled,
    RolloutUnconfirmed,
    VersionMissing,
)
from vanillabeam.canary.judge import Judge, Verdict
from vanillabeam.canary.messages import RolloutReply, RolloutRequest
from vanillabeam.canary.plan import SUSPICIOUS, Exposure, Situation, next_change
from vanillabeam.canary.records import (
    RolloutChange,
    RolloutReport,
    Rollouts,
    VersionRollout,
    is_running,
)
from vanillabeam.canary.state import is_duplicate, make_order, trial_targets
from vanillabeam.canary.tally import Sums, Tally
from vanillabeam.decisions import (
    RolloutOrdered,
    RolloutStepped,
    RolloutSuspected,
    log_record,
)
from vanillabeam.exceptions import ProcessPaused, UnknownService, VanillabeamError

__all__ = ["RolloutLog", "RolloutTask", "RolloutTargets"]

#: Seconds between two decisions. Reports come some tenths of a second apart.
PERIOD_S = 0.1
#: Largest part of the time that decisions take: adding up the reports of 194 entry VMs
#: takes some tens of milliseconds.
MAX_LOAD = 0.25
#: Longest duration of a rollout: one day.
MAX_DURATION_S = 86_400.0
#: Seconds that an order may take here. Its operator resends it for 5 s.
START_LIMIT_S = 4.0
#: Proposals of one order: one more where the log went on since the state was confirmed.
PROPOSALS = 2


class RolloutLog(Protocol):
    """The replicated log, as far as rollouts need it."""

    @property
    def is_leader(self) -> bool:
        """Whether this VM leads the log."""

    @property
    def applied(self) -> int:
        """Index up to which the log has been applied here."""

    def index(self) -> int:
        """Return the index of the state here, that of the last command."""

    def rollouts(self) -> Rollouts:
        """Return the rollouts as applied here."""

    async def confirm(self) -> Result[int, VanillabeamError]:
        """Wait until all that is committed has been applied here."""

    async def propose(
        self, change: RolloutChange, after: int | None = None
    ) -> Result[object, VanillabeamError]:
        """Commit a change, unless its service has another one after ``after``."""


class RolloutTargets(Protocol):
    """Services and their targets, as far as rollouts need them."""

    def knows(self, service: str) -> bool:
        """Return whether a service is part of the deployment in force."""

    def listed(self, service: str, now_s: float) -> Sequence[VersionTarget] | None:
        """Return the targets for new requests; ``None`` if some may be missing."""

    def entry_vms(self, now_s: float) -> list[str]:
        """Return the entry VMs that are in contact."""


class _Run:
    """State of a running rollout on this VM, beside its record.

    :ivar alone_since_s: time since which no target of another version was listed.
    :ivar answers_before: the new version's answers when the present share began.
    """

    def __init__(self, record: VersionRollout):
        self.order = record["order"]
        self.tally = Tally()
        self.judge = Judge(record["duration_s"])
        self.verdict = Verdict()
        self.is_suspected = False
        self.alone_since_s: float | None = None
        self.answers_before = 0
        self.share = record["share"]


class RolloutTask:
    """Takes orders, adds up reports, and decides on rollouts while its VM leads.

    :param bound: bound on what a bad version receives; a share of 0 disables rollouts.
    :param has_paused: returns whether this process was paused lately, so that an order
        may have been sent long ago.

    >>> task = RolloutTask(log, targets, Exposure(0.1, 50.0), has_paused)
    >>> nursery.start_soon(task.run)
    >>> await task.start("shop", "v2", 12.0)
    """

    def __init__(
        self,
        log: RolloutLog,
        targets: RolloutTargets,
        bound: Exposure,
        has_paused: Callable[[float], bool],
    ):
        self._log = log
        self._targets = targets
        self._bound = bound
        self._has_paused = has_paused
        self._ages = RolloutAges(1000 * time.time())
        self._runs: dict[str, _Run] = {}

    @property
    def is_enabled(self) -> bool:
        """Whether the settings have the bounds of rollouts."""
        return self._bound.share > 0

    async def start(
        self, service: str, to: str, duration_s: float
    ) -> Result[VersionRollout, VanillabeamError]:
        """Commit an order; return the record of its rollout.

        A repeated order is answered by the rollout that it began, also once that has
        ended.

        :returns: :class:`~vanillabeam.exceptions.UnknownService`,
            :class:`RolloutRunning`, :class:`DurationInvalid`,
            :class:`VersionMissing` or :class:`RolloutsDisabled` if it has no effect;
            :class:`~vanillabeam.exceptions.ProcessPaused` or
            :class:`RolloutUnconfirmed` if it is to be sent again.
        """
        answer: Result[VersionRollout, VanillabeamError] = Failure(
            RolloutUnconfirmed("no answer in time")
        )
        with trio.move_on_after(START_LIMIT_S):
            answer = await self._start(service, to, duration_s)
        is_accepted = isinstance(answer, Success)
        order = answer.unwrap()["order"] if is_accepted else 0
        failure = "" if is_accepted else answer.failure().type
        log_record(RolloutOrdered(service, to, duration_s, order, failure))
        return answer

    async def state(self, service: str) -> Result[VersionRollout, VanillabeamError]:
        """Return the newest rollout of a service, after all that is committed.

        :returns: :class:`~vanillabeam.exceptions.UnknownService`, :class:`NoRollout` or
            :class:`RolloutUnconfirmed` if there is none or it is not known.
        """
        confirmed = await self._log.confirm()
        if isinstance(confirmed, Failure):
            return Failure(RolloutUnconfirmed(str(confirmed.failure())))
        record = self._log.rollouts().get(service)
        if record is not None:
            return Success(record)
        is_known = self._targets.knows(service)
        return Failure(NoRollout(service) if is_known else UnknownService(service))

    async def handle(self, body: bytes) -> Result[bytes, VanillabeamError]:
        """Answer an operator's tool; an order is committed first."""
        decoded = wire.decode(RolloutRequest, body)
        if isinstance(decoded, Failure):
            return decoded
        request = decoded.unwrap()
        service = request["service"]
        if "start" in request:
            order = request["start"]
            service = order["service"]
            started = await self.start(service, order["to"], order["duration_s"])
            if isinstance(started, Failure):
                return started
        if service:
            known = await self.state(service)
            return known.map(
                lambda record: wire.encode(RolloutReply(rollouts={service: record}))
            )
        confirmed = await self._log.confirm()
        if isinstance(confirmed, Failure):
            return Failure(RolloutUnconfirmed(str(confirmed.failure())))
        return Success(wire.encode(RolloutReply(rollouts=self._log.rollouts())))

    def update(
        self, vm: str, report: RolloutReport, now_s: float, index: int = 0
    ) -> None:
        """Record what an entry VM reports of a running rollout.

        :param index: index of the fleet state that it held.
        """
        run = self._runs.get(report["service"])
        if run is not None and run.order == report["order"]:
            run.tally.update(vm, report, now_s, index)

    def observe(self) -> None:
        """Take notice of the rollouts after a change of the replicated state."""
        rollouts = self._log.rollouts()
        if not rollouts:
            return
        now_s = trio.current_time()
        self._ages.observe(rollouts, self._log.index(), now_s, 1000 * time.time())
        for service, record in rollouts.items():
            run = self._runs.get(service)
            if not is_running(record):
                self._runs.pop(service, None)
            elif run is None or run.order != record["order"]:
                self._runs[service] = _Run(record)
            elif run.share != record["share"]:
                run.share = record["share"]
                run.answers_before = run.tally.sums().all_new.answers

    async def run(self) -> None:
        """Decide until cancelled, while this VM leads."""
        pause_s = PERIOD_S
        while self.is_enabled:
            await trio.sleep(pause_s)
            began_s = time.perf_counter()
            changes = [
                self._decide(service, trio.current_time())
                for service in list(self._runs)
                if self._log.is_leader
            ]
            took_s = time.perf_counter() - began_s
            pause_s = max(PERIOD_S, took_s * (1 / MAX_LOAD - 1))
            for decision in changes:
                if decision is not None:
                    await self._commit(*decision)

    def _decide(
        self, service: str, now_s: float
    ) -> tuple[RolloutChange, Situation] | None:
        """Return the next change of a rollout and what it is based on."""
        run, record = self._runs.get(service), self._log.rollouts().get(service)
        targets = self._targets.listed(service, now_s)
        if run is None or record is None or targets is None:
            return None
        capacity = count_capacity(targets, record["to"])
        self._judge(run, record, trial_targets(record, capacity.new), now_s)
        if capacity.old:
            run.alone_since_s = None
        elif run.alone_since_s is None:
            run.alone_since_s = now_s
        alone_s = 0.0 if run.alone_since_s is None else now_s - run.alone_since_s
        since_s, index = self._ages.step_since(record)
        entry_vms = self._targets.entry_vms(now_s)
        situation = Situation(
            record,
            run.verdict,
            run.tally.sums(),
            capacity,
            self._ages.age_s(record, now_s),
            now_s - since_s,
            alone_s,
            run.answers_before,
            run.tally.is_drained(entry_vms, since_s, index),
        )
        change = next_change(situation, self._bound)
        return None if change is None else (change, situation)

    def _judge(
        self, run: _Run, record: VersionRollout, targets: int, now_s: float
    ) -> None:
        run.verdict = run.judge.update(run.tally.sums(), now_s, targets)
        is_suspected = run.verdict.odds >= SUSPICIOUS
        if is_suspected != run.is_suspected:
            run.is_suspected = is_suspected
            log_record(
                RolloutSuspected(
                    record["service"],
                    record["to"],
                    run.order,
                    round(run.verdict.odds, 1),
                    run.verdict.evidence,
                )
            )

    async def _commit(self, change: RolloutChange, situation: Situation) -> None:
        proposed = await self._log.propose(change)
        record = change["record"]
        failure = proposed.failure().type if isinstance(proposed, Failure) else ""
        log_record(
            RolloutStepped(
                record["service"],
                record["to"],
                record["order"],
                round(situation.age_s, 3),
                record["step"],
                record["share"],
                record["reason"],
                record["evidence"],
                situation.sums.all_new.sent,
                failure,
            )
        )

    async def _start(
        self, service: str, to: str, duration_s: float
    ) -> Result[VersionRollout, VanillabeamError]:
        started_ms = int(1000 * time.time())
        invalid = self._check(service, to, duration_s)
        if invalid is not None:
            return Failure(invalid)
        order = make_order(service, to, float(duration_s), started_ms)
        detail = ""
        for _ in range(PROPOSALS):
            # After a pause the order may be a copy of one that was settled long ago.
            if self._has_paused(trio.current_time()):
                return Failure(ProcessPaused("this process has just been paused"))
            confirmed = await self._log.confirm()
            if isinstance(confirmed, Failure):
                return Failure(RolloutUnconfirmed(str(confirmed.failure())))
            answer = self._answer(order["record"])
            if answer is not None:
                return answer
            if not self._targets.knows(service):
                return Failure(UnknownService(service))
            proposed = await self._log.propose(order, self._log.applied)
            if isinstance(proposed, Failure):
                detail = str(proposed.failure())
        confirmed = await self._log.confirm()
        answer = self._answer(order["record"])
        if isinstance(confirmed, Failure) or answer is None:
            return Failure(RolloutUnconfirmed(detail))
        return answer

    def _check(
        self, service: str, to: str, duration_s: float
    ) -> VanillabeamError | None:
        """Return why an order can't be taken, whatever the state of the log."""
        if not self.is_enabled:
            return RolloutsDisabled()
        if not service:
            return UnknownService("no service is named")
        if not to:
            return VersionMissing()
        if not isfinite(duration_s) or not 0 < duration_s <= MAX_DURATION_S:
            return DurationInvalid(f"{duration_s} s")
        return None

    def _answer(
        self, order: VersionRollout
    ) -> Result[VersionRollout, VanillabeamError] | None:
        """Return the answer to an order by the state; ``None``: propose it."""
        record = self._log.rollouts().get(order["service"])
        if record is None:
            return None
        if is_duplicate(record, order["to"], order["started_ms"]):
            return Success(record)
        if not is_running(record):
            return None
        if record["to"] == order["to"]:
            # An operator's clock and ours may differ: the same order, later.
            return Success(record)
        detail = f"{record['service']} to {record['to']}, {record['step']}"
        return Failure(RolloutRunning(detail))

    def rollouts(self) -> Rollouts:
        """Return the newest rollouts, running or ended, as applied here."""
        return self._log.rollouts()

    def sums(self) -> dict[str, Sums]:
        """Return what was counted of each running rollout, by service."""
        return {service: run.tally.sums() for service, run in self._runs.items()}
