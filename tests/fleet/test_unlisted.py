"""Targets that a control VM hears and that this VM doesn't list."""

import pytest

from tests.fleet.builders import make_target
from vanillabeam.decisions import TargetUnlisted
from vanillabeam.fleet import Directory, unlisted
from vanillabeam.fleet.polling import ControlVm

SILENCE_S = 4.0


class Replies:
    """Replies of one control VM, and the lines that they cause."""

    def __init__(self, monkeypatch):
        self.directory = Directory()
        self.control_vm = ControlVm("10.0.0.1:7")
        self.lines = []
        monkeypatch.setattr(unlisted, "log_record", self.lines.append)

    def apply(self, now_s, **ages_s):
        ages_s = {name.replace("_", "-"): age_s for name, age_s in ages_s.items()}
        unlisted.note_unlisted(
            self.directory, ages_s, self.control_vm, SILENCE_S, now_s
        )
        self.control_vm.last_seen_s = now_s

    @property
    def names(self):
        return sorted(self.control_vm.unlisted_since_s)


@pytest.fixture
def replies(monkeypatch):
    return Replies(monkeypatch)


def test_a_target_that_is_listed_is_no_finding(replies):
    replies.directory.update(make_target("t-1"), 1.0)
    replies.apply(1.0, t_1=0.1)
    assert replies.names == []


def test_a_lasting_difference_is_logged_once(replies):
    for now_s in (1.0, 1.5, 2.0, 2.5, 3.0):
        replies.apply(now_s, t_1=0.1)
    assert replies.names == ["t-1"]
    assert replies.lines == [TargetUnlisted("t-1", "10.0.0.1:7", 0.1, 1.0)]


def test_a_difference_that_ends_is_forgotten(replies):
    replies.apply(1.0, t_1=0.1)
    replies.directory.update(make_target("t-1"), 1.5)
    replies.apply(2.5, t_1=0.1)
    assert (replies.names, replies.lines) == ([], [])


def test_targets_that_have_ended_or_are_silent_are_no_finding(replies):
    replies.directory.update(make_target("t-1"), 1.0)
    replies.directory.mark_ended(("t-1", 1_000))
    for now_s in (1.0, 2.0, 3.0):
        replies.apply(now_s, t_1=0.1, t_2=SILENCE_S)
    assert (replies.names, replies.lines) == ([], [])
