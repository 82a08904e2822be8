import json

from tests.path.builders import run_with_vm


def test_a_refund_sent_twice_runs_once_and_gets_the_same_answer(tmp_path):
    async def act(running):
        target = await running.add_target(target="s1", service="refunds")
        answers = [
            await running.call(
                "POST", "/services/refunds/pay", b'{"cents": 5}', Idempotency_Key="k-1"
            )
            for _ in range(2)
        ]
        return target, answers

    target, (first, second) = run_with_vm(tmp_path, act)
    assert first.status == second.status == 200
    assert first.content == second.content
    assert target.executions["key:k-1"] == 1
    assert dict(second.headers)[b"vanillabeam-replayed"] == b"true"


def test_another_body_under_the_same_key_is_refused(tmp_path):
    async def act(running):
        await running.add_target(target="s1", service="refunds")
        path = "/services/refunds/pay"
        await running.call("POST", path, b"one", Idempotency_Key="k-1")
        return await running.call("POST", path, b"two", Idempotency_Key="k-1")

    res = run_with_vm(tmp_path, act)
    assert res.status in (409, 422)
    assert json.loads(res.content)["type"] == "urn:vanillabeam:key-reused"


def test_an_unknown_service_is_refused(tmp_path):
    async def act(running):
        return await running.call("GET", "/services/printing/x")

    res = run_with_vm(tmp_path, act)
    assert json.loads(res.content)["type"] == "urn:vanillabeam:unknown-service"


def test_ambiguous_paths_are_refused(tmp_path):
    async def act(running):
        paths = (
            "/services/refunds/a/../../orders",
            "/services/refunds/%2e%2e/orders",
            "/services/refunds/a%2fb",
            "/services/refunds//pay",
        )
        return [await running.call("GET", path) for path in paths]

    for res in run_with_vm(tmp_path, act):
        assert json.loads(res.content)["type"] == "urn:vanillabeam:malformed-path"
