"""Exchange of target views between owners, within a byte rate."""

import trio

from vanillabeam.routing.records import TargetView
from vanillabeam.routing.router import Router
from vanillabeam.targets import messages
from vanillabeam.targets.client import OwnerClient
from vanillabeam.targets.outbox import Outbox
from vanillabeam.targets.ownerstate import Owner
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["Summaries"]

#: Assumed size of one packed view.
VIEW_SIZE_BYTES = 400
#: Periods without an update after which a view is removed.
VIEW_LIFETIME_PERIODS = 4


class Summaries:
    """Sends views of this VM's targets and receives those of other owners."""

    def __init__(
        self,
        owner: Owner,
        router: Router,
        client: OwnerClient,
        outbox: Outbox,
        settings: TargetsSettings,
    ):
        self._owner = owner
        self._router = router
        self._client = client
        self._outbox = outbox
        self._settings = settings
        self._last_sent_s = float("-inf")
        self._last_sent: list[tuple] = []

    def receive(self, message: messages.SummaryMessage) -> None:
        """Store another owner's views.

        A view with an older epoch than the stored one is ignored while the stored
        one is fresh.
        """
        now_s = trio.current_time()
        for packed in message["views"]:
            view = messages.unpack_view(packed, now_s)
            if view.target not in self._owner.owned and self._is_newer(view):
                self._router.update(view)

    def refresh(self, name: str) -> None:
        """Update the view of an owned target in this entry's own router."""
        target = self._owner.owned.get(name)
        if target is not None:
            self._router.update(self._owner.view(target, trio.current_time()))

    def tick(self) -> None:
        """Refresh the views of owned targets, remove stale views, send a summary."""
        now_s = trio.current_time()
        for name in self._owner.owned:
            self.refresh(name)
        self._remove_stale(now_s)
        self._send(now_s)

    @property
    def period_s(self) -> float:
        """Return the seconds between summaries, which grow with the fleet."""
        stretched_s = len(self._router.views) * VIEW_SIZE_BYTES
        stretched_s /= self._settings.summary_bytes_s
        return max(self._settings.summary_s, stretched_s)

    def _send(self, now_s: float) -> None:
        views = self._owner.views(now_s)
        urgent = [_urgent_fields(view) for view in views]
        due = now_s - self._last_sent_s >= self.period_s
        if not views or not (due or urgent != self._last_sent):
            return
        self._last_sent_s = now_s
        self._last_sent = urgent
        me = self._owner.me.vm
        packed = [messages.pack_view(view) for view in views]
        message = messages.SummaryMessage(vm=me, views=packed)
        for entry in self._owner.ownership.live.values():
            if entry.vm != me:
                job = self._client.make_job(entry, "/peer/targets/summary", message)
                self._outbox.put(job)

    def _is_newer(self, view: TargetView) -> bool:
        current = self._router.views.get(view.target)
        if current is None or view.epoch >= current.epoch:
            return True
        return view.seen_s - current.seen_s > self.period_s

    def _remove_stale(self, now_s: float) -> None:
        oldest_s = now_s - VIEW_LIFETIME_PERIODS * self.period_s
        for name, view in list(self._router.views.items()):
            if view.seen_s < oldest_s:
                self._router.remove(name)


def _urgent_fields(view: TargetView) -> tuple:
    """Return the fields whose change is published at once."""
    return (
        view.target,
        view.boot_id,
        view.epoch,
        tuple(view.models.items()),
        tuple(view.adapters.items()),
        view.open,
        view.limit == 0,
    )
