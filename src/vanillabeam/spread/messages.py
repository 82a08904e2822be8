"""Messages of config spread between VMs."""

from typing import Any, NotRequired, TypedDict

from vanillabeam.config import Workspace
from vanillabeam.tickets import ConfigStep

__all__ = [
    "PageReply",
    "PageRequest",
    "Push",
    "StepsReply",
    "StepsRequest",
    "WorkspaceReply",
    "WorkspaceRequest",
]


class Push(TypedDict):
    """``POST /peer/spread/push``: a new index, with its steps if small.

    :param address: of the sender, for whoever has to ask for more.
    """

    address: str
    index: int
    hash: str
    steps: list[ConfigStep]


class StepsRequest(TypedDict):
    """``POST /peer/spread/steps``: what came after ``index``?

    :param digest_only: only the index and hash are wanted.
    """

    index: int
    digest_only: bool


class StepsReply(TypedDict):
    """The index and hash here, and steps that lead towards them.

    :param too_old: the steps are no longer kept; a copy is needed.
    """

    index: int
    hash: str
    steps: list[ConfigStep]
    too_old: bool


class PageRequest(TypedDict):
    """``POST /peer/spread/page``: records of a whole copy.

    :param index: index of the records that are there already; 0 before the
        first page.
    :param after: section and name of the last one of them; empty at first.
    """

    index: int
    after: list[str]


class PageReply(TypedDict):
    """Records at ``index``, or the steps that lead to it.

    :param records: section, name and fields of each.
    :param steps: if any, these come first and there are no records.
    :param end: these are the last ones.
    """

    index: int
    hash: str
    records: list[tuple[str, str, Any]]
    steps: list[ConfigStep]
    end: bool


class WorkspaceRequest(TypedDict):
    """``POST /peer/spread/workspace``: whose key is this?

    :param index: the lowest index that the answer may have.
    """

    key_digest: str
    index: int


class WorkspaceReply(TypedDict):
    """The workspace at ``index``; none if no workspace has the key."""

    index: int
    workspace: NotRequired[Workspace]
