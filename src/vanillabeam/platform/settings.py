"""Settings file of the platform, parsed into the product's settings."""

import json
from functools import partial
from pathlib import Path
from typing import Any

from vanillabeam.fleet import Bounds, FleetSettings

__all__ = ["PATH_VARIABLE", "read_settings"]

PATH_VARIABLE = "VANILLABEAM_CONFIG"
#: Heartbeat intervals without an announcement after which a target counts as lost.
MISSED_HEARTBEATS = 3.5
MB = 1024 * 1024


def read_settings(path: Path) -> FleetSettings:
    """Return the settings in the file at ``path``.

    The platform generates the file from ``deploy/settings.json.in``: a JSON object
    of the platform's fields and the metrics port, which is also set in
    ``deploy/system.toml``.

    :raises OSError: if the file can't be read.
    :raises ValueError: if it isn't valid JSON, or a field is missing or of another
        type.
    """
    document = json.loads(path.read_bytes())
    try:
        return _parse(document)
    except (AttributeError, LookupError, TypeError) as exc:
        raise ValueError(f"settings of another shape: {exc!r}") from exc


def _parse(document: dict[str, Any]) -> FleetSettings:
    fields = document["platform"]
    listen = fields["listen"]
    return FleetSettings(
        vm=_text(fields["node"]),
        data_centre=_text(fields["zone"]),
        host=_text(fields["ip"]),
        entry_address=listen.get("front") or "",
        readiness_address=listen.get("ready") or "",
        control_address=listen.get("control") or "",
        peer_port=fields["port_range"][0],
        seeds=tuple(_host(seed) for seed in fields.get("seeds") or ()),
        bootstrap=bool(fields.get("bootstrap")),
        data_folder=fields.get("data_dir") or "",
        metrics_port=document["metrics_port"],
        bounds=_bounds(fields),
        memory_bytes=int(((fields.get("limits") or {}).get("memory_mb") or 0) * MB),
    )


def _text(value: Any) -> str:
    if not isinstance(value, str):
        raise TypeError(f"{value!r} is no text")
    return value


def _host(seed: str) -> str:
    """Return the host of a seed, which may lack its port."""
    return seed.rpartition(":")[0] or seed


def _bounds(fields: dict[str, Any]) -> Bounds:
    overrides = fields.get("bounds") or {}
    defaults = Bounds()
    heartbeat_s = _number(fields, "heartbeat_ms", defaults.heartbeat_s * 1000) / 1000
    number = partial(_number, overrides)
    tolerance = fields.get("fault_tolerance") or {}
    return Bounds(
        heartbeat_s=heartbeat_s,
        silence_s=MISSED_HEARTBEATS * heartbeat_s,
        retry_ratio=number("retry_budget_ratio", defaults.retry_ratio),
        retry_window_s=number("budget_window_s", defaults.retry_window_s),
        retry_floor=number("budget_min_retries", defaults.retry_floor),
        cold_factor=number("cold_over", defaults.cold_factor),
        cold_requests=number("cold_slack", defaults.cold_requests),
        lease_s=number("lease_ms", defaults.lease_s * 1000) / 1000,
        version_s=number("version_ms", defaults.version_s * 1000) / 1000,
        grace_s=number("grace_s", defaults.grace_s),
        catch_up_s=number("catch_up_s", defaults.catch_up_s),
        losses=int(_number(tolerance, "machines", defaults.losses)),
        expose_share=number("expose_share", defaults.expose_share),
        expose_requests=number("expose_slack", defaults.expose_requests),
        rollback_s=number("rollback_ms", defaults.rollback_s * 1000) / 1000,
    )


def _number(fields: dict[str, Any], name: str, default: float) -> float:
    """Return a field, or the default if it is missing or empty."""
    value = fields.get(name)
    if value is None:
        return default
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise TypeError(f"{name} is no number: {value!r}")
    return value
