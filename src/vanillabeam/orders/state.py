"""State of the orders core: each owned target and where its order stands."""

import random
from enum import StrEnum
from typing import NamedTuple

from vanillabeam.config import Config
from vanillabeam.orders.desired import DesiredState
from vanillabeam.targetwire import Announcement, Order

__all__ = ["OrdersConfig", "OrdersState", "Phase", "TargetState"]


class OrdersConfig(NamedTuple):
    """Times of orders.

    :param order_timeout_s: after this an order has arrived or never will.
    :param predecessor_lease_s: longest time for which a former owner may
        still believe that it is one.
    :param confirm_timeout_s: from an answer to a repeat, unless the target agrees.
    :param load_timeout_s: longest time that loading may take.
    :param proof_max_age_s: age up to which a confirmed index counts as fresh.
    :param step_timeout_s: longest wait for imports, leases or proofs.
    :param ready_delay_s: from a gained target to its place in ready counts.
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
    """Where a target's order stands."""

    IDLE = "idle"
    LEASING = "leasing"
    ENDING_IMPORTS = "ending-imports"
    PROVING = "proving"
    ORDERING = "ordering"
    CONFIRMING = "confirming"


class TargetState:
    """One owned target.

    :ivar highest_index: highest order that it is known to have been given.
    :ivar role: the role that was ordered and confirmed in this boot, ``None``
        if that is not known here.
    :ivar announced_index_before: what the target said when the last order was sent.
    :ivar unconfirmed: whether an order was sent that is not confirmed.
    :ivar busy_until_s: until then an order may be on its way.
    :ivar hold_reason: why it is not ordered now, for ``status``.
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
        self.retry_at_s = 0.0
        self.failures = 0
        self.lease: str | None = None
        self.lease_until_s = 0.0
        self.renewal_asked_s = 0.0
        self.hold_reason = ""

    @property
    def name(self) -> str:
        """The target's announced name."""
        return self.announcement["target"]

    @property
    def checks_fencing(self) -> bool:
        """Whether it refuses older orders itself."""
        return self.announcement["checks_fencing"]

    def known_role(self) -> str | None:
        """Return the role that it has, ``None`` if that is not known."""
        untouched = not self.unconfirmed and not self.announcement.get("order_index", 0)
        return "serving" if self.role is None and untouched else self.role

    def record_index(self, index: int) -> None:
        """Remember the highest index ordered."""
        self.highest_index = max(self.highest_index, index)

    def enter_phase(self, phase: Phase, now_s: float) -> None:
        """Begin a phase."""
        self.phase = phase
        self.phase_since_s = now_s


class OrdersState:
    """State of the orders core of one VM.

    :param name: this VM's name; the orders carry it.

    >>> state = OrdersState("vm-1", random.Random(1))
    >>> state.may_import("engine-1", now_s=0.0)
    False
    """

    def __init__(self, name: str, rng: random.Random, cfg: OrdersConfig | None = None):
        self.name = name
        self.rng = rng
        self.cfg = cfg or OrdersConfig()
        self.config = Config()
        self.attempts = 0
        self.ended_leases: dict[str, float] = {}
        self.targets: dict[str, TargetState] = {}

    def in_phase(self, name: str, phase: Phase) -> TargetState | None:
        """Return the target if it is in ``phase``."""
        target = self.targets.get(name)
        return target if target is not None and target.phase is phase else None

    def takeover_ends_s(self, target: TargetState) -> float:
        """Return until when an order of the owner before may still arrive."""
        cfg = self.cfg
        return target.owned_since_s + cfg.predecessor_lease_s + cfg.order_timeout_s

    def serves(self, name: str, now_s: float) -> bool:
        """Return whether new work may go to a target that is owned here.

        Not once an order that takes it out of service is on its way.
        """
        target = self.targets.get(name)
        if target is None:
            return False
        leaving = target.order is not None and target.order["role"] != "serving"
        if leaving and (now_s < target.busy_until_s or target.phase is not Phase.IDLE):
            return False
        return target.known_role() in ("serving", None)

    def may_import(self, name: str, now_s: float) -> bool:
        """Return whether an import may begin at a target that is owned here.

        Not while an order is being given, nor while one of this boot or of
        the owner before may still arrive.
        """
        target = self.targets.get(name)
        if target is None or target.phase not in (Phase.IDLE, Phase.LEASING):
            return False
        return now_s >= max(target.busy_until_s, self.takeover_ends_s(target))
