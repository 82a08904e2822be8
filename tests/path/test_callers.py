import json

import openai
import pytest
import trio

from tests.path.builders import CALLER_KEY, with_vm

MESSAGES = [{"role": "user", "content": "How many crates came back?"}]


def with_client(folder, ask, key=CALLER_KEY):
    """Run ``ask(client)`` with the stock client beside a VM and an engine."""

    async def act(running):
        await running.add_target()
        client = openai.OpenAI(api_key=key, base_url=running.base_url, max_retries=0)
        with client:
            return await trio.to_thread.run_sync(ask, client)

    return with_vm(folder, act)


def test_the_stock_client_gets_a_whole_answer(tmp_path):
    answer = with_client(
        tmp_path,
        lambda client: client.chat.completions.create(model="m", messages=MESSAGES),
    )
    assert answer.choices[0].finish_reason == "stop"
    assert answer.usage.completion_tokens == len(
        answer.choices[0].message.content.split()
    )


def test_the_stock_client_streams_the_same_answer(tmp_path):
    def ask(client):
        whole = client.chat.completions.create(model="m", messages=MESSAGES)
        stream = client.chat.completions.create(
            model="m", messages=MESSAGES, stream=True
        )
        texts = [chunk.choices[0].delta.content or "" for chunk in stream]
        return whole.choices[0].message.content, texts

    whole, texts = with_client(tmp_path, ask)
    assert len(texts) > 1
    assert "".join(texts) == whole


def test_the_stock_client_gets_plain_completions(tmp_path):
    answer = with_client(
        tmp_path, lambda client: client.completions.create(model="m", prompt="Count.")
    )
    assert answer.choices[0].text


def test_the_stock_client_lists_models(tmp_path):
    models = with_client(tmp_path, lambda client: client.models.list())
    assert [model.id for model in models.data] == ["m"]


@pytest.mark.parametrize(
    ("key", "model", "kind", "code"),
    [
        ("wrong", "m", openai.AuthenticationError, "unauthenticated"),
        (CALLER_KEY, "other", openai.NotFoundError, "unknown-model"),
    ],
)
def test_the_stock_client_understands_refusals(tmp_path, key, model, kind, code):
    def ask(client):
        with pytest.raises(kind) as raised:
            client.chat.completions.create(model=model, messages=MESSAGES)
        return raised.value

    error = with_client(tmp_path, ask, key)
    assert error.code == code
    assert error.response.headers["Vanillabeam-Run"] == "not-run"


@pytest.mark.parametrize(
    ("body", "status", "kind"),
    [
        (b"{", 400, "malformed-body"),
        (b'{"model": 3, "messages": []}', 400, "malformed-body"),
        (b'{"model": "m", "messages": []}', 400, "malformed-body"),
        (b'{"model":"m","messages":[{"role":"user"}],"n":2}', 400, "malformed-body"),
    ],
)
def test_a_bad_body_is_refused_by_type(tmp_path, body, status, kind):
    async def act(running):
        return await running.call("POST", "/v1/chat/completions", body)

    res = with_vm(tmp_path, act)
    assert res.status == status
    assert json.loads(res.content)["type"] == f"urn:vanillabeam:{kind}"
    assert dict(res.headers)[b"vanillabeam-run"] == b"not-run"


def test_without_a_target_the_refusal_comes_with_retry_after(tmp_path):
    async def act(running):
        body = json.dumps({"model": "m", "messages": MESSAGES}).encode()
        return await running.call(
            "POST", "/v1/chat/completions", body, Vanillabeam_Deadline="1"
        )

    res = with_vm(tmp_path, act)
    headers = dict(res.headers)
    assert res.status == 503
    assert headers[b"vanillabeam-run"] == b"not-run"
    assert int(headers[b"retry-after"]) >= 1


def test_callers_reach_nothing_internal(tmp_path):
    async def act(running):
        paths = ("/peer/members/view", "/operator/status", "/target/announce", "/x")
        return [(await running.call("POST", path, b"{}")).status for path in paths]

    assert with_vm(tmp_path, act) == [404, 404, 404, 404]


def test_an_operator_needs_a_key(tmp_path):
    async def act(running):
        return await running.operate("GET", "/operator/status", key="wrong")

    assert with_vm(tmp_path, act).status == 401
