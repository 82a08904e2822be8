"""Whether every VM knows each target that announces itself, and gives it work."""

from itertools import count

import trio

from tests.soak.clients import PROMPT, Client
from tests.soak.fleet import BOUNDS, PEER_PORTS
from tests.soak.targets import MODEL_SERVICE
from vanillabeam import wire
from vanillabeam.fleet.loads import make_load
from vanillabeam.fleet.parts import PartRequest
from vanillabeam.fleet.watch import WATCH_PATH, WatchReply, WatchRequest

#: Seconds after the last fault, or a target's start, within which all VMs know it.
KNOWN_S = BOUNDS["contact_ms"] / 1000 + BOUNDS["catch_up_s"]
#: Prompts that an entry VM is sent at once, for each target, and how often.
PROMPTS_PER_TARGET = 4
ROUNDS = 8
ROUND_PAUSE_S = 0.3
LIMIT_S = 5.0
CALL_TIMEOUT_S = 2.0
#: Group of the requests that this check sends.
GROUP = "known"
_parts = count(1)


def expected_targets(run):
    """Return the targets that have announced themselves for long enough."""
    now_s = run.fleet.now_s()
    return {
        name: target
        for name, target in run.targets.targets.items()
        if target.state == "ready" and now_s - target.started_s > KNOWN_S
    }


async def check_known(run):
    """Report targets that a control VM doesn't know or an entry VM gives no work.

    It is called once the faults have been over for ``KNOWN_S``.
    """
    targets = expected_targets(run)
    for vm in run.fleet.controls:
        known = await _known_targets(run, vm)
        for name in sorted(set(targets) - known):
            text = f"{vm.name} doesn't know {name}, which calls {targets[name].host}"
            run.history.report("KNOWN", run.fleet.now_s(), vm.name, text)
    serving = {n for n, t in targets.items() if t.service == MODEL_SERVICE}
    async with trio.open_nursery() as nursery:
        for vm in run.fleet.entries:
            nursery.start_soon(_check_work, run, vm, serving)


async def _known_targets(run, vm):
    """Return the targets that a control VM has heard of lately, from any VM."""
    request = WatchRequest(
        # Only entry VMs are told what a control VM knows from the others.
        vm=run.fleet.entries[0].name,
        sends=True,
        epoch="",
        version=0,
        index=0,
        wait_s=0.0,
        parts=PartRequest(epoch="", version=0),
        load=make_load(),
        fetched=[],
    )
    url = f"http://{vm.host}:{PEER_PORTS[0]}{WATCH_PATH}"
    with trio.move_on_after(CALL_TIMEOUT_S):
        res = await run.http.request("POST", url, content=wire.encode(request))
        reply = wire.decode(WatchReply, res.content).unwrap()
        ages_s = reply["ages_s"].items()
        return {name for name, age_s in ages_s if age_s < KNOWN_S}
    return set()


async def _check_work(run, vm, names):
    """Send prompts to an entry VM until each target has begun one of them."""
    missing = set(names)
    for _ in range(ROUNDS):
        ids = await _send_prompts(run, vm, PROMPTS_PER_TARGET * len(names))
        missing -= {run.target for run in run.history.runs if run.id in ids}
        if not missing:
            return
        await trio.sleep(ROUND_PAUSE_S)
    for name in sorted(missing & set(run.targets.targets)):
        text = f"{vm.name} gives no work to {name}"
        run.history.report("KNOWN", run.fleet.now_s(), vm.name, text)


async def _send_prompts(run, vm, number):
    ids = set()

    async def send():
        client = Client(run.history, f"{GROUP}-{vm.name}")
        await client.move(vm)
        # No target holds a part of it, so all are as good.
        prompt = PROMPT | {"X-Vanillabeam-Prefix-Hash": f"{next(_parts):08x}:100"}
        attempt, _ = await client.send(
            "/chat/", "resumable", LIMIT_S, GROUP, prompt=prompt
        )
        ids.add(attempt.id)
        await client.close()

    async with trio.open_nursery() as nursery:
        for _ in range(number):
            nursery.start_soon(send)
    return ids
