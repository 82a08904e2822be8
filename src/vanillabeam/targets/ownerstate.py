"""State of an owner: its targets, their permits and what was handed over."""

import random

from vanillabeam.admission import ReservedShares, Shares
from vanillabeam.config import Config
from vanillabeam.routing.records import TargetView
from vanillabeam.shares import Share
from vanillabeam.targets.eligibility import refusal_of_target
from vanillabeam.targets.events import Handover
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.ownership import Ownership
from vanillabeam.targets.records import EntryVm, PermitRequest
from vanillabeam.targets.settings import TargetsSettings

__all__ = ["Owner"]


class Owner:
    """State of an owner.

    :param me: this VM.
    :param rng: seeded source of the breakers' pauses.
    :param first_epoch: lower bound of all epochs of this owner; each start of a
        VM must pass a larger one.

    :ivar owned: targets that this VM owns.
    :ivar relinquished: targets that this VM no longer owns or whose handover it
        awaits.
    :ivar handed_over: time and new owner of the last handover, by target.
    :ivar early_handovers: handovers from VMs that drain, with the time of receipt,
        kept until the target announces itself here.
    :ivar awaiting_handover: VMs whose answer is outstanding, by target.
    :ivar epochs: highest known epoch, by target.
    :ivar queued_requests: queued permit requests by permit id.
    :ivar last_poll_s: time of the last call for a queued request, by permit id.
    :ivar closed_permits: time at which a permit was released, withdrawn or lost
        with its target's boot, by permit id.
    :ivar expired_permits: time at which a permit expired, by permit id.
    :ivar known_target_count: number of targets known in the fleet, among which
        reservations are divided.

    >>> me = EntryVm("e1", "dc1", "10.0.0.1:7003")
    >>> state = Owner(me, TargetsSettings(), random.Random(1))
    >>> handle(MembersChanged((me,)), state, now_s=0.0)
    []
    """

    def __init__(
        self,
        me: EntryVm,
        settings: TargetsSettings,
        rng: random.Random,
        first_epoch: int = 0,
    ):
        self.me = me
        self.settings = settings
        self.rng = rng
        self.config = Config()
        self.ownership = Ownership(me, settings)
        self.owned: dict[str, OwnedTarget] = {}
        self.relinquished: dict[str, OwnedTarget] = {}
        self.handed_over: dict[str, tuple[float, str]] = {}
        self.early_handovers: dict[str, tuple[Handover, float]] = {}
        self.awaiting_handover: dict[str, set[str]] = {}
        self.epochs: dict[str, int] = {}
        self.first_epoch = first_epoch
        self.queued_requests: dict[str, PermitRequest] = {}
        self.last_poll_s: dict[str, float] = {}
        self.closed_permits: dict[str, float] = {}
        self.expired_permits: dict[str, float] = {}
        self.stopping = False
        self.known_target_count = 1

    def share_of(self, workspace: str) -> Share:
        """Return the share of a workspace at one target, as its ticket sets it."""
        record = self.config.workspaces.get(workspace)
        if record is None:
            return Share()
        reserved = record.reservation_tokens_s / max(1, self.known_target_count)
        return Share(record.weight, reserved)

    def make_shares(self) -> Shares:
        """Return the scheduler of fair shares for a new queue."""
        return ReservedShares(self.share_of)

    def owns(self, target: OwnedTarget) -> bool:
        """Return whether this VM owns ``target`` in its present view of the entries."""
        if self.stopping:
            return False
        owner = self.ownership.owner_of(target.name, target.data_centre)
        return owner is not None and owner.vm == self.me.vm

    def share(self, target: OwnedTarget, now_s: float) -> float:
        """Return the fraction of the target's window that is safe to grant."""
        return self.ownership.share(target.data_centre, target.foreign_seen_s, now_s)

    def limit(self, target: OwnedTarget, now_s: float) -> int:
        """Return how many permits of the target may be in use at once."""
        return target.limit(self.share(target, now_s), now_s)

    def views(self, now_s: float) -> list[TargetView]:
        """Return the published views of all owned targets."""
        return [self.view(target, now_s) for target in self.owned.values()]

    def view(self, target: OwnedTarget, now_s: float) -> TargetView:
        """Return the published view of one target."""
        refusal = refusal_of_target(target, self.config, now_s)
        is_open = refusal is None and target.breaker.allows(now_s)
        return target.view(self.me, self.share(target, now_s), is_open, now_s)

    def next_epoch(self, target: str) -> int:
        """Return an epoch above all known epochs of the target."""
        epoch = max(self.epochs.get(target, 0), self.first_epoch) + 1
        self.epochs[target] = epoch
        return epoch
