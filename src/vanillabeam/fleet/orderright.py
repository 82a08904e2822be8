"""Right of the fleet log's leader to order targets."""

import trio
from returns.result import Success

from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.orderlease import OrderLease

__all__ = ["OrderRight"]


class OrderRight:
    """Right of this VM to order targets, which it confirms before each order.

    :param control: the control VM, whose replica of the fleet log leads or not.
    """

    def __init__(self, control: FleetControl):
        self._control = control
        self._lease = OrderLease(control.cfg.bounds.lease_s)

    def is_held(self) -> bool:
        """Return whether this VM leads and has done so for a lease."""
        node = self._control.node
        return self._lease.update(node.is_leader, node.term, trio.current_time())

    async def confirm(self) -> bool:
        """Return whether a quorum still follows this VM, in the term of its lease.

        Everything that was committed before the call is applied then.
        """
        term = self._control.node.term
        confirmed = await self._control.read_state()
        if not isinstance(confirmed, Success):
            return False
        return self.is_held() and self._control.node.term == term
