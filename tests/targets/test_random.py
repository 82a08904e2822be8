"""Randomised runs of several owners; each rule is broken once on purpose."""

import os

import pytest

from tests.targets.world import play
from vanillabeam.config import Config
from vanillabeam.targets import takeover
from vanillabeam.targets.grants import OwnedTarget
from vanillabeam.targets.owner import Owner
from vanillabeam.targets.window import Window

SEEDS = 25


class GrantsAll(Owner):
    """Gives out the whole window, whoever is out of sight."""

    def share(self, target, now_s):
        return 1.0


class Deaf(Owner):
    """Does not hear that a data centre went out of service."""

    config = property(lambda self: Config(), lambda self, config: None)


def find_seed(seeds, cls=Owner, everyone=False):
    """Return the first seed whose run finds something wrong."""
    for seed in seeds:
        try:
            play(seed, cls, vms=2 + seed % 3, everyone=everyone)
        except AssertionError:
            return seed
    return None


@pytest.mark.parametrize("everyone", [False, True])
def test_the_sum_of_permits_stays_within_what_the_target_can_take(everyone):
    worlds = [play(seed, vms=2 + seed % 3, everyone=everyone) for seed in range(SEEDS)]
    assert sum(world.granted for world in worlds) > 1000
    assert max(world.peak for world in worlds) == 8


@pytest.mark.soak
@pytest.mark.parametrize("everyone", [False, True])
def test_long_runs(everyone):
    first = int(os.environ.get("SOAK_SEED", "1")) * 100_000
    for seed in range(first, first + int(os.environ.get("SOAK_RUNS", "50"))):
        play(seed, vms=2 + seed % 3, everyone=everyone, steps=1500)


def test_an_owner_without_the_safe_share_is_found():
    assert find_seed(range(20), GrantsAll, everyone=True) is not None


def test_an_owner_that_does_not_wait_at_take_over_is_found(monkeypatch):
    wait = takeover.take_over_lost

    def hurry(state, name, now_s):
        wait(state, name, now_s)
        if name in state.owned:
            state.owned[name].no_grants_until_s = state.owned[name].cold_until_s = now_s

    monkeypatch.setattr(takeover, "take_over_lost", hurry)
    assert find_seed(range(30)) is not None


def test_an_owner_that_ignores_a_data_centre_out_of_service_is_found():
    assert find_seed(range(20), Deaf) is not None


def test_a_window_that_stays_open_over_a_restart_is_found(monkeypatch):
    monkeypatch.setattr(Window, "reset", lambda self, now_s: None)
    assert find_seed(range(20)) is not None


def test_a_hand_over_that_forgets_permits_is_found(monkeypatch):
    monkeypatch.setattr(
        takeover, "_merge_handover", lambda state, target, handover: None
    )
    assert find_seed(range(55, 70)) is not None


def test_taking_a_late_announcement_for_a_restart_is_found(monkeypatch):
    monkeypatch.setattr(
        OwnedTarget, "_is_superseded_boot", lambda self, boot_id, now_s: False
    )
    assert find_seed(range(115, 125), everyone=True) is not None
