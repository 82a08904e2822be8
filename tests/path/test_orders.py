import json

from tests.path.builders import make_ticket, run_with_vm
from vanillabeam.orders.leases import LEASE_S

BODY = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "Count."}]}
).encode()


async def apply_ticket(running, ticket):
    status, answer = await running.apply_ticket(ticket)
    assert status == 200, answer
    index = answer["index"]
    await running.wait_until(lambda: running.vm.components.config().index >= index)


def get_routed_models(running):
    """Return the models of the target t1 in the entry VM's routing view."""
    return running.vm.components.targets.router.views["t1"].models


async def send_prompt(running):
    res = await running.call("POST", "/v1/chat/completions", BODY)
    if res.status != 200:
        return res.status, ""
    request_id = dict(res.headers)[b"vanillabeam-request-id"].decode()
    trace = running.vm.traces.get(request_id).unwrap()
    return 200, trace["attempts"][-1]["version"]


def test_a_new_version_in_a_ticket_is_ordered_and_then_served(tmp_path):
    async def act(running):
        target = await running.add_target()
        before = await send_prompt(running)
        await apply_ticket(running, make_ticket(2, models={"m": {"version": "v2"}}))
        # A new leader grants no lease to load until its predecessor's have expired.
        load_timeout_s = LEASE_S + 30
        await running.wait_until(
            lambda: target.engine.models == {"m": "v2"}, load_timeout_s
        )
        # Prompts for v2 are refused until the target itself has reported v2.
        await running.wait_until(lambda: get_routed_models(running) == {"m": "v2"})
        return before, await send_prompt(running)

    assert run_with_vm(tmp_path, act) == ((200, "v1"), (200, "v2"))


def test_a_data_centre_out_of_service_gets_no_new_work_until_it_is_back(tmp_path):
    async def act(running):
        await running.add_target()
        out_of_service = make_ticket(2, data_centres={"dc-1": {"in_service": False}})
        back_in_service = make_ticket(3, data_centres={"dc-1": {"in_service": True}})
        await apply_ticket(running, out_of_service)
        while_out_of_service = await send_prompt(running)
        await apply_ticket(running, back_in_service)
        return while_out_of_service, await send_prompt(running)

    assert run_with_vm(tmp_path, act) == ((503, ""), (200, "v1"))
