"""Builders of test data that several test modules use."""

import json
from pathlib import Path

from vanillabeam.config import Workspace
from vanillabeam.readiness import Readiness
from vanillabeam.settings import check
from vanillabeam.tickets.keys import key_digest

NOTICE_S = 5.0
DEADLINE_S = 60.0


def make_readiness(notice_s: float = NOTICE_S, deadline_s: float = DEADLINE_S):
    return Readiness(notice_s=notice_s, deadline_s=deadline_s)


def make_settings_document(**changes):
    document = {
        "version": 1,
        "vm": "vm-1",
        "data_centre": "dc-1",
        "roles": ["entry", "control"],
        "data_folder": "data",
        "listeners": {
            "callers": {"port": 0},
            "targets": {"port": 0},
            "peers": {"port": 0},
        },
        "control": {"members": ["vm-1"], "bootstrap": True},
    }
    document.update(changes)
    return document


def make_settings(folder: Path, **changes):
    text = json.dumps(make_settings_document(**changes)).encode()
    return check(text, folder).unwrap()


def make_workspace(name="icupa", key="icupa-key", **changes):
    fields = {
        "name": name,
        "key_digests": (key_digest(key),),
        "cache_secret": "5a" * 32,
    }
    fields.update(changes)
    return Workspace(**fields)


def make_listener(**limits):
    return {
        "host": "127.0.0.1",
        "port": 0,
        "tls": None,
        "limits": {"body_bytes": 1_000_000, "body_s": 5.0, "requests": 100, **limits},
    }
