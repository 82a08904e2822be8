"""Rollouts of weights in a run: versions that are named, and targets that disobey."""

import trio

from tests.soak.targets import MODEL_SERVICE
from tests.soak.weights import ORDER_MODES

#: Seconds between a version's naming and a fault, either first.
MAX_LEAD_S = 2.0
CUT_S = (5.0, 6.5, 8.0)
MODE_S = (1.0, 3.0, 6.0)


async def rest(run):
    """Cause no fault."""


async def name_version(run):
    await run.operator.name_version()


async def cut_core_in_rollout(run):
    """Cut a control VM from the other control VMs only, and name a version in it."""
    (name,) = run.some(run.fleet.controls)
    await cut_from_core(run, name, run.rng.choice(CUT_S), run.rng.random())


async def cut_from_core(run, name, length_s, named_share):
    """Cut a control VM from the others.

    :param named_share: share of the cut after which a version is named.
    """
    others = [vm.name for vm in run.fleet.controls if vm.name != name]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.cut, [name], others, length_s)
        await trio.sleep(named_share * length_s)
        nursery.start_soon(run.operator.name_version)


async def kill_core_in_rollout(run):
    await _fault_in_rollout(run, run.some(run.fleet.controls))


async def kill_all_in_rollout(run):
    vms = run.rng.choice((run.fleet.controls, list(run.fleet.vms.values())))
    await _fault_in_rollout(run, [vm.name for vm in vms])


async def _fault_in_rollout(run, names):
    """Kill VMs just before a version is named, or just after."""
    lead_s = run.rng.uniform(0.0, MAX_LEAD_S)
    steps = [lambda: run.kill(names), run.operator.name_version]
    run.rng.shuffle(steps)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(steps[0])
        await trio.sleep(lead_s)
        nursery.start_soon(steps[1])


async def disobey(run):
    """Have some targets not obey orders for a time, in which a version is named."""
    pool = run.targets.targets
    names = [n for n, t in pool.items() if t.service == MODEL_SERVICE]
    count = run.rng.randint(1, 3)
    mode = run.rng.choice(ORDER_MODES)
    chosen = [pool[n] for n in run.rng.sample(names, min(count, len(names)))]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.operator.name_version)
        with run.history.outage("orders", [target.name for target in chosen]):
            for target in chosen:
                target.weights.mode = mode
            await trio.sleep(run.rng.choice(MODE_S))
            for target in chosen:
                target.weights.mode = "fine"


ROLLOUT_FAULTS = (
    name_version,
    name_version,
    cut_core_in_rollout,
    cut_core_in_rollout,
    kill_core_in_rollout,
    kill_all_in_rollout,
    disobey,
    disobey,
)
