"""Faults that a run draws from."""

import sys

import trio

from tests.soak.configfaults import grow_config, send_storm
from tests.soak.limits import name_limits
from tests.soak.poison import send_poison
from tests.soak.replacements import replace_control
from tests.soak.rollouts import ROLLOUT_FAULTS
from tests.soak.targets import choose_target
from tests.soak.walls import wall_off
from tests.soak.words import leave_beside_kill, order_beside_freeze

BUSY_LOOP = """
import sys, time
end = time.monotonic() + float(sys.argv[1])
while time.monotonic() < end: pass
"""


async def kill_entry(run):
    await run.kill(run.some(run.fleet.entries, run.rng.randint(1, 3)))


async def kill_control(run):
    await run.kill(run.some(run.fleet.controls), run.rng.choice((0.5, 3.0, 10.0)))


async def kill_all_control(run):
    await run.kill([vm.name for vm in run.fleet.controls])


async def kill_all(run):
    await run.kill(list(run.fleet.vms))


async def lose_disk(run):
    if run.may_lose_disk():
        await run.kill(run.some(run.fleet.controls), loses_disk=True)


async def freeze_any(run):
    vms = run.rng.choice((run.fleet.entries, run.fleet.controls))
    await run.freeze(run.some(vms), run.rng.choice((0.3, 1.0, 2.5, 5.0)))


async def stop_any(run):
    vms = run.rng.choice((run.fleet.entries, run.fleet.controls))
    await run.stop(run.some(vms)[0])


async def exchange_seeds(run):
    run.fleet.exchange_seeds(by_signal=run.rng.random() < 0.5)


async def hang_up(run):
    for name in run.fleet.vms:
        run.fleet.signal(name, 1)


async def isolate_control(run):
    (name,) = run.some(run.fleet.controls)
    vms = run.rng.choice((run.fleet.controls, list(run.fleet.vms.values())))
    others = [vm.name for vm in vms if vm.name != name]
    length_s = run.rng.choice((1.0, 4.0, 12.0))
    await run.cut([name], others, length_s, both=run.rng.random() < 0.6)


async def cut_control_pair(run):
    names = run.some(run.fleet.controls, 2)
    length_s = run.rng.choice((1.0, 4.0, 9.0))
    await run.cut(names[:1], names[1:], length_s, both=run.rng.random() < 0.5)


async def cut_entry(run):
    entries = run.some(run.fleet.entries, run.rng.randint(1, 2))
    controls = run.some(run.fleet.controls, run.rng.randint(1, 4))
    length_s = run.rng.choice((0.5, 3.0, 8.0))
    await run.cut(entries, controls, length_s, both=run.rng.random() < 0.6)


async def cut_zone(run):
    zone = run.rng.choice(sorted(run.fleet.shape.entries))
    targets = run.targets.targets
    inside = [vm.name for vm in run.fleet.vms.values() if vm.data_centre == zone]
    outside = [name for name in run.fleet.vms if name not in inside]
    far = [name for name, t in targets.items() if t.data_centre != zone]
    await run.cut(inside, [*outside, *far], run.rng.choice((2.0, 6.0)))


async def split(run):
    names = list(run.fleet.vms)
    run.rng.shuffle(names)
    middle = len(names) // 2
    await run.cut(names[:middle], names[middle:], run.rng.choice((2.0, 6.0)))


async def slow_links(run):
    names = run.some(list(run.fleet.vms.values()), run.rng.randint(1, 4))
    delay_s = run.rng.choice((0.05, 0.2, 0.6))
    await run.slow(names, list(run.fleet.vms), run.rng.choice((2.0, 6.0)), delay_s)


async def silence(run):
    run.break_connections(silently=True)


async def reset_all(run):
    run.break_connections(silently=False)


async def harm_target(run):
    name = choose_target(run.targets, run.rng)
    chance = run.rng.random()
    if chance < 0.3:
        with run.history.outage("target", [name]):
            await run.targets.crash(name)
    elif chance < 0.6:
        await run.targets.replace(name)
    else:
        target = run.targets.targets[name]
        with run.history.outage("target", [name]):
            target.mode = run.rng.choice(("slow", "full", "failing"))
            await trio.sleep(3.0)
            target.mode = "fine"


async def busy(run):
    length_s = run.rng.choice((2.0, 5.0))
    command = [sys.executable, "-c", BUSY_LOOP, str(length_s)]
    with run.history.outage("busy", ["machine"]):
        async with trio.open_nursery() as nursery:
            for _ in range(run.rng.randint(2, 4)):
                nursery.start_soon(trio.run_process, command)


FAULTS = (
    kill_entry,
    kill_control,
    kill_all_control,
    kill_all,
    lose_disk,
    replace_control,
    freeze_any,
    freeze_any,
    stop_any,
    stop_any,
    exchange_seeds,
    hang_up,
    isolate_control,
    isolate_control,
    cut_control_pair,
    cut_entry,
    cut_entry,
    cut_zone,
    split,
    slow_links,
    silence,
    silence,
    reset_all,
    harm_target,
    harm_target,
    busy,
    send_poison,
    name_limits,
    name_limits,
    order_beside_freeze,
    order_beside_freeze,
    leave_beside_kill,
    leave_beside_kill,
    wall_off,
    grow_config,
    send_storm,
    *ROLLOUT_FAULTS,
)
