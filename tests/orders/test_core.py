import os
import random

import pytest

from tests.orders.builders import (
    CFG,
    Simulation,
    Stuck,
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
from vanillabeam.orders.leases import LEASE_S, LeaseTable
from vanillabeam.orders.state import OrdersState

FLOOR = 4


def make_state(config, **announcement):
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(config), state, 0.0)
    effects = report_owned(state, 0.0, **announcement)
    return state, effects


def report_owned(state, now_s, running=0, epoch=1, **announcement):
    announced = make_announcement(**announcement)
    return handle(OwnedSeen({"t": Owned(announced, epoch, running)}), state, now_s)


def sent_order(effects):
    (effect,) = effects
    assert isinstance(effect, SendOrder)
    return effect.order


def test_swap_ends_imports_takes_lease_and_sends_ticket_index():
    state, effects = make_state(make_orders_config(5, "2"))
    assert effects == []
    effects = handle(Tick(), state, CFG.predecessor_lease_s)
    assert effects == [AskLease("t", ("store://weights",), ())]
    assert state.may_import("t", 99.0)
    assert handle(LeaseGranted("t", "l1", 30.0), state, 20.0) == [EndImports("t")]
    assert not state.may_import("t", 99.0)
    order = sent_order(handle(ImportsEnded("t"), state, 21.0))
    assert (order["index"], order["role"]) == (5, "serving")
    assert order["models"]["m"]["version"] == "2"
    reply = {"status": "obeyed", "order_index": 5}
    handle(OrderAnswered("t", state.targets["t"].attempt, reply), state, 22.0)
    report_owned(state, 23.0, models={"m": "2"}, order_index=5)
    assert state.targets["t"].lease is None
    assert state.may_import("t", 99.0)
    assert not state.may_import("t", CFG.order_timeout_s)


def test_target_that_matches_the_configuration_gets_no_order():
    state, effects = make_state(make_orders_config(5))
    assert effects == []
    assert handle(Tick(), state, 9.0) == []


def test_target_without_fencing_waits_and_requires_proof_of_freshness():
    config = make_orders_config(5, t="draining")
    state, effects = make_state(config, checks_fencing=False)
    assert effects == []
    takeover_end_s = CFG.predecessor_lease_s + CFG.order_timeout_s
    handle(Tick(), state, takeover_end_s)
    assert handle(ImportsEnded("t"), state, takeover_end_s) == [ProveFreshness("t")]
    handle(FreshnessUnknown("t"), state, takeover_end_s)
    assert "no ticket log quorum" in state.targets["t"].hold_reason
    handle(Tick(), state, takeover_end_s + 3)
    handle(ImportsEnded("t"), state, takeover_end_s + 3)
    assert handle(FreshnessProved("t", 6), state, takeover_end_s + 3) == []
    handle(Tick(), state, takeover_end_s + 6)
    handle(ImportsEnded("t"), state, takeover_end_s + 6)
    order = sent_order(handle(FreshnessProved("t", 5), state, takeover_end_s + 6))
    assert order["role"] == "draining"


def test_no_order_is_older_than_the_last_obeyed_one():
    state, effects = make_state(make_orders_config(5, "2"), order_index=7)
    assert effects == []
    assert "behind" in state.targets["t"].hold_reason
    assert handle(ConfigChanged(make_orders_config(7, "2")), state, 20.0)
    with pytest.raises(InvariantBroken):
        handle(ConfigChanged(make_orders_config(6)), state, 2.0)


def test_standby_role_drains_first():
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(make_orders_config(5, t="standby")), state, 0.0)
    report_owned(state, 0.0, running=3)
    assert report_owned(state, 20.0, running=3) == [EndImports("t")]
    assert state.serves("t", 20.0)
    assert sent_order(handle(ImportsEnded("t"), state, 20.0))["role"] == "draining"
    assert not state.serves("t", 20.0)
    obeyed = {"status": "obeyed", "order_index": 5}
    handle(OrderAnswered("t", 1, obeyed), state, 21.0)
    report_owned(state, 22.0, running=3, order_index=5)
    assert report_owned(state, 23.0, running=1, order_index=5) == []
    assert report_owned(state, 24.0, running=0, order_index=5) == [EndImports("t")]
    assert sent_order(handle(ImportsEnded("t"), state, 24.0))["role"] == "standby"


def test_restarted_target_is_ordered_again_once_the_first_order_cannot_arrive():
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(make_orders_config(5, t="draining")), state, 0.0)
    report_owned(state, 0.0)
    report_owned(state, 20.0)
    sent_order(handle(ImportsEnded("t"), state, 20.0))
    assert report_owned(state, 21.0, boot_id="b2") == []
    assert report_owned(state, 20 + CFG.order_timeout_s, boot_id="b2") == [
        EndImports("t")
    ]
    order = sent_order(handle(ImportsEnded("t"), state, 36.0))
    assert (order["index"], order["boot_id"]) == (5, "b2")


def test_answer_from_an_earlier_ownership_is_ignored():
    state = OrdersState("vm-1", random.Random(1), CFG)
    handle(ConfigChanged(make_orders_config(5, t="draining")), state, 0.0)
    report_owned(state, 0.0)
    report_owned(state, 20.0)
    sent_order(handle(ImportsEnded("t"), state, 20.0))
    report_owned(state, 21.0, epoch=2)
    failed = {"status": "failed", "order_index": 0}
    assert handle(OrderAnswered("t", 1, failed), state, 22.0) == []
    assert state.targets["t"].failures == 0


def run_with_faults(seed, state_class=OrdersState, table_class=LeaseTable) -> None:
    """Play random tickets, restarts, takeovers, isolation and lost messages.

    After the faults end, all targets must reach the configuration.
    """
    sim = Simulation(
        seed, (True, True, True, False, False, False), state_class, table_class
    )
    rng = random.Random(seed)
    index = 1
    sim.accept(make_orders_config(index, "0", floor=FLOOR))
    sim.net.run_until(60)
    for _ in range(30):
        sim.net.run_until(sim.net.now_s + rng.uniform(0.5, 40))
        target = sim.targets[rng.choice(sorted(sim.targets))]
        owner = sim.owners[rng.choice("xy")]
        match rng.randrange(7):
            case 0 | 1:
                index += rng.randint(1, 9)
                kind = rng.choice(["serving", "draining", "standby"])
                version = str(index) if rng.random() < 0.6 else "0"
                role = {target.name: kind}
                sim.accept(make_orders_config(index, version, floor=FLOOR, **role))
            case 2:
                # A restart may leave fewer ready targets than the floor; that is
                # no fault of the orders.
                target.restart()
            case 3:
                sim.own(target.name, owner.name)
            case 4:
                owner.isolated = not owner.isolated
                sim.send_config(owner)
            case 5:
                sim.loss_share = rng.choice([0.0, 0.3])
            case 6:
                sim.run_if_allowed(target.name, rng.randint(0, 3))
                sim.import_if_allowed(target.name)
    sim.loss_share = 0.0
    for owner in sim.owners.values():
        owner.isolated = False
        sim.send_config(owner)
    for target in sim.targets.values():
        target.running = 0
    sim.net.run_until(sim.net.now_s + 900)
    check_converged(sim, seed)


def check_converged(sim, seed):
    version = sim.config.models["m"].version
    for target in sim.targets.values():
        role = sim.config.target_roles.get(target.name)
        assert target.models["m"] == version, (seed, target.name)
        assert target.role == (role.kind if role else "serving"), (seed, target.name)


@pytest.mark.parametrize("seed", range(4))
def test_targets_converge_after_faults_without_breaking_a_rule(seed):
    run_with_faults(seed)


@pytest.mark.soak
def test_targets_converge_after_faults_soak():
    first = int(os.environ["SOAK_SEED"])
    for seed in range(first, first + int(os.environ["SOAK_RUNS"])):
        run_with_faults(seed)


def make_fleet(stuck, floor=0, targets=6, seed=1):
    """Return a simulation after a first rollout.

    :param stuck: how the first targets are stuck from now on.
    """
    sim = Simulation(seed, (True,) * targets)
    for name in sim.targets:
        sim.own(name, "x")
    sim.accept(make_orders_config(1, "1", floor=floor))
    sim.net.run_until(600)
    assert {target.models["m"] for target in sim.targets.values()} == {"1"}
    for target, how in zip(sim.targets.values(), stuck, strict=False):
        target.stuck = how
    return sim


def roll_out(sim, version, floor=0):
    """Roll out a version.

    :returns: seconds from the ticket until each sound target has the version;
        ``None`` for those that don't have it after an hour.
    """
    began_s = sim.net.now_s
    sim.accept(make_orders_config(int(version), version, floor=floor))
    sound = [target for target in sim.targets.values() if target.stuck is None]
    done_s = dict.fromkeys(target.name for target in sound)
    while sim.net.now_s < began_s + 3600 and None in done_s.values():
        sim.net.run_until(sim.net.now_s + 1.0)
        for target in sound:
            if target.models["m"] == version and done_s[target.name] is None:
                done_s[target.name] = sim.net.now_s - began_s
    return list(done_s.values())


def longest_s(sound):
    """Return the longest time that a rollout to some sound targets may take.

    Stuck targets may hold all loads once, for as long as one may take. Each sound one
    has a lease time for itself, and leases that were left run out.
    """
    return CFG.load_timeout_s + (sound + 2) * LEASE_S


# Guards against a rollout that stands still: two targets that never finish a load held
# both leases of the weight store, as each repetition of an order began its time anew.
@pytest.mark.parametrize("how", Stuck)
def test_two_stuck_targets_do_not_stop_a_rollout(how):
    done_s = roll_out(make_fleet([how, how]), "2")
    assert None not in done_s and max(done_s) <= longest_s(sound=4), done_s


# Guards against the same by the floor: what the one stuck target holds, no other gets.
# A silent one can't count as ready again, so a floor of five does stop that rollout.
@pytest.mark.parametrize("how", [Stuck.LOADING, Stuck.FAILING])
def test_a_stuck_target_does_not_stop_a_rollout_under_a_floor(how):
    done_s = roll_out(make_fleet([how], floor=5), "2", floor=5)
    assert None not in done_s and max(done_s) <= longest_s(sound=5), done_s


# Guards against stuck targets that get their leases again before the others' turn.
def test_three_stuck_targets_hold_up_a_rollout_no_more_than_twice():
    done_s = roll_out(make_fleet([Stuck.LOADING] * 3), "2")
    bound_s = longest_s(sound=3) + CFG.load_timeout_s
    assert None not in done_s and max(done_s) <= bound_s, done_s


def test_without_stuck_targets_a_rollout_is_short():
    assert max(roll_out(make_fleet([]), "2")) <= 6 * LEASE_S


def test_targets_that_were_stuck_in_a_rollout_hold_up_no_later_one():
    sim = make_fleet([Stuck.LOADING] * 3)
    roll_out(sim, "2")
    for version in range(3, 8):
        sim.net.run_until(sim.net.now_s + 100.0)
        done_s = roll_out(sim, str(version))
        assert None not in done_s and max(done_s) <= 6 * LEASE_S, (version, done_s)


# Guards against more loads from a weight store than allowed: in the first order to a
# target, its lease was given back after six seconds, while it was loading.
def test_a_target_keeps_its_lease_through_a_long_first_load():
    sim = Simulation(1, (True,) * 6)
    sim.load_s = 20.0
    for name in sim.targets:
        sim.own(name, "x")
    sim.accept(make_orders_config(1, "1"))
    sim.net.run_until(600)
    assert {target.models["m"] for target in sim.targets.values()} == {"1"}


class NoTakeoverWaitState(OrdersState):
    """Breaks a rule: does not wait until the previous owner's orders have ended."""

    def __init__(self, name, rng, cfg):
        super().__init__(name, rng, cfg._replace(predecessor_lease_s=0.0))

    def takeover_ends_s(self, target):
        return 0.0


class AlwaysImportState(OrdersState):
    """Breaks a rule: allows imports during orders."""

    def may_import(self, name, now_s):
        return True


class UnlimitedTable(LeaseTable):
    """Breaks a rule: refuses no lease."""

    def _check_limits(self, request, held, now_s):
        return None

    def _check_loads(self, stores):
        pass


class UnlistedLeaseTable(LeaseTable):
    """Breaks a rule: counts targets as ready that were granted a lease since."""

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
        (54, NoTakeoverWaitState, LeaseTable, "two orders"),
        (1, AlwaysImportState, LeaseTable, "overlap"),
        (0, OrdersState, UnlimitedTable, "loading at once|floor"),
        (1, OrdersState, UnlistedLeaseTable, "floor"),
    ],
)
def test_randomised_run_detects_a_broken_rule(seed, state_class, table_class, message):
    with pytest.raises(AssertionError, match=message):
        run_with_faults(seed, state_class, table_class)
