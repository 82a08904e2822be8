"""Who sends a request: workspaces by caller key, operators by theirs."""

import hmac
from collections.abc import Iterable
from hashlib import sha256

from returns.result import Failure, Result, Success

from vanillabeam.config import Config, Workspace
from vanillabeam.exceptions import Unauthenticated
from vanillabeam.settings import Operator

__all__ = ["Operators", "Workspaces", "digest"]


def digest(key: str) -> str:
    """Return the digest under which a key is kept: SHA-256, hex."""
    return sha256(key.encode()).hexdigest()


class Workspaces:
    """Workspaces by the digest of their callers' keys.

    >>> workspaces = Workspaces()
    >>> workspaces.config_changed(config)
    >>> workspaces.authenticate("key").map(lambda workspace: workspace.name)
    """

    def __init__(self):
        self._by_digest: dict[str, Workspace] = {}
        self._known: dict[str, Workspace] = {}

    def config_changed(self, config: Config) -> None:
        """Take the workspaces of ``config``; only what differs is touched."""
        if config.workspaces is self._known:
            return
        for name in self._known.keys() - config.workspaces.keys():
            self._forget(self._known[name])
        for name, workspace in config.workspaces.items():
            before = self._known.get(name)
            if before is workspace:
                continue
            if before is not None:
                self._forget(before)
            for key_digest in workspace.key_digests:
                self._by_digest[key_digest] = workspace
        self._known = config.workspaces

    def authenticate(self, key: str | None) -> Result[Workspace, Unauthenticated]:
        """Return the workspace that ``key`` belongs to."""
        if key is None:
            return Failure(Unauthenticated("no key"))
        key_digest = digest(key)
        workspace = self._by_digest.get(key_digest)
        if workspace is None:
            return Failure(Unauthenticated("unknown key"))
        matches = [
            hmac.compare_digest(key_digest, known) for known in workspace.key_digests
        ]
        if not any(matches):
            return Failure(Unauthenticated("unknown key"))
        return Success(workspace)

    def _forget(self, workspace: Workspace) -> None:
        for key_digest in workspace.key_digests:
            if self._by_digest.get(key_digest) is workspace:
                del self._by_digest[key_digest]


class Operators:
    """Operators by key.

    :param operators: from the settings.
    """

    def __init__(self, operators: Iterable[Operator]):
        self._operators = tuple(operators)

    def authenticate(self, key: str | None) -> Result[str, Unauthenticated]:
        """Return the name of the operator whose ``key`` this is."""
        if key is None:
            return Failure(Unauthenticated("no key"))
        key_digest = digest(key)
        found = None
        for operator in self._operators:
            if hmac.compare_digest(key_digest, operator["key_digest"]):
                found = operator["name"]
        if found is None:
            return Failure(Unauthenticated("unknown operator key"))
        return Success(found)
