"""A tenant becomes isolated; others go on using the parts that its requests made."""

import os
import time

from standins.case import run_case
from standins.clients import HOST, wait_ready
from standins.configs import make_model_config
from standins.engines import MODEL, Engine
from standins.fleet import BOUNDS, ENTRY_PORT
from standins.http import call
from standins.operator import send_order

APPLY_S = BOUNDS["config_apply_ms"] / 1000
#: Seconds after the confirmation of a configuration at which clients go on, at least.
PAUSE_S = APPLY_S + 3.0
SHARED_PART = "5c1e07a2"
FIRST, SECOND = "brewer", "depot"
KEYS = {FIRST: "fqasnmgkcuyj8pjbvk9m", SECOND: "68k7b2ex5wa5xwyhks8n"}


def make_tenants(is_isolated):
    """Return the tenants, of which the first one is isolated or not."""
    return [
        {"name": FIRST, "api_keys": [KEYS[FIRST]], "isolated": is_isolated},
        {"name": SECOND, "api_keys": [KEYS[SECOND]], "isolated": False},
    ]


def send_prompt(fleet, request_id, tenant, own_part):
    """Send a prompt that begins with the shared part; return the status."""
    headers = {
        "Host": HOST,
        "X-Vanillabeam-Request-Id": request_id,
        "X-Vanillabeam-Deadline-Ms": "10000",
        "X-Vanillabeam-Key": KEYS[tenant],
        "X-Vanillabeam-Model": MODEL,
        "X-Vanillabeam-Token-Usage": "977,36",
        "X-Vanillabeam-Prefix-Hash": f"{SHARED_PART}:800,{own_part}:177",
    }
    host = fleet.hosts[fleet.fronts[0]]
    fleet.record.write(f"client of {tenant} sends {request_id}")
    status, _, _ = call(
        host, ENTRY_PORT, "POST", "/clerk/1", {"ask": "crates"}, 10.0, headers
    )
    fleet.record.write(f"client hears {status} for {request_id}")
    return status


def put_config(fleet, version, is_isolated):
    """Put a configuration in force; return whether it was confirmed."""
    config = make_model_config(version, make_tenants(is_isolated))
    fleet.record.write(f"version {version}: is {FIRST} isolated: {is_isolated}")
    return send_order(fleet, "/api/Config.Put", fleet.controls, config, limit_s=25.0)


def play(fleet, trouble):
    """Isolate a tenant between two prompts; return the exit code."""
    fleet.start_all()
    if put_config(fleet, 3, False) is None:
        return 2
    engine = Engine(fleet, "i-1", "inanga-llm", "kgl-a", 1)
    engine.announce()
    if not wait_ready(fleet):
        return 2
    time.sleep(PAUSE_S)
    if send_prompt(fleet, "q1", FIRST, "aa01") != 200:
        return 2
    confirmed_s = put_config(fleet, 5, trouble)
    if confirmed_s is None:
        return 2
    time.sleep(PAUSE_S)
    if send_prompt(fleet, "q2", SECOND, "bb01") != 200:
        return 2
    late = [use for use in engine.uses if use.at_s > confirmed_s + APPLY_S]
    is_broken = trouble and bool(late)
    fleet.record.write(
        f"uses of another tenant's parts later than {APPLY_S:g} s after the"
        f" confirmation of version 5 at {confirmed_s:.3f}: {len(late)};"
        f" is {FIRST} isolated since: {trouble}"
    )
    return 1 if is_broken else 0


if __name__ == "__main__":
    run_case(__file__, play, os.environ.get("TROUBLE", "1") != "0")
