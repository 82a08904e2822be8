"""Refusal of requests that an entry VM short of processor time would send too late."""

import trio
from returns.result import Failure, Result, Success

from vanillabeam.fleet.loads import EntryLoad, LoadView
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.exceptions import NoTarget, VmOverloaded
from vanillabeam.overload.task import Overload

__all__ = ["OverloadGate", "ReportedOverload"]


class OverloadGate:
    """Says which requests go on.

    :param overload: overload of this VM; ``None`` where it is not measured.
    """

    def __init__(self, overload: Overload | None):
        self._overload = overload

    def record_start(self, arrived_s: float, now_s: float) -> None:
        """Record a request's first step here.

        :param arrived_s: monotonic time at which it arrived.
        """
        if self._overload is not None:
            self._overload.backlog.record_start(now_s - arrived_s, now_s)

    async def take_turn(self) -> None:
        """Wait until a new request may begin."""
        if self._overload is not None:
            await self._overload.turns.take()

    def check(self, request: AdmittedRequest) -> Result[AdmittedRequest, NoTarget]:
        """Return the request, or why it can't be served in time.

        A caller that resumes a stream isn't refused for its objective: its answer is
        under way.
        """
        now_s = trio.current_time()
        if now_s >= request.ends_s:
            waited_s = now_s - request.began_s
            return Failure(NoTarget(f"its time had passed, {waited_s:.2f} s"))
        if self._overload is None:
            return Success(request)
        objective_s = request.route.objective_s
        due_s = request.ends_s
        if objective_s and not request.metadata.last_event_id:
            due_s = min(due_s, request.began_s + objective_s)
        backlog = self._overload.backlog
        retry_s = backlog.refusal_s(0.0, due_s - now_s, now_s)
        if retry_s is None:
            return Success(request)
        delay_s = backlog.delay_s(now_s)
        return Failure(VmOverloaded(f"{delay_s:.2f} s until it is sent", retry_s))


class ReportedOverload:
    """The load of this VM and the others, with the names of those that have no room.

    :param load: the load without these names.
    """

    def __init__(self, load: LoadView, overload: Overload):
        self._load = load
        self._overload = overload

    def own(self, now_s: float) -> EntryLoad:
        """Return this VM's load."""
        load = self._load.own(now_s)
        load["overloaded"] = self._overload.own()
        return load

    def update_others(self, load: EntryLoad, now_s: float) -> None:
        """Replace the load of all other entry VMs."""
        self._load.update_others(load, now_s)
        self._overload.update_others(load.get("overloaded", {}), now_s)
