"""Scopes of cached prompts: which workspaces share what targets and stores keep.

A workspace that is isolated has a scope of its own; all others share one. What was put
into the shared scope stays there, so a scope ends with the rule that it was made under:
once a workspace that has shared becomes isolated, the others share a new one.
"""

from collections.abc import Iterable
from hashlib import blake2b
from typing import NamedTuple, NotRequired, TypedDict
from urllib.parse import quote

from vanillabeam.fleet.records import Deployment, Workspace

__all__ = [
    "CacheScopes",
    "ScopeFields",
    "Sharing",
    "apply_sharing",
    "is_ended_scope",
    "make_scopes",
    "make_sharing",
]

#: Begins the name of a shared scope; no workspace's scope begins with it.
SHARED = "*"
#: Workspaces that are remembered as having shared a scope; beyond it a new one begins.
MAX_SHARERS = 100_000
DIGEST_BYTES = 8


class Sharing(TypedDict):
    """The workspaces of a deployment, by whether they are isolated."""

    isolated: list[str]
    shared: list[str]


class ScopeFields(TypedDict):
    """The part of the replicated state that concerns scopes.

    :param cache_scope: name of the shared scope; absent in a state that a release
        without scopes has made.
    :param sharers: workspaces that may have put something into it.
    """

    cache_scope: NotRequired[str]
    sharers: NotRequired[list[str]]


class CacheScopes(NamedTuple):
    """Scopes of the workspaces of the deployment in force.

    :param shared: name of the shared scope.
    :param isolated: names of the workspaces that have one of their own.

    >>> scopes = CacheScopes("*12", frozenset({"brewer"}))
    >>> scopes.of(Workspace("brewer", ()))
    'brewer'
    """

    shared: str = ""
    isolated: frozenset[str] = frozenset()

    def of(self, workspace: Workspace | None) -> str:
        """Return the scope of a request.

        :param workspace: workspace of the request when it was admitted; isolated then
            or now, it shares nothing.
        """
        if workspace is None:
            return self.shared
        if workspace.isolated or workspace.name in self.isolated:
            return quote(workspace.name, safe="")
        return self.shared


def make_sharing(deployment: Deployment) -> Sharing:
    """Return the workspaces of a deployment, by whether they are isolated."""
    workspaces = deployment.workspaces
    return Sharing(
        isolated=sorted({each.name for each in workspaces if each.isolated}),
        shared=sorted({each.name for each in workspaces if not each.isolated}),
    )


def apply_sharing(
    state: ScopeFields, sharing: Sharing | None, index: int
) -> ScopeFields:
    """Return the fields after a deployment.

    :param sharing: its workspaces; ``None`` from a release without scopes, after which
        the shared scope is named by the isolated workspaces alone.
    :param index: index of the deployment's command, which names a new scope.
    """
    if sharing is None:
        return ScopeFields()
    known, isolated = set(state.get("sharers", ())), set(sharing["isolated"])
    sharers = known.union(sharing["shared"])
    must_end = bool(known & isolated) or len(sharers) > MAX_SHARERS
    if must_end or "cache_scope" not in state:
        return ScopeFields(cache_scope=str(index), sharers=sorted(sharing["shared"]))
    return ScopeFields(cache_scope=state["cache_scope"], sharers=sorted(sharers))


def make_scopes(state: ScopeFields, deployment: Deployment) -> CacheScopes:
    """Return the scopes for a state and the deployment in it.

    Without a name in the state the shared scope is that of the isolated workspaces: no
    other workspace than those was ever kept out of it.
    """
    isolated = frozenset(make_sharing(deployment)["isolated"])
    name = state.get("cache_scope") or _digest(isolated)
    return CacheScopes(SHARED + name, isolated)


def is_ended_scope(salt: str, scopes: CacheScopes) -> bool:
    """Return whether a salt's scope was shared, and no longer is."""
    scope = salt.partition("/")[0]
    return scope.startswith(SHARED) and scope != scopes.shared


def _digest(names: Iterable[str]) -> str:
    text = "\0".join(sorted(names)).encode()
    return "d" + blake2b(text, digest_size=DIGEST_BYTES).hexdigest()
