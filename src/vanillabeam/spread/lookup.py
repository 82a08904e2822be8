"""Lookup of workspaces by caller key, here or at a VM with a complete copy."""

from collections.abc import Awaitable, Callable
from typing import Any

from returns.result import Failure, Result, Success

from vanillabeam.config import Config, Workspace
from vanillabeam.exceptions import NotReady, Unauthenticated, VanillabeamError
from vanillabeam.spread.exceptions import CopyBehind
from vanillabeam.spread.messages import WorkspaceReply, WorkspaceRequest
from vanillabeam.wire import decode, encode

__all__ = ["WORKSPACE_PATH", "WorkspaceLookup"]

WORKSPACE_PATH = "/peer/spread/workspace"
MAX_LOOKUP_PEERS = 3

#: ``await call_peer(address, path, message)``: returns the body of the answer.
PeerCaller = Callable[[str, str, Any], Awaitable[Result[bytes, VanillabeamError]]]


class WorkspaceLookup:
    """Finds workspaces in this VM's copy, or at peers while it is incomplete.

    :param in_force: returns the configuration in force, and whether it is complete.
    :param complete_peers: returns the addresses of VMs with a complete copy.
    :param call_peer: calls a VM with a time limit.
    """

    def __init__(
        self,
        in_force: Callable[[], tuple[Config, bool]],
        complete_peers: Callable[[], list[str]],
        call_peer: PeerCaller,
    ):
        self._in_force = in_force
        self._complete_peers = complete_peers
        self._call_peer = call_peer
        self._name_by_digest: dict[str, str] = {}
        self._indexed_workspaces: dict[str, Workspace] | None = None

    async def find(self, key_digest: str) -> Result[Workspace, VanillabeamError]:
        """Return the workspace of a caller key.

        :param key_digest: hex SHA-256 of the key.
        :returns: the workspace; :class:`Unauthenticated` if no workspace has the
            key; :class:`NotReady` if no peer with a complete copy answers.
        """
        config, is_complete = self._in_force()
        workspace = self._find_local(config, key_digest)
        if workspace is not None:
            return Success(workspace)
        if is_complete:
            return Failure(Unauthenticated())
        request: WorkspaceRequest = {"key_digest": key_digest, "index": config.index}
        for address in self._complete_peers()[:MAX_LOOKUP_PEERS]:
            result = await self._call_peer(address, WORKSPACE_PATH, request)
            match result.bind(lambda body: decode(WorkspaceReply, body)):
                case Success(reply) if "workspace" in reply:
                    return Success(reply["workspace"])
                case Success(_):
                    return Failure(Unauthenticated())
        return Failure(NotReady("no peer with a whole configuration answered"))

    def answer(self, request: WorkspaceRequest) -> Result[bytes, VanillabeamError]:
        """Answer another VM's lookup, if this copy is complete and recent enough."""
        config, is_complete = self._in_force()
        if not is_complete or config.index < request["index"]:
            return Failure(CopyBehind())
        reply: WorkspaceReply = {"index": config.index}
        workspace = self._find_local(config, request["key_digest"])
        if workspace is not None:
            reply["workspace"] = workspace
        return Success(encode(reply))

    def _find_local(self, config: Config, key_digest: str) -> Workspace | None:
        if self._indexed_workspaces is not config.workspaces:
            self._indexed_workspaces = config.workspaces
            self._name_by_digest = {
                digest: name
                for name, workspace in config.workspaces.items()
                for digest in workspace.key_digests
            }
        return config.workspaces.get(self._name_by_digest.get(key_digest, ""))
