"""Changes of the configuration beside faults: many at once, and large ones."""

import trio

#: Routes that are added at once, and the most that are.
GROWTH, MAX_GROWTH = 350, 1_050
STORM_S = 4.0
STORM_GAP_S = 0.33


async def grow_config(run):
    """Have the configuration grow by many routes from now on."""
    operator = run.operator
    operator.filler = min(operator.filler + GROWTH, MAX_GROWTH)
    await operator.deliver(operator.next_change())


async def send_storm(run):
    """Send a change each third of a second, none of which waits for another."""
    end_s = run.fleet.now_s() + STORM_S
    async with trio.open_nursery() as nursery:
        while run.fleet.now_s() < end_s:
            nursery.start_soon(run.operator.deliver, run.operator.next_change())
            await trio.sleep(STORM_GAP_S)
