"""The VMs of other data centres, asked for at a rate that is bounded."""

from collections.abc import Callable

import trio
from returns.result import Success

from vanillabeam.members import DataCentreSummary, Member, Members, ViewReply
from vanillabeam.members.shell import VIEW_PATH
from vanillabeam.peercall import PeerCall
from vanillabeam.wire import decode

__all__ = ["FarView"]

PERIOD_S = 5.0
MEMBER_BYTES = 250
RATE_BYTES_S = 1_000.0
CALL_TIMEOUT_S = 2.0
MISSES = 3


class FarView:
    """Keeps the members of each other data centre.

    Membership tells only sums of them. The whole list of one is asked of a VM
    there every few seconds; the period grows with the fleet, so that the bytes
    a second do not. A data centre that does not answer three times in a row
    is taken for cut off.

    :param on_change: called when a list has changed.

    >>> far = FarView(members, call, on_change)
    >>> await nursery.start(far.run)
    >>> [member.name for member in far.members()]
    ['rw-b-entry-1', 'rw-b-entry-2']
    """

    def __init__(self, members: Members, call: PeerCall, on_change: Callable[[], None]):
        self._members = members
        self._call = call
        self._on_change = on_change
        self._lists: dict[str, tuple[Member, ...]] = {}
        self._misses: dict[str, int] = {}

    def members(self) -> list[Member]:
        """Return the members of all other data centres that are reached."""
        return [member for group in self._lists.values() for member in group]

    @property
    def period_s(self) -> float:
        """Return the time between two questions to a data centre."""
        return max(PERIOD_S, len(self.members()) * MEMBER_BYTES / RATE_BYTES_S)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED) -> None:
        """Ask until cancelled, and at once for a data centre that is new."""
        task_status.started()
        while True:
            await self._ask_all()
            with trio.move_on_after(self.period_s):
                await self._wait_for_new()

    async def _wait_for_new(self) -> None:
        while True:
            view = self._members.view()
            if any(name not in self._lists for name in view.summaries):
                await trio.sleep(PERIOD_S / 10)
                return
            await self._members.view_after(view.version)

    async def _ask_all(self) -> None:
        for summary in self._members.view().summaries.values():
            found = await self._ask(summary)
            self._take(summary.data_centre, found)

    async def _ask(self, summary: DataCentreSummary) -> tuple[Member, ...] | None:
        for _, address in summary.contacts:
            with trio.move_on_after(CALL_TIMEOUT_S):
                result = await self._call(address, VIEW_PATH, b"{}")
                reply = result.bind(lambda body: decode(ViewReply, body))
                if isinstance(reply, Success):
                    return tuple(sorted(reply.unwrap()["alive"]))
        return None

    def _take(self, data_centre: str, found: tuple[Member, ...] | None) -> None:
        before = self._lists.get(data_centre, ())
        if found is None:
            self._misses[data_centre] = self._misses.get(data_centre, 0) + 1
            found = before if self._misses[data_centre] < MISSES else ()
        else:
            self._misses[data_centre] = 0
        self._lists[data_centre] = found
        if found != before:
            self._on_change()
