"""Lookup of the route and the workspace of a request."""

from returns.result import Failure, Result, Success

from vanillabeam.exceptions import Unauthenticated, VanillabeamError
from vanillabeam.fleet import Deployment, Route, Workspace
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
        self._hosts: dict[str, dict[str, Route]] = {}
        for route in deployment.routes:
            self._hosts.setdefault(route.host, {})[route.prefix] = route
        self._keys = {
            key: workspace
            for workspace in deployment.workspaces
            for key in workspace.keys
        }

    def route(self, host: str, path: str) -> Result[Route, VanillabeamError]:
        """Return the route with the longest prefix of ``path``.

        :param host: value of the ``Host`` header, with or without a port.
        """
        prefixes = self._hosts.get(host) or self._hosts.get(host.partition(":")[0])
        if not prefixes:
            return Failure(RouteUnknown(host))
        end = path.rfind("/")
        while end >= 0:
            route = prefixes.get(path[: end + 1])
            if route is not None:
                return Success(route)
            end = path.rfind("/", 0, end)
        return Failure(RouteUnknown(host))

    def workspace(
        self, route: Route, key: str
    ) -> Result[Workspace | None, VanillabeamError]:
        """Return the workspace of a key; ``None`` on a route that needs no key."""
        if route.public or not self.deployment.workspaces:
            return Success(None)
        workspace = self._keys.get(key)
        if workspace is None:
            return Failure(Unauthenticated("no workspace has this key"))
        return Success(workspace)
