"""Messages that VMs exchange to disseminate the configuration."""

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
    """``POST /peer/spread/push``: a new index, with its steps if they are small.

    :param address: address of the sender, from which receivers fetch what they
        miss.
    """

    address: str
    index: int
    hash: str
    steps: list[ConfigStep]


class StepsRequest(TypedDict):
    """``POST /peer/spread/steps``: request for the steps after ``index``.

    :param digest_only: leave out the steps and return only the index and hash.
    """

    index: int
    digest_only: bool


class StepsReply(TypedDict):
    """The sender's index and hash, and steps that lead towards them.

    :param too_old: whether the sender no longer holds the requested steps; the
        receiver must fetch a copy in pages.
    """

    index: int
    hash: str
    steps: list[ConfigStep]
    too_old: bool


class PageRequest(TypedDict):
    """``POST /peer/spread/page``: request for the next records of a copy.

    :param index: index of the records fetched so far; 0 before the first page.
    :param after: section and name of the last record fetched; empty before the
        first page.
    """

    index: int
    after: list[str]


class PageReply(TypedDict):
    """Records at ``index``, or the steps that lead to it.

    :param records: section, name and fields of each record.
    :param steps: steps to apply before the next page; if there are any,
        ``records`` is empty.
    :param end: whether these are the last records.
    """

    index: int
    hash: str
    records: list[tuple[str, str, Any]]
    steps: list[ConfigStep]
    end: bool


class WorkspaceRequest(TypedDict):
    """``POST /peer/spread/workspace``: request for the workspace of a caller key.

    :param key_digest: hex SHA-256 of the key.
    :param index: lowest index that the answer may have.
    """

    key_digest: str
    index: int


class WorkspaceReply(TypedDict):
    """The workspace at ``index``; absent if no workspace has the key."""

    index: int
    workspace: NotRequired[Workspace]
