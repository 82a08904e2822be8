import json

import pytest

from tests.platform.builders import make_settings
from vanillabeam.platform.settings import read_settings


def read(tmp_path, **changes):
    path = tmp_path / "local.yaml"
    path.write_text(json.dumps(make_settings(**changes)))
    return read_settings(path)


def test_a_control_vm_has_its_addresses_seeds_and_bounds(tmp_path):
    cfg = read(tmp_path, seeds=["10.0.0.1:8204", "10.0.0.2:8204"])
    assert cfg.control_address == "127.0.0.1:8204"
    assert cfg.entry_address == ""
    assert cfg.peer_address == "127.0.0.1:7420"
    assert cfg.seed_addresses == ("10.0.0.1:7420", "10.0.0.2:7420")
    assert cfg.bounds.lease_s == 3.0
    assert cfg.bounds.silence_s == 4.2


def test_an_entry_vm_has_no_data_folder(tmp_path):
    listen = {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"}
    cfg = read(tmp_path, listen=listen, data_dir=None)
    assert cfg.entry_address == "127.0.0.1:1"
    assert cfg.readiness_address == "127.0.0.1:2"
    assert cfg.data_folder == ""


@pytest.mark.parametrize(
    "document",
    [
        [],
        {"metrics_port": 1},
        {"platform": None, "metrics_port": 1},
        {"platform": make_settings()["platform"] | {"listen": None}, "metrics_port": 1},
        {"platform": make_settings()["platform"] | {"seeds": 7}, "metrics_port": 1},
        {"platform": make_settings()["platform"] | {"port_range": []}},
    ],
)
def test_settings_of_another_shape_are_refused_with_one_kind_of_error(
    tmp_path, document
):
    path = tmp_path / "local.yaml"
    path.write_text(json.dumps(document))
    with pytest.raises(ValueError, match="another shape"):
        read_settings(path)


# A field that is there and empty once ended the process at its start.
def test_empty_fields_have_the_defaults_of_missing_ones(tmp_path):
    bounds = dict.fromkeys(make_settings()["platform"]["bounds"])
    empty = {"bounds": bounds, "heartbeat_ms": None, "seeds": None, "bootstrap": None}
    cfg = read(tmp_path, **empty)
    assert cfg.bounds == read(tmp_path, bounds=None, heartbeat_ms=1200).bounds
    assert (cfg.seeds, cfg.bootstrap) == ((), False)


def test_a_bound_of_another_type_is_refused(tmp_path):
    with pytest.raises(ValueError, match="another shape"):
        read(tmp_path, bounds={"grace_s": "8"})


def test_a_seed_may_lack_its_port(tmp_path):
    assert read(tmp_path, seeds=["10.0.0.1"]).seeds == ("10.0.0.1",)


# Guards against a process that doesn't start because a limit is empty.
@pytest.mark.parametrize(
    "limits, memory_bytes",
    [(None, 0), ({}, 0), ({"memory_mb": None}, 0), ({"memory_mb": 150}, 150 << 20)],
)
def test_the_memory_of_the_process_may_be_unknown(tmp_path, limits, memory_bytes):
    assert read(tmp_path, limits=limits).memory_bytes == memory_bytes


def test_the_bounds_of_rollouts_are_off_unless_the_settings_have_them(tmp_path):
    bounds = read(tmp_path).bounds
    assert (bounds.expose_share, bounds.expose_requests, bounds.rollback_s) == (0, 0, 0)
    fields = {"expose_share": 0.1, "expose_slack": 50, "rollback_ms": 5000}
    bounds = read(tmp_path, bounds=fields).bounds
    assert (bounds.expose_share, bounds.expose_requests) == (0.1, 50)
    assert bounds.rollback_s == 5.0
