import os
import random

import pytest

from tests.orders.builders import (
    CFG,
    World,
    make_announcement,
    make_orders_config,
)
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.orders.core import handle
from vanillabeam.orders.events import (
    AskLease,
    ConfigChanged,
    EndImports,
    FreshnessProved,
    FreshnessUnknown,
    ImportsEnded,
    LeaseGranted,
    OrderAnswered,
    Owned,
    OwnedSeen,
    ProveFreshness,
    SendOrder,
    Tick,
)
from vanillabeam.orders.leases import LeaseTable
from vanillabeam.orders.state import OrdersState

FLOOR = 4


def make_state(config, **announcement):
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(config), state, 0.0)
    effects = see(state, 0.0, **announcement)
    return state, effects


def see(state, now_s, running=0, epoch=1, **announcement):
    announced = make_announcement(**announcement)
    return handle(OwnedSeen({"t": Owned(announced, epoch, running)}), state, now_s)


def order_of(effects):
    (effect,) = effects
    assert isinstance(effect, SendOrder)
    return effect.order


def test_a_swap_ends_imports_takes_a_lease_and_orders_with_the_ticket_index():
    state, effects = make_state(make_orders_config(5, "2"))
    assert effects == []
    effects = handle(Tick(), state, CFG.predecessor_lease_s)
    assert effects == [AskLease("t", ("store://weights",), ())]
    assert state.may_import("t", 99.0)
    assert handle(LeaseGranted("t", "l1", 30.0), state, 20.0) == [EndImports("t")]
    assert not state.may_import("t", 99.0)
    order = order_of(handle(ImportsEnded("t"), state, 21.0))
    assert (order["index"], order["role"]) == (5, "serving")
    assert order["models"]["m"]["version"] == "2"
    reply = {"status": "obeyed", "order_index": 5}
    handle(OrderAnswered("t", state.targets["t"].attempt, reply), state, 22.0)
    see(state, 23.0, models={"m": "2"}, order_index=5)
    assert state.targets["t"].lease is None
    assert state.may_import("t", 99.0)
    assert not state.may_import("t", CFG.order_timeout_s)


def test_a_target_that_agrees_is_left_alone():
    state, effects = make_state(make_orders_config(5))
    assert effects == []
    assert handle(Tick(), state, 9.0) == []


def test_a_target_that_checks_no_fencing_waits_and_asks_for_proof():
    config = make_orders_config(5, t="draining")
    state, effects = make_state(config, checks_fencing=False)
    assert effects == []
    later_s = CFG.predecessor_lease_s + CFG.order_timeout_s
    handle(Tick(), state, later_s)
    assert handle(ImportsEnded("t"), state, later_s) == [ProveFreshness("t")]
    handle(FreshnessUnknown("t"), state, later_s)
    assert "no ticket log quorum" in state.targets["t"].hold_reason
    handle(Tick(), state, later_s + 3)
    handle(ImportsEnded("t"), state, later_s + 3)
    assert handle(FreshnessProved("t", 6), state, later_s + 3) == []
    handle(Tick(), state, later_s + 6)
    handle(ImportsEnded("t"), state, later_s + 6)
    order = order_of(handle(FreshnessProved("t", 5), state, later_s + 6))
    assert order["role"] == "draining"


def test_nothing_older_than_what_was_obeyed_is_ordered():
    state, effects = make_state(make_orders_config(5, "2"), order_index=7)
    assert effects == []
    assert "behind" in state.targets["t"].hold_reason
    assert handle(ConfigChanged(make_orders_config(7, "2")), state, 20.0)
    with pytest.raises(InvariantBroken):
        handle(ConfigChanged(make_orders_config(6)), state, 2.0)


def test_a_standby_role_drains_first():
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(make_orders_config(5, t="standby")), state, 0.0)
    see(state, 0.0, running=3)
    assert see(state, 20.0, running=3) == [EndImports("t")]
    assert state.serves("t", 20.0)
    assert order_of(handle(ImportsEnded("t"), state, 20.0))["role"] == "draining"
    assert not state.serves("t", 20.0)
    obeyed = {"status": "obeyed", "order_index": 5}
    handle(OrderAnswered("t", 1, obeyed), state, 21.0)
    see(state, 22.0, running=3, order_index=5)
    assert see(state, 23.0, running=1, order_index=5) == []
    assert see(state, 24.0, running=0, order_index=5) == [EndImports("t")]
    assert order_of(handle(ImportsEnded("t"), state, 24.0))["role"] == "standby"


def test_a_target_that_restarts_mid_order_is_ordered_anew_after_the_first_has_ended():
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(make_orders_config(5, t="draining")), state, 0.0)
    see(state, 0.0)
    see(state, 20.0)
    order_of(handle(ImportsEnded("t"), state, 20.0))
    assert see(state, 21.0, boot_id="b2") == []
    assert see(state, 20 + CFG.order_timeout_s, boot_id="b2") == [EndImports("t")]
    order = order_of(handle(ImportsEnded("t"), state, 36.0))
    assert (order["index"], order["boot_id"]) == (5, "b2")


def test_the_same_answer_does_not_count_for_a_later_ownership():
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(make_orders_config(5, t="draining")), state, 0.0)
    see(state, 0.0)
    see(state, 20.0)
    order_of(handle(ImportsEnded("t"), state, 20.0))
    see(state, 21.0, epoch=2)
    failed = {"status": "failed", "order_index": 0}
    assert handle(OrderAnswered("t", 1, failed), state, 22.0) == []
    assert state.targets["t"].failures == 0


def trouble(seed, state_class=OrdersState, table_class=LeaseTable) -> None:
    """Tickets, restarts, moves, cuts and losses; then calm: all must agree."""
    world = World(
        seed, (True, True, True, False, False, False), state_class, table_class
    )
    chance = random.Random(seed)
    index = 1
    world.accept(make_orders_config(index, "0", floor=FLOOR))
    world.net.run_until(60)
    for _ in range(30):
        world.net.run_until(world.net.now_s + chance.uniform(0.5, 40))
        target = world.targets[chance.choice(sorted(world.targets))]
        owner = world.owners[chance.choice("xy")]
        match chance.randrange(7):
            case 0 | 1:
                index += chance.randint(1, 9)
                kind = chance.choice(["serving", "draining", "standby"])
                version = str(index) if chance.random() < 0.6 else "0"
                role = {target.name: kind}
                world.accept(make_orders_config(index, version, floor=FLOOR, **role))
            case 2:
                # A target that dies puts itself below the floor.
                target.restart()
            case 3:
                world.own(target.name, owner.name)
            case 4:
                owner.cut_off = not owner.cut_off
                world.send_config(owner)
            case 5:
                world.loss = chance.choice([0.0, 0.3])
            case 6:
                world.run_if_allowed(target.name, chance.randint(0, 3))
                world.import_if_allowed(target.name)
    world.loss = 0.0
    for owner in world.owners.values():
        owner.cut_off = False
        world.send_config(owner)
    for target in world.targets.values():
        target.running = 0
    world.net.run_until(world.net.now_s + 900)
    check_all_agree(world, seed)


def check_all_agree(world, seed):
    version = world.config.models["m"].version
    for target in world.targets.values():
        role = world.config.target_roles.get(target.name)
        assert target.models["m"] == version, (seed, target.name)
        assert target.role == (role.kind if role else "serving"), (seed, target.name)


@pytest.mark.parametrize("seed", range(4))
def test_targets_agree_after_trouble_and_no_rule_is_broken(seed):
    trouble(seed)


@pytest.mark.soak
def test_targets_agree_after_long_trouble():
    first = int(os.environ["SOAK_SEED"])
    for seed in range(first, first + int(os.environ["SOAK_RUNS"])):
        trouble(seed)


class HastyState(OrdersState):
    """Breaks a rule: the owner before is not waited out."""

    def __init__(self, name, rng, cfg):
        super().__init__(name, rng, cfg._replace(predecessor_lease_s=0.0))

    def takeover_ends_s(self, target):
        return 0.0


class ImportingState(OrdersState):
    """Breaks a rule: imports begin whatever is ordered."""

    def may_import(self, name, now_s):
        return True


class GenerousTable(LeaseTable):
    """Breaks a rule: no lease is refused."""

    def _check_limits(self, request, held, now_s):
        return None

    def _check_loads(self, stores):
        pass


class TrustingTable(LeaseTable):
    """Breaks a rule: reports count targets that have got a lease since."""

    def _ready_count(self, model, now_s):
        kept = self._leases, self._ended
        self._leases, self._ended = {}, []
        try:
            return super()._ready_count(model, now_s)
        finally:
            self._leases, self._ended = kept


@pytest.mark.parametrize(
    ("seed", "state_class", "table_class", "message"),
    [
        (29, HastyState, LeaseTable, "two orders"),
        (1, ImportingState, LeaseTable, "overlap"),
        (0, OrdersState, GenerousTable, "loading at once|floor"),
        (1, OrdersState, TrustingTable, "floor"),
    ],
)
def test_the_randomised_run_finds_a_broken_rule(
    seed, state_class, table_class, message
):
    with pytest.raises(AssertionError, match=message):
        trouble(seed, state_class, table_class)
