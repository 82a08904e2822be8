import trio

from tests.fleet.builders import make_target
from tests.fleet.rolloutfleet import make_fleet, play
from vanillabeam.fleet import rollout
from vanillabeam.fleet.rollout import select_targets

HELD = "WeightsHeld"
#: Longest time from the confirmation of the leadership to an order.
CONFIRM_S = 0.05


def make_targets(count, **changes):
    return [
        make_target(f"t-{n}", versions={"m": 1}, **changes) for n in range(1, count + 1)
    ]


def names(selected):
    return [target.name for target, _ in selected]


def test_a_third_of_the_targets_load_at_once():
    targets = make_targets(9)
    assert names(select_targets(targets, {"m": 2}, set())) == ["t-1", "t-2", "t-3"]
    assert names(select_targets(targets, {"m": 2}, {"t-1", "t-2"})) == ["t-3"]
    assert select_targets(targets, {"m": 2}, {"t-1", "t-2", "t-3"}) == []


def test_a_single_target_gets_new_weights():
    assert names(select_targets(make_targets(1), {"m": 2}, set())) == ["t-1"]


def test_targets_with_the_oldest_weights_go_first():
    old, older = (
        make_target("t-1", versions={"m": 2}),
        make_target("t-2", versions={"m": 1}),
    )
    assert names(select_targets([old, older], {"m": 3}, set())) == ["t-2"]


def test_up_to_date_and_draining_targets_get_no_order():
    assert select_targets(make_targets(3), {"m": 1}, set()) == []
    assert select_targets(make_targets(3, draining=True), {"m": 2}, set()) == []
    assert select_targets(make_targets(3), {"other": 2}, set()) == []


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
