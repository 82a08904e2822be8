"""Records of a fleet's configuration, its targets and a VM's settings."""

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
    """Kind of a route's requests: idempotent, not idempotent, or streamed."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


class Share(NamedTuple):
    """Share of a route's requests that goes to one service."""

    service: str
    weight: float


class Route(NamedTuple):
    """Destination and rules of the requests of one host and path prefix.

    :param prefix: path prefix that begins and ends with a slash.
    :param timeout_s: longest time in seconds that a caller waits.
    :param objective_s: latency objective in seconds for an answer, or for a
        stream's first event.
    :param attempts: maximum number of targets that one request is sent to.
    :param priority: 0 is the most urgent.
    :param public: whether requests need no key.
    :param resumable: whether a stream may be continued at another target.
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
        """Whether a request may be run more than once."""
        if self.kind is RouteKind.STREAM:
            return self.resumable
        return self.kind is RouteKind.SAFE


class Engine(NamedTuple):
    """Capacity of each target of a model service.

    :param slots: requests that run at the same time.
    :param kv_tokens: capacity of the KV cache in tokens.
    :param kv_bytes: bytes of KV cache for one token; 0 if unknown.
    """

    slots: int
    kv_tokens: int
    kv_bytes: float = 0.0


class Store(NamedTuple):
    """A store of KV cache outside the targets.

    :param kv_tokens: capacity in tokens.
    :param link_bytes_s: bandwidth of its link in bytes a second; 0 if unknown.
    """

    name: str
    address: str
    data_centre: str
    kv_tokens: int
    link_bytes_s: float = 0.0


class Service(NamedTuple):
    """A service whose targets announce themselves.

    :param max_connections: connections that one target accepts in total.
    :param cold_requests_s: requests a second that a cold target accepts; 0 for
        no limit.
    :param engine: ``None`` for a plain service.
    """

    name: str
    max_connections: int = 0
    cold_requests_s: float = 0.0
    engine: Engine | None = None


class Workspace(NamedTuple):
    """A customer.

    :param keys: API keys of the workspace.
    :param priority: overrides the priority of routes; ``None`` keeps it.
    :param isolated: whether its cached prompts are shared with no other
        workspace.
    :param weight: share of the places that it has, relative to other workspaces,
        while requests wait for some.
    """

    name: str
    keys: tuple[str, ...]
    priority: int | None = None
    isolated: bool = False
    weight: float = 1.0


class Limits(NamedTuple):
    """Limits on the size of callers' requests and on their pace."""

    header_bytes: int = 65_536
    body_bytes: int = 4_194_304
    header_s: float = 5.0
    idle_s: float = 15.0


class Deployment(NamedTuple):
    """A complete configuration of routes, services and workspaces.

    :param number: the deployment with the highest number is in force.
    """

    number: int = 0
    routes: tuple[Route, ...] = ()
    services: dict[str, Service] = {}
    stores: tuple[Store, ...] = ()
    workspaces: tuple[Workspace, ...] = ()
    limits: Limits = Limits()

    def engine(self, service: str) -> Engine | None:
        """Return the engine of a service's targets; ``None`` for any other service."""
        record = self.services.get(service)
        return record.engine if record is not None else None

    def cold_rate(self, service: str) -> float:
        """Return the requests a second that a cold target accepts; 0 for no limit."""
        record = self.services.get(service)
        return record.cold_requests_s if record is not None else 0.0


class Target(NamedTuple):
    """A target's announcement of itself.

    :param name: id of the target; may stay the same across a restart.
    :param born_ms: start of its process, in Unix milliseconds.
    :param sequence: number of this announcement since that start.
    :param address: ``host:port``.
    :param cold_ms: milliseconds, from the announcement, for which it stays cold.
    :param versions: weight version of each model that it holds.
    :param software: version of its software; empty if it names none.
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
    software: str = ""

    @property
    def incarnation(self) -> tuple[str, int]:
        """Name and start time, which together identify one start of the target."""
        return (self.name, self.born_ms)


class Bounds(NamedTuple):
    """Limits that the operators of a fleet set.

    :param heartbeat_s: seconds between two announcements of a target.
    :param silence_s: seconds without an announcement after which a target is
        dropped.
    :param retry_ratio: maximum retries, as a share of a service's requests.
    :param retry_window_s: seconds over which retries are counted.
    :param retry_floor: retries in that window that are always allowed.
    :param cold_factor: requests that a cold target accepts in one second, as a
        multiple of its rate.
    :param cold_requests: requests accepted on top of that.
    :param lease_s: seconds for which one leader's right to order a target
        excludes every other leader.
    :param version_s: seconds within which new weights must be in use.
    :param grace_s: seconds from SIGTERM to SIGKILL.
    :param catch_up_s: seconds after its start within which a control VM with a new
        disk counts for the fleet log.
    :param losses: number of control VMs that may be lost at once, with their disks.
    :param expose_share: maximum share of a service's requests that a bad software
        version receives during its rollout; 0 if software versions are ignored.
    :param expose_requests: requests that it may receive on top of that.
    :param rollback_s: seconds after its 50th bad response from which it receives none.
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
    catch_up_s: float = 4.0
    losses: int = 1
    expose_share: float = 0.0
    expose_requests: float = 0.0
    rollback_s: float = 0.0


class FleetSettings(NamedTuple):
    """Start-up settings of one VM of a fleet.

    :param host: IP address of this VM.
    :param entry_address: listener for callers; empty without the entry role.
    :param readiness_address: listener for the load balancer's health checks.
    :param control_address: listener for targets and operators; empty without
        the control role.
    :param peer_port: port of the listener for other VMs, the same on every VM.
    :param seeds: hosts of some control VMs.
    :param bootstrap: true only at the first start of the whole fleet.
    :param data_folder: empty on a VM without a disk.
    :param metrics_port: port that serves metrics as text; 0 disables it.
    :param memory_bytes: memory that the process may use; 0 if unknown.
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
    memory_bytes: int = 0

    @property
    def peer_address(self) -> str:
        """``host:port`` of this VM's listener for other VMs."""
        return f"{self.host}:{self.peer_port}"

    @property
    def seed_addresses(self) -> tuple[str, ...]:
        """``host:port`` of the seeds' listeners for other VMs."""
        return tuple(f"{host}:{self.peer_port}" for host in self.seeds)
