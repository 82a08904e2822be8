"""Metrics of a control VM on the members of the fleet log."""

from types import SimpleNamespace

from vanillabeam.counters import Counters
from vanillabeam.fleetgauges import add_membership_gauges


def text_of(losses_left, *members, leaderless_s=0.0):
    statuses = [{"votes": votes, "active": active} for votes, active in members]
    status = {"members": statuses, "losses_left": losses_left}
    node = SimpleNamespace(status=lambda: status, leaderless_s=leaderless_s)
    counters = Counters()
    add_membership_gauges(counters, SimpleNamespace(node=node))
    return counters.text().decode()


# Guards against a group at the edge of its majority that no metric shows.
def test_a_leader_shows_how_many_voters_may_be_lost_and_who_is_silent():
    text = text_of(0, (True, True), (True, False), (True, True), (False, False))
    assert "vanillabeam_log_losses_left 0.0" in text
    assert "vanillabeam_log_voters 3.0" in text
    assert "vanillabeam_log_learners 1.0" in text
    assert "vanillabeam_log_silent_voters 1.0" in text
    assert "vanillabeam_log_leaderless_seconds 0.0" in text


def test_a_replica_without_a_leader_shows_for_how_long():
    text = text_of(None, (True, None), (True, None), leaderless_s=7.5)
    assert "vanillabeam_log_losses_left -1.0" in text
    assert "vanillabeam_log_silent_voters 0.0" in text
    assert "vanillabeam_log_leaderless_seconds 7.5" in text
