from vanillabeam.fleet.heldweights import (
    REPEAT_S,
    Held,
    HeldReason,
    HeldTargets,
    count_behind,
    count_versions,
)

HELD = Held("t-1", "m", 1, 2, HeldReason.NO_SLOT)


def test_a_reason_is_logged_when_it_changes_and_not_again_at_once():
    held = HeldTargets()
    assert [line.reason for line in held.update([HELD], 0.0)] == ["no-slot"]
    assert held.update([HELD], 1.0) == []
    changed = HELD._replace(reason=HeldReason.BACKOFF, reply="refused")
    (line,) = held.update([changed], 2.0)
    assert (line.reason, line.reply, line.held_s) == ("backoff", "refused", 0.0)


def test_a_reason_that_lasts_is_logged_again_with_its_age():
    held = HeldTargets()
    held.update([HELD], 0.0)
    assert held.update([HELD], REPEAT_S - 0.1) == []
    (line,) = held.update([HELD], REPEAT_S)
    assert line.held_s == REPEAT_S


def test_a_target_that_is_no_longer_held_begins_anew():
    held = HeldTargets()
    held.update([HELD], 0.0)
    held.update([], 1.0)
    assert [line.held_s for line in held.update([HELD], 3.0)] == [0.0]


def test_targets_are_counted_by_model_and_version():
    versions = [{"m": 1}, {"m": 2, "n": 1}, {"m": 1}, {}]
    assert count_behind(versions, {"m": 2, "n": 1, "o": 4}) == {"m": 2, "n": 0, "o": 0}
    assert count_versions(versions) == {("m", "1"): 2, ("m", "2"): 1, ("n", "1"): 1}
