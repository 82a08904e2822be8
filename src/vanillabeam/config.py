"""The configuration that tickets set: records and the whole state.

Values only. How a ticket changes them is in :mod:`vanillabeam.tickets`.
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
    """Classes of work, the most urgent first."""

    INTERACTIVE = "interactive"
    BATCH = "batch"


class Repeats(StrEnum):
    """Whether a plain service's calls may be sent again."""

    NEVER = "never"
    BY_KEY = "by_key"
    SAFE = "safe"


class TargetRoleKind(StrEnum):
    """What a target is there for."""

    SERVING = "serving"
    DRAINING = "draining"
    STANDBY = "standby"


class Model(NamedTuple):
    """A model and the weight version that new requests use.

    :param name: what callers send as ``model``.
    :param version: weight version in force.
    :param weights: where the weight store keeps that version.
    :param min_ready: targets that stay ready during a roll-out.
    """

    name: str
    version: str
    weights: str = ""
    min_ready: int = 0


class Adapter(NamedTuple):
    """An adapter on top of one model; callers name it ``model:adapter``."""

    name: str
    model: str
    version: str
    weights: str = ""


class Workspace(NamedTuple):
    """A customer of the system.

    :param key_digests: hex SHA-256 of each caller key.
    :param cache_secret: hex, 32 bytes; keys the block ids and cache salts.
    :param weight: share of what no reservation takes.
    :param reservation_tokens_s: tokens a second that are always its own.
    :param quota_bytes: most bytes of blocks in the stores; 0 is no quota.
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
    """A plain service that callers reach at ``/services/{name}/``."""

    name: str
    repeats: Repeats = Repeats.NEVER


class TargetRole(NamedTuple):
    """What one target is to do and to hold.

    :param target: the target's announced name.
    :param models: models it is to have loaded; empty means as announced.
    :param adapters: ``model:adapter`` names it is to have loaded.
    """

    target: str
    kind: TargetRoleKind = TargetRoleKind.SERVING
    models: tuple[str, ...] = ()
    adapters: tuple[str, ...] = ()


class DataCentre(NamedTuple):
    """A data centre in or out of service."""

    name: str
    in_service: bool = True
    region: str = ""


class ControlMember(NamedTuple):
    """A member of the control quorum.

    :param vm: the VM's name.
    :param address: ``host:port`` of its peers' listener.
    :param member_id: id made once in its data folder.
    """

    vm: str
    address: str
    member_id: str


class ClaimSettlement(NamedTuple):
    """People's word on a call whose outcome is unknown.

    :param ran: whether the call turned out to have run.
    """

    workspace: str
    key: str
    ran: bool


class Config(NamedTuple):
    """The whole configuration at one index of the ticket log.

    The dictionaries are never changed in place: each index has its own.

    :param index: index of the last ticket that is in it; 0 before the first.
    :param settlements: keyed ``workspace/key``.
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
        """Return whether ``data_centre`` takes new work; unknown ones do."""
        record = self.data_centres.get(data_centre)
        return record is None or record.in_service


def adapter_key(model: str, adapter: str) -> str:
    """Return the name under which callers and targets know an adapter."""
    return f"{model}:{adapter}"
