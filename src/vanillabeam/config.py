"""Records of the configuration that tickets change.

This module holds values only; :mod:`vanillabeam.tickets` applies tickets to them.
"""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Adapter",
    "ClaimSettlement",
    "Config",
    "ControlMember",
    "DataCentre",
    "Model",
    "Priority",
    "Repeats",
    "Service",
    "TargetRole",
    "TargetRoleKind",
    "Workspace",
    "adapter_key",
]


class Priority(StrEnum):
    """Priority classes of requests, the most urgent first."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class Repeats(StrEnum):
    """Conditions under which calls of a plain service may be sent more than once."""

    NEVER = "never"
    BY_KEY = "by_key"
    SAFE = "safe"


class TargetRoleKind(StrEnum):
    """Role of a target: it serves, drains or stands by."""

    SERVING = "serving"
    DRAINING = "draining"
    STANDBY = "standby"


class Model(NamedTuple):
    """A model and the weight version that new requests use.

    :param name: name that callers send as ``model``.
    :param version: weight version in force.
    :param weights: location of that version in the weight store.
    :param min_ready: number of targets that stay ready during a roll-out.
    """

    name: str
    version: str
    weights: str = ""
    min_ready: int = 0


class Adapter(NamedTuple):
    """An adapter of a model; callers request it as ``model:adapter``."""

    name: str
    model: str
    version: str
    weights: str = ""


class Workspace(NamedTuple):
    """A customer of the system.

    :param key_digests: hex SHA-256 of each caller key.
    :param cache_secret: secret of 32 bytes in hex, from which block ids and cache
        salts are derived.
    :param weight: weight by which the workspaces share the capacity that is not
        reserved.
    :param reservation_tokens_s: tokens per second reserved for this workspace.
    :param priority: priority class of its requests.
    :param quota_bytes: maximum bytes of blocks in the stores; 0 means no quota.
    :param models: models that it may use; empty means all.
    :param services: plain services that it may call; empty means all.
    """

    name: str
    key_digests: tuple[str, ...]
    cache_secret: str
    weight: float = 1.0
    reservation_tokens_s: float = 0.0
    priority: Priority = Priority.INTERACTIVE
    quota_bytes: int = 0
    models: tuple[str, ...] = ()
    services: tuple[str, ...] = ()


class Service(NamedTuple):
    """A plain service that callers request at ``/services/{name}/``."""

    name: str
    repeats: Repeats = Repeats.NEVER


class TargetRole(NamedTuple):
    """Role of one target and what it has to have loaded.

    :param target: name that the target announces.
    :param kind: whether the target serves, drains or stands by.
    :param models: models to load; empty means the models that it announces.
    :param adapters: adapters to load, as ``model:adapter``.
    """

    target: str
    kind: TargetRoleKind = TargetRoleKind.SERVING
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


class DataCentre(NamedTuple):
    """A data centre and whether it takes new work."""

    name: str
    in_service: bool = True
    region: str = ""


class ControlMember(NamedTuple):
    """A member of the control quorum.

    :param vm: name of the VM.
    :param address: ``host:port`` of its peers' listener.
    :param member_id: id that the VM generates once and keeps in its data folder.
    """

    vm: str
    address: str
    member_id: str


class ClaimSettlement(NamedTuple):
    """An operator's decision on a call whose outcome is unknown.

    :param workspace: workspace of the call.
    :param key: idempotency key of the call.
    :param ran: whether the call has run.
    """

    workspace: str
    key: str
    ran: bool


class Config(NamedTuple):
    """The complete configuration at one index of the ticket log.

    The dictionaries are never changed in place; a ticket replaces them.

    :param index: index of the last ticket applied; 0 before the first.
    :param settlements: settlements by ``workspace/key``.
    """

    index: int = 0
    models: dict[str, Model] = {}
    adapters: dict[str, Adapter] = {}
    workspaces: dict[str, Workspace] = {}
    services: dict[str, Service] = {}
    target_roles: dict[str, TargetRole] = {}
    data_centres: dict[str, DataCentre] = {}
    control: dict[str, ControlMember] = {}
    settlements: dict[str, ClaimSettlement] = {}

    def in_service(self, data_centre: str) -> bool:
        """Return whether a data centre takes new work; true for an unknown one."""
        record = self.data_centres.get(data_centre)
        return record is None or record.in_service


def adapter_key(model: str, adapter: str) -> str:
    """Return the name that callers and targets use for an adapter."""
    return f"{model}:{adapter}"
