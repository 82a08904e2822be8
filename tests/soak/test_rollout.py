"""Rollouts of weights on real processes, with few faults or none."""

import random
from collections import Counter
from contextlib import asynccontextmanager

import pytest
import trio

from tests.soak.checks import check
from tests.soak.clients import STREAM_LIMIT_S, Client
from tests.soak.fleet import SMALL, running_fleet
from tests.soak.known import KNOWN_S, check_known
from tests.soak.proxy import running_proxy
from tests.soak.rollouts import cut_from_core
from tests.soak.scenario import CHECK_PERIOD_S, Scenario
from tests.soak.summary import summarise
from tests.soak.touch import CONTACT_S
from tests.soak.versions import ALL_S, check_weights
from tests.soak.weights import ORDER_MODES

#: Seconds of a cut, longer than a target may be silent, and when a version is named.
CUT_S = 7.0
#: Seconds between two events of long runs, which last 8.8 s of the 10 s that they may.
LONG_EVENT_S = 0.73
#: Callers with long runs, and the seconds between two runs of each.
STREAMS = 18
PAUSE_S = 0.1
#: Seconds before a version is named, and after all targets must have it.
BEFORE_S = 4.0
AFTER_S = 1.0
NAMED_SHARE = 0.8


# Guards against targets that a control VM drops as silent while it is cut off from the
# one that they call, and never lists again: they get no order to load new weights.
def test_targets_of_a_control_vm_that_was_cut_off_get_new_weights(tmp_path):
    findings = trio.run(play_cut, tmp_path)
    assert findings == [], "\n".join(["findings:", *findings])


# Guards against rollouts that wait for one long run after the other.
def test_targets_with_long_runs_get_new_weights_in_time(tmp_path):
    findings = trio.run(play_long_runs, tmp_path)
    assert findings == [], "\n".join(["findings:", *findings])


# Guards against targets that disobey and keep the others from their turn.
@pytest.mark.soak
@pytest.mark.parametrize("mode", ORDER_MODES)
def test_targets_that_disobey_do_not_hold_up_the_others(mode, tmp_path):
    findings = trio.run(play_disobedient, tmp_path, mode)
    assert findings == [], "\n".join(["findings:", *findings])


@asynccontextmanager
async def running_scenario(folder):
    """Yield a run of a small fleet whose targets and callers work."""
    rng = random.Random(1)
    with running_proxy() as proxy:
        options = {"rng": rng, "proxy": proxy.address}
        async with (
            trio.open_nursery() as nursery,
            running_fleet(folder, SMALL, **options) as fleet,
        ):
            run = Scenario(fleet, proxy, nursery, rng)
            await run.start()
            yield run
            nursery.cancel_scope.cancel()


def findings_of(run, folder):
    check_weights(run.history)
    check(run.history, run.fleet.ends)
    summarise(run.history, folder, 1, 0.0)
    return run.history.findings


async def play_cut(folder):
    """Cut the control VM that most targets call; return the findings."""
    async with running_scenario(folder) as run:
        targets = run.targets.targets.values()
        ((host, _),) = Counter(target.host for target in targets).most_common(1)
        (name,) = [vm.name for vm in run.fleet.controls if vm.host == host]
        await cut_from_core(run, name, CUT_S, NAMED_SHARE)
        healed_s = trio.current_time()
        await trio.sleep(KNOWN_S)
        await check_known(run)
        await trio.sleep_until(healed_s + CONTACT_S + ALL_S)
        return findings_of(run, folder)


async def play_long_runs(folder):
    """Name a version while each target has runs that last; return the findings."""
    async with running_scenario(folder) as run:
        for target in run.targets.targets.values():
            target.event_period_s = LONG_EVENT_S
        for number in range(STREAMS):
            kind = ("resumable", "stream")[number % 2]
            run.nursery.start_soon(stream_forever, run, number, kind)
        await trio.sleep(BEFORE_S)
        await run.operator.name_version()
        await trio.sleep(ALL_S + AFTER_S)
        return findings_of(run, folder)


async def play_disobedient(folder, mode):
    """Name a version that half of the targets don't load; return the findings."""
    async with running_scenario(folder) as run:
        targets = run.targets.targets.items()
        names = [name for name, target in targets if target.weights]
        stuck = names[: len(names) // 2]
        run.nursery.start_soon(keep_disobedient, run, stuck, mode)
        await trio.sleep(BEFORE_S)
        await run.operator.name_version()
        await trio.sleep(ALL_S + AFTER_S)
        return findings_of(run, folder)


async def keep_disobedient(run, names, mode):
    """Have targets not obey orders, also after they have started again."""
    with run.history.outage("orders", names):
        while True:
            for name in names:
                if name in run.targets.targets:
                    run.targets.targets[name].weights.mode = mode
            await trio.sleep(CHECK_PERIOD_S)


async def stream_forever(run, number, kind):
    """Send one prompt after the other."""
    path = {"resumable": "/chat/", "stream": "/flag/"}[kind]
    client = Client(run.history, f"long-{number}")
    await client.move(run.fleet.entries[number % len(run.fleet.entries)])
    while True:
        await client.send(path, kind, STREAM_LIMIT_S, "long")
        await trio.sleep(PAUSE_S)
