"""A caller's request that was admitted."""

from typing import NamedTuple

from vanillabeam.fleet import Route, Workspace
from vanillabeam.forwarding.dialect import Headers, RequestMetadata

__all__ = ["AdmittedRequest", "rank_of"]

#: Number of route priorities within one workspace priority.
RANKS_PER_WORKSPACE = 3


class AdmittedRequest(NamedTuple):
    """An admitted request with its route and workspace.

    :param workspace: ``None`` on a route that needs no key.
    :param headers: headers as the caller sent them.
    :param began_s: monotonic time at which the head of the request was read.
    :param ends_s: monotonic time by which the final answer is due.
    """

    metadata: RequestMetadata
    route: Route
    workspace: Workspace | None
    headers: Headers
    body: bytes
    began_s: float
    ends_s: float

    @property
    def rank(self) -> int:
        """Urgency of the request, 0 is the most urgent."""
        return rank_of(self.route, self.workspace)


def rank_of(route: Route, workspace: Workspace | None) -> int:
    """Return the urgency of a workspace's requests to a route, 0 is the most urgent.

    The workspace's priority weighs more than the route's.
    """
    if workspace is None or workspace.priority is None:
        return route.priority
    return RANKS_PER_WORKSPACE * workspace.priority + route.priority
