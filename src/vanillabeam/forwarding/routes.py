"""Lookup of the route and the workspace of a request."""

from returns.result import Failure, Result, Success

from vanillabeam.exceptions import Unauthenticated, VanillabeamError
from vanillabeam.fleet import Deployment, Route, Workspace
from vanillabeam.fleet.deployments import normalize_host, split_host
from vanillabeam.forwarding.exceptions import RouteUnknown

__all__ = ["RouteTable"]


class RouteTable:
    """Indexes the routes and keys of a deployment.

    >>> table = RouteTable(deployment)
    >>> table.route("shop.example", "/orders/7").unwrap().name
    'orders'
    """

    def __init__(self, deployment: Deployment):
        self.deployment = deployment
        self._hosts: dict[bytes, dict[str, Route]] = {}
        for route in deployment.routes:
            host = normalize_host(route.host.encode())
            self._hosts.setdefault(host, {})[route.prefix] = route
        self._keys = {
            key.encode().decode("latin-1"): workspace
            for workspace in deployment.workspaces
            for key in workspace.keys
        }

    def route(self, host: str, path: str) -> Result[Route, VanillabeamError]:
        """Return the route with the longest prefix of ``path``.

        The routes of the host with its port come before those of the host alone.

        :param host: value of the ``Host`` header, read as latin-1.
        """
        full = normalize_host(host.encode("latin-1"))
        for known in (full, split_host(full)[0]):
            route = _find_longest(self._hosts.get(known, {}), path)
            if route is not None:
                return Success(route)
        return Failure(RouteUnknown(host))

    def workspace(
        self, route: Route, key: str
    ) -> Result[Workspace | None, VanillabeamError]:
        """Return the workspace of a key; ``None`` on a route that needs no key.

        :param key: value of the header, read as latin-1.
        """
        if route.public or not self.deployment.workspaces:
            return Success(None)
        workspace = self._keys.get(key)
        if workspace is None:
            return Failure(Unauthenticated("no workspace has this key"))
        return Success(workspace)


def _find_longest(prefixes: dict[str, Route], path: str) -> Route | None:
    """Return the route with the longest prefix of ``path``."""
    end = path.rfind("/")
    while end >= 0:
        route = prefixes.get(path[: end + 1])
        if route is not None:
            return route
        end = path.rfind("/", 0, end)
    return None
