"""Connects the rollouts of software versions to a control VM's log and targets."""

from collections.abc import Callable, Sequence
from typing import Protocol

from returns.result import Result

from vanillabeam.canary.capacity import VersionTarget
from vanillabeam.canary.plan import Exposure
from vanillabeam.canary.records import RolloutChange, Rollouts
from vanillabeam.canary.task import RolloutTask
from vanillabeam.fleet.follower import Follower
from vanillabeam.fleet.machine import Command, FleetMachine, make_rollout_command
from vanillabeam.fleet.records import Deployment, FleetSettings
from vanillabeam.fleet.view import read_or_keep
from vanillabeam.log import Applied, LogNode
from vanillabeam.log.exceptions import LogError
from vanillabeam.pauses import PauseDetector

__all__ = ["make_rollouts"]


class _Control(Protocol):
    """The control VM, as far as rollouts need it."""

    cfg: FleetSettings
    node: LogNode
    machine: FleetMachine
    follower: Follower
    pauses: PauseDetector
    read: Callable[[str], Deployment]
    applied: int

    async def propose(
        self, command: Command, after: int | None = None
    ) -> Result[Applied, LogError]:
        """Commit a command, unless its subject has another one after ``after``."""

    async def catch_up(self) -> Result[int, LogError]:
        """Wait until all that is committed has been applied here."""


def make_rollouts(
    control: _Control, active_entries: Callable[[float], list[str]]
) -> RolloutTask:
    """Return the task that takes and decides rollouts on a control VM.

    :param active_entries: returns the entry VMs in touch at a monotonic time.
    """
    bounds = control.cfg.bounds
    return RolloutTask(
        _Log(control),
        _Targets(control, active_entries),
        Exposure(bounds.expose_share, bounds.expose_requests),
        control.pauses.has_just_ended,
    )


class _Log:
    """The fleet log, as far as rollouts need it."""

    def __init__(self, control: _Control):
        self._control = control

    @property
    def is_leader(self) -> bool:
        return self._control.node.is_leader

    @property
    def applied(self) -> int:
        return self._control.applied

    def index(self) -> int:
        return self._control.machine.state["index"]

    def rollouts(self) -> Rollouts:
        return self._control.machine.state.get("rollouts", {})

    async def confirm(self) -> Result[int, LogError]:
        return await self._control.catch_up()

    async def propose(
        self, change: RolloutChange, after: int | None = None
    ) -> Result[Applied, LogError]:
        return await self._control.propose(make_rollout_command(change), after)


class _Targets:
    """Services of the deployment in force, targets, and entry VMs in contact."""

    def __init__(self, control: _Control, active_entries: Callable[[float], list[str]]):
        self._control = control
        self._deployment = Deployment()
        self._document = ""
        self.entry_vms = active_entries

    def knows(self, service: str) -> bool:
        deployment = self._newest_deployment()
        shares = (share for route in deployment.routes for share in route.shares)
        is_routed = any(share.service == service for share in shares)
        return is_routed or service in deployment.services

    def listed(self, service: str, now_s: float) -> Sequence[VersionTarget] | None:
        follower = self._control.follower
        if follower.is_discovering(now_s):
            return None
        return [
            VersionTarget(
                record.target.name,
                record.target.software,
                record.target.slots,
                record.target.data_centre,
                record.cold_until_s <= now_s,
            )
            for record in follower.directory.records.values()
            if record.target.service == service
            and not record.target.draining
            and record.target.incarnation not in follower.directory.leaving
        ]

    def _newest_deployment(self) -> Deployment:
        """Return the deployment as of the log, which the control VM may read later."""
        state = self._control.machine.state
        if state["document"] != self._document:
            self._document = state["document"]
            self._deployment = read_or_keep(self._control.read, state, self._deployment)
        return self._deployment
