"""Checks of a VM's settings that no schema can express."""

from collections.abc import Iterator
from pathlib import Path

from vanillabeam.settingsrecords import Listener, Settings

__all__ = ["KEY_FILES", "all_listeners", "consistency_faults"]

#: Hosts that stand for every address of the VM.
ALL_ADDRESSES = frozenset({"0.0.0.0", "::"})
#: Settings that name a file with a secret.
KEY_FILES = ("peer_key_file", "target_key_file")


def all_listeners(cfg: Settings) -> Iterator[tuple[str, Listener]]:
    """Return all listeners of a VM, each with its path in the settings."""
    for name, listener in cfg["listeners"].items():
        yield f"listeners.{name}", listener
    if cfg["store"] is not None:
        yield "store.listener", cfg["store"]["listener"]


def consistency_faults(cfg: Settings) -> Iterator[str]:
    """Return the faults of settings that their schema allows."""
    yield from _port_faults(cfg)
    yield from _file_faults(cfg)
    yield from _member_faults(cfg)
    yield from _role_faults(cfg)


def _port_faults(cfg: Settings) -> Iterator[str]:
    earlier: list[tuple[str, Listener]] = []
    for path, listener in all_listeners(cfg):
        clashing = [name for name, other in earlier if _clash(listener, other)]
        if clashing:
            yield f"{path}.port: {listener['port']} is also {clashing[-1]}'s"
        earlier.append((path, listener))


def _clash(one: Listener, other: Listener) -> bool:
    """Return whether two listeners can't both bind their addresses."""
    if not one["port"] or one["port"] != other["port"]:
        return False
    hosts = {one["host"], other["host"]}
    return len(hosts) == 1 or bool(hosts & ALL_ADDRESSES)


def _file_faults(cfg: Settings) -> Iterator[str]:
    paths = [(key, cfg[key]) for key in KEY_FILES]
    for path, listener in all_listeners(cfg):
        tls = listener["tls"] or {}
        paths.extend((f"{path}.tls.{key}", tls.get(key)) for key in tls)
    for path, name in paths:
        if name is None:
            continue
        try:
            Path(name).read_bytes()
        except OSError as exc:
            yield f"{path}: {name}: {exc.strerror}"


def _member_faults(cfg: Settings) -> Iterator[str]:
    members = cfg["control"]["members"]
    if not members and not cfg["seeds"]:
        yield "control.members: none; name them, or give seeds"
    if not members and cfg["control"]["bootstrap"]:
        yield "control.members: none; a first start needs them all"
    if members and len(members) not in (1, 3, 5, 7):
        yield f"control.members: {len(members)} members; allowed are 1, 3, 5 or 7"
    known_vms = [peer["vm"] for peer in cfg["peers"]] + [cfg["vm"]]
    for index, vm in enumerate(known_vms):
        if vm in known_vms[:index]:
            yield f"peers: {vm} is named twice (a VM does not list itself)"
    for vm in members:
        if vm not in known_vms:
            yield f"control.members: {vm} is not among the peers"


def _role_faults(cfg: Settings) -> Iterator[str]:
    is_member = cfg["vm"] in cfg["control"]["members"]
    if ("control" in cfg["roles"]) and cfg["data_folder"] is None:
        yield "data_folder: the control role needs one"
    if is_member and "control" not in cfg["roles"]:
        yield f"roles: {cfg['vm']} is a control member; add control"
    if ("store" in cfg["roles"]) != (cfg["store"] is not None):
        yield "store: the store role and this part go together"
    if "store" in cfg["roles"] and cfg["data_folder"] is None:
        yield "data_folder: the store role needs one"
