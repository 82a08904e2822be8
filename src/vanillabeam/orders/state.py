"""State of the orders core: the owned targets and the progress of their orders."""

import random
from enum import StrEnum
from typing import NamedTuple

from vanillabeam.config import Config
from vanillabeam.orders.desired import DesiredState
from vanillabeam.targetwire import Announcement, Order

__all__ = ["OrdersSettings", "OrdersState", "Phase", "TargetState"]


class OrdersSettings(NamedTuple):
    """Timeouts and intervals of the orders core, in seconds.

    :param order_timeout_s: time after which an order that was sent can no longer
        arrive at its target.
    :param predecessor_lease_s: longest time for which a former owner of a target
        may still act as its owner.
    :param confirm_timeout_s: time after an answer in which the target's
        announcement must match the order before the order is sent again.
    :param load_timeout_s: longest time that loading weights may take, with all
        repetitions of the order.
    :param proof_max_age_s: longest time after the request in which a quorum's
        confirmation of the ticket index counts as fresh.
    :param step_timeout_s: longest wait for imports to end, for a lease or for a
        proof of freshness.
    :param lease_retry_s: time between two requests for a lease or its renewal.
    :param renew_before_s: remaining time of a lease at which its renewal starts.
    :param retry_base_s: longest delay before an order is tried again; it doubles
        with each failure.
    :param retry_max_s: upper bound of that delay.
    :param ready_delay_s: time after gaining a target before it is in the ready
        counts.
    """

    order_timeout_s: float = 15.0
    predecessor_lease_s: float = 17.0
    confirm_timeout_s: float = 6.0
    load_timeout_s: float = 300.0
    proof_max_age_s: float = 2.0
    step_timeout_s: float = 30.0
    lease_retry_s: float = 1.0
    renew_before_s: float = 20.0
    retry_base_s: float = 1.0
    retry_max_s: float = 60.0
    ready_delay_s: float = 30.0


class Phase(StrEnum):
    """Phase of a target's current order."""

    IDLE = "idle"
    LEASING = "leasing"
    ENDING_IMPORTS = "ending-imports"
    PROVING = "proving"
    ORDERING = "ordering"
    CONFIRMING = "confirming"


class TargetState:
    """One owned target and its current order.

    :ivar epoch: epoch of the current ownership.
    :ivar owned_since_s: monotonic time at which ownership began.
    :ivar running: number of runs on the target.
    :ivar highest_index: highest index of the orders known to have been sent to
        the target.
    :ivar role: role that was ordered and confirmed since the target's last start;
        ``None`` if it is unknown.
    :ivar announced_index_before: ``order_index`` that the target announced when
        the last order was sent.
    :ivar unconfirmed: whether an order was sent and not confirmed.
    :ivar desired: state that the current order brings about.
    :ivar obeyed: whether the target answered that it has obeyed the last order.
    :ivar attempt: number of the last order that was sent.
    :ivar busy_until_s: monotonic time until which an order may still arrive.
    :ivar began_s: monotonic time at which the current order was first prepared.
    :ivar retry_at_s: monotonic time before which no new order is started.
    :ivar failures: number of failed orders since the target last had the state that
        the configuration asks for.
    :ivar renewal_requested_s: monotonic time of the last request for a renewal.
    :ivar hold_reason: why the target is not ordered now, for ``status``.
    """

    def __init__(self, announcement: Announcement, epoch: int, now_s: float):
        self.announcement = announcement
        self.epoch = epoch
        self.owned_since_s = now_s
        self.running = 0
        self.phase = Phase.IDLE
        self.phase_since_s = now_s
        self.highest_index = 0
        self.announced_index_before = 0
        self.role: str | None = None
        self.unconfirmed = False
        self.desired: DesiredState | None = None
        self.order: Order | None = None
        self.obeyed = False
        self.attempt = 0
        self.busy_until_s = 0.0
        self.began_s = 0.0
        self.retry_at_s = 0.0
        self.failures = 0
        self.lease: str | None = None
        self.lease_until_s = 0.0
        self.renewal_requested_s = 0.0
        self.hold_reason = ""

    @property
    def name(self) -> str:
        """Announced name of the target."""
        return self.announcement["target"]

    @property
    def checks_fencing(self) -> bool:
        """Whether the target itself refuses orders older than the last one."""
        return self.announcement["checks_fencing"]

    def known_role(self) -> str | None:
        """Return the target's role, ``None`` if it is unknown.

        A target that has not received any order serves.
        """
        never_ordered = not self.unconfirmed and not self.announcement.get(
            "order_index", 0
        )
        return "serving" if self.role is None and never_ordered else self.role

    def record_index(self, index: int) -> None:
        """Raise ``highest_index`` to ``index`` if that is higher."""
        self.highest_index = max(self.highest_index, index)

    def enter_phase(self, phase: Phase, now_s: float) -> None:
        """Start ``phase`` at ``now_s``."""
        self.phase = phase
        self.phase_since_s = now_s


class OrdersState:
    """State of the orders core of one VM.

    :param name: this VM's name, sent in its orders as ``owner``.
    :param rng: random source for the jitter of retries.
    :ivar config: configuration in force on this VM.
    :ivar attempts: number of orders sent so far.
    :ivar ended_leases: monotonic time at which each recent lease ended, by name.
    :ivar targets: the owned targets by name.

    >>> state = OrdersState("vm-1", random.Random(1))
    >>> state.may_import("engine-1", now_s=0.0)
    False
    """

    def __init__(
        self, name: str, rng: random.Random, cfg: OrdersSettings | None = None
    ):
        self.name = name
        self.rng = rng
        self.cfg = cfg or OrdersSettings()
        self.config = Config()
        self.attempts = 0
        self.ended_leases: dict[str, float] = {}
        self.targets: dict[str, TargetState] = {}

    def in_phase(self, name: str, phase: Phase) -> TargetState | None:
        """Return the target of this name if it is in ``phase``, else ``None``."""
        target = self.targets.get(name)
        return target if target is not None and target.phase is phase else None

    def takeover_ends_s(self, target: TargetState) -> float:
        """Return the time until which the previous owner's orders may arrive."""
        cfg = self.cfg
        return target.owned_since_s + cfg.predecessor_lease_s + cfg.order_timeout_s

    def serves(self, name: str, now_s: float) -> bool:
        """Return whether new work may go to a target that this VM owns.

        It may not from the moment at which an order that takes the target out of
        service is sent.
        """
        target = self.targets.get(name)
        if target is None:
            return False
        leaves_service = target.order is not None and target.order["role"] != "serving"
        if leaves_service and (
            now_s < target.busy_until_s or target.phase is not Phase.IDLE
        ):
            return False
        return target.known_role() in ("serving", None)

    def may_import(self, name: str, now_s: float) -> bool:
        """Return whether an import of blocks may begin at an owned target.

        It may not while an order is being prepared, sent or confirmed, nor while
        an earlier order of this VM or of the previous owner may still arrive.
        """
        target = self.targets.get(name)
        if target is None or target.phase not in (Phase.IDLE, Phase.LEASING):
            return False
        return now_s >= max(target.busy_until_s, self.takeover_ends_s(target))
