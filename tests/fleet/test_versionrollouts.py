"""Rollouts on a control VM with a real log of one replica."""

import random
from functools import partial

import trio
from returns.result import Failure

from tests.canary.test_task import report
from tests.fleet.builders import BOUNDS, make_deployment, make_target
from vanillabeam import wire
from vanillabeam.canary.messages import ROLLOUT_PATH, RolloutReply
from vanillabeam.fleet import FleetSettings
from vanillabeam.fleet.control import FleetControl
from vanillabeam.fleet.loads import make_load
from vanillabeam.fleet.machine import make_deploy
from vanillabeam.fleet.watch import WATCH_PATH, WatchReply

HOST = "10.0.0.1"
EXPOSING = BOUNDS._replace(expose_share=0.1, expose_requests=50.0, rollback_s=5.0)


def make_control(folder, bounds):
    cfg = FleetSettings(
        *("core-1", "a", HOST, "", "", f"{HOST}:1", 7, (HOST,), True, str(folder), 0),
        bounds,
    )
    return FleetControl(cfg, None, random.Random(1), lambda _: make_deployment(), None)


async def wait_for(condition):
    with trio.fail_after(10):
        while not condition():
            await trio.sleep(0.05)


async def run_control(control, main):
    async with trio.open_nursery() as nursery:
        await nursery.start(control.node.run)
        nursery.start_soon(control.rollouts.run)
        await wait_for(lambda: control.node.is_leader)
        while isinstance(await control.propose(make_deploy(7, "{}")), Failure):
            await trio.sleep(0.1)
        result = await main(control)
        nursery.cancel_scope.cancel()
    return result


def add_targets(control):
    control.follower._first_reply_s = 0.0
    for number in range(3):
        for software in ("v1", "v2"):
            name = f"{software}-{number}"
            target = make_target(name, software=software)
            control.follower.directory.update(target, 0.0)


def make_request(rollouts):
    return {
        "vm": "e-1",
        "sends": True,
        "epoch": "",
        "version": 0,
        "index": 0,
        "wait_s": 0.0,
        "parts": {"epoch": "", "version": 0},
        "load": make_load(),
        "fetched": [],
        "rollouts": rollouts,
    }


def read_record(control):
    return control.machine.state["rollouts"]["llm"]


# Guards against parts that are each sound but not connected: the order's path, the log,
# the targets' versions and the reports of entry VMs.
def test_an_order_is_committed_and_a_bad_version_rolled_back(tmp_path):
    async def main(control):
        add_targets(control)
        body = {"service": "", "start": {"service": "llm", "to": "v2", "duration_s": 9}}
        handle = control.routes()[ROLLOUT_PATH]
        reply = wire.decode(RolloutReply, (await handle(wire.encode(body))).unwrap())
        order = reply.unwrap()["rollouts"]["llm"]["order"]
        record = partial(read_record, control)
        await wait_for(lambda: record()["step"] == "trial")
        for vm in ("e-1", "e-2"):
            message = report(30, 30, order) | {"service": "llm"}
            control.rollouts.update(vm, message, trio.current_time())
        await wait_for(lambda: record()["step"] == "rolled-back")
        again = await control.rollouts.start("llm", "v2", 9.0)
        return record(), again.unwrap()

    record, again = trio.run(run_control, make_control(tmp_path, EXPOSING), main)
    assert (record["reason"], record["share"]) == ("bad", 0.0)
    assert again == record


# Guards against rollouts in a fleet whose settings don't have the bounds.
def test_without_bounds_no_order_is_taken(tmp_path):
    async def main(control):
        return await control.rollouts.start("llm", "v2", 9.0)

    answer = trio.run(run_control, make_control(tmp_path, BOUNDS), main)
    assert answer.failure().type == "rollouts-disabled"


# Guards against reports of entry VMs that the control VM drops, and rollouts that it
# doesn't tell them of.
def test_watch_requests_carry_reports_and_replies_the_rollouts(tmp_path):
    async def main(control):
        add_targets(control)
        started = await control.rollouts.start("llm", "v2", 9.0)
        message = report(5, 0, started.unwrap()["order"]) | {"service": "llm"}
        request = make_request([message])
        handle = control.routes()[WATCH_PATH]
        reply = wire.decode(WatchReply, (await handle(wire.encode(request))).unwrap())
        return reply.unwrap(), control.rollouts.sums()["llm"].all_new.sent

    reply, sent = trio.run(run_control, make_control(tmp_path, EXPOSING), main)
    assert sent == 5
    assert reply["state"]["rollouts"]["llm"]["to"] == "v2"
