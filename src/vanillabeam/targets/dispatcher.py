"""Dispatcher that feeds events to the owner's core and delivers its answers."""

from collections.abc import Callable

import trio
from returns.result import Result, Success

from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.events import (
    Effect,
    Event,
    GrantedPermit,
    PermitAnswer,
    PermitRequested,
    Released,
    Renewal,
    Renewed,
)
from vanillabeam.targets.owner import Owner, handle
from vanillabeam.targets.records import Outcome, PermitRequest

__all__ = ["OwnerDispatcher"]


class Waiter:
    """A task that waits for the answer to a permit request."""

    def __init__(self):
        self.event = trio.Event()
        self.result: Result[GrantedPermit, VanillabeamError] | None = None


class OwnerDispatcher:
    """Passes events to the owner's core and its answers to the waiting tasks.

    Each change of state is one call without an ``await``, so the changes of
    different tasks do not interleave.

    :param owner: state of the core.
    :param send: performs effects that need a call to another VM or to a target.
    """

    def __init__(self, owner: Owner, send: Callable[[Effect], None]):
        self.owner = owner
        self._send = send
        self._waiters: dict[str, Waiter] = {}

    def post(self, event: Event) -> list[Effect]:
        """Pass an event to the core and perform its effects.

        :returns: the effects, so that a caller can pick those meant for it.
        """
        effects = handle(event, self.owner, trio.current_time())
        for effect in effects:
            if isinstance(effect, PermitAnswer):
                self._answer(effect)
            else:
                self._send(effect)
        return effects

    async def request_permit(
        self, request: PermitRequest
    ) -> Result[GrantedPermit, VanillabeamError] | None:
        """Request a permit; return ``None`` if it still waits after ``poll_s``."""
        waiter = self._waiters.setdefault(request.permit_id, Waiter())
        self.post(PermitRequested(request))
        try:
            with trio.move_on_after(self.owner.settings.poll_s):
                await waiter.event.wait()
        finally:
            if self._waiters.get(request.permit_id) is waiter:
                del self._waiters[request.permit_id]
        return waiter.result

    def renew(self, renewal: Renewal) -> bool:
        """Renew a permit and return whether it is still valid."""
        effects = self.post(Renewed(renewal))
        return any(
            isinstance(effect, PermitAnswer) and isinstance(effect.result, Success)
            for effect in effects
            if isinstance(effect, PermitAnswer)
            and effect.permit_id == renewal.grant.permit_id
        )

    def release(self, permit_id: str, target: str, outcome: Outcome) -> None:
        """Release a permit after its run."""
        self.post(Released(permit_id, target, outcome))

    def _answer(self, answer: PermitAnswer) -> None:
        waiter = self._waiters.get(answer.permit_id)
        if waiter is None:
            return
        waiter.result = answer.result
        waiter.event.set()
