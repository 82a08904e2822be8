"""Prompts with a part under which targets end, and the rules for them."""

import json

import trio

from tests.soak.clients import Client
from tests.soak.fleet import BOUNDS
from tests.soak.targets import POISON

CONTACT_S = BOUNDS["contact_ms"] / 1000
#: The rule: prompts with the part that targets may still get, from which end on.
COUNTED_ENDS = 5
MAX_ARRIVALS = 3
#: Seconds between two prompts with the part.
PERIOD_S = 0.2
LIMIT_S = 5.0
CONVICTED = '"event":"part-convicted"'
GROUP = "poison"


async def send_poison(run, length_s=8.0):
    """Send prompts with the part to random entry VMs, on connections of their own."""
    end_s = run.fleet.now_s() + length_s
    async with trio.open_nursery() as nursery:
        while run.fleet.now_s() < end_s:
            nursery.start_soon(_send_once, run)
            await trio.sleep(PERIOD_S)


async def _send_once(run):
    client = Client(run.history, GROUP)
    await client.move(run.rng.choice(run.fleet.entries))
    part = POISON.decode()
    await client.send("/chat/", "resumable", LIMIT_S, GROUP, part=part)


def check_poison(history):
    """Report prompts with the part that come to targets too late."""
    if len(history.poisoned) < COUNTED_ENDS:
        return
    limit_s = history.poisoned[COUNTED_ENDS - 1] + CONTACT_S
    late = [at_s for at_s in history.poisoned if at_s > limit_s]
    if len(late) > MAX_ARRIVALS:
        text = f"{len(late)} prompts with the part after {limit_s:.2f} s"
        history.report("BUDGET", late[MAX_ARRIVALS], "targets", text)


def convicted_parts(fleet):
    """Return the parts that control VMs have convicted, by their logs."""
    lines = [
        line
        for vm in (*fleet.controls, *fleet.replaced)
        for line in fleet.path(vm.name, "log.txt").read_text().splitlines()
        if CONVICTED in line
    ]
    return [json.loads(line)["part"] for line in lines]


def check_convictions(history, fleet):
    """Report sound parts that were convicted."""
    for part in set(convicted_parts(fleet)) - {POISON.decode()}:
        history.report("BLAME", fleet.now_s(), "control", f"part {part}")
