"""Words that a control VM has acknowledged, and what must never be seen against them.

One table holds for all of them: from when a word binds, until when, and which requests
break it. Each is checked against what callers and targets saw.
"""

import json
from http import HTTPStatus
from typing import NamedTuple

import httpcore
import trio

from tests.soak.fleet import BOUNDS, CONTROL_PORT
from tests.soak.targets import HEARTBEAT_S
from tests.soak.touch import CONTACT_S, Touch, touch

EVAC_S = BOUNDS["evac_ms"] / 1000
DRAIN_S = BOUNDS["drain_ms"] / 1000
SKEW_S = BOUNDS["skew_max_ms"] / 1000
#: Seconds for which a caller of the operator's API waits, and for which it asks again.
PATIENCE_S = 1.0
ACK_S = BOUNDS["ack_ms"] / 1000
FREEZE_S = 4.0
#: Seconds by which pings of before a leave call come late, and their number.
PING_LATE_S = 3.5
LATE_PINGS = 5
#: Service whose targets get requests all the time, from all callers.
BUSY_SERVICE = "app-a"
WATCH_S = 4.0
#: Requests elsewhere beside which some must reach a data centre that is in service.
MIN_ELSEWHERE = 40
ORDERS = {"evacuated": "Evacuate.Start", "in service": "Evacuate.End"}


class Word:
    """An acknowledged word.

    :ivar kind: key of :data:`RULES`.
    :ivar subject: data centre or target that it is about.
    :ivar since_s: time of its confirmation.
    :ivar until_s: time at which it was first taken back.
    """

    def __init__(self, kind, subject, since_s):
        self.kind = kind
        self.subject = subject
        self.since_s = since_s
        self.until_s = float("inf")


class Rule(NamedTuple):
    """How one kind of word binds.

    :param name: rule that a broken word breaks.
    :param bound_s: seconds from the confirmation until it binds.
    :param is_skewed: whether a core that isn't stable stretches the bound.
    :param concerns: whether a run is one that the word is about.
    """

    name: str
    bound_s: float
    is_skewed: bool
    concerns: object


def _runs_in(history, word, run):
    return history.zones.get(run.target) == word.subject


def _runs_at(history, word, run):
    return run.target == word.subject


RULES = {
    "evacuated": Rule("EVAC", EVAC_S, True, _runs_in),
    "left": Rule("DRAIN", DRAIN_S, False, _runs_at),
}


def check_words(history):
    """Report each request that reached a target against an acknowledged word."""
    attempts = {attempt.id: attempt for attempt in history.attempts}
    for word in history.words:
        if word.kind == "in service":
            _check_service(history, word, attempts)
            continue
        rule = RULES[word.kind]
        for run in history.runs:
            attempt = attempts.get(run.id)
            if attempt is None or not rule.concerns(history, word, run):
                continue
            if run.at_s < word.until_s and _is_bound(history, word, rule, attempt):
                text = f"{attempt.id} sent at {attempt.sent_s:.2f} by {attempt.vm}"
                text = f"{text}, {word.kind} since {word.since_s:.2f}"
                history.report(rule.name, run.at_s, run.target, text)


def _is_bound(history, word, rule, attempt):
    if attempt.sent_s < word.since_s + rule.bound_s:
        return False
    state = touch(history, attempt.vm, attempt.sent_s, attempt.end_s)
    if state is Touch.OUT or (state is Touch.OUTER and not rule.is_skewed):
        return False
    skew_s = SKEW_S if state is Touch.OUTER else 0.0
    return attempt.sent_s > word.since_s + rule.bound_s + skew_s


def _check_service(history, word, attempts):
    """Report a data centre in service that gets no request beside many elsewhere."""
    inside = elsewhere = 0
    for run in history.runs:
        attempt = attempts.get(run.id)
        if attempt is None or not word.since_s + EVAC_S < attempt.sent_s < word.until_s:
            continue
        if touch(history, attempt.vm, attempt.sent_s, attempt.end_s) is not Touch.IN:
            continue
        is_inside = history.zones.get(run.target) == word.subject
        inside += is_inside
        elsewhere += not is_inside
    if not inside and elsewhere >= MIN_ELSEWHERE and word.subject in history.staffed():
        text = f"no request of {elsewhere}, in service since {word.since_s:.2f}"
        history.report("EVAC", word.since_s, word.subject, text)


async def order_beside_freeze(run):
    """Evacuate a data centre and take it back, with copies at a frozen control VM."""
    free = sorted(set(run.fleet.shape.entries) - run.ordered)
    if not free:
        return
    zone = run.rng.choice(free)
    run.ordered.add(zone)
    try:
        await _order_in_series(run, zone)
    finally:
        run.ordered.discard(zone)


async def _order_in_series(run, zone):
    (frozen,) = run.some(run.fleet.controls)
    kinds = ["evacuated", "in service"]
    run.rng.shuffle(kinds)
    await order(run, zone, kinds[1], None)
    async with trio.open_nursery() as nursery:
        nursery.start_soon(run.freeze, [frozen], FREEZE_S)
        await trio.sleep(0.05)
        # The frozen VM reads a copy of the first order at least when it wakes.
        await order(run, zone, kinds[0], frozen)
        await order(run, zone, kinds[1], frozen if run.rng.random() < 0.3 else None)
    await trio.sleep(EVAC_S + CONTACT_S + WATCH_S)
    await order(run, zone, "in service", None)


async def order(run, zone, kind, first):
    """Send an order to control VMs until one confirms it, or as long as is allowed.

    :param first: name of the control VM that is asked first; ``None`` for any.
    """
    history = run.history
    for word in history.words:
        if word.subject == zone and word.kind in ORDERS and word.kind != kind:
            word.until_s = min(word.until_s, history.now_s())
    others = run.some(run.fleet.controls, len(run.fleet.controls))
    names = [first, *others] if first else others
    end_s, pause_s = history.now_s() + ACK_S, 0.1
    while history.now_s() < end_s:
        for name in names:
            host = run.fleet.vms[name].host
            url = f"http://{host}:{CONTROL_PORT}/api/{ORDERS[kind]}/{zone}"
            status = await call_once(url)
            if status == HTTPStatus.OK:
                history.words.append(Word(kind, zone, history.now_s()))
                return
            await trio.sleep(pause_s)
            pause_s = min(2 * pause_s, 1.0)


async def leave_beside_kill(run):
    """Have a target leave, kill what heard of it, and have older pings come late."""
    names = [n for n, t in run.targets.targets.items() if t.service == BUSY_SERVICE]
    name = run.rng.choice(sorted(names))
    left = run.targets.targets[name]
    await run.targets.add(left.service, left.data_centre)
    (heard,) = run.some(run.fleet.controls)
    url = f"http://{run.fleet.vms[heard].host}:{CONTROL_PORT}/api/Instances"
    async with run.targets.leaving(name) as (target, heartbeat):
        body = json.dumps({"born": target.born_ms}).encode()
        if await call_once(f"{url}.Leave/{name}", body) != HTTPStatus.OK:
            return
        run.history.words.append(Word("left", name, run.history.now_s()))
        await trio.sleep(run.rng.choice((0.0, 0.5)))
        async with trio.open_nursery() as nursery:
            nursery.start_soon(_kill_witnesses, run, heard)
            await trio.sleep(PING_LATE_S)
        # As many as a link held that was cut before the leave call.
        for number in range(LATE_PINGS):
            ping = heartbeat | {"seq": heartbeat["seq"] + number}
            await call_once(f"{url}.Heartbeat/{name}", json.dumps(ping).encode())
            await trio.sleep(HEARTBEAT_S)
        await trio.sleep(WATCH_S)


async def _kill_witnesses(run, heard):
    """Kill those that may know of a leave call: some, all, or one with its disk."""
    entries = [vm.name for vm in run.fleet.entries]
    chance = run.rng.random()
    if chance < 0.4:
        await run.kill([heard, *entries])
    elif chance < 0.7:
        await run.kill(list(run.fleet.vms))
    elif run.may_lose_disk():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(run.kill, entries)
            await run.kill([heard], loses_disk=True)


async def call_once(url, content=b""):
    """Call a control VM on a connection of its own; return the status, 0 for none."""
    with trio.move_on_after(PATIENCE_S):
        try:
            async with httpcore.AsyncConnectionPool() as http:
                return (await http.request("POST", url, content=content)).status
        except (httpcore.NetworkError, httpcore.ProtocolError):
            pass
    return 0
