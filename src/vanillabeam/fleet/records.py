"""What every VM of a fleet has to agree on, as values."""

from enum import StrEnum
from typing import NamedTuple

__all__ = [
    "Bounds",
    "Deployment",
    "Engine",
    "FleetSettings",
    "Limits",
    "Route",
    "RouteKind",
    "Service",
    "Share",
    "Store",
    "Target",
    "Workspace",
]


class RouteKind(StrEnum):
    """What may be repeated on a route."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(NamedTuple):
    """A part of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """Where requests of one host and path prefix go.

    :param prefix: begins and ends with a slash.
    :param timeout_s: longest time that a caller is kept waiting.
    :param objective_s: time within which an answer, or a stream's first
        event, is in time.
    :param attempts: most targets that one request is sent to.
    :param priority: 0 is the most urgent.
    :param public: needs no key.
    :param resumable: a stream may go on at another target.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[Share, ...]
    timeout_s: float
    objective_s: float = 0.0
    attempts: int = 1
    priority: int = 0
    public: bool = False
    resumable: bool = False

    @property
    def is_idempotent(self) -> bool:
        """Whether a request may run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class Engine(NamedTuple):
    """What the targets of a model service hold.

    :param kv_tokens: tokens of KV cache.
    :param kv_bytes: of one token of it; 0 is not known.
    """

    slots: int
    kv_tokens: int
    kv_bytes: float = 0.0


class Store(NamedTuple):
    """A store of KV cache outside the targets.

    :param kv_tokens: that it has room for.
    :param link_bytes_s: bytes a second that its link carries; 0 is not known.
    """

    name: str
    address: str
    data_centre: str
    kv_tokens: int
    link_bytes_s: float = 0.0


class Service(NamedTuple):
    """A service whose targets announce themselves.

    :param max_connections: that one target takes from all callers together.
    :param cold_requests_s: requests a second that a cold target takes; 0 is
        no bound.
    :param engine: ``None`` for a plain service.
    """

    name: str
    max_connections: int = 0
    cold_requests_s: float = 0.0
    engine: Engine | None = None


class Workspace(NamedTuple):
    """A customer.

    :param priority: takes precedence over a route's; ``None`` is none.
    :param isolated: shares no cached prompt with anybody.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False


class Limits(NamedTuple):
    """What a caller may send, and how slowly."""

    header_bytes: int = 65_536
    body_bytes: int = 4_194_304
    header_s: float = 5.0
    idle_s: float = 15.0


class Deployment(NamedTuple):
    """One whole configuration of routes, services and workspaces.

    :param number: the highest one is in force.
    """

    number: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = {}
    stores: tuple[Store, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: Limits = Limits()


class Target(NamedTuple):
    """A back end, as it last announced itself.

    :param name: its id; the same after some restarts.
    :param born_ms: Unix time of its start in milliseconds.
    :param sequence: counts its announcements since then.
    :param address: ``host:port``.
    :param cold_ms: how much longer it stays cold, when it said so.
    :param versions: weight version of each model that it holds.
    """

    name: str
    born_ms: int
    sequence: int
    service: str
    address: str
    data_centre: str
    slots: int
    draining: bool = False
    cold_ms: float = 0.0
    versions: dict[str, int] = {}

    @property
    def incarnation(self) -> tuple[str, int]:
        """What tells this start of the target from every other."""
        return (self.name, self.born_ms)


class Bounds(NamedTuple):
    """Limits that the operators of a fleet set.

    :param heartbeat_s: time between two announcements of a target.
    :param silence_s: a target that nobody has heard for so long is lost.
    :param retry_ratio: most repeats of a service's requests, as a share.
    :param retry_window_s: time over which repeats are counted.
    :param retry_floor: repeats in that time that are always allowed.
    :param cold_factor: times a cold target's rate that it stands for a second.
    :param cold_requests: requests beyond that.
    :param lease_s: two holders never order one target within it.
    :param version_s: time within which new weights are to be in use.
    :param grace_s: time from SIGTERM to SIGKILL.
    """

    heartbeat_s: float = 1.2
    silence_s: float = 4.0
    retry_ratio: float = 0.1
    retry_window_s: float = 10.0
    retry_floor: float = 10.0
    cold_factor: float = 1.0
    cold_requests: float = 0.0
    lease_s: float = 3.0
    version_s: float = 10.0
    grace_s: float = 8.0


class FleetSettings(NamedTuple):
    """What one VM of a fleet is told at its start.

    :param host: IP address of this VM.
    :param entry_address: where callers connect; empty without that role.
    :param readiness_address: where the balancer asks.
    :param control_address: where targets and operators call; empty without
        that role.
    :param peer_port: port of the peers' listener, the same on every VM.
    :param seeds: hosts of some control VMs.
    :param bootstrap: true only at the first start of the whole fleet.
    :param data_folder: empty on a VM without a disk.
    :param metrics_port: of the metrics in text form; 0 serves none.
    """

    vm: str
    data_centre: str
    host: str
    entry_address: str
    readiness_address: str
    control_address: str
    peer_port: int
    seeds: tuple[str, ...]
    bootstrap: bool
    data_folder: str
    metrics_port: int
    bounds: Bounds

    @property
    def peer_address(self) -> str:
        """``host:port`` of this VM's peers' listener."""
        return f"{self.host}:{self.peer_port}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """``host:port`` of the seeds' peers' listeners."""
        return tuple(f"{host}:{self.peer_port}" for host in self.seeds)
