"""Check of a deployment before it may be in force."""

from collections.abc import Iterator
from http import HTTPStatus
from itertools import islice

from returns.result import Failure, Result, Success

from vanillabeam.addresses import is_address
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.fleet.records import Deployment, Limits, Route, Workspace

__all__ = [
    "MAX_NUMBER",
    "DeploymentInvalid",
    "check_deployment",
    "normalize_host",
    "split_host",
]

#: Largest number that 64-bit readers hold; the smallest is as far below 0.
MAX_NUMBER = 2**63 - 1
#: Number of errors that a failure describes.
MAX_ERRORS = 5
#: Characters of an error that a failure describes; names may be long.
MAX_ERROR_LENGTH = 200


class DeploymentInvalid(VanillabeamError):
    """A deployment contradicts itself or could not be served."""

    type = "deployment-invalid"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Correct the document; the detail names its first errors."


def check_deployment(deployment: Deployment) -> Result[Deployment, DeploymentInvalid]:
    """Return the deployment, or a failure that describes its first errors."""
    found = islice(_find_errors(deployment), MAX_ERRORS)
    errors = [error[-MAX_ERROR_LENGTH:] for error in found]
    if errors:
        return Failure(DeploymentInvalid("; ".join(errors)))
    return Success(deployment)


def normalize_host(host: bytes) -> bytes:
    """Return the form in which two names of one host are equal, with its port.

    Capitals and a dot at the end make no difference.

    >>> normalize_host(b"Shop.Example.:80")
    b'shop.example:80'
    """
    name, port = split_host(host.lower())
    name = name.removesuffix(b".")
    return name + b":" + port if port else name


def split_host(host: bytes) -> tuple[bytes, bytes]:
    """Return the name and the port of a host, which is empty without one."""
    name, separator, port = host.rpartition(b":")
    # The colons of an IPv6 address are inside brackets.
    is_split = separator and not port.endswith(b"]")
    return (name, port) if is_split else (host, b"")


def _find_errors(deployment: Deployment) -> Iterator[str]:
    if abs(deployment.number) > MAX_NUMBER:
        yield "the number of the deployment is out of range"
    yield from _find_limit_errors(deployment.limits)
    stores = {store.name for store in deployment.stores}
    services = stores | set(deployment.services)
    locations: set[tuple[bytes, str]] = set()
    for route in deployment.routes:
        location = (normalize_host(route.host.encode()), route.prefix)
        if location in locations:
            yield f"{route.name}: another route has this host and prefix"
        locations.add(location)
        yield from _find_route_errors(route)
        yield from _find_share_errors(route, services)
    yield from _find_key_errors(deployment.workspaces)
    for workspace in deployment.workspaces:
        yield from _find_number_errors(workspace.name, workspace)
    for service in deployment.services.values():
        yield from _find_number_errors(service.name, service)
        yield from _find_number_errors(service.name, service.engine or ())
    for store in deployment.stores:
        yield from _find_number_errors(store.name, store)
        if not is_address(store.address):
            yield f"{store.name}: its address can't be called"


def _find_number_errors(name: str, record: tuple) -> Iterator[str]:
    """Find numbers below 0, or beyond 64 bits, in the fields of a record."""
    for value in record:
        is_number = isinstance(value, int | float)
        if is_number and not 0 <= value <= MAX_NUMBER:
            yield f"{name}: {value:.6g} is out of range"


def _find_limit_errors(limits: Limits) -> Iterator[str]:
    yield from _find_number_errors("limits", limits)
    if min(limits.header_bytes, limits.header_s, limits.idle_s) <= 0:
        yield "limits: no request is within them"


def _find_route_errors(route: Route) -> Iterator[str]:
    yield from _find_number_errors(route.name, route)
    if not (route.prefix.startswith("/") and route.prefix.endswith("/")):
        yield f"{route.name}: its prefix doesn't begin and end with a slash"
    if route.timeout_s <= 0:
        yield f"{route.name}: no time to answer"
    if route.attempts < 1:
        yield f"{route.name}: no attempt"


def _find_share_errors(route: Route, services: set[str]) -> Iterator[str]:
    for share in route.shares:
        yield from _find_number_errors(route.name, share)
        if share.service not in services:
            yield f"{route.name}: unknown service {share.service}"
    if sum(share.weight for share in route.shares) <= 0:
        yield f"{route.name}: weights add up to 0"


def _find_key_errors(workspaces: tuple[Workspace, ...]) -> Iterator[str]:
    owners: dict[str, Workspace] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            owner = owners.setdefault(key, workspace)
            if owner is not workspace:
                yield f"{workspace.name}: a key is also {owner.name}'s"
