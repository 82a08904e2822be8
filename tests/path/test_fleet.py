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


def run_on_fleet(act, folder):
    async def main():
        async with fleet_of_four(folder) as fleet:
            await act(fleet)

    trio.run(main)


async def apply_ticket(running, ticket):
    """Send a ticket, again while its outcome is unknown; return its index."""
    with trio.fail_after(30):
        while True:
            status, answer = await running.apply_ticket(ticket)
            if status == 200:
                return answer["index"]
            assert status in (502, 503, 504), answer
            await trio.sleep(0.2)


async def wait_in_force(fleet, index):
    for running in fleet.running.values():
        await running.wait_until(
            lambda r=running: r.vm.components.config().index >= index
        )


async def wait_for_expendable_leader(fleet):
    """Wait until each log tolerates the loss of a VM; return the tickets' leader.

    A log that has just been bootstrapped has only two of its three voters, and
    losing one of them would stop it.
    """
    controls = {vm: fleet.running[vm].vm.components.control for vm in CONTROL}

    def losses_left():
        nodes = [node for control in controls.values() for node in control.nodes]
        losses = [node.status()["losses_left"] for node in nodes if node.is_leader]
        return min(losses) if len(losses) == 2 else 0

    await fleet.running["a1"].wait_until(losses_left)
    return next(vm for vm in CONTROL if controls[vm].tickets.is_leader)


def make_model_ticket(number, version):
    return make_ticket(number, models={"m": {"version": version}})


def test_a_ticket_sent_to_any_vm_is_in_force_on_all(tmp_path):
    async def act(fleet):
        index = await apply_ticket(fleet.running["b2"], make_ticket())
        await wait_in_force(fleet, index)
        res = await fleet.running["a1"].call_as_operator(
            "GET", "/operator/tickets/1/vms"
        )
        assert {row["vm"] for row in json.loads(res.content)["vms"]} == set(LAYOUT)

    run_on_fleet(act, tmp_path)


def test_tickets_are_accepted_after_the_loss_of_the_leader_which_then_rejoins(tmp_path):
    async def act(fleet):
        await wait_in_force(
            fleet, await apply_ticket(fleet.running["a1"], make_ticket())
        )
        leader = await wait_for_expendable_leader(fleet)
        fleet.kill(leader)
        second = await apply_ticket(fleet.running["b2"], make_model_ticket(2, "v2"))
        await wait_in_force(fleet, second)
        restarted = await fleet.start(leader)
        await restarted.wait_until(lambda: restarted.vm.lifecycle.is_ready)
        assert restarted.vm.components.config().index >= second
        assert restarted.vm.components.config().models["m"].version == "v2"

    run_on_fleet(act, tmp_path)


def test_a_vm_without_a_disk_is_ready_only_with_the_newest_tickets(tmp_path):
    async def act(fleet):
        fleet.kill("b2")
        index = await apply_ticket(fleet.running["a1"], make_ticket())
        for number in range(2, 12):
            index = await apply_ticket(
                fleet.running["a1"], make_model_ticket(number, f"v{number}")
            )
        restarted = await fleet.start("b2")
        await restarted.wait_until(lambda: restarted.vm.lifecycle.is_ready)
        assert restarted.vm.components.config().index >= index

    run_on_fleet(act, tmp_path)


def test_a_prompt_is_served_by_a_target_in_another_data_centre(tmp_path):
    async def act(fleet):
        await wait_in_force(
            fleet, await apply_ticket(fleet.running["a1"], make_ticket())
        )
        await fleet.running["a1"].start_target("t1", "dc-a")
        remote = fleet.running["b2"]
        await remote.wait_until(
            lambda: "t1" in remote.vm.components.targets.router.views
        )
        res = await remote.call("POST", "/v1/chat/completions", BODY)
        assert res.status == 200
        trace = await fleet.running["a2"].call_as_operator(
            "GET",
            "/operator/traces/" + dict(res.headers)[b"vanillabeam-request-id"].decode(),
        )
        attempt = json.loads(trace.content)["attempts"][0]
        assert (attempt["data_centre"], attempt["target"]) == ("dc-a", "t1")

    run_on_fleet(act, tmp_path)


def test_of_two_concurrent_tickets_with_one_number_one_is_accepted(tmp_path):
    async def act(fleet):
        await apply_ticket(fleet.running["a1"], make_ticket())
        tickets = [make_model_ticket(2, "left"), make_model_ticket(2, "right")]
        statuses = []

        async def send(vm, ticket):
            statuses.append((await fleet.running[vm].apply_ticket(ticket))[0])

        async with trio.open_nursery() as nursery:
            nursery.start_soon(send, "a1", tickets[0])
            nursery.start_soon(send, "b2", tickets[1])
        assert sorted(statuses) == [200, 409]

    run_on_fleet(act, tmp_path)


def test_a_new_workspace_key_replaces_the_old_one_on_every_vm(tmp_path):
    async def act(fleet):
        await wait_in_force(
            fleet, await apply_ticket(fleet.running["a1"], make_ticket())
        )
        workspace = {"key_digests": [key_digest("new")], "cache_secret": "5a" * 32}
        change = make_ticket(2, workspaces={"icupa": workspace})
        await wait_in_force(fleet, await apply_ticket(fleet.running["b1"], change))
        for running in fleet.running.values():
            old = await running.call("GET", "/v1/models")
            new = await running.call("GET", "/v1/models", key="new")
            assert (old.status, new.status) == (401, 200)

    run_on_fleet(act, tmp_path)


def test_a_vm_with_only_a_seed_receives_and_sends_tickets(tmp_path):
    async def act(fleet):
        await wait_in_force(
            fleet, await apply_ticket(fleet.running["a1"], make_ticket())
        )
        fleet.kill("b2")
        fleet.seeds["b2"] = ["a2"]
        restarted = await fleet.start("b2")
        await restarted.wait_until(lambda: restarted.vm.lifecycle.is_ready)
        await wait_in_force(
            fleet, await apply_ticket(restarted, make_model_ticket(2, "v2"))
        )
        assert restarted.vm.components.config().models["m"].version == "v2"

    run_on_fleet(act, tmp_path)


def test_a_control_vm_with_an_empty_disk_and_only_seeds_rejoins(tmp_path):
    async def act(fleet):
        await wait_in_force(
            fleet, await apply_ticket(fleet.running["a1"], make_ticket())
        )
        await wait_for_expendable_leader(fleet)
        fleet.kill("b1")
        shutil.rmtree(fleet.folder / "b1" / "data")
        fleet.seeds["b1"] = ["a1", "a2"]
        restarted = await fleet.start("b1")
        await restarted.wait_until(lambda: restarted.vm.lifecycle.is_ready)
        await wait_for_expendable_leader(fleet)
        await wait_in_force(
            fleet, await apply_ticket(restarted, make_model_ticket(2, "v2"))
        )

    run_on_fleet(act, tmp_path)
