"""Simulation of owners, targets and a lease table on virtual time."""

import random
from enum import StrEnum
from typing import Any

from returns.result import Success

from tests.members.builders import Network
from vanillabeam.config import Config, Model, TargetRole, TargetRoleKind
from vanillabeam.orders import core
from vanillabeam.orders.counts import accounted_leases, ready_counts
from vanillabeam.orders.events import (
    AskLease,
    ConfigChanged,
    EndImports,
    FreshnessProved,
    FreshnessUnknown,
    ImportsEnded,
    LeaseGranted,
    LeaseRefused,
    OrderAnswered,
    OrderFailed,
    Owned,
    OwnedSeen,
    ProveFreshness,
    ReleaseLease,
    SendOrder,
    Tick,
)
from vanillabeam.orders.leases import LOADS_PER_STORE, LeaseTable
from vanillabeam.orders.state import OrdersSettings, OrdersState
from vanillabeam.targetwire import Announcement

STORE = "store://weights"
#: Default time of a load.
LOAD_S = 1.0
CFG = OrdersSettings()


def make_announcement(target: str = "t", **fields: Any) -> Announcement:
    announcement: Announcement = {
        "target": target,
        "boot_id": "b1",
        "data_centre": "kgl-1",
        "address": target,
        "kind": "engine",
        "models": {"m": "1"},
        "capacity": 8,
        "cold_capacity": 1,
        "checks_fencing": True,
    }
    return {**announcement, **fields}


def make_orders_config(index: int, version: str = "1", floor: int = 0, **roles: str):
    model = Model("m", version, f"{STORE}/m/{version}", floor)
    kinds = {t: TargetRole(t, TargetRoleKind(kind)) for t, kind in roles.items()}
    return Config(index=index, models={"m": model}, target_roles=kinds)


class Stuck(StrEnum):
    """How a target never loads what it is ordered to."""

    LOADING = "loading"
    FAILING = "failing"
    SILENT = "silent"


class FakeTarget:
    """Target that obeys orders after a load time, with or without fencing.

    :ivar stuck: how it never loads; ``None`` for a sound one.
    """

    def __init__(self, sim: "Simulation", name: str, checks_fencing: bool):
        self.sim, self.name, self.checks_fencing = sim, name, checks_fencing
        self.boots = 0
        self.highest_obeyed = 0
        self.loading: set[str] = set()
        self.orders_in_flight = 0
        self.stuck: Stuck | None = None
        self.restart()

    def restart(self) -> None:
        self.boots += 1
        if self.checks_fencing:
            # A restart loses the index against which the target checks orders.
            self.highest_obeyed = 0
        self.models = {"m": "0"}
        self.index = 0
        self.role = "serving"
        self.running = 0
        self.loading = set()

    def announcement(self) -> Announcement:
        announcement = make_announcement(
            self.name,
            boot_id=f"b{self.boots}",
            models=dict(self.models),
            checks_fencing=self.checks_fencing,
        )
        if self.index:
            announcement["order_index"] = self.index
        return announcement

    def order(self, order: dict) -> dict:
        same_boot = order["boot_id"] == f"b{self.boots}"
        if self.checks_fencing and (order["index"] < self.index or not same_boot):
            return {"status": "stale", "order_index": self.index}
        assert order["index"] >= self.highest_obeyed, f"{self.name} obeyed an old order"
        if order["role"] == "standby":
            assert self.running == 0, "runs were not drained"
        self.highest_obeyed = max(self.highest_obeyed, order["index"])
        self.index, self.role = order["index"], order["role"]
        if same_boot and self.role != "serving":
            self.sim.check_floor()
        ordered_models = {
            name: model["version"] for name, model in order["models"].items()
        }
        if self.stuck and ordered_models != self.models:
            status = "failed" if self.stuck is Stuck.FAILING else "in-progress"
            return {"status": status, "order_index": self.index}
        if ordered_models == self.models:
            return {"status": "obeyed", "order_index": self.index}
        assert not self.sim.imports.get(self.name), "swap and import overlap"
        self.loading |= set(ordered_models)
        # A target without fencing also obeys an order meant for an earlier boot; that
        # load has no lease and does not count.
        if same_boot:
            self.sim.check_loads()
        boot = self.boots
        sim = self.sim

        def loaded():
            if self.boots == boot:
                self.models = ordered_models
                self.loading = set()

        sim.net.at(sim.net.now_s + sim.load_s, loaded)
        return {"status": "in-progress", "order_index": self.index}


class Owner:
    """Orders core of one VM, whose effects run on the simulation."""

    def __init__(self, sim: "Simulation", name: str, state_class=OrdersState):
        self.sim, self.name = sim, name
        self.orders = state_class(name, random.Random(name), CFG)
        self.owned_targets: dict[str, Owned] = {}
        self.isolated = False
        self.sequence = 0
        self.tick()

    def tick(self) -> None:
        net = self.sim.net
        for name in list(self.owned_targets):
            target = self.sim.targets[name]
            announcement = target.announcement()
            owned = self.owned_targets[name]._replace(
                announcement=announcement, running=target.running
            )
            self.owned_targets[name] = owned
        self.feed(OwnedSeen(dict(self.owned_targets)))
        self.feed(Tick())
        if not self.isolated:
            self.report()
        net.at(net.now_s + 1.0, self.tick)

    def report(self) -> None:
        self.sequence += 1
        leases = accounted_leases(self.orders, self.sim.net.now_s)
        report = {
            "reporter": self.name,
            "sequence": self.sequence,
            "ready": ready_counts(self.orders, self.sim.net.now_s),
            "leases": leases,
        }
        self.sim.table.report(report, self.sim.net.now_s)

    def feed(self, event: Any) -> None:
        for effect in core.handle(event, self.orders, self.sim.net.now_s):
            self.run_effect(effect)

    def feed_later(self, event: Any) -> None:
        net = self.sim.net
        net.at(net.now_s + net.rng.uniform(0.01, 0.5), lambda: self.feed(event))

    def run_effect(self, effect: Any) -> None:
        sim = self.sim
        match effect:
            case EndImports(target):
                sim.imports[target] = False
                self.feed_later(ImportsEnded(target))
            case AskLease():
                self.request_lease(*effect)
            case ReleaseLease(lease):
                if not self.isolated:
                    sim.table.release(lease, sim.net.now_s)
            case ProveFreshness(target):
                index = sim.config.index
                proved = FreshnessProved(target, index)
                self.feed_later(FreshnessUnknown(target) if self.isolated else proved)
            case SendOrder():
                sim.deliver(self, effect)

    def request_lease(self, target, stores, models, lease, failures) -> None:
        request = {
            "lease": lease,
            "owner": self.name,
            "reporter": self.name,
            "target": target,
            "stores": list(stores),
            "models": list(models),
            "failures": failures,
        }
        refusal = LeaseRefused(target, "no keeper")
        if self.isolated:
            return self.feed_later(refusal)
        match self.sim.table.grant(request, self.sim.net.now_s):
            case Success(reply):
                return self.feed_later(LeaseGranted(target, reply["lease"], 29.0))
        return self.feed_later(refusal)


class Simulation:
    """Targets, the two owners that share them, and one lease table.

    :param checks_fencing: for each target, whether it checks fencing.
    """

    def __init__(
        self,
        seed: int,
        checks_fencing: tuple[bool, ...],
        state_class=OrdersState,
        table_class=LeaseTable,
    ):
        self.net = Network(seed)
        self.table = table_class("keeper", LOADS_PER_STORE, started_s=-100.0)
        self.imports: dict[str, bool] = {}
        self.load_s = LOAD_S
        self.config = Config()
        self.loss_share = 0.0
        self.targets = {
            f"t{n}": FakeTarget(self, f"t{n}", checks)
            for n, checks in enumerate(checks_fencing)
        }
        self.owners = {name: Owner(self, name, state_class) for name in ("x", "y")}
        self.epoch = 0
        for name in self.targets:
            self.own(name, self.net.rng.choice("xy"))

    def own(self, target: str, owner: str) -> None:
        """Move ownership of a target; the former owner notices with a delay."""
        self.epoch += 1
        for other in self.owners.values():
            if other.name != owner and target in other.owned_targets:
                wait_s = self.net.rng.uniform(0, CFG.predecessor_lease_s - 2.5)
                self.net.at(
                    self.net.now_s + wait_s,
                    lambda other=other, epoch=other.owned_targets[target].epoch: (
                        other.owned_targets.pop(target)
                        if target in other.owned_targets
                        and other.owned_targets[target].epoch == epoch
                        else None
                    ),
                )
        announcement = self.targets[target].announcement()
        self.owners[owner].owned_targets[target] = Owned(announcement, self.epoch, 0)

    def accept(self, config: Config) -> None:
        """Put a configuration into force, which reaches each owner with a delay."""
        self.config = config
        self.table.config = config
        for owner in self.owners.values():
            self.send_config(owner)

    def send_config(self, owner: Owner) -> None:
        def arrive(config=self.config):
            if owner.isolated:
                return
            if config.index >= owner.orders.config.index:
                owner.feed(ConfigChanged(config))

        self.net.at(self.net.now_s + self.net.rng.uniform(0, 3), arrive)

    def deliver(self, owner: Owner, effect: SendOrder) -> None:
        target = self.targets[effect.target]
        arrives_s = self.net.now_s + self.net.rng.choice([0.05, 0.05, 12.0])
        lost = self.net.rng.random() < self.loss_share
        target.orders_in_flight += 1

        lost = lost or target.stuck is Stuck.SILENT

        def arrive():
            target.orders_in_flight -= 1
            if not lost:
                reply = target.order(effect.order)
                if self.net.rng.random() >= self.loss_share:
                    answer = OrderAnswered(effect.target, effect.attempt, reply)
                    return owner.feed(answer)
            failed = OrderFailed(effect.target, effect.attempt)
            remaining_s = max(0.0, CFG.order_timeout_s - 12.0)
            return self.net.at(self.net.now_s + remaining_s, lambda: owner.feed(failed))

        if not target.checks_fencing:
            assert target.orders_in_flight == 1, (
                f"two orders on their way to {target.name}"
            )
        self.net.at(arrives_s, arrive)

    def import_if_allowed(self, target: str) -> None:
        """Begin an import that lasts until an owner ends it, if any owner allows it."""
        now_s = self.net.now_s
        allowed = [
            o for o in self.owners.values() if o.orders.may_import(target, now_s)
        ]
        self.imports[target] = bool(allowed)

    def run_if_allowed(self, target: str, runs: int) -> None:
        """Set the number of runs; it grows only if all owners let the target serve."""
        now_s = self.net.now_s
        role = self.config.target_roles.get(target)
        owners = [o for o in self.owners.values() if target in o.owned_targets]
        served_by_all = all(o.orders.serves(target, now_s) for o in owners)
        if served_by_all and (role is None or role.kind == "serving"):
            self.targets[target].running = runs
        else:
            self.targets[target].running = min(runs, self.targets[target].running)

    def check_loads(self) -> None:
        loading = [t.name for t in self.targets.values() if t.loading]
        assert len(loading) <= LOADS_PER_STORE, f"loading at once: {loading}"
        self.check_floor()

    def check_floor(self) -> None:
        floor = self.config.models["m"].min_ready
        ready = [
            t.name
            for t in self.targets.values()
            if not t.loading and t.role == "serving"
        ]
        assert len(ready) >= floor, f"ready: {ready}, floor {floor}"
