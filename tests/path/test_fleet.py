import json
import shutil
from contextlib import asynccontextmanager

import trio

from tests.path.builders import make_ticket
from tests.path.fleet import Fleet
from vanillabeam.tickets.keys import key_digest

LAYOUT = {"a1": "dc-a", "a2": "dc-a", "b1": "dc-b", "b2": "dc-b"}
CONTROL = ["a1", "a2", "b1"]
BODY = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "Count."}]}
).encode()


@asynccontextmanager
async def fleet_of_four(folder):
    async with Fleet(folder, LAYOUT, CONTROL).open() as fleet:
        yield fleet


def run(act, folder):
    async def main():
        async with fleet_of_four(folder) as fleet:
            await act(fleet)

    trio.run(main)


async def apply(running, ticket):
    """Apply as an operator would: the same ticket again while it is unknown."""
    with trio.fail_after(30):
        while True:
            status, answer = await running.apply(ticket)
            if status == 200:
                return answer["index"]
            assert status in (502, 503, 504), answer
            await trio.sleep(0.2)


async def in_force(fleet, index):
    for running in fleet.running.values():
        await running.wait_until(
            lambda r=running: r.vm.components.config().index >= index
        )


async def leader_that_can_be_lost(fleet):
    """Wait until every log can lose a VM; a young one holds two of three."""
    controls = {vm: fleet.running[vm].vm.components.control for vm in CONTROL}

    def losses_left():
        nodes = [node for control in controls.values() for node in control.nodes]
        led = [node.status()["losses_left"] for node in nodes if node.is_leader]
        return min(led) if len(led) == 2 else 0

    await fleet.running["a1"].wait_until(losses_left)
    return next(vm for vm in CONTROL if controls[vm].tickets.is_leader)


def models(number, version):
    return make_ticket(number, models={"m": {"version": version}})


def test_a_ticket_sent_to_any_vm_is_in_force_on_all(tmp_path):
    async def act(fleet):
        index = await apply(fleet.running["b2"], make_ticket())
        await in_force(fleet, index)
        res = await fleet.running["a1"].operate("GET", "/operator/tickets/1/vms")
        assert {row["vm"] for row in json.loads(res.content)["vms"]} == set(LAYOUT)

    run(act, tmp_path)


def test_tickets_go_on_after_the_leader_is_killed_and_it_comes_back(tmp_path):
    async def act(fleet):
        await in_force(fleet, await apply(fleet.running["a1"], make_ticket()))
        leader = await leader_that_can_be_lost(fleet)
        fleet.kill(leader)
        second = await apply(fleet.running["b2"], models(2, "v2"))
        await in_force(fleet, second)
        back = await fleet.start(leader)
        await back.wait_until(lambda: back.vm.lifecycle.is_ready)
        assert back.vm.components.config().index >= second
        assert back.vm.components.config().models["m"].version == "v2"

    run(act, tmp_path)


def test_a_vm_without_a_disk_is_ready_only_with_the_newest_tickets(tmp_path):
    async def act(fleet):
        fleet.kill("b2")
        index = await apply(fleet.running["a1"], make_ticket())
        for number in range(2, 12):
            index = await apply(fleet.running["a1"], models(number, f"v{number}"))
        back = await fleet.start("b2")
        await back.wait_until(lambda: back.vm.lifecycle.is_ready)
        assert back.vm.components.config().index >= index

    run(act, tmp_path)


def test_a_prompt_finds_a_target_in_another_data_centre(tmp_path):
    async def act(fleet):
        await in_force(fleet, await apply(fleet.running["a1"], make_ticket()))
        await fleet.running["a1"].announce_target("t1", "dc-a")
        far = fleet.running["b2"]
        await far.wait_until(lambda: "t1" in far.vm.components.targets.router.views)
        res = await far.call("POST", "/v1/chat/completions", BODY)
        assert res.status == 200
        trace = await fleet.running["a2"].operate(
            "GET",
            "/operator/traces/" + dict(res.headers)[b"vanillabeam-request-id"].decode(),
        )
        attempt = json.loads(trace.content)["attempts"][0]
        assert (attempt["data_centre"], attempt["target"]) == ("dc-a", "t1")

    run(act, tmp_path)


def test_two_operators_race_with_one_number_and_one_wins(tmp_path):
    async def act(fleet):
        await apply(fleet.running["a1"], make_ticket())
        tickets = [models(2, "left"), models(2, "right")]
        statuses = []

        async def send(vm, ticket):
            statuses.append((await fleet.running[vm].apply(ticket))[0])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "a1", tickets[0])
            nursery.start_soon(send, "b2", tickets[1])
        assert sorted(statuses) == [200, 409]

    run(act, tmp_path)


def test_a_workspace_key_counts_on_every_vm_and_ends_on_every_vm(tmp_path):
    async def act(fleet):
        await in_force(fleet, await apply(fleet.running["a1"], make_ticket()))
        workspace = {"key_digests": [key_digest("new")], "cache_secret": "5a" * 32}
        change = make_ticket(2, workspaces={"icupa": workspace})
        await in_force(fleet, await apply(fleet.running["b1"], change))
        for running in fleet.running.values():
            old = await running.call("GET", "/v1/models")
            new = await running.call("GET", "/v1/models", key="new")
            assert (old.status, new.status) == (401, 200)

    run(act, tmp_path)


def test_a_vm_that_knows_only_a_seed_hears_of_tickets_and_sends_them(tmp_path):
    async def act(fleet):
        await in_force(fleet, await apply(fleet.running["a1"], make_ticket()))
        fleet.kill("b2")
        fleet.seeds["b2"] = ["a2"]
        back = await fleet.start("b2")
        await back.wait_until(lambda: back.vm.lifecycle.is_ready)
        await in_force(fleet, await apply(back, models(2, "v2")))
        assert back.vm.components.config().models["m"].version == "v2"

    run(act, tmp_path)


def test_a_control_vm_with_an_empty_disk_that_knows_only_a_seed_comes_back(tmp_path):
    async def act(fleet):
        await in_force(fleet, await apply(fleet.running["a1"], make_ticket()))
        await leader_that_can_be_lost(fleet)
        fleet.kill("b1")
        shutil.rmtree(fleet.folder / "b1" / "data")
        fleet.seeds["b1"] = ["a1", "a2"]
        back = await fleet.start("b1")
        await back.wait_until(lambda: back.vm.lifecycle.is_ready)
        await leader_that_can_be_lost(fleet)
        await in_force(fleet, await apply(back, models(2, "v2")))

    run(act, tmp_path)
