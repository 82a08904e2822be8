"""A caller's request that has been let in."""

from typing import NamedTuple

from vanillabeam.fleet import Route, Workspace
from vanillabeam.forwarding.dialect import Headers, RequestMetadata

__all__ = ["AdmittedRequest"]

#: Ranks of routes within one rank of workspaces.
RANKS_PER_WORKSPACE = 3


class AdmittedRequest(NamedTuple):
    """A request that has a route and a workspace.

    :param headers: as the caller sent them.
    :param began_s: monotonic time at which its head was read.
    :param ends_s: that of its final answer at the latest.
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
        """How urgent it is; its workspace goes before its route."""
        workspace, rank = self.workspace, self.route.priority
        if workspace is None or workspace.priority is None:
            return rank
        return RANKS_PER_WORKSPACE * workspace.priority + rank
