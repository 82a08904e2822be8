"""Configurations of a small deployment."""

from standins.clients import HOST

LIMITS = {"max_body_bytes": 4194304, "idle_timeout_ms": 15000}


def make_plain_config(version):
    """Return a configuration with one safe route to a plain service."""
    route = {
        "name": "r-balance",
        "host": HOST,
        "path_prefix": "/balance/",
        "kind": "safe",
        "timeout_ms": 800,
        "slo_ms": 100,
        "priority": 2,
        "service": "deposit-api",
        "attempts": 2,
        "public": True,
    }
    service = {"name": "deposit-api", "health_path": "/healthz", "max_conns": 110}
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": LIMITS,
        "tenants": [],
    }


def make_model_config(version, tenants):
    """Return a configuration with one route to a language model.

    :param tenants: entries of the tenants.
    """
    route = {
        "name": "r-clerk",
        "host": HOST,
        "path_prefix": "/clerk/",
        "kind": "stream",
        "timeout_ms": 10000,
        "slo_ms": 600,
        "priority": 1,
        "service": "inanga-llm",
        "attempts": 2,
        "public": False,
        "sticky": True,
        "resumable": True,
        "gap_slo_ms": 800,
    }
    engine = {
        "slots": 64,
        "kv_tokens": 93471,
        "kv_bytes": 18432,
        "link_mbps": 740000.0,
        "moves": True,
        "backups": True,
        "managed": True,
        "stride": 8,
        "max_inflight": 12,
        "pin_ms": 4000.0,
        "hold_ms": 2000.0,
        "handle_s": 5.0,
        "models": [{"name": "m0"}],
    }
    service = {
        "name": "inanga-llm",
        "health_path": "/healthz",
        "max_conns": 370,
        "protocol": "h1",
        "tls": False,
        "cold_start_s": 3.0,
        "cold_per_s": 8.9,
        "engine": engine,
    }
    return {
        "version": version,
        "routes": [route],
        "services": [service],
        "limits": LIMITS,
        "tenants": tenants,
    }
