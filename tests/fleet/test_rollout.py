import pytest
import trio
from returns.result import Failure

from bench.rollout_model import (
    LOAD_S,
    StandInTarget,
    make_fleet,
    make_stream,
    play,
)
from tests.fleet.builders import make_deployment, make_target
from vanillabeam.fleet import rollout
from vanillabeam.fleet.orderright import RAISE_PERIOD_S
from vanillabeam.fleet.rolloutplan import MAX_BACKOFF_S
from vanillabeam.log.exceptions import OutcomeUnknown

HELD = "WeightsHeld"
#: Time that operators allow for new weights.
VERSION_S = 10.0
#: Time from which on a rule is broken if over a tenth of the targets lack them.
VERSION_ALL_S = 14.0
#: Longest time from one version to the order for the next: the age of a report, and the
#: time between two of them.
FOLLOWED_S = 1.0
#: Longest time from the confirmation of the leadership to an order.
CONFIRM_S = 0.05


def log_lines(monkeypatch):
    lines = []
    monkeypatch.setattr(rollout, "log_record", lines.append)
    return lines


def held_lines(lines):
    return {(line.target, line.reason) for line in lines if type(line).__name__ == HELD}


def test_targets_obey_three_at_a_time():
    fleet = play(lambda: make_fleet(9), 12.0)
    assert len(fleet.loaded()) == 9
    assert fleet.most_loading == 3
    assert len(fleet.orders()) == 9


# Guards against a target that is passed over without a line that says why.
def test_each_outdated_target_without_an_order_is_logged_with_the_reason(monkeypatch):
    lines = log_lines(monkeypatch)

    async def drain(fleet):
        target = fleet.targets["t-05"].target
        fleet.control.follower.directory.mark_draining(target.incarnation)
        stranger = make_target("t-99", versions={"m": 1}, address="10.9.9.9:80")
        fleet.control.directory.update(stranger, trio.current_time())

    play(lambda: make_fleet(9, ["liar"] * 3), 4.0, drain)
    held = held_lines(lines)
    assert {("t-04", "no-slot"), ("t-05", "draining"), ("t-99", "not-known")} <= held
    assert ("t-00", "no-slot") not in held


def test_a_leader_without_a_lease_says_so(monkeypatch):
    lines = log_lines(monkeypatch)
    fleet = play(lambda: make_fleet(2), 2.0, has_lease=False)
    assert fleet.orders() == []
    assert held_lines(lines) >= {("t-00", "no-lease"), ("t-01", "no-lease")}


def test_a_vm_that_does_not_lead_orders_and_logs_nothing(monkeypatch):
    lines = log_lines(monkeypatch)

    def make():
        fleet = make_fleet(2)
        fleet.control.node.is_leader = False
        return fleet

    fleet = play(make, 2.0)
    assert [line for line in lines if type(line).__name__ == HELD] == []
    assert fleet.orders() == []


def ordered_s(fleet):
    return sorted(at_s for each in fleet.targets.values() for at_s in each.orders_s)


# Guards against a former leader whose orders go on beside those of the next one.
def test_a_leader_that_lost_its_leadership_sends_no_order_again():
    async def lose(fleet):
        await trio.sleep(2.0)
        fleet.control.node.is_leader = False

    fleet = play(lambda: make_fleet(6, ["silent"] * 6), 8.0, lose)
    assert ordered_s(fleet)
    assert max(ordered_s(fleet)) <= 2.0


# Guards against two leaders: one that hears no quorum can't know of the next one.
def test_a_leader_without_a_quorum_sends_no_order():
    async def cut(fleet):
        await trio.sleep(1.0)
        fleet.control.node.has_quorum = False

    fleet = play(lambda: make_fleet(9), 8.0, cut)
    assert max(ordered_s(fleet)) <= 1.0 + CONFIRM_S


# Guards against orders that go on in a new term of the same leader without its lease.
def test_a_leader_in_a_new_term_waits_for_its_lease_before_it_orders():
    async def elect(fleet):
        await trio.sleep(1.0)
        fleet.control.node.term += 1

    fleet = play(lambda: make_fleet(9, ["silent"]), 25.0, elect)
    lease_s = fleet.control.cfg.bounds.lease_s
    assert not [at_s for at_s in ordered_s(fleet) if 1.0 < at_s < 1.0 + lease_s]
    later = [each.orders[-1].fence for each in fleet.targets.values()]
    assert later[0] == 2
    assert len(fleet.loaded()) == 8


# Guards against a single 412 that is believed until the next election.
def test_targets_that_have_seen_a_higher_number_get_an_order_under_a_higher_one():
    fleet = play(lambda: make_fleet(9, fence=40), 25.0)
    assert len(fleet.loaded()) == 9
    fences = [order.fence for order in fleet.orders()]
    assert min(fences) == 1
    assert max(fences) > 40
    assert len(fleet.control.node.proposed) == 1


# Guards against a leader that orders again beside the one that fenced it.
def test_a_leader_that_was_fenced_without_a_quorum_raises_and_orders_nothing():
    async def cut(fleet):
        while len(fleet.orders()) < 3:
            await trio.sleep(0.005)
        fleet.control.node.has_quorum = False

    fleet = play(lambda: make_fleet(9, fence=40), 10.0, cut)
    assert fleet.control.node.proposed == []
    assert {order.fence for order in fleet.orders()} == {1}
    assert len(fleet.orders()) == 3


def test_a_raise_that_is_not_committed_does_not_count():
    async def fail(fleet):
        propose = fleet.control.propose
        fleet.control.propose = fail_first(propose)

    fleet = play(lambda: make_fleet(1, fence=40), 15.0, fail)
    first, second = fleet.orders()
    assert first.fence == 1
    assert second.fence > 40
    assert fleet.targets["t-00"].orders_s[1] >= RAISE_PERIOD_S
    assert len(fleet.loaded()) == 1


def fail_first(propose):
    calls = []

    async def propose_later(command):
        calls.append(command)
        if len(calls) == 1:
            await trio.sleep(0.1)
            return Failure(OutcomeUnknown())
        return await propose(command)

    return propose_later


# Guards against a raise for each refusal of a target that refuses all numbers.
def test_raises_are_bounded_in_time():
    fleet = play(lambda: make_fleet(9, ["fences"] * 2), 20.0)
    assert 1 <= len(fleet.control.node.proposed) <= 20.0 / RAISE_PERIOD_S
    refused = [each.orders for each in fleet.targets.values() if len(each.orders) > 1]
    for orders in refused:
        fences = [order.fence for order in orders]
        assert len(set(fences)) == len(fences)


STUCK = ["refuses", "silent", "unreachable", "busy", "fences", "liar"]


# Guards against a third of stuck targets that hold all slots for ever.
@pytest.mark.parametrize("behaviour", STUCK)
@pytest.mark.parametrize("count", [2, 3, 6])
def test_stuck_targets_do_not_starve_the_others(behaviour, count):
    fleet = play(lambda: make_fleet(9, [behaviour] * count), 20.0)
    assert len(fleet.loaded()) == 9 - count
    assert fleet.loaded()[-1] <= VERSION_S


@pytest.mark.parametrize("behaviour", STUCK)
def test_a_stuck_target_of_two_does_not_starve_the_other(behaviour):
    fleet = play(lambda: make_fleet(2, [behaviour]), 20.0)
    assert len(fleet.loaded()) == 1
    assert fleet.loaded()[-1] <= VERSION_S


def test_nine_sound_targets_have_the_version_in_time():
    fleet = play(lambda: make_fleet(9), 20.0)
    assert fleet.loaded()[-1] <= 0.8 * VERSION_S
    assert fleet.most_loading <= 3


# Guards against targets in a crash loop that take each turn of the others.
def test_targets_that_end_and_return_under_new_names_do_not_starve_the_others():
    async def crash(fleet):
        for start in range(20):
            await trio.sleep(1.5)
            for number in range(3):
                name = f"t-{number:02}"
                old = fleet.targets.pop(name if not start else f"{name}-{start}")
                fleet.control.follower.directory.mark_ended(old.target.incarnation)
                fresh = old.target._replace(
                    name=f"{name}-{start + 1}", born_ms=2_000 + start
                )
                fleet.targets[fresh.name] = StandInTarget(fresh, "unreachable")
                fleet.control.announce(fresh)

    fleet = play(lambda: make_fleet(9, ["unreachable"] * 3), 20.0, crash)
    assert len(fleet.loaded()) == 6
    assert fleet.loaded()[-1] <= VERSION_S


def test_an_order_that_is_carried_out_late_counts_once():
    fleet = play(lambda: make_fleet(9, ["late"] * 3), 20.0)
    assert len(fleet.loaded()) == 9
    assert fleet.loaded()[-1] <= VERSION_S
    assert {each.sequence for each in fleet.targets.values()} == {1}


# Guards against a newer version that waits for the end of the older one's rollout.
def test_an_order_that_is_overtaken_is_followed_by_the_newer_one():
    async def overtake(fleet):
        await trio.sleep(0.5)
        fleet.control.name("m", 3)

    fleet = play(lambda: make_fleet(9), 20.0, overtake)
    assert len(fleet.loaded(3)) == 9
    assert len(fleet.loaded(2)) == 3
    for each in fleet.targets.values():
        versions = [order.version for order in each.orders]
        assert versions in ([2, 3], [3])
        if versions == [2, 3]:
            assert each.orders_s[1] - each.loaded_s[2] <= FOLLOWED_S


def test_a_target_that_failed_once_gets_its_next_order_soon():
    async def mend(fleet):
        await trio.sleep(3.0)
        fleet.targets["t-00"].behaviour = "sound"

    fleet = play(lambda: make_fleet(1, ["refuses"]), 20.0, mend)
    assert fleet.loaded()[0] <= 3.0 + MAX_BACKOFF_S + 2 * LOAD_S
    assert len(fleet.targets["t-00"].orders) <= 5


def strategies(fleet):
    return [str(order.strategy) for order in fleet.orders()]


def test_short_runs_are_waited_for():
    fleet = play(lambda: make_fleet(9, runs_s=0.9), 20.0)
    assert set(strategies(fleet)) == {"wait"}
    assert fleet.loaded()[-1] <= VERSION_S


# Guards against waves that wait one after the other for runs of their whole time limit.
@pytest.mark.parametrize("count", [9, 65])
@pytest.mark.parametrize("runs_s", [5.0, 8.75, 12.0])
def test_only_the_first_round_waits_for_long_runs(count, runs_s):
    fleet = play(lambda: make_fleet(count, runs_s=runs_s), 40.0)
    assert len(fleet.loaded()) == count
    first = -(-count // 3)
    assert strategies(fleet).count("wait") == first
    assert fleet.loaded()[-1] <= VERSION_ALL_S
    assert fleet.most_paused <= 2 * count / 3


# Guards against one of two targets that waits for long runs until the other one is
# too old to be used.
@pytest.mark.parametrize("runs_s", [0.9, 3.0, 5.0, 8.75, 12.0])
@pytest.mark.parametrize("count", [2, 4])
def test_a_round_of_half_of_the_targets_waits_for_a_bounded_time(count, runs_s):
    fleet = play(lambda: make_fleet(count, runs_s=runs_s), 40.0)
    assert fleet.most_paused <= count / 2
    assert len(fleet.loaded()) == count
    assert fleet.loaded()[0] <= 0.8 * VERSION_S
    assert fleet.loaded()[-1] <= VERSION_S + LOAD_S


# Guards against a rollout that uses up the budget of repeats.
def test_runs_are_broken_off_within_the_budget_of_repeats():
    fleet = play(lambda: make_fleet(9, runs_s=8.75), 40.0)
    broken = sum(each.broken for each in fleet.targets.values())
    assert broken <= fleet.control.cfg.bounds.retry_floor


def test_runs_that_cannot_go_on_elsewhere_are_kept():
    def make():
        fleet = make_fleet(9, runs_s=8.75)
        routes = (make_stream(), make_stream(resumable=False))
        fleet.control.deployment = make_deployment(routes=routes)
        return fleet

    fleet = play(make, 40.0)
    assert set(strategies(fleet)) == {"wait", "retain"}
    assert sum(each.broken for each in fleet.targets.values()) == 0


# Guards against requests to a target whose load takes longer than its slot is held.
def test_a_target_is_paused_until_it_has_loaded():
    gaps = []

    async def look(fleet):
        while True:
            await trio.sleep(0.1)
            for name, each in fleet.targets.items():
                if each.is_loading() and name not in fleet.control.paused:
                    gaps.append((name, trio.current_time()))

    fleet = play(lambda: make_fleet(9, load_s=4.5), 30.0, look)
    assert len(fleet.loaded()) == 9
    assert gaps == []


def test_a_target_that_ends_in_its_load_loads_after_its_return():
    async def crash(fleet):
        await trio.sleep(1.0)
        old = fleet.targets["t-00"]
        fresh = old.target._replace(born_ms=2_000, versions={"m": 1})
        old.behaviour = "unreachable"
        await trio.sleep(1.5)
        fleet.targets["t-00"] = StandInTarget(fresh)
        fleet.control.announce(fresh)

    fleet = play(lambda: make_fleet(9), 20.0, crash)
    assert len(fleet.loaded()) == 9
    assert fleet.loaded()[-1] <= VERSION_S
    assert len(fleet.targets["t-00"].orders) == 1


# Guards against a second load of targets that the leader before had ordered.
@pytest.mark.parametrize("runs_s", [0.0, 5.0])
def test_orders_of_the_leader_before_are_not_repeated(runs_s):
    async def elect(fleet):
        await trio.sleep(1.0)
        fleet.control.node.term += 1

    fleet = play(lambda: make_fleet(9, runs_s=runs_s), 40.0, elect)
    assert len(fleet.loaded()) == 9
    assert {each.sequence for each in fleet.targets.values()} == {1}
    assert len(fleet.orders()) == 9


# Guards against loads that seem short, as runs went on beside them.
def test_the_time_of_a_load_counts_where_runs_are_kept():
    def make():
        fleet = make_fleet(9, runs_s=12.0)
        routes = (make_stream(), make_stream(resumable=False))
        fleet.control.deployment = make_deployment(routes=routes)
        return fleet

    seen = []

    async def look(fleet):
        while len(fleet.loaded()) < 6:
            await trio.sleep(0.05)
            seen.append(fleet.rollout._plan._load_s)

    play(make, 40.0, look)
    assert min(each for each in seen if each is not None) >= LOAD_S
