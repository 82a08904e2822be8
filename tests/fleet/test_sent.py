"""Records that a control VM has sent, offered again where the directory lacks them."""

import pytest

from tests.fleet.builders import make_target
from vanillabeam.fleet import Directory
from vanillabeam.fleet.sent import SentTargets

SILENCE_S = 4.0
TARGET = make_target("t-1")


class Replies:
    """Replies of one control VM, applied to a directory."""

    def __init__(self):
        self.directory = Directory()
        self.sent = SentTargets()

    def apply(self, now_s, targets=(), age_s=0.2, names=("t-1",)):
        reports = [{"target": target, "age_s": age_s} for target in targets]
        ages_s = dict.fromkeys(names, age_s)
        changed = self.sent.apply(reports, ages_s, self.directory, SILENCE_S, now_s)
        return [target.name for target, _ in changed]

    @property
    def names(self):
        return sorted(self.directory.records)


@pytest.fixture
def replies():
    replies = Replies()
    assert replies.apply(1.0, [TARGET]) == ["t-1"]
    return replies


def test_a_dropped_target_is_listed_again_by_its_age_alone(replies):
    replies.directory.forget("t-1")
    assert replies.apply(9.0) == ["t-1"]
    assert replies.directory.records["t-1"].last_seen_s == pytest.approx(8.8)
    assert replies.apply(9.5) == []


def test_a_target_that_is_silent_for_the_control_vm_too_stays_dropped(replies):
    replies.directory.forget("t-1")
    assert replies.apply(9.0, age_s=SILENCE_S) == []
    assert replies.names == []


def test_a_target_that_has_ended_is_not_listed_again(replies):
    replies.directory.mark_ended(TARGET.incarnation)
    assert replies.apply(2.0) == []
    assert replies.names == []


def test_a_target_that_the_control_vm_has_dropped_is_forgotten(replies):
    replies.directory.forget("t-1")
    replies.apply(6.0, names=())
    assert replies.apply(9.0) == []


# Guards against a target that counts as cold again each time it is listed again.
def test_a_cold_window_isnt_renewed(replies):
    cold = make_target("t-2", cold_ms=3_000.0)
    replies.apply(1.0, [cold], names=("t-1", "t-2"))
    replies.directory.forget("t-2")
    replies.apply(3.0, names=("t-1", "t-2"))
    assert replies.directory.records["t-2"].cold_until_s == pytest.approx(3.8)
    replies.directory.forget("t-2")
    replies.apply(9.0, names=("t-1", "t-2"))
    assert replies.directory.records["t-2"].cold_until_s < 9.0


# Guards against an ended start that stays listed, as the age of the later one of the
# same name kept it alive.
def test_the_age_of_another_start_keeps_no_record_alive(replies):
    replies.directory.update(make_target("t-1", born_ms=9_000), 1.5)
    for now_s in (2.0, 3.0, 4.0):
        replies.apply(now_s)
    assert replies.directory.records["t-1"].last_seen_s == 1.5
    replies.directory.forget("t-1")
    replies.apply(6.0)
    assert replies.directory.records["t-1"].target.born_ms == TARGET.born_ms
