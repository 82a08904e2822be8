"""The settings file of a VM: schema, defaults and validation."""

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

from pydantic import TypeAdapter, ValidationError
from returns.result import Failure, Result, Success

from vanillabeam.exceptions import SettingsInvalid
from vanillabeam.settingschecks import KEY_FILES, all_listeners, consistency_faults
from vanillabeam.settingsrecords import (
    Claims,
    Control,
    Drain,
    Limits,
    Listener,
    Listeners,
    Logs,
    Metrics,
    Objectives,
    Operator,
    Peer,
    Routing,
    Settings,
    Store,
    Tls,
)

__all__ = [
    "Claims",
    "Control",
    "Drain",
    "Limits",
    "Listener",
    "Listeners",
    "Logs",
    "Metrics",
    "Objectives",
    "Operator",
    "Peer",
    "Routing",
    "Settings",
    "Store",
    "Tls",
    "check",
    "load",
    "schema",
]

_ADAPTER = TypeAdapter(Settings)


def schema() -> dict[str, Any]:
    """Return the JSON Schema of a settings file."""
    return _ADAPTER.json_schema()


def load(path: Path) -> Result[Settings, SettingsInvalid]:
    """Read and validate a settings file.

    Relative paths in the file are resolved against its folder.

    :returns: the settings with defaults filled in, or every fault at once.
    """
    try:
        text = path.read_bytes()
    except OSError as exc:
        return Failure(SettingsInvalid(f"{path}: {exc.strerror}"))
    return check(text, folder=path.parent)


def check(text: bytes, folder: Path) -> Result[Settings, SettingsInvalid]:
    """Validate the text of a settings file.

    :param folder: folder against which relative paths are resolved.
    """
    try:
        cfg = _ADAPTER.validate_json(text)
    except ValidationError as exc:
        return Failure(SettingsInvalid(faults=tuple(_schema_faults(exc))))
    _resolve_paths(cfg, folder)
    faults = tuple(consistency_faults(cfg))
    if faults:
        return Failure(SettingsInvalid(faults=faults))
    return Success(cfg)


def _schema_faults(exc: ValidationError) -> Iterator[str]:
    for error in exc.errors(include_url=False, include_input=False):
        path = ".".join(str(part) for part in error["loc"]) or "(document)"
        yield f"{path}: {error['msg']}"


def _resolve_paths(cfg: Settings, folder: Path) -> None:
    for key in ("data_folder", *KEY_FILES):
        if cfg[key] is not None:
            cfg[key] = str(folder / cfg[key])
    if cfg["logs"]["file"] is not None:
        cfg["logs"]["file"] = str(folder / cfg["logs"]["file"])
    for _, listener in all_listeners(cfg):
        tls = listener["tls"]
        if tls is None:
            continue
        for key in ("certificate", "key", "ca"):
            if tls[key] is not None:
                tls[key] = str(folder / tls[key])


def write_schema(path: Path) -> None:
    """Write the JSON Schema to ``path``."""
    path.write_text(json.dumps(schema(), indent=2, sort_keys=True) + "\n")
