import json

from hypothesis import given, settings, strategies as st

from tests.tickets.builders import make_body, make_ticket, make_workspace
from vanillabeam.tickets import parse


def faults_of(body: bytes | str) -> tuple[str, ...]:
    return parse(body).failure().faults


def test_all_faults_are_reported_with_their_paths():
    body = make_body(
        number=0,
        models={"m": {"version": 3, "min_ready": -1, "wieghts": ""}},
        data_centres={"kgl-1": {"in_service": "yes"}},
    )
    assert {fault.split(":")[0] for fault in faults_of(body)} == {
        "number",
        "set.models.m.version",
        "set.models.m.min_ready",
        "set.models.m.wieghts",
        "set.data_centres.kgl-1.in_service",
    }


def test_digest_depends_on_content_not_on_spelling():
    one = make_ticket(1, models={"m": {"version": "1"}})
    spelled = make_ticket(1, models={"m": {"min_ready": 0, "version": "1"}})
    other = make_ticket(1, models={"m": {"version": "2"}})
    assert one.digest == spelled.digest != other.digest
    assert parse(one.canonical).unwrap() == one


def test_record_of_only_defaults_stays_in_the_canonical_document():
    ticket = make_ticket(1, services={"refund": {}})
    assert "refund" in parse(ticket.canonical).unwrap().set["services"]


def test_duplicate_keys_are_refused():
    body = '{"number":1,"author":"a","set":{"models":{"m":{"version":"1"}}},"number":2}'
    assert faults_of(body) == ("number: given twice",)


def test_setting_and_removing_one_record_is_refused():
    body = make_body(models={"m": {"version": "1"}}, remove={"models": ["m"]})
    assert faults_of(body) == ("remove.models.m: set too",)


def test_one_key_in_two_workspaces_is_refused():
    body = make_body(workspaces={"a": make_workspace(), "b": make_workspace()})
    assert faults_of(body) == ("set.workspaces.b.key_digests: also a key of a",)


def test_caller_key_in_place_of_its_digest_is_refused_and_not_repeated():
    body = make_body(workspaces={"a": make_workspace(key_digests=["vb-secret"])})
    (fault,) = faults_of(body)
    assert fault.startswith("set.workspaces.a.key_digests.0:")
    assert "vb-secret" not in fault


json_values = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from(["number", "author", "set", "models", "remove"]), inner
        )
    ),
    max_leaves=12,
)


@settings(derandomize=True, max_examples=200, deadline=None)
@given(json_values)
def test_whatever_the_body_holds_the_answer_is_a_value(value):
    parse(json.dumps(value))


@settings(derandomize=True, max_examples=200, deadline=None)
@given(st.binary(max_size=60))
def test_bytes_that_are_no_document_are_refused(body):
    assert faults_of(body)


def test_deep_nesting_is_refused():
    assert faults_of(b"[" * 60_000)
