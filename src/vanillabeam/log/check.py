"""Offline check and view of a VM's data folder; nothing is changed."""

from pathlib import Path
from typing import NamedTuple, TypedDict

from returns.result import Failure, Result

from vanillabeam.log.contents import Contents, read_contents
from vanillabeam.log.exceptions import LogError, UnknownMember
from vanillabeam.log.folder import ReadFolder
from vanillabeam.log.records import Entry

__all__ = ["FolderView", "GroupCheck", "check", "show"]

SHOWN_ENTRIES = 20


class GroupCheck(NamedTuple):
    """The check of one group's files.

    :param torn_bytes: what a crash left; it is cut at the next start.
    :param failure: the damage, ``None`` if there is none.
    """

    group: str
    torn_bytes: int
    failure: LogError | None


class FolderView(TypedDict):
    """What one group's files hold.

    :param entries: the newest few, the oldest of them first.
    """

    group: str
    member_id: str
    group_id: str
    term: int
    voted_for: str
    commit: int
    snapshot_index: int
    snapshot_bytes: int
    last_index: int
    torn_bytes: int
    entries: list[Entry]


def check(data_folder: Path) -> list[GroupCheck]:
    """Check the files of every group in a VM's data folder."""
    root = data_folder / "log"
    groups = sorted(item.name for item in root.iterdir()) if root.is_dir() else []
    return [_check_group(root / group) for group in groups]


def show(data_folder: Path, group: str) -> Result[FolderView, LogError]:
    """Return what a group's files hold.

    :returns: the view, or what is damaged or missing.
    """
    path = data_folder / "log" / group
    if not path.is_dir():
        return Failure(UnknownMember(f"no files of group {group}"))
    return read_contents(ReadFolder(path)).map(lambda held: _view(group, held))


def _check_group(path: Path) -> GroupCheck:
    read = read_contents(ReadFolder(path))
    if isinstance(read, Failure):
        return GroupCheck(path.name, 0, read.failure())
    return GroupCheck(path.name, read.unwrap().torn_bytes, None)


def _view(group: str, held: Contents) -> FolderView:
    identity = held.identity or {"member_id": "", "group_id": ""}
    last_index = held.entries[-1].index if held.entries else held.snapshot.index
    return FolderView(
        group=group,
        member_id=identity["member_id"],
        group_id=identity["group_id"],
        term=held.term,
        voted_for=held.voted_for,
        commit=held.commit,
        snapshot_index=held.snapshot.index,
        snapshot_bytes=len(held.snapshot.data),
        last_index=last_index,
        torn_bytes=held.torn_bytes,
        entries=list(held.entries[-SHOWN_ENTRIES:]),
    )
