"""Rollouts of a service to other software versions in a run, and the rules for them."""

import json

import trio

from tests.soak.clients import PLAIN_LIMIT_S, Client
from tests.soak.fleet import BOUNDS
from tests.soak.operators import REFUSALS
from tests.soak.touch import CONTACT_S, is_calm

#: Service whose targets get requests all the time, from all callers.
SERVICE = "app-a"
DURATION_S = 8.0
#: Seconds after the time limit in which the fleet may have to recover first.
LATE_S = BOUNDS["recover_s"]
#: Seconds by which the state may be read after the time limit in calm.
READ_S = 1.5
SHARE, SLACK = BOUNDS["expose_share"], BOUNDS["expose_slack"]
ROLLBACK_S = BOUNDS["rollback_ms"] / 1000
COUNTED_BAD = 50
ORDER_S = 5.0
#: Requests a second beside those of the other callers, and seconds after the end of a
#: rollout for which they go on.
CALLS_S = 12.0
AFTER_S = 2.0
GROUP = "rollout"
POLL_S = 0.1
DRAIN_LAG_S = 2.0
GOOD, BAD = "complete", "rolled_back"


class VersionOrder:
    """A rollout that an operator ordered.

    :ivar names: targets of the new version.
    :ivar bad_s: times of its failures.
    :ivar state: last state that was read; empty before.
    """

    def __init__(self, to, is_bad, sent_s):
        self.to = to
        self.is_bad = is_bad
        self.sent_s = sent_s
        self.ended_s = float("inf")
        self.names: list[str] = []
        self.bad_s: list[float] = []
        self.state = ""


async def roll_out(run):
    """Roll a service out to another version, good or bad; one at a time."""
    if run.targets.is_rolling:
        return
    run.targets.is_rolling = True
    try:
        while not any(change.confirmed_s for change in run.history.changes):
            await trio.sleep(POLL_S)
        await _roll_out(run)
    finally:
        run.targets.is_rolling = False


async def _roll_out(run):
    history, pool = run.history, run.targets
    to = f"v{len(history.version_orders) + 2}"
    # Good and bad ones in turn.
    before = history.version_orders[-1:]
    is_bad = not before[0].is_bad if before else run.rng.random() < 0.5
    order = VersionOrder(to, is_bad, history.now_s())
    history.version_orders.append(order)
    if not await _send(run, order):
        return
    zones = [t.data_centre for t in pool.targets.values() if t.service == SERVICE]
    added = [await pool.add(SERVICE, zone, to, order) for zone in zones]
    names = [target.name for target in added]
    async with trio.open_nursery() as nursery:
        nursery.start_soon(_call_often, run, nursery)
        if order.is_bad:
            # Callers see the failures of the few requests that try the version.
            with history.outage("target", names):
                await _watch(run, order)
                await trio.sleep(CONTACT_S)
        else:
            await _watch(run, order)
        _finish(run, order)
        await trio.sleep(AFTER_S)
        nursery.cancel_scope.cancel()


async def _call_often(run, nursery):
    """Call the service at a rate at which a version can be judged in time."""
    while True:
        nursery.start_soon(_call, run)
        await trio.sleep(run.rng.expovariate(CALLS_S))


async def _call(run):
    client = Client(run.history, GROUP)
    await client.move(run.rng.choice(run.fleet.entries))
    path, kind = run.rng.choice((("/look/", "safe"), ("/pay/", "unsafe")))
    await client.send(path, kind, PLAIN_LIMIT_S, GROUP)


async def _send(run, order):
    """Send an order until it is confirmed; return whether it was in time."""
    body = {"service": SERVICE, "to": order.to, "duration_s": DURATION_S}
    with trio.move_on_after(ORDER_S):
        while True:
            _, status, text = await run.operator.call(
                "POST", "/api/Rollouts.Start", json.dumps(body)
            )
            if status == 200:
                return True
            if status in REFUSALS:
                text = f"the order to {order.to} was refused: {status} {text}"
                run.history.report("ROLLOUT", order.sent_s, "core", text)
                return False
            await trio.sleep(POLL_S)
    return False


async def _watch(run, order):
    """Read the state until the rollout has ended."""
    with trio.move_on_after(DURATION_S + LATE_S):
        while order.state not in (GOOD, BAD):
            path = f"/api/Rollouts.Get/{SERVICE}"
            _, status, text = await run.operator.call("GET", path)
            if status == 200:
                _check_read(run, order, json.loads(text))
            await trio.sleep(POLL_S)
        order.ended_s = run.history.now_s()


def _check_read(run, order, document):
    if document["to"] != order.to:
        text = f"read a rollout to {document['to']}, ordered was {order.to}"
        run.history.report("ROLLOUT", run.history.now_s(), "core", text)
    order.state = document["state"]


def _finish(run, order):
    """Stop the targets that are no longer needed: old ones at once, new ones drain."""
    pool = run.targets
    if order.state == GOOD:
        pool.software[SERVICE] = order.to
        for name, target in list(pool.targets.items()):
            if target.service == SERVICE and target.software != order.to:
                pool.stop(name)
        return
    for name in order.names:
        if name in pool.targets:
            run.nursery.start_soon(_retire_later, pool, name)


async def _retire_later(pool, name):
    await trio.sleep(DRAIN_LAG_S)
    if name in pool.targets:
        await pool.retire(name)


def check_rollouts(history):
    """Rollouts end as they must, and a bad version gets what it may at most."""
    for order in history.version_orders:
        if not order.names:
            continue
        limit_s = order.sent_s + DURATION_S
        if order.state not in (GOOD, BAD) and history.now_s() > limit_s + LATE_S:
            _report(history, order, "it has not ended")
        if is_calm_but_for(history, order):
            expected = BAD if order.is_bad else GOOD
            if order.state != expected:
                _report(history, order, f"{order.state or 'no end'}, not {expected}")
            if order.ended_s > limit_s + READ_S:
                _report(history, order, f"ended at {order.ended_s:.2f} s")
        if order.is_bad:
            _check_exposure(history, order, limit_s)


def is_calm_but_for(history, order):
    """Return whether no fault but that of the version itself was near a rollout."""
    start_s, end_s = order.sent_s - 2 * CONTACT_S, order.sent_s + DURATION_S
    return not any(
        fault.overlaps(start_s, end_s) and not fault.vms & set(order.names)
        for fault in history.outages
    )


def _check_exposure(history, order, limit_s):
    prefix = f"i-{SERVICE}-"
    within = [
        arrival
        for arrival in history.arrivals
        if arrival.target.startswith(prefix) and order.sent_s <= arrival.at_s < limit_s
    ]
    new = [arrival for arrival in within if arrival.target in order.names]
    allowed = SHARE * len(within) + SLACK
    if len(new) > allowed:
        text = f"{len(new)} requests of {len(within)}, allowed {allowed:.0f}"
        _report(history, order, text)
    after_s = float("inf")
    if len(order.bad_s) >= COUNTED_BAD:
        after_s = sorted(order.bad_s)[COUNTED_BAD - 1] + ROLLBACK_S
    if order.state == BAD and is_calm(history, order.ended_s, order.ended_s):
        after_s = min(after_s, order.ended_s + CONTACT_S)
    late = [
        arrival
        for arrival in history.arrivals
        if arrival.target in order.names and arrival.at_s > after_s
    ]
    if late:
        _report(history, order, f"{len(late)} requests after {after_s:.2f} s")


def _report(history, order, text):
    history.report("ROLLOUT", order.sent_s, "core", f"to {order.to}: {text}")
