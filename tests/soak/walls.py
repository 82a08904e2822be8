"""A workspace that becomes isolated beside others that send the same prompts."""

import trio

from tests.soak.checks import APPLY_S, SKEW_S, newest_confirmed
from tests.soak.clients import Client
from tests.soak.operators import WALLED, WALLED_KEY
from tests.soak.touch import Touch, touch

#: Seconds between two prompts of the workspace, and before and after each change.
PERIOD_S = 0.3
PART_S = 4.0
LIMIT_S = 5.0
GROUP = "wall"


async def wall_off(run):
    """Isolate a workspace, or end that, while it sends prompts."""
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_send_prompts, run)
        await trio.sleep(PART_S)
        run.operator.isolates = not run.operator.isolates
        await run.operator.deliver(run.operator.next_change())
        await trio.sleep(PART_S)
        nursery.cancel_scope.cancel()


async def _send_prompts(run):
    async with trio.open_nursery() as nursery:
        while True:
            nursery.start_soon(_send_once, run)
            await trio.sleep(PERIOD_S)


async def _send_once(run):
    client = Client(run.history, GROUP)
    await client.move(run.rng.choice(run.fleet.entries))
    await client.send("/chat/", "resumable", LIMIT_S, GROUP, key=WALLED_KEY)


def check_walls(history):
    """Report prompts that share a salt with an isolated workspace."""
    attempts = {attempt.id: attempt for attempt in history.attempts}
    users: dict[str, set[str]] = {}
    for run in sorted(history.runs, key=lambda run: run.at_s):
        if not run.salt:
            continue
        others = users.setdefault(run.salt, set()) - {run.tenant}
        users[run.salt].add(run.tenant)
        concerned = others if run.tenant == WALLED else others & {WALLED}
        attempt = attempts.get(run.id)
        if concerned and attempt and _is_isolated(history, attempt):
            text = f"{run.id} of {run.tenant} with {run.salt} of {sorted(concerned)}"
            history.report("WALL", run.at_s, attempt.vm, text)


def _is_isolated(history, attempt):
    """Return whether each version that may be in force isolates the workspace."""
    state = touch(history, attempt.vm, attempt.sent_s, attempt.end_s)
    if state is Touch.OUT:
        return False
    bound_s = APPLY_S + (SKEW_S if state is Touch.OUTER else 0.0)
    least = newest_confirmed(history, attempt.sent_s - bound_s)
    valid = [c for c in history.changes if c.is_valid and c.sent_s <= attempt.end_s]
    flags = [
        tenant["isolated"]
        for change in valid
        if change.number >= least
        for tenant in change.document["tenants"]
        if tenant["name"] == WALLED
    ]
    return bool(flags) and all(flags)
