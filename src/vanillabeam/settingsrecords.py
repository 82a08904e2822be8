"""Records of a VM's settings file, with their defaults and bounds."""

from typing import Annotated, Any, Literal

from pydantic import ConfigDict, Field, TypeAdapter, with_config
from typing_extensions import TypedDict

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
    "SeedVm",
    "Settings",
    "Store",
    "Tls",
]

_STRICT = ConfigDict(extra="forbid", strict=True)

Name = Annotated[str, Field(pattern=r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$")]
Host = Annotated[str, Field(min_length=1, max_length=255)]
Port = Annotated[int, Field(ge=0, le=65535)]
Address = Annotated[str, Field(pattern=r"^(\[[0-9A-Fa-f:]+\]|[0-9A-Za-z.-]+):[0-9]+$")]
KeyDigest = Annotated[str, Field(pattern=r"^[0-9a-f]{64}$")]
Seconds = Annotated[float, Field(gt=0, le=86_400)]
Share = Annotated[float, Field(gt=0, lt=1)]
Count = Annotated[int, Field(ge=1, le=10_000_000)]
Bytes = Annotated[int, Field(ge=1)]


def _default(factory):
    return Field(default_factory=factory)


@with_config(_STRICT)
class Tls(TypedDict):
    """Certificate, key and CA files of a listener, in PEM."""

    certificate: Annotated[str, Field(description="file of the certificate chain")]
    key: Annotated[str, Field(description="file of the private key")]
    ca: Annotated[
        str | None,
        Field(
            default=None,
            description="file of the CA that signs client certificates",
        ),
    ]


@with_config(_STRICT)
class Limits(TypedDict):
    """Limits of one listener."""

    body_bytes: Annotated[Bytes, Field(default=16_777_216)]
    body_s: Annotated[
        Seconds, Field(default=30.0, description="seconds to read a body")
    ]
    requests: Annotated[
        Count, Field(default=2_000, description="maximum number of requests at once")
    ]


@with_config(_STRICT)
class Listener(TypedDict):
    """An address that this VM listens on; port 0 selects a free port."""

    host: Annotated[Host, Field(default="127.0.0.1")]
    port: Port
    tls: Annotated[Tls | None, Field(default=None)]
    limits: Annotated[Limits, _default(lambda: _default_of(Limits))]


@with_config(_STRICT)
class Listeners(TypedDict):
    """The three listeners of a VM."""

    callers: Listener
    targets: Listener
    peers: Listener


@with_config(_STRICT)
class Peer(TypedDict):
    """Another VM of the system, with the address of its peers' listener."""

    vm: Name
    data_centre: Name
    address: Address
    roles: Annotated[
        list[Literal["entry", "control", "store"]], _default(lambda: ["entry"])
    ]


@with_config(_STRICT)
class SeedVm(TypedDict):
    """Address of a control VM, from which the other VMs are discovered."""

    data_centre: Name
    address: Address


@with_config(_STRICT)
class Control(TypedDict):
    """The members of the control quorum at the first start of a system."""

    members: Annotated[
        list[Name],
        Field(
            default_factory=list,
            description="3, 5 or 7 VMs; 1 in a system of one VM; none with seeds",
        ),
    ]
    bootstrap: Annotated[
        bool,
        Field(
            default=False,
            description="true only for the first start of a new system; "
            "false for a VM whose disk was replaced",
        ),
    ]


@with_config(_STRICT)
class Operator(TypedDict):
    """A person who may send tickets."""

    name: Name
    key_digest: Annotated[KeyDigest, Field(description="SHA-256 of the key in hex")]


@with_config(_STRICT)
class Drain(TypedDict):
    """Times of a planned stop."""

    notice_s: Annotated[
        Annotated[float, Field(ge=0, le=300)],
        Field(default=5.0, description="seconds not ready before the listeners close"),
    ]
    deadline_s: Annotated[Seconds, Field(default=600.0)]


@with_config(_STRICT)
class Routing(TypedDict):
    """Prices for the score of a target, in seconds of time to first token."""

    recomputed_token_price_s: Annotated[
        Annotated[float, Field(ge=0)], Field(default=0.0)
    ]
    link_byte_price_s: Annotated[Annotated[float, Field(ge=0)], Field(default=0.0)]
    kv_token_bytes: Annotated[
        Bytes,
        Field(
            default=65_536,
            description="bytes of KV cache per token, until measured from transfers",
        ),
    ]
    link_bytes_s: Annotated[
        Annotated[float, Field(gt=0)],
        Field(
            default=1.25e9,
            description="maximum bytes per second between a data centre and a store",
        ),
    ]


@with_config(_STRICT)
class Store(TypedDict):
    """Sizes of the store role."""

    listener: Listener
    memory_bytes: Annotated[Bytes, Field(default=1_073_741_824)]
    disk_bytes: Annotated[Bytes, Field(default=10_737_418_240)]


@with_config(_STRICT)
class Claims(TypedDict):
    """Storage of the outcomes of calls with an Idempotency-Key."""

    shards: Annotated[Annotated[int, Field(ge=1, le=64)], Field(default=1)]
    retention_s: Annotated[
        Annotated[float, Field(ge=3_600)], Field(default=30 * 86_400.0)
    ]


@with_config(_STRICT)
class Logs(TypedDict):
    """Format, level and file of structured logs."""

    format: Annotated[Literal["json", "text"], Field(default="json")]
    level: Annotated[
        Literal["DEBUG", "INFO", "WARNING", "ERROR"], Field(default="INFO")
    ]
    file: Annotated[
        str | None,
        Field(default=None, description="file to write; null for standard error"),
    ]


@with_config(_STRICT)
class Metrics(TypedDict):
    """The statsd daemon that receives the metrics."""

    host: Host
    port: Annotated[Port, Field(default=8125)]
    prefix: Annotated[
        str,
        Field(default="vanillabeam", description="first part of each metric's name"),
    ]


@with_config(_STRICT)
class Objectives(TypedDict):
    """Service-level objectives: limits and the share of requests within them."""

    first_token_s: Annotated[Seconds, Field(default=1.2)]
    first_token_share: Annotated[Share, Field(default=0.95)]
    token_gap_s: Annotated[
        Seconds,
        Field(default=0.038, description="mean seconds between tokens of an answer"),
    ]
    token_gap_share: Annotated[Share, Field(default=0.95)]
    success_share: Annotated[Share, Field(default=0.999)]


@with_config(_STRICT)
class Settings(TypedDict):
    """All settings of one VM."""

    version: Literal[1]
    vm: Name
    data_centre: Name
    region: Annotated[Name, Field(default="default")]
    roles: Annotated[list[Literal["entry", "control", "store"]], Field(min_length=1)]
    data_folder: Annotated[
        str | None,
        Field(default=None, description="null if the VM keeps no state on disk"),
    ]
    listeners: Listeners
    peers: Annotated[list[Peer], _default(list)]
    seeds: Annotated[
        list[SeedVm],
        Field(
            default_factory=list,
            description="some control VMs, if not all VMs are listed as peers",
        ),
    ]
    peer_key_file: Annotated[
        str | None,
        Field(default=None, description="file of the secret that all VMs share"),
    ]
    target_key_file: Annotated[
        str | None,
        Field(default=None, description="file of the secret that targets send"),
    ]
    control: Control
    operators: Annotated[list[Operator], _default(list)]
    drain: Annotated[Drain, _default(lambda: _default_of(Drain))]
    routing: Annotated[Routing, _default(lambda: _default_of(Routing))]
    store: Annotated[Store | None, Field(default=None)]
    claims: Annotated[Claims, _default(lambda: _default_of(Claims))]
    logs: Annotated[Logs, _default(lambda: _default_of(Logs))]
    metrics: Annotated[Metrics | None, Field(default=None)]
    objectives: Annotated[Objectives, _default(lambda: _default_of(Objectives))]


def _default_of(kind: type) -> Any:
    return TypeAdapter(kind).validate_python({})
