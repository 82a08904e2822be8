"""Real processes under random faults keep the rules of the platform."""

import os
from functools import partial

import pytest
import trio

from tests.soak.canaries import roll_out
from tests.soak.faults import (
    cut_entry,
    freeze_any,
    isolate_control,
    kill_all_control,
    kill_control,
    silence,
    stop_any,
)
from tests.soak.fleet import ICUPA, PHOTO, SMALL
from tests.soak.limits import name_limits
from tests.soak.poison import send_poison
from tests.soak.rollouts import disobey, kill_core_in_rollout, rest
from tests.soak.scenario import play
from tests.soak.walls import wall_off
from tests.soak.words import leave_beside_kill, order_beside_freeze

LENGTH_S = 35.0
#: A run takes a minute, hundreds of times longer than those of other soak tests.
SHARE_OF_RUNS = 10
SHORT_KINDS = (
    kill_control,
    kill_all_control,
    freeze_any,
    stop_any,
    isolate_control,
    cut_entry,
    silence,
    disobey,
    kill_core_in_rollout,
)
#: Mean of the seconds between two versions that are named, in a short run and else.
NAMING_S = 4.0
LONG_NAMING_S = 12.0


def play_seeds(folder, shape, **options):
    """Play as many runs as asked for; stop at the first one with findings."""
    first = int(os.environ.get("SOAK_SEED", "1"))
    runs = int(os.environ.get("SOAK_RUNS", "50"))
    for seed in range(first, first + max(1, runs // SHARE_OF_RUNS)):
        logs = folder / str(seed)
        findings = trio.run(partial(play, **options), logs, shape, seed, LENGTH_S)
        assert findings == [], f"seed {seed}, logs in {logs}"


@pytest.mark.soak
@pytest.mark.parametrize("shape", [ICUPA, PHOTO], ids=["icupa", "photo"])
def test_random_faults_break_no_rule(shape, tmp_path):
    play_seeds(tmp_path, shape, naming_s=LONG_NAMING_S)


@pytest.mark.soak
@pytest.mark.parametrize("shape", [ICUPA, PHOTO], ids=["icupa", "photo"])
def test_rollouts_without_faults_break_no_rule(shape, tmp_path):
    play_seeds(tmp_path, shape, kinds=(rest,), naming_s=LONG_NAMING_S)


# Guards against targets that get more than the limit that they name, in calm.
@pytest.mark.soak
@pytest.mark.parametrize("shape", [ICUPA, PHOTO], ids=["icupa", "photo"])
def test_limits_without_faults_are_kept(shape, tmp_path):
    play_seeds(tmp_path, shape, kinds=(name_limits,))


def test_a_few_faults_break_no_rule(tmp_path):
    play_short = partial(play, naming_s=NAMING_S)
    findings = trio.run(play_short, tmp_path, SMALL, 1, 6.0, SHORT_KINDS, 8.0)
    assert findings == [], f"logs in {tmp_path}"


# Guards against prompts with one part that end target after target.
def test_a_part_under_which_targets_end_breaks_no_rule(tmp_path):
    findings = trio.run(play, tmp_path, SMALL, 2, 10.0, (send_poison,), 8.0)
    assert findings == [], f"logs in {tmp_path}"


# Guards against rollouts that end wrongly, late or never, and against a bad version
# that gets more than it may, beside VMs that are killed and frozen.
@pytest.mark.parametrize(
    "kinds", [(roll_out,), (roll_out, roll_out, kill_control, freeze_any)]
)
def test_rollouts_of_versions_break_no_rule(kinds, tmp_path):
    findings = trio.run(play, tmp_path, SMALL, 7, 24.0, kinds, 8.0)
    assert findings == [], f"logs in {tmp_path}"


# Guards against orders whose late copies undo later ones, beside a frozen control VM.
def test_orders_with_late_copies_break_no_rule(tmp_path):
    findings = trio.run(play, tmp_path, SMALL, 4, 8.0, (order_beside_freeze,), 8.0)
    assert findings == [], f"logs in {tmp_path}"


# Guards against a leave call that is acknowledged and forgotten with some processes.
def test_leave_calls_beside_kills_break_no_rule(tmp_path):
    findings = trio.run(play, tmp_path, SMALL, 5, 8.0, (leave_beside_kill,), 8.0)
    assert findings == [], f"logs in {tmp_path}"


# Guards against prompts that go on from what a workspace made before it was isolated.
def test_a_workspace_that_becomes_isolated_shares_nothing(tmp_path):
    findings = trio.run(play, tmp_path, SMALL, 6, 8.0, (wall_off,), 8.0)
    assert findings == [], f"logs in {tmp_path}"


# Guards against limits that are not kept beside kills, cuts, freezes and restarts.
def test_limits_beside_faults_are_kept(tmp_path):
    kinds = (name_limits, name_limits, *SHORT_KINDS[:-2])
    findings = trio.run(play, tmp_path, SMALL, 3, 12.0, kinds, 8.0)
    assert findings == [], f"logs in {tmp_path}"
