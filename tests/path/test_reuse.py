import json

from tests.path.builders import run_with_vm

STORE = {
    "roles": ["entry", "control", "store"],
    "store": {"listener": {"port": 0}, "memory_bytes": 2**26, "disk_bytes": 2**26},
}
LONG_PROMPT = "crate 24 bottles " * 4_000
BODY = json.dumps(
    {"model": "m", "messages": [{"role": "user", "content": LONG_PROMPT}]}
).encode()


async def send_prompt(running):
    res = await running.call("POST", "/v1/chat/completions", BODY)
    assert res.status == 200, res.content
    trace = running.vm.traces.get(
        dict(res.headers)[b"vanillabeam-request-id"].decode()
    ).unwrap()
    return json.loads(res.content)["usage"], trace


def test_a_repeated_prompt_imports_its_blocks_at_another_target(tmp_path):
    async def act(running):
        first = await running.add_target(target="t1")
        before, _ = await send_prompt(running)
        components = running.vm.components
        await running.wait_until(lambda: components.cache.report().exported_bytes)
        first.leave()
        await running.add_target(target="t2", prefill_tokens_s=2_000.0)
        await running.wait_until(lambda: components.orders.may_import("t2"))
        views = components.targets.router.views
        await running.wait_until(lambda: not views["t1"].open)
        after, trace = await send_prompt(running)
        return before, after, trace

    before, after, trace = run_with_vm(tmp_path, act, **STORE)
    assert before["prompt_tokens_details"]["cached_tokens"] == 0
    assert trace["attempts"][-1]["target"] == "t2"
    assert after["prompt_tokens_details"]["cached_tokens"] > 12_000
    assert trace["recomputed_tokens"] < 4_000


def test_a_failed_store_causes_a_recomputation_but_no_failed_answer(tmp_path):
    async def act(running):
        await running.add_target(target="t1")
        await send_prompt(running)
        cache = running.vm.components.cache
        await running.wait_until(lambda: cache.report().exported_bytes)
        running.vm.apps["store"].app = None
        running.vm.components.targets.router.placements.forget("t1", ())
        await running.add_target(target="t2")
        return [await send_prompt(running) for _ in range(2)]

    for usage, trace in run_with_vm(tmp_path, act, **STORE):
        assert usage["completion_tokens"] == 16
        assert trace["failure"] is None
