"""Fuzz tests: any body from a peer or target gets a valid answer or a typed failure."""

import random

import pytest
import trio
from hypothesis import given, settings, strategies as st
from returns.result import Result
from trio.testing import MockClock

from tests.builders import make_settings
from vanillabeam import imports, wire
from vanillabeam.components import Components
from vanillabeam.exceptions import InvariantBroken, VanillabeamError
from vanillabeam.log.messages import Message, MessageBatch
from vanillabeam.log.requests import GroupRequest, IdentityRequest
from vanillabeam.members.records import Heartbeat, Probe
from vanillabeam.orders.leases import LeaseRequest, ReadyReport
from vanillabeam.peerhttp import PeerClient
from vanillabeam.spread import messages as spread
from vanillabeam.targets import messages as targets
from vanillabeam.targetwire import Announcement, CacheEvents, LoadReport

BODY_TYPES = {
    "/peer/members/heartbeat": Heartbeat,
    "/peer/members/probe": Probe,
    "/peer/spread/push": spread.Push,
    "/peer/spread/steps": spread.StepsRequest,
    "/peer/spread/page": spread.PageRequest,
    "/peer/spread/workspace": spread.WorkspaceRequest,
    "/peer/targets/announce": Announcement,
    "/peer/targets/load": LoadReport,
    "/peer/targets/events": CacheEvents,
    "/peer/targets/ask": targets.PermitRequestMessage,
    "/peer/targets/renew": targets.RenewMessage,
    "/peer/targets/release": targets.ReleaseMessage,
    "/peer/targets/withdraw": targets.WithdrawMessage,
    "/peer/targets/handover": targets.HandoverMessage,
    "/peer/targets/handover/ask": targets.HandoverQuery,
    "/peer/targets/summary": targets.SummaryMessage,
    "/peer/imports/begin": imports.BeginImport,
    "/peer/imports/end": imports.EndImport,
    "/peer/orders/lease": LeaseRequest,
    "/peer/orders/ready": ReadyReport,
    "/peer/log/tickets": MessageBatch,
    "/peer/log/tickets/request": GroupRequest,
    "/peer/log/tickets/identity": IdentityRequest,
}
#: Paths that are not fuzzed: their bodies are empty, or have the type of the body of
#: another path.
UNTYPED_PATHS = {
    "/peer/log/claims-0",
    "/peer/log/claims-0/identity",
    "/peer/log/claims-0/request",
    "/peer/log/claims-0/status",
    "/peer/log/tickets/status",
    "/peer/members/view",
    "/peer/orders/local-lease",
    "/peer/orders/release",
    "/peer/orders/total",
    "/peer/tickets/fresh",
}
TIMEOUT_S = 5.0


@pytest.fixture(scope="module")
def folder(tmp_path_factory):
    return tmp_path_factory.mktemp("fuzz")


def make_components(folder):
    cfg = make_settings(folder)
    client = PeerClient(None, None)

    async def call(address, path, body):
        return await client(address, path, body)

    addresses = {
        "callers": "127.0.0.1:1",
        "targets": "127.0.0.1:1",
        "peers": "127.0.0.1:1",
    }
    return Components(cfg, addresses, call, client, client, random.Random(1), 1)


def feed(folder, messages):
    async def main():
        components = make_components(folder)
        components.targets.members_changed(components._live_entries())
        routes = components.routes()
        for path, body in messages:
            with trio.move_on_after(TIMEOUT_S):
                await send_one(routes[path], body)

    trio.run(main, clock=MockClock(autojump_threshold=0))


async def send_one(handler, body):
    try:
        answer = await handler(body)
    except InvariantBroken:
        return
    assert isinstance(answer, Result)
    if not isinstance(answer.value_or(None), bytes):
        assert isinstance(answer.failure(), VanillabeamError)


JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.text(max_size=4),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.sampled_from(["term", "index", "entries"]), inner)
    ),
    max_leaves=6,
)


def envelopes(kind):
    body = JSON if kind is None else st.from_type(kind).map(lambda m: m._asdict())
    name = "unknown" if kind is None else kind.__name__
    return st.fixed_dictionaries(
        {
            "group_id": st.text(max_size=4),
            "sender": st.text(max_size=4),
            "to": st.text(max_size=4),
            "kind": st.just(name),
            "body": body,
        }
    )


ENVELOPES = st.one_of(*(envelopes(kind) for kind in (None, *Message.__args__)))


def typed_bodies(kind):
    if kind is MessageBatch:
        return st.fixed_dictionaries({"envelopes": st.lists(ENVELOPES, max_size=3)})
    return st.from_type(kind)


def bodies(path):
    typed = typed_bodies(BODY_TYPES[path]).map(wire.encode)
    return st.tuples(st.just(path), typed | st.binary(max_size=40))


@pytest.mark.parametrize("path", sorted(BODY_TYPES))
def test_a_path_answers_any_body_with_a_valid_answer_or_a_typed_failure(folder, path):
    @given(st.lists(bodies(path), min_size=1, max_size=12))
    @settings(derandomize=True, max_examples=12, deadline=None, database=None)
    def run(messages):
        feed(folder, messages)

    run()


def test_every_peer_path_with_a_typed_body_is_fuzzed(folder):
    async def routes():
        return set(make_components(folder).routes())

    assert trio.run(routes) - set(BODY_TYPES) == UNTYPED_PATHS
