"""Workspaces by caller key, on first use from a whole copy elsewhere."""

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
MOST_LOOKUPS = 3

Ask = Callable[[str, str, Any], Awaitable[Result[bytes, VanillabeamError]]]


class WorkspaceLookup:
    """Finds workspaces here, and elsewhere while the copy here isn't whole.

    :param in_force: the configuration in force, and whether it is whole.
    :param whole_copies: addresses of VMs that have a whole one.
    :param ask: calls a VM within a time limit.
    """

    def __init__(
        self,
        in_force: Callable[[], tuple[Config, bool]],
        whole_copies: Callable[[], list[str]],
        ask: Ask,
    ):
        self._in_force = in_force
        self._whole_copies = whole_copies
        self._ask = ask
        self._names: dict[str, str] = {}
        self._names_of: dict[str, Workspace] | None = None

    async def find(self, key_digest: str) -> Result[Workspace, VanillabeamError]:
        """Return the workspace of a caller key.

        :returns: :class:`Unauthenticated` if no workspace has the key,
            :class:`NotReady` if nobody who knows answers.
        """
        config, whole = self._in_force()
        workspace = self._own(config, key_digest)
        if workspace is not None:
            return Success(workspace)
        if whole:
            return Failure(Unauthenticated())
        request: WorkspaceRequest = {"key_digest": key_digest, "index": config.index}
        for address in self._whole_copies()[:MOST_LOOKUPS]:
            result = await self._ask(address, WORKSPACE_PATH, request)
            match result.bind(lambda body: decode(WorkspaceReply, body)):
                case Success(reply) if "workspace" in reply:
                    return Success(reply["workspace"])
                case Success(_):
                    return Failure(Unauthenticated())
        return Failure(NotReady("no peer with a whole configuration answered"))

    def answer(self, request: WorkspaceRequest) -> Result[bytes, VanillabeamError]:
        """Answer another VM, if the copy here is whole and not behind."""
        config, whole = self._in_force()
        if not whole or config.index < request["index"]:
            return Failure(CopyBehind())
        reply: WorkspaceReply = {"index": config.index}
        workspace = self._own(config, request["key_digest"])
        if workspace is not None:
            reply["workspace"] = workspace
        return Success(encode(reply))

    def _own(self, config: Config, key_digest: str) -> Workspace | None:
        if self._names_of is not config.workspaces:
            self._names_of = config.workspaces
            self._names = {
                digest: name
                for name, workspace in config.workspaces.items()
                for digest in workspace.key_digests
            }
        return config.workspaces.get(self._names.get(key_digest, ""))
