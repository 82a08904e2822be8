from tests.fleet.builders import make_target
from vanillabeam.fleet.rollout import select_targets


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
