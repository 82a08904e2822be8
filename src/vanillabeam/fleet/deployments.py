"""Check of a deployment before it may be in force."""

from collections.abc import Iterator
from http import HTTPStatus
from itertools import islice

from returns.result import Failure, Result, Success

from vanillabeam.addresses import is_address
from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.fleet.records import Deployment, Route, Workspace

__all__ = ["DeploymentInvalid", "check_deployment", "normalize_host", "split_host"]

#: Number of errors that a failure describes.
MAX_ERRORS = 5


class DeploymentInvalid(VanillabeamError):
    """A deployment contradicts itself or could not be served."""

    type = "deployment-invalid"
    status = HTTPStatus.BAD_REQUEST
    run = Run.NOT_RUN
    advice = "Correct the document; the detail names its first errors."


def check_deployment(deployment: Deployment) -> Result[Deployment, DeploymentInvalid]:
    """Return the deployment, or a failure that describes its first errors."""
    errors = list(islice(_find_errors(deployment), MAX_ERRORS))
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
    stores = {store.name for store in deployment.stores}
    services = stores | set(deployment.services)
    locations: set[tuple[bytes, str]] = set()
    for route in deployment.routes:
        location = (normalize_host(route.host.encode()), route.prefix)
        if location in locations:
            yield f"{route.name}: another route has this host and prefix"
        locations.add(location)
        yield from _find_share_errors(route, services)
        if route.timeout_s <= 0:
            yield f"{route.name}: no time to answer"
    yield from _find_key_errors(deployment.workspaces)
    for store in deployment.stores:
        if not is_address(store.address):
            yield f"{store.name}: its address can't be called"


def _find_share_errors(route: Route, services: set[str]) -> Iterator[str]:
    for share in route.shares:
        if share.service not in services:
            yield f"{route.name}: unknown service {share.service}"
    if sum(share.weight for share in route.shares) <= 0:
        yield f"{route.name}: weights add up to 0"
    if any(share.weight < 0 for share in route.shares):
        yield f"{route.name}: a weight is negative"


def _find_key_errors(workspaces: tuple[Workspace, ...]) -> Iterator[str]:
    owners: dict[str, str] = {}
    for workspace in workspaces:
        for key in workspace.keys:
            if owners.setdefault(key, workspace.name) != workspace.name:
                yield f"{workspace.name}: a key is also {owners[key]}'s"
