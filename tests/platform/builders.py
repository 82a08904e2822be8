import json


def make_document(**changes):
    """Return a configuration document as operators send it."""
    document = {
        "version": 7,
        "routes": [
            {
                "name": "r-1",
                "host": "shop.example",
                "path_prefix": "/prompts/",
                "kind": "stream",
                "timeout_ms": 12000,
                "slo_ms": 1200,
                "priority": 2,
                "backends": [{"service": "llm", "weight": 90}],
                "attempts": 2,
                "public": False,
                "sticky": True,
                "resumable": True,
                "gap_slo_ms": 800,
            },
            {
                "name": "r-2",
                "host": "shop.example",
                "path_prefix": "/orders/",
                "kind": "unsafe",
                "timeout_ms": 800,
                "service": "app",
                "attempts": 1,
                "public": True,
            },
        ],
        "services": [
            {
                "name": "llm",
                "health_path": "/healthz",
                "max_conns": 360,
                "cold_per_s": 8.9,
                "engine": {"slots": 64, "kv_tokens": 93552, "kv_bytes": 18432},
            },
            {"name": "app", "health_path": "/healthz", "max_conns": 96},
        ],
        "limits": {"max_body_bytes": 4194304, "idle_timeout_ms": 15000},
        "tenants": [{"name": "studio", "api_keys": ["key-1", "key-2"], "priority": 1}],
    }
    return document | changes


def make_body(**changes):
    return json.dumps(make_document(**changes)).encode()


def make_heartbeat(**changes):
    """Return a heartbeat document as workers send it."""
    heartbeat = {
        "service": "llm",
        "address": "10.0.0.9:8080",
        "zone": "a",
        "version": "v1",
        "slots": 64,
        "state": "ready",
        "cold_left_ms": 0,
        "stage": "colocated",
        "models": [{"name": "m", "version": 1, "adapters": []}],
        "seq": 4,
        "born": 1_700_000_000_000,
    }
    return heartbeat | changes


def make_settings(**changes):
    """Return the document of a settings file as the platform generates it."""
    fields = {
        "node": "core-a-1",
        "role": "control",
        "serves": ["control"],
        "ip": "127.0.0.1",
        "zone": "a",
        "region": "r",
        "zones": {"a": "r"},
        "listen": {"control": "127.0.0.1:8204"},
        "port_range": [7420, 7435],
        "seeds": ["127.0.0.1:8204"],
        "bootstrap": True,
        "data_dir": "/data",
        "heartbeat_ms": 1200,
        "bounds": {"cold_over": 1.5, "lease_ms": 3000, "grace_s": 8},
        "field_of_a_later_version": {"x": 1},
    }
    return {"metrics_port": 0, "platform": fields | changes}


def make_scope(headers=(), method="POST", path=b"/prompts/1", query=b""):
    """Return the ASGI scope of a client's request."""
    return {
        "type": "http",
        "method": method,
        "path": path.decode(),
        "raw_path": path,
        "query_string": query,
        "headers": [(b"host", b"shop.example"), *headers],
    }


#: Values in place of a number: nested too deep, too large, no number, below 0.
ODD_VALUES = (
    100_000 * b"[" + 100_000 * b"]",
    b"9" * 400,
    b"9" * 5_000,
    b"18446744073709551616",
    b"1e400",
    b"NaN",
    b"-1",
)
