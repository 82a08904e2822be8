"""The owner's core with its waiters: where asks of all entries arrive."""

from collections.abc import Callable

import trio
from returns.result import Result, Success

from vanillabeam.exceptions import VanillabeamError
from vanillabeam.targets.events import (
    Answer,
    Effect,
    Event,
    GrantedPermit,
    PermitRequested,
    Released,
    Renewal,
    Renewed,
)
from vanillabeam.targets.owner import Owner, handle
from vanillabeam.targets.records import Outcome, PermitRequest

__all__ = ["OwnerDispatcher"]


class Waiter:
    """Somebody who waits for the answer to an ask."""

    def __init__(self):
        self.event = trio.Event()
        self.result: Result[GrantedPermit, VanillabeamError] | None = None


class OwnerDispatcher:
    """Feeds the owner's core and hands its answers to who waits for them.

    Every change of state is one call without a wait in it, so the calls of
    different tasks do not mix.

    :param owner: the core.
    :param send: takes the effects that need a call to another VM.
    """

    def __init__(self, owner: Owner, send: Callable[[Effect], None]):
        self.owner = owner
        self._send = send
        self._waiters: dict[str, Waiter] = {}

    def post(self, event: Event) -> list[Effect]:
        """Give the core an event and carry out its effects.

        :returns: the effects, for a caller that looks for its own.
        """
        effects = handle(event, self.owner, trio.current_time())
        for effect in effects:
            if isinstance(effect, Answer):
                self._answer(effect)
            else:
                self._send(effect)
        return effects

    async def request_permit(
        self, request: PermitRequest
    ) -> Result[GrantedPermit, VanillabeamError] | None:
        """Ask for a permit; ``None`` if it still waits after ``poll_s``."""
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
        """Prolong a permit and return whether it holds."""
        effects = self.post(Renewed(renewal))
        return any(
            isinstance(effect, Answer) and isinstance(effect.result, Success)
            for effect in effects
            if isinstance(effect, Answer)
            and effect.permit_id == renewal.grant.permit_id
        )

    def release(self, permit_id: str, target: str, outcome: Outcome) -> None:
        """End a permit."""
        self.post(Released(permit_id, target, outcome))

    def _answer(self, answer: Answer) -> None:
        waiter = self._waiters.get(answer.permit_id)
        if waiter is None:
            return
        waiter.result = answer.result
        waiter.event.set()
