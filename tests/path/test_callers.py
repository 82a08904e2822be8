import json

import openai
import pytest
import trio

from tests.path.builders import CALLER_KEY, run_with_vm

MESSAGES = [{"role": "user", "content": "How many crates came back?"}]


def run_with_client(folder, func, key=CALLER_KEY):
    """Start a VM and a target and return ``func(client)``.

    :param func: called in a thread with the OpenAI client.
    """

    async def act(running):
        await running.add_target()
        client = openai.OpenAI(api_key=key, base_url=running.base_url, max_retries=0)
        with client:
            return await trio.to_thread.run_sync(func, client)

    return run_with_vm(folder, act)


def test_the_stock_client_gets_a_complete_answer(tmp_path):
    answer = run_with_client(
        tmp_path,
        lambda client: client.chat.completions.create(model="m", messages=MESSAGES),
    )
    assert answer.choices[0].finish_reason == "stop"
    assert answer.usage.completion_tokens == len(
        answer.choices[0].message.content.split()
    )


def test_the_stock_client_streams_the_same_answer(tmp_path):
    def request(client):
        complete = client.chat.completions.create(model="m", messages=MESSAGES)
        stream = client.chat.completions.create(
            model="m", messages=MESSAGES, stream=True
        )
        texts = [chunk.choices[0].delta.content or "" for chunk in stream]
        return complete.choices[0].message.content, texts

    complete, texts = run_with_client(tmp_path, request)
    assert len(texts) > 1
    assert "".join(texts) == complete


def test_the_stock_client_gets_plain_completions(tmp_path):
    answer = run_with_client(
        tmp_path, lambda client: client.completions.create(model="m", prompt="Count.")
    )
    assert answer.choices[0].text


def test_the_stock_client_lists_models(tmp_path):
    models = run_with_client(tmp_path, lambda client: client.models.list())
    assert [model.id for model in models.data] == ["m"]


@pytest.mark.parametrize(
    ("key", "model", "kind", "code"),
    [
        ("wrong", "m", openai.AuthenticationError, "unauthenticated"),
        (CALLER_KEY, "other", openai.NotFoundError, "unknown-model"),
    ],
)
def test_the_stock_client_raises_the_exception_of_a_refusal(
    tmp_path, key, model, kind, code
):
    def request(client):
        with pytest.raises(kind) as raised:
            client.chat.completions.create(model=model, messages=MESSAGES)
        return raised.value

    error = run_with_client(tmp_path, request, key)
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
def test_a_malformed_body_is_refused_with_its_type(tmp_path, body, status, kind):
    async def act(running):
        return await running.call("POST", "/v1/chat/completions", body)

    res = run_with_vm(tmp_path, act)
    assert res.status == status
    assert json.loads(res.content)["type"] == f"urn:vanillabeam:{kind}"
    assert dict(res.headers)[b"vanillabeam-run"] == b"not-run"


def test_without_a_target_the_refusal_comes_with_retry_after(tmp_path):
    async def act(running):
        body = json.dumps({"model": "m", "messages": MESSAGES}).encode()
        return await running.call(
            "POST", "/v1/chat/completions", body, Vanillabeam_Deadline="1"
        )

    res = run_with_vm(tmp_path, act)
    headers = dict(res.headers)
    assert res.status == 503
    assert headers[b"vanillabeam-run"] == b"not-run"
    assert int(headers[b"retry-after"]) >= 1


def test_internal_paths_are_not_served_to_callers(tmp_path):
    async def act(running):
        paths = ("/peer/members/view", "/operator/status", "/target/announce", "/x")
        return [(await running.call("POST", path, b"{}")).status for path in paths]

    assert run_with_vm(tmp_path, act) == [404, 404, 404, 404]


def test_an_operator_needs_a_key(tmp_path):
    async def act(running):
        return await running.call_as_operator("GET", "/operator/status", key="wrong")

    assert run_with_vm(tmp_path, act).status == 401
