"""Costs of a prompt, by the index of stored parts and the weights in use."""

from types import SimpleNamespace

from tests.fleet.builders import make_deployment, make_route, make_target, make_view
from tests.forwarding.builders import make_metadata, make_prompt
from vanillabeam.fleet import Engine, Service, Store
from vanillabeam.fleet.parts import VIEW_LEASE_S, PartIndex, PartView, StoreEvent
from vanillabeam.forwarding.admitted import AdmittedRequest
from vanillabeam.forwarding.choosing.requestcosts import estimate_request_costs
from vanillabeam.forwarding.sending.sentparts import SentParts

STORE = Store("keep", "10.0.0.5:80", "a", 1_000, link_bytes_s=1e9)
TARGET = make_target()
ENGINE = Engine(8, 1_000, kv_bytes=10_000)


def make_follower(*stored, salt="/m/1", stores=(STORE,), weights=None):
    index, parts = PartIndex("e"), PartView()
    index.apply(STORE.address, [StoreEvent(salt, part, 50) for part in stored])
    parts.apply(index.changes_since(parts.request(), term=1, clock_ms=1.0), 0.0, 0.0)
    deployment = make_deployment(
        stores=stores, services={"llm": Service("llm", engine=ENGINE)}
    )
    view = make_view(deployment=deployment, weights=weights or {})
    return SimpleNamespace(view=view, parts=parts)


def make_costs(follower, metadata=None, now_s=1.0, tokens_s=20_000.0, sent_parts=None):
    route = make_route()
    request = AdmittedRequest(metadata or make_prompt(), route, None, [], b"", 0.0, 9.0)
    sent_parts = sent_parts or SentParts()
    return estimate_request_costs(request, "llm", follower, sent_parts, tokens_s, now_s)


def test_a_stored_part_costs_the_time_of_its_stores_link():
    costs = make_costs(make_follower("sys", "s-1"))
    assert costs.fetch_tokens == {"a": 0.2 * 100}
    assert costs.unstored_tokens == 0


def test_parts_of_other_weights_are_not_found():
    costs = make_costs(make_follower("sys", "s-1", weights={"m": 2}))
    assert costs.unstored_tokens == 100


def test_parts_of_a_store_out_of_service_are_not_found():
    other = STORE._replace(address="10.0.0.9:80")
    assert (
        make_costs(make_follower("sys", "s-1", stores=(other,))).unstored_tokens == 100
    )


def test_a_stale_index_of_stored_parts_is_ignored():
    costs = make_costs(make_follower("sys", "s-1"), now_s=VIEW_LEASE_S + 1.0)
    assert costs.preferred_has_all
    assert not make_costs(make_follower("sys")).preferred_has_all


def test_without_stores_the_preferred_target_has_cached_all_shared_parts():
    assert make_costs(make_follower(stores=())).preferred_has_all


def test_targets_that_were_sent_the_parts_are_holders():
    sent_parts = SentParts()
    sent_parts.record(TARGET.incarnation, "/m/1", ["sys", "s-1"], 0.5)
    assert make_costs(make_follower(), sent_parts=sent_parts).holders == {
        TARGET.incarnation
    }


def test_a_plain_call_has_no_costs():
    assert make_costs(make_follower(), metadata=make_metadata()) is None
