"""Configuration documents of the platform's operators, parsed into deployments."""

from typing import NotRequired, TypedDict

from returns.result import Failure, Result

from vanillabeam import wire
from vanillabeam.exceptions import MalformedBody
from vanillabeam.fleet import (
    Deployment,
    Engine,
    Limits,
    Route,
    RouteKind,
    Service,
    Share,
    Store,
    Workspace,
)
from vanillabeam.fleet.deployments import DeploymentInvalid, check_deployment

__all__ = ["check_document", "read_document"]


#: Bytes a second in one unit of ``link_mbps``, which is a million bits a second.
BYTES_S_PER_MBPS = 1_000_000 / 8

_KINDS = {kind.value: kind for kind in RouteKind}


class _Backend(TypedDict):
    service: str
    weight: float


class _Route(TypedDict):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    slo_ms: NotRequired[float]
    priority: NotRequired[int]
    attempts: NotRequired[int]
    public: NotRequired[bool]
    resumable: NotRequired[bool]
    service: NotRequired[str]
    backends: NotRequired[list[_Backend]]


class _Engine(TypedDict):
    slots: int
    kv_tokens: int
    kv_bytes: NotRequired[float]


class _Service(TypedDict):
    name: str
    #: Only stores have this and the next three fields. No route uses a store.
    kv_store_addr: NotRequired[str]
    zone: NotRequired[str]
    kv_tokens: NotRequired[int]
    link_mbps: NotRequired[float]
    max_conns: NotRequired[int]
    cold_per_s: NotRequired[float]
    engine: NotRequired[_Engine]


class _Tenant(TypedDict):
    name: str
    api_keys: NotRequired[list[str]]
    priority: NotRequired[int]
    isolated: NotRequired[bool]
    weight: NotRequired[float]


class _Limits(TypedDict):
    max_header_bytes: NotRequired[int]
    max_body_bytes: NotRequired[int]
    header_timeout_ms: NotRequired[float]
    idle_timeout_ms: NotRequired[float]


class _Document(TypedDict):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: NotRequired[_Limits]
    tenants: NotRequired[list[_Tenant]]


def check_document(
    body: bytes,
) -> Result[Deployment, MalformedBody | DeploymentInvalid]:
    """Parse and check a document that an operator sent.

    :param body: the document, as JSON.
    :returns: the deployment that it describes, or a failure that describes the errors.
    """
    document = wire.read(_Document, body)
    if isinstance(document, Failure):
        return document
    try:
        deployment = _make_deployment(document.unwrap())
    except ValueError as exc:
        return Failure(MalformedBody(str(exc)))
    return check_deployment(deployment)


def read_document(document: str) -> Deployment:
    """Parse a document that :func:`check_document` has accepted.

    :raises ValueError: if its fields aren't those of a configuration.
    """
    return _make_deployment(wire.convert(_Document, document))


def _make_shares(route: _Route) -> tuple[Share, ...]:
    """Return the shares of a route.

    A service that is named beside the backends gets none, and must be known too.
    """
    shares = [
        Share(backend["service"], backend["weight"])
        for backend in route.get("backends", ())
    ]
    if "service" in route:
        shares.append(Share(route["service"], 0.0 if shares else 1.0))
    return tuple(shares)


def _make_deployment(document: _Document) -> Deployment:
    return Deployment(
        number=document["version"],
        routes=tuple(_make_route(route) for route in document["routes"]),
        services={
            service["name"]: _make_service(service)
            for service in document["services"]
            if "kv_store_addr" not in service
        },
        stores=tuple(
            _make_store(service)
            for service in document["services"]
            if "kv_store_addr" in service
        ),
        workspaces=tuple(
            _make_workspace(tenant) for tenant in document.get("tenants", [])
        ),
        limits=_make_limits(document.get("limits", {})),
    )


def _make_route(route: _Route) -> Route:
    return Route(
        name=route["name"],
        host=route["host"],
        prefix=route["path_prefix"],
        kind=_make_kind(route["kind"]),
        shares=_make_shares(route),
        timeout_s=route["timeout_ms"] / 1000,
        objective_s=route.get("slo_ms", 0) / 1000,
        attempts=route.get("attempts", 1),
        priority=route.get("priority", 0),
        public=route.get("public", False),
        resumable=route.get("resumable", False),
    )


def _make_kind(kind: str) -> RouteKind:
    """Return the kind; one that is not known here is served once at most."""
    return _KINDS.get(kind, RouteKind.UNSAFE)


def _make_service(service: _Service) -> Service:
    engine = service.get("engine")
    return Service(
        name=service["name"],
        max_connections=service.get("max_conns", 0),
        cold_requests_s=service.get("cold_per_s", 0.0),
        engine=_make_engine(engine) if engine else None,
    )


def _make_engine(engine: _Engine) -> Engine:
    return Engine(engine["slots"], engine["kv_tokens"], engine.get("kv_bytes", 0.0))


def _make_store(service: _Service) -> Store:
    return Store(
        name=service["name"],
        address=service["kv_store_addr"],
        data_centre=service.get("zone", ""),
        kv_tokens=service.get("kv_tokens", 0),
        link_bytes_s=service.get("link_mbps", 0.0) * BYTES_S_PER_MBPS,
    )


def _make_workspace(tenant: _Tenant) -> Workspace:
    return Workspace(
        name=tenant["name"],
        keys=tuple(tenant.get("api_keys", [])),
        priority=tenant.get("priority"),
        isolated=tenant.get("isolated", False),
        weight=tenant.get("weight", 1.0),
    )


def _make_limits(limits: _Limits) -> Limits:
    defaults = Limits()
    return Limits(
        header_bytes=limits.get("max_header_bytes", defaults.header_bytes),
        body_bytes=limits.get("max_body_bytes", defaults.body_bytes),
        header_s=limits.get("header_timeout_ms", defaults.header_s * 1000) / 1000,
        idle_s=limits.get("idle_timeout_ms", defaults.idle_s * 1000) / 1000,
    )
