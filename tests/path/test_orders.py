import json

from tests.path.builders import make_ticket, with_vm
from vanillabeam.orders.leases import LEASE_S

BODY = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": "Count."}]}
).encode()


async def apply(running, ticket):
    status, answer = await running.apply(ticket)
    assert status == 200, answer
    index = answer["index"]
    await running.wait_until(lambda: running.vm.components.config().index >= index)


def known_models(running):
    """Return the models of the target t1 as the entry knows them."""
    return running.vm.components.targets.router.views["t1"].models


async def ask(running):
    res = await running.call("POST", "/v1/chat/completions", BODY)
    if res.status != 200:
        return res.status, ""
    request_id = dict(res.headers)[b"vanillabeam-request-id"].decode()
    trace = running.vm.traces.get(request_id).unwrap()
    return 200, trace["attempts"][-1]["version"]


def test_a_ticket_with_a_new_version_is_ordered_and_then_served(tmp_path):
    async def act(running):
        target = await running.add_target()
        before = await ask(running)
        await apply(running, make_ticket(2, models={"m": {"version": "v2"}}))
        # A new leader gives no lease to load until its predecessor's have ended.
        loaded = LEASE_S + 30
        await running.wait_until(lambda: target.engine.models == {"m": "v2"}, loaded)
        # Until it has said so itself, prompts for v2 are refused.
        await running.wait_until(lambda: known_models(running) == {"m": "v2"})
        return before, await ask(running)

    assert with_vm(tmp_path, act) == ((200, "v1"), (200, "v2"))


def test_a_data_centre_out_of_service_gets_no_new_work_until_it_is_back(tmp_path):
    async def act(running):
        await running.add_target()
        out = make_ticket(2, data_centres={"dc-1": {"in_service": False}})
        back = make_ticket(3, data_centres={"dc-1": {"in_service": True}})
        await apply(running, out)
        while_out = await ask(running)
        await apply(running, back)
        return while_out, await ask(running)

    assert with_vm(tmp_path, act) == ((503, ""), (200, "v1"))
