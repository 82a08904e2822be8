"""Records that a control VM has sent, offered again where the directory lacks them."""

import pytest

from tests.fleet.builders import make_target
from vanillabeam.fleet import Directory
from vanillabeam.fleet.loads import make_load
from vanillabeam.fleet.machine import FleetState
from vanillabeam.fleet.sent import SentTargets
from vanillabeam.fleet.watch import make_reply

SILENCE_S = 4.0
TARGET = make_target("t-1")
STATE = FleetState(index=0, number=0, document="", evacuated=[], weights={})
REQUEST = {"epoch": "", "version": 0, "index": 0}


class Replies:
    """Replies of one control VM, applied to a directory."""

    def __init__(self):
        self.directory = Directory()
        self.sent = SentTargets()

    def apply(self, now_s, targets=(), age_s=0.2, names=("t-1",)):
        reports = [{"target": target, "age_s": age_s} for target in targets]
        reply = {"targets": reports, "ages_s": dict.fromkeys(names, age_s)}
        changed = self.sent.apply(reply, self.directory, SILENCE_S, now_s)
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


# Guards against a target that is listed again with weights that it had before.
def test_a_target_is_listed_again_with_its_newest_record(replies):
    newer = make_target("t-1", sequence=5, versions={"m": 2})
    replies.apply(2.0, [newer])
    replies.directory.forget("t-1")
    replies.apply(8.0)
    assert replies.directory.records["t-1"].target.versions == {"m": 2}


# Guards against an older record, sent by another control VM, that hides a newer one.
def test_a_newer_record_replaces_the_one_that_another_control_vm_sent_again(replies):
    replies.apply(2.0, [make_target("t-1", sequence=5, versions={"m": 2})])
    replies.directory.forget("t-1")
    replies.directory.update(make_target("t-1", versions={"m": 1}), 8.0)
    replies.apply(8.5)
    assert replies.directory.records["t-1"].target.versions == {"m": 2}


# Guards against a live target that is dropped for an earlier one at its address, whose
# host's clock was ahead: a reply that came late still named that one.
def test_a_late_reply_replaces_no_target_that_was_heard_later(replies):
    address = TARGET.address
    later = make_target("t-2", address=address, born_ms=500)
    replies.directory.forget("t-1")
    replies.directory.update(later, 5.5)
    assert replies.apply(5.6, age_s=SILENCE_S - 0.1) == []
    assert replies.names == ["t-2"]


# Guards against a target that counts as cold again each time it is listed again.
def test_a_cold_window_isnt_renewed(replies):
    cold = make_target("t-2", cold_ms=3_000.0)
    replies.apply(1.0, [cold], names=("t-1", "t-2"))
    replies.directory.forget("t-2")
    replies.apply(3.0, names=("t-1", "t-2"))
    assert replies.directory.records["t-2"].cold_until_s == pytest.approx(4.0)
    replies.directory.forget("t-2")
    replies.apply(9.0, names=("t-1", "t-2"))
    assert replies.directory.records["t-2"].cold_until_s < 9.0


# Guards against cold targets that get too many requests: a report says how long the
# window lasts from then on, and it was counted from the older announcement on.
def test_a_cold_window_ends_at_the_same_time_for_all():
    at_control, replies = Directory(), Replies()
    at_control.update(make_target("t-1", cold_ms=3_000.0), 0.0)
    reply = make_reply(REQUEST, "e", at_control, STATE, [], [], make_load(), 1.2)
    replies.sent.apply(reply, replies.directory, SILENCE_S, 1.2)
    assert replies.directory.records["t-1"].cold_until_s == pytest.approx(3.0)


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
