import json
from pathlib import Path

import pytest
from hypothesis import given, settings as hypothesis_settings, strategies as st
from returns.result import Failure, Success

from tests.builders import make_settings, make_settings_document
from vanillabeam.exceptions import SettingsInvalid
from vanillabeam.settings import check, load, schema

ROOT = Path(__file__).parents[1]
EXAMPLES = ROOT / "examples"
SETTINGS_FILES = sorted(
    path for path in EXAMPLES.rglob("*.json") if "ticket" not in path.name
)
SCHEMA = ROOT / "docs" / "settings.schema.json"

JSON = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=4)
        | st.dictionaries(
            st.sampled_from(sorted(make_settings_document())) | st.text(max_size=6),
            inner,
            max_size=6,
        )
    ),
    max_leaves=12,
)


def faults(folder, **changes):
    text = json.dumps(make_settings_document(**changes)).encode()
    return check(text, folder).failure().faults


def test_defaults_are_filled_in(tmp_path):
    cfg = make_settings(tmp_path)
    assert cfg["drain"]["notice_s"] == 5.0
    assert cfg["listeners"]["callers"]["host"] == "127.0.0.1"
    assert cfg["data_folder"] == str(tmp_path / "data")


def test_all_faults_are_reported_together(tmp_path):
    reported = faults(tmp_path, vm=3, colour="red", roles=["cook"])
    assert [fault.split(":")[0] for fault in reported] == ["vm", "roles.0", "colour"]
    assert "'entry', 'control' or 'store'" in reported[1]


def test_wrong_type_is_not_coerced(tmp_path):
    listeners = make_settings_document()["listeners"]
    listeners["callers"]["port"] = "80"
    assert faults(tmp_path, listeners=listeners)[0].startswith("listeners.callers.port")


def test_port_clash_names_both_listeners(tmp_path):
    listeners = {name: {"port": 7000} for name in ("callers", "targets", "peers")}
    assert faults(tmp_path, listeners=listeners) == (
        "listeners.targets.port: 7000 is also listeners.callers's",
        "listeners.peers.port: 7000 is also listeners.targets's",
    )


# Guards against a listener on all addresses beside one on a single address.
@pytest.mark.parametrize("wildcard", ["0.0.0.0", "::"])
def test_a_port_on_all_addresses_clashes_with_the_same_port_on_one(tmp_path, wildcard):
    listeners = {
        "callers": {"host": "127.0.0.1", "port": 7000},
        "targets": {"host": "127.0.0.2", "port": 7000},
        "peers": {"host": wildcard, "port": 7000},
    }
    assert faults(tmp_path, listeners=listeners) == (
        "listeners.peers.port: 7000 is also listeners.targets's",
    )


def test_unreadable_key_file_is_named(tmp_path):
    (fault,) = faults(tmp_path, peer_key_file="missing.key")
    assert fault.startswith("peer_key_file: ")
    assert fault.endswith("No such file or directory")


def test_control_members_must_be_odd_in_number_and_among_the_peers(tmp_path):
    assert faults(tmp_path, control={"members": ["vm-1", "vm-2"]}) == (
        "control.members: 2 members; allowed are 1, 3, 5 or 7",
        "control.members: vm-2 is not among the peers",
    )


def test_a_control_member_needs_the_control_role_and_a_data_folder(tmp_path):
    assert faults(tmp_path, roles=["entry"]) == (
        "roles: vm-1 is a control member; add control",
    )
    assert faults(tmp_path, data_folder=None) == (
        "data_folder: the control role needs one",
    )


def test_missing_file_is_a_typed_failure(tmp_path):
    assert isinstance(load(tmp_path / "no.json").failure(), SettingsInvalid)


@given(JSON)
@hypothesis_settings(derandomize=True, max_examples=200)
def test_any_document_gives_settings_or_a_typed_failure(tmp_path_factory, document):
    result = check(json.dumps(document).encode(), tmp_path_factory.getbasetemp())
    assert isinstance(result, Success) or isinstance(result.failure(), SettingsInvalid)


@given(st.binary(max_size=64))
@hypothesis_settings(derandomize=True, max_examples=200)
def test_any_bytes_give_a_typed_failure(tmp_path_factory, text):
    result = check(text, tmp_path_factory.getbasetemp())
    assert isinstance(result, Failure)
    assert result.failure().faults


@pytest.mark.parametrize("path", SETTINGS_FILES, ids=lambda p: p.stem)
def test_every_example_is_valid(path):
    assert load(path).unwrap()["vm"]


def test_the_committed_schema_is_up_to_date():
    assert json.loads(SCHEMA.read_text()) == schema()


SEED = {"data_centre": "dc-1", "address": "10.0.0.2:7003"}


def test_seeds_replace_the_list_of_control_members(tmp_path):
    cfg = make_settings(tmp_path, control={}, seeds=[SEED])
    assert cfg["seeds"] == [SEED]
    assert cfg["control"]["members"] == []


def test_members_or_seeds_are_required(tmp_path):
    assert faults(tmp_path, control={}) == (
        "control.members: none; name them, or give seeds",
    )


def test_bootstrap_requires_the_list_of_members(tmp_path):
    control = {"bootstrap": True}
    assert faults(tmp_path, control=control, seeds=[SEED]) == (
        "control.members: none; a first start needs them all",
    )
