"""The costs of a prompt follow the index of kept parts and the weights in use."""

from types import SimpleNamespace

from tests.fleet.builders import make_deployment, make_route, make_target, make_view
from tests.forwarding.builders import make_facts, make_prompt
from vanillabeam.fleet import Engine, Service, Store
from vanillabeam.fleet.parts import VIEW_LEASE_S, PartIndex, PartView, StoreEvent
from vanillabeam.forwarding.admitted import Admitted
from vanillabeam.forwarding.pricing import price_prompt
from vanillabeam.forwarding.sentparts import SentParts

STORE = Store("keep", "10.0.0.5:80", "a", 1_000, link_bytes_s=1e9)
TARGET = make_target()
ENGINE = Engine(8, 1_000, kv_bytes=10_000)


def make_follower(*held, salt="/m/1", stores=(STORE,), weights=None):
    index, parts = PartIndex("e"), PartView()
    index.apply(STORE.address, [StoreEvent(salt, part, 50) for part in held])
    parts.apply(index.changes_since(parts.request(), term=1, clock_ms=1.0), 0.0, 0.0)
    deployment = make_deployment(
        stores=stores, services={"llm": Service("llm", engine=ENGINE)}
    )
    view = make_view(deployment=deployment, weights=weights or {})
    return SimpleNamespace(view=view, parts=parts)


def price(follower, facts=None, now_s=1.0, tokens_s=20_000.0, sent=None):
    route = make_route()
    order = Admitted(facts or make_prompt(), route, None, [], b"", 0.0, 9.0)
    sent = sent or SentParts()
    return price_prompt(order, "llm", follower, sent, tokens_s, now_s)


def test_a_kept_part_costs_the_time_of_its_stores_link():
    costs = price(make_follower("sys", "s-1"))
    assert costs.fetched == {"a": 0.2 * 100}
    assert costs.unread == 0


def test_parts_of_other_weights_are_not_found():
    costs = price(make_follower("sys", "s-1", weights={"m": 2}))
    assert costs.unread == 100


def test_parts_of_a_store_out_of_service_are_not_found():
    other = STORE._replace(address="10.0.0.9:80")
    assert price(make_follower("sys", "s-1", stores=(other,))).unread == 100


def test_an_index_that_is_too_old_says_nothing():
    costs = price(make_follower("sys", "s-1"), now_s=VIEW_LEASE_S + 1.0)
    assert costs.favourite_has_all
    assert not price(make_follower("sys")).favourite_has_all


def test_without_stores_the_favourite_has_read_all():
    assert price(make_follower(stores=())).favourite_has_all


def test_targets_that_were_sent_the_parts_are_named():
    sent = SentParts()
    sent.sent(TARGET.incarnation, "/m/1", ["sys", "s-1"], 0.5)
    assert price(make_follower(), sent=sent).holders == {TARGET.incarnation}


def test_a_plain_call_has_no_price():
    assert price(make_follower(), facts=make_facts()) is None
