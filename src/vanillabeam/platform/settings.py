"""The settings that the platform writes, as the product's own."""

import json
from pathlib import Path
from typing import Any

from vanillabeam.fleet import Bounds, FleetSettings

__all__ = ["PATH_VARIABLE", "read_settings"]

PATH_VARIABLE = "VANILLABEAM_CONFIG"
#: Announcements that a target may miss before it counts as lost.
MISSED_HEARTBEATS = 3.5


def read_settings(path: Path) -> FleetSettings:
    """Return what the file at ``path`` says.

    The file is made from ``deploy/settings.json.in``: all fields as JSON,
    beside the port of the metrics, which ``deploy/system.toml`` names too.
    """
    document = json.loads(path.read_bytes())
    fields = document["platform"]
    listen = fields["listen"]
    return FleetSettings(
        vm=fields["node"],
        data_centre=fields["zone"],
        host=fields["ip"],
        entry_address=listen.get("front") or "",
        readiness_address=listen.get("ready") or "",
        control_address=listen.get("control") or "",
        peer_port=fields["port_range"][0],
        seeds=tuple(seed.rpartition(":")[0] for seed in fields["seeds"]),
        bootstrap=bool(fields["bootstrap"]),
        data_folder=fields.get("data_dir") or "",
        metrics_port=document["metrics_port"],
        bounds=_bounds(fields),
    )


def _bounds(fields: dict[str, Any]) -> Bounds:
    given = fields.get("bounds") or {}
    usual = Bounds()
    heartbeat_s = fields.get("heartbeat_ms", usual.heartbeat_s * 1000) / 1000
    return Bounds(
        heartbeat_s=heartbeat_s,
        silence_s=MISSED_HEARTBEATS * heartbeat_s,
        retry_ratio=given.get("retry_budget_ratio", usual.retry_ratio),
        retry_window_s=given.get("budget_window_s", usual.retry_window_s),
        retry_floor=given.get("budget_min_retries", usual.retry_floor),
        cold_factor=given.get("cold_over", usual.cold_factor),
        cold_requests=given.get("cold_slack", usual.cold_requests),
        lease_s=given.get("lease_ms", usual.lease_s * 1000) / 1000,
        version_s=given.get("version_ms", usual.version_s * 1000) / 1000,
        grace_s=given.get("grace_s", usual.grace_s),
    )
