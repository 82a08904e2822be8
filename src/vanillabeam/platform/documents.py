"""The configuration that operators send, as a deployment."""

from collections.abc import Iterator
from typing import NotRequired, TypedDict

import msgspec
from returns.result import Failure, Result, Success

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

__all__ = ["check_document", "read_document"]


#: ``link_mbps`` counts millions of bits a second.
BYTES_S_A_MBPS = 1_000_000 / 8


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
    #: Only a store has these four; it stands in no route.
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


def check_document(body: bytes) -> Result[Deployment, MalformedBody]:
    """Return the deployment that ``body`` describes, or why it is invalid."""
    try:
        document = msgspec.json.decode(body, type=_Document)
        faults = list(_faults(document))
        deployment = _deployment(document)
    except (msgspec.MsgspecError, UnicodeDecodeError, ValueError) as exc:
        return Failure(MalformedBody(str(exc)))
    if faults:
        return Failure(MalformedBody("; ".join(faults)))
    return Success(deployment)


def read_document(document: str) -> Deployment:
    """Return the deployment of a document that was accepted."""
    return _deployment(msgspec.json.decode(document, type=_Document))


def _faults(document: _Document) -> Iterator[str]:
    services = {service["name"] for service in document["services"]}
    places: set[tuple[str, str]] = set()
    for route in document["routes"]:
        name, place = route["name"], (route["host"], route["path_prefix"])
        if place in places:
            yield f"{name}: another route has this host and prefix"
        places.add(place)
        shares = _shares(route)
        for share in shares:
            if share.service not in services:
                yield f"{name}: unknown service {share.service}"
        if sum(share.weight for share in shares) <= 0:
            yield f"{name}: weights add up to 0"
        if any(share.weight < 0 for share in shares):
            yield f"{name}: a weight is negative"
        if route["timeout_ms"] <= 0:
            yield f"{name}: no time to answer"
    yield from _key_faults(document)


def _key_faults(document: _Document) -> Iterator[str]:
    owners: dict[str, str] = {}
    for tenant in document.get("tenants", []):
        for key in tenant.get("api_keys", []):
            if owners.setdefault(key, tenant["name"]) != tenant["name"]:
                yield f"{tenant['name']}: a key is also {owners[key]}'s"


def _shares(route: _Route) -> tuple[Share, ...]:
    if route.get("backends"):
        return tuple(
            Share(each["service"], each["weight"]) for each in route["backends"]
        )
    return (Share(route["service"], 1.0),) if "service" in route else ()


def _deployment(document: _Document) -> Deployment:
    return Deployment(
        number=document["version"],
        routes=tuple(_route(route) for route in document["routes"]),
        services={
            each["name"]: _service(each)
            for each in document["services"]
            if "kv_store_addr" not in each
        },
        stores=tuple(
            _store(each) for each in document["services"] if "kv_store_addr" in each
        ),
        workspaces=tuple(_workspace(each) for each in document.get("tenants", [])),
        limits=_limits(document.get("limits", {})),
    )


def _route(route: _Route) -> Route:
    return Route(
        name=route["name"],
        host=route["host"],
        prefix=route["path_prefix"],
        kind=RouteKind(route["kind"]),
        shares=_shares(route),
        timeout_s=route["timeout_ms"] / 1000,
        objective_s=route.get("slo_ms", 0) / 1000,
        attempts=max(1, route.get("attempts", 1)),
        priority=route.get("priority", 0),
        public=route.get("public", False),
        resumable=route.get("resumable", False),
    )


def _service(service: _Service) -> Service:
    engine = service.get("engine")
    return Service(
        name=service["name"],
        max_connections=service.get("max_conns", 0),
        cold_requests_s=service.get("cold_per_s", 0.0),
        engine=_engine(engine) if engine else None,
    )


def _engine(engine: _Engine) -> Engine:
    return Engine(engine["slots"], engine["kv_tokens"], engine.get("kv_bytes", 0.0))


def _store(service: _Service) -> Store:
    return Store(
        name=service["name"],
        address=service["kv_store_addr"],
        data_centre=service.get("zone", ""),
        kv_tokens=service.get("kv_tokens", 0),
        link_bytes_s=service.get("link_mbps", 0.0) * BYTES_S_A_MBPS,
    )


def _workspace(tenant: _Tenant) -> Workspace:
    return Workspace(
        name=tenant["name"],
        keys=tuple(tenant.get("api_keys", [])),
        priority=tenant.get("priority"),
        isolated=tenant.get("isolated", False),
    )


def _limits(limits: _Limits) -> Limits:
    usual = Limits()
    return Limits(
        header_bytes=limits.get("max_header_bytes", usual.header_bytes),
        body_bytes=limits.get("max_body_bytes", usual.body_bytes),
        header_s=limits.get("header_timeout_ms", usual.header_s * 1000) / 1000,
        idle_s=limits.get("idle_timeout_ms", usual.idle_s * 1000) / 1000,
    )
