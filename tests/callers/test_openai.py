import json

from hypothesis import given, settings, strategies as st
from returns.result import Success

from tests.builders import make_workspace
from vanillabeam.callers.openai import (
    CHAT_PATH,
    COMPLETIONS_PATH,
    choose_model,
    model_list,
    parse_prompt,
)
from vanillabeam.callers.requests import prompt_request
from vanillabeam.config import Adapter, Config, Model, Priority

CONFIG = Config(
    4,
    models={"m": Model("m", "v1"), "n": Model("n", "v2")},
    adapters={"m:clerk": Adapter("m:clerk", "m", "a1")},
)
JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["model", "messages", "prompt", "stream", "n", "content"]),
            inner,
            max_size=5,
        )
    ),
    max_leaves=10,
)
HEADERS = st.dictionaries(
    st.sampled_from(["vanillabeam-deadline", "vanillabeam-priority"]),
    st.text(max_size=8) | st.sampled_from(["batch", "1", "nan", "-1", "1e400"]),
)


def admit(workspace=None, headers=None, **fields):
    body = {"model": "m", "messages": [{"role": "user", "content": "hi"}]} | fields
    prompt = parse_prompt(CHAT_PATH, json.dumps(body).encode()).unwrap()
    workspace = workspace or make_workspace()
    return prompt_request(CONFIG, workspace, prompt, headers or {}, "r1")


def test_a_prompt_is_bound_to_version_adapter_and_index():
    request = admit(model="m:clerk").unwrap()
    assert request.ticket_index == 4
    assert (request.route.model, request.route.version) == ("m", "v1")
    assert (request.route.adapter, request.route.adapter_version) == ("m:clerk", "a1")


def test_workspaces_models_and_adapters_share_no_salt_and_no_block():
    text = [{"role": "user", "content": "crate " * 9_000}]
    other = make_workspace("other", cache_secret="6b" * 32)
    requests = [
        admit(messages=text).unwrap(),
        admit(messages=text, workspace=other).unwrap(),
        admit(messages=text, model="n").unwrap(),
        admit(messages=text, model="m:clerk").unwrap(),
    ]
    assert len({request.cache_salt for request in requests}) == len(requests)
    blocks = [block for request in requests for block in request.route.blocks]
    assert len(requests[0].route.blocks) > 1
    assert len(set(blocks)) == len(blocks)


def test_a_header_can_lower_the_priority_but_not_raise_it():
    batch = make_workspace(priority=Priority.BATCH)
    raised = admit(batch, {"vanillabeam-priority": "interactive"}).unwrap()
    lowered = admit(headers={"vanillabeam-priority": "batch"}).unwrap()
    assert raised.route.priority is lowered.route.priority is Priority.BATCH


def test_a_workspace_can_list_and_use_only_its_models():
    workspace = make_workspace(models=("n",))
    assert [row["id"] for row in model_list(CONFIG, workspace)["data"]] == ["n"]
    assert choose_model(CONFIG, workspace, "m").failure().type == "unknown-model"
    assert choose_model(CONFIG, workspace, "m:clerk").failure().status == 404


@given(st.sampled_from([CHAT_PATH, COMPLETIONS_PATH]), JSON, HEADERS)
@settings(derandomize=True, max_examples=300, deadline=None)
def test_any_body_and_header_gives_a_request_or_a_typed_failure(path, body, headers):
    result = parse_prompt(path, json.dumps(body).encode()).bind(
        lambda prompt: prompt_request(CONFIG, make_workspace(), prompt, headers, "r")
    )
    if not isinstance(result, Success):
        assert result.failure().status in (400, 404)
        assert result.failure().run == "not-run"
