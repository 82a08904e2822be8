"""Fuzz test of the store's HTTP API with random paths, headers and bodies."""

import random

import trio
from hypothesis import given, settings, strategies as st

from tests.cache.builders import make_ids
from tests.store.builders import checksum_of
from vanillabeam.store import Store, StoreSettings, make_app
from vanillabeam.store.state import audit

IDS = make_ids(2)
NAMES = ["vanillabeam-checksum", "vanillabeam-tokens", "vanillabeam-parent"]
NAMES += ["content-length"]
VALUES = st.one_of(
    st.sampled_from(["0", "3", "-3", "1e3", "3 ", "", *IDS, checksum_of(b"abc")]),
    st.text(st.characters(max_codepoint=255), max_size=40),
    st.integers(-10, 10**20).map(str),
)
VALID = {"vanillabeam-checksum": checksum_of(b"abc"), "vanillabeam-tokens": "3"}
VALID |= {"content-length": "3"}
ANSWERS = {200, 201, 204, 400, 403, 404, 405, 409, 422, 503, 507}


async def ask(store, app, method, path, headers, chunks):
    messages = [
        {"type": "http.request", "body": chunk, "more_body": True} for chunk in chunks
    ]
    messages.append({"type": "http.request", "body": b"", "more_body": False})
    sent = []

    async def receive():
        if not messages:
            await trio.sleep_forever()
        return messages.pop(0)

    async def send(message):
        sent.append(message)

    scope = {
        "type": "http",
        "method": method,
        "path": path,
        "raw_path": path.encode(),
        "root_path": "",
        "query_string": b"",
        "headers": [(k.encode(), v.encode("latin-1")) for k, v in headers.items()],
    }
    await app(scope, receive, send)
    body = b"".join(message.get("body", b"") for message in sent[1:])
    return sent[0]["status"], body


@settings(derandomize=True, max_examples=300, deadline=None)
@given(
    st.sampled_from(["PUT", "GET", "HEAD", "DELETE", "POST"]),
    st.one_of(st.sampled_from(IDS), st.text(max_size=60)),
    st.dictionaries(st.sampled_from(NAMES), VALUES),
    st.one_of(st.just([b"a", b"bc"]), st.lists(st.binary(max_size=8), max_size=4)),
)
def test_no_request_breaks_the_store(method, name, headers, chunks):
    async def main():
        store = Store("s1", StoreSettings(memory_bytes=1_000), random.Random(1))
        store.ready = True
        app = make_app(store)
        path = f"/blocks/{name}"
        status, _ = await ask(store, app, method, path, VALID | headers, chunks)
        assert status in ANSWERS
        if status == 201:
            assert store.state.blocks
        audit(store.state)
        assert store.transfers == 0 and not store.state.writing
        for block in store.state.blocks.values():
            path = f"/blocks/{block.block_id}"
            status, body = await ask(store, app, "GET", path, {}, [])
            assert (status, checksum_of(body)) == (200, block.checksum)

    trio.run(main)
