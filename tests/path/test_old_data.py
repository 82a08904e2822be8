"""Data that an earlier build wrote is read back.

``tests/recorded/data-55271c6`` is the data folder of a VM with every role, killed
with a torn write at the end of the ticket log and of the configuration's steps:
1009 tickets with a snapshot after entry 1000, a keyed call and four blocks.
"""

import json
import shutil
from pathlib import Path

import trio

from tests.path.builders import make_ticket, running_vm

RECORDED = Path(__file__).parents[1] / "recorded" / "data-55271c6"
TICKETS = 1009
CONCURRENT_CALLS = 50
OPTIONS = {
    "roles": ["entry", "control", "store"],
    "store": {"listener": {"port": 0}, "memory_bytes": 2**26, "disk_bytes": 2**26},
    # The recorded call must not expire, however late this test runs.
    "claims": {"retention_s": 1e9},
}
PROMPT = json.dumps(
    {
        "model": "m",
        "messages": [{"role": "user", "content": "crate 24 bottles " * 4_000}],
    }
).encode()


def with_old_data(folder, act):
    shutil.copytree(RECORDED, folder / "data")

    async def main():
        async with running_vm(folder, **OPTIONS) as running:
            return await act(running)

    return trio.run(main)


def test_every_ticket_is_read_back_and_the_next_one_accepted(tmp_path):
    async def act(running):
        answers = {}

        async def show(number):
            answers[number] = await running.call_as_operator(
                "GET", f"/operator/tickets/{number}"
            )

        for first in range(1, TICKETS + 1, CONCURRENT_CALLS):
            async with trio.open_nursery() as nursery:
                for number in range(first, min(first + CONCURRENT_CALLS, TICKETS + 1)):
                    nursery.start_soon(show, number)
        again = await running.apply_ticket(make_ticket())
        following = await running.apply_ticket(
            make_ticket(TICKETS + 1, models={"m": {"version": "v2"}})
        )
        return answers, again, following

    answers, again, following = with_old_data(tmp_path, act)
    assert {answer.status for answer in answers.values()} == {200}
    tickets = [json.loads(answers[number].content) for number in sorted(answers)]
    assert [ticket["number"] for ticket in tickets] == list(range(1, TICKETS + 1))
    indexes = [ticket["index"] for ticket in tickets]
    assert indexes == sorted(set(indexes))
    assert again == (200, {"number": 1, "index": indexes[0]})
    status, answer = following
    assert status == 200
    assert answer["index"] > indexes[-1]


def test_a_repeated_key_gets_its_first_answer_and_does_not_run(tmp_path):
    async def act(running):
        target = await running.add_target(target="s1", service="refunds")
        res = await running.call(
            "POST", "/services/refunds/pay", b'{"cents": 5}', Idempotency_Key="k-1"
        )
        return target, res

    target, res = with_old_data(tmp_path, act)
    assert (res.status, res.content) == (200, b'{"path":"pay","order":"","ran":1}')
    assert dict(res.headers)[b"vanillabeam-replayed"] == b"true"
    assert target.executions["key:k-1"] == 0


def test_blocks_on_disk_are_imported_by_a_target_without_them(tmp_path):
    async def act(running):
        await running.add_target(target="t2", prefill_tokens_s=2_000.0)
        components = running.vm.components
        await running.wait_until(lambda: components.orders.may_import("t2"))
        res = await running.call("POST", "/v1/chat/completions", PROMPT)
        assert res.status == 200, res.content
        return json.loads(res.content)["usage"]

    usage = with_old_data(tmp_path, act)
    assert usage["prompt_tokens_details"]["cached_tokens"] > 12_000
