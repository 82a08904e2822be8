"""Random runs of several owners; some break one rule of ownership on purpose."""

import os

import pytest

from tests.targets.simulation import play
from vanillabeam.config import Config
from vanillabeam.targets import takeover
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.owner import Owner
from vanillabeam.targets.window import Window

SEEDS = 25


class IgnoresMissingEntries(Owner):
    """Grants the whole window, even while other entries are missing."""

    def share(self, target, now_s):
        return 1.0


class IgnoresConfig(Owner):
    """Ignores every configuration, so that no data centre is out of service."""

    config = property(lambda self: Config(), lambda self, config: None)


def find_seed(seeds, cls=Owner, announce_to_all=False):
    """Return the first seed whose run fails an assertion, ``None`` if none does."""
    for seed in seeds:
        try:
            play(seed, cls, vms=2 + seed % 3, announce_to_all=announce_to_all)
        except AssertionError:
            return seed
    return None


@pytest.mark.parametrize("announce_to_all", [False, True])
def test_all_runs_together_stay_within_the_capacity_of_the_target(announce_to_all):
    simulations = [
        play(seed, vms=2 + seed % 3, announce_to_all=announce_to_all)
        for seed in range(SEEDS)
    ]
    assert sum(simulation.granted for simulation in simulations) > 1000
    assert max(simulation.peak_runs for simulation in simulations) == 8


@pytest.mark.soak
@pytest.mark.parametrize("announce_to_all", [False, True])
def test_long_random_runs_stay_within_the_capacity_of_the_target(announce_to_all):
    first = int(os.environ.get("SOAK_SEED", "1")) * 100_000
    for seed in range(first, first + int(os.environ.get("SOAK_RUNS", "50"))):
        play(seed, vms=2 + seed % 3, announce_to_all=announce_to_all, steps=1500)


def test_an_owner_that_grants_the_shares_of_missing_entries_is_detected():
    assert find_seed(range(20), IgnoresMissingEntries, announce_to_all=True) is not None


def test_an_owner_that_does_not_wait_at_takeover_is_detected(monkeypatch):
    take_over = takeover.take_over_lost

    def take_over_without_waiting(state, name, now_s):
        take_over(state, name, now_s)
        if name in state.owned:
            state.owned[name].no_grants_until_s = state.owned[name].cold_until_s = now_s

    monkeypatch.setattr(takeover, "take_over_lost", take_over_without_waiting)
    assert find_seed(range(30)) is not None


def test_an_owner_that_ignores_a_data_centre_out_of_service_is_detected():
    assert find_seed(range(20), IgnoresConfig) is not None


def test_a_window_that_is_not_reset_at_a_restart_is_detected(monkeypatch):
    monkeypatch.setattr(Window, "reset", lambda self, now_s: None)
    assert find_seed(range(20)) is not None


def test_a_handover_that_loses_permits_is_detected(monkeypatch):
    monkeypatch.setattr(
        takeover, "_merge_handover", lambda state, target, handover: None
    )
    assert find_seed(range(55, 70)) is not None


def test_treating_a_late_announcement_as_a_restart_is_detected(monkeypatch):
    monkeypatch.setattr(
        OwnedTarget, "_is_superseded_boot", lambda self, boot_id, now_s: False
    )
    assert find_seed(range(115, 125), announce_to_all=True) is not None
