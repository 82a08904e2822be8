"""Right of the fleet log's leader to order targets, and its fencing number."""

import time

import trio
from returns.result import Failure, Success

from vanillabeam.decisions import FenceRaised, log_record
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.machine import fence_offset, make_fence_raise
from vanillabeam.fleet.orderlease import OrderLease

__all__ = ["OrderRight"]

#: Shortest time between two raises: a target may refuse each number.
RAISE_PERIOD_S = 2.0


class OrderRight:
    """Right of this VM to order targets, which it confirms before each order.

    :param control: the control VM, whose replica of the fleet log leads or not.
    """

    def __init__(self, control: FleetControl):
        self._control = control
        self._lease = OrderLease(control.cfg.bounds.lease_s)
        self._is_raising = False
        self._raised_s = float("-inf")

    @property
    def term(self) -> int:
        """Term of the fleet log, which an order must not outlive."""
        return self._control.node.term

    @property
    def fence(self) -> int:
        """Fencing number of an order that is sent now.

        It is higher than that of every leader before: the term is higher, and the
        offset in the log never lower once what they committed is applied.
        """
        return self.term + fence_offset(self._control.machine.state)

    def is_held(self, term: int | None = None) -> bool:
        """Return whether this VM leads and has done so for a lease.

        :param term: term in which it must; ``None`` for any.
        """
        node = self._control.node
        held = self._lease.update(node.is_leader, node.term, trio.current_time())
        return held and term in (None, node.term)

    async def confirm(self, term: int) -> bool:
        """Return whether a quorum still follows this VM, in the term of its lease.

        Everything that was committed before the call is applied then.
        """
        if not self.is_held(term):
            return False
        confirmed = await self._control.read_state()
        return isinstance(confirmed, Success) and self.is_held(term)

    async def raise_fence(self, refused: int) -> None:
        """Commit a higher fencing number, unless the refused one is in force no more.

        It is above all numbers of a log that was founded before this one, as it begins
        at the time of day. A raise whose outcome is unknown counts once it is applied.
        """
        too_soon = trio.current_time() - self._raised_s < RAISE_PERIOD_S
        if self._is_raising or too_soon:
            return
        self._is_raising = True
        try:
            confirmed = await self.confirm(self.term)
            if confirmed and refused == self.fence:
                await self._raise(refused)
        finally:
            self._is_raising = False

    async def _raise(self, refused: int) -> None:
        self._raised_s = trio.current_time()
        offset = max(fence_offset(self._control.machine.state) + 1, int(time.time()))
        raised = await self._control.propose(make_fence_raise(offset))
        failure = raised.failure().type if isinstance(raised, Failure) else ""
        log_record(FenceRaised(refused, self.fence, failure))
