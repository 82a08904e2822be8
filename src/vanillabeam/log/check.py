"""Read-only check and display of the log files in a stopped VM's data folder."""

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
    """Result of checking one group's files.

    :param group: name of the group.
    :param torn_bytes: size of the incomplete batch that a crash left at the end
        of the log file; the next start truncates it.
    :param failure: the damage, ``None`` if there is none.
    """

    group: str
    torn_bytes: int
    failure: LogError | None


class FolderView(TypedDict):
    """Contents of one group's files.

    :param entries: the newest ``SHOWN_ENTRIES`` entries, in log order.
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
    """Check the files of every group in a VM's data folder.

    :returns: one result per group, sorted by name.
    """
    root = data_folder / "log"
    groups = sorted(item.name for item in root.iterdir()) if root.is_dir() else []
    return [_check_group(root / group) for group in groups]


def show(data_folder: Path, group: str) -> Result[FolderView, LogError]:
    """Return the contents of a group's files.

    :returns: the contents, or a failure if files are damaged or missing.
    """
    path = data_folder / "log" / group
    if not path.is_dir():
        return Failure(UnknownMember(f"no files of group {group}"))
    return read_contents(ReadFolder(path)).map(lambda contents: _view(group, contents))


def _check_group(path: Path) -> GroupCheck:
    read = read_contents(ReadFolder(path))
    if isinstance(read, Failure):
        return GroupCheck(path.name, 0, read.failure())
    return GroupCheck(path.name, read.unwrap().torn_bytes, None)


def _view(group: str, contents: Contents) -> FolderView:
    identity = contents.identity or {"member_id": "", "group_id": ""}
    last_index = (
        contents.entries[-1].index if contents.entries else contents.snapshot.index
    )
    return FolderView(
        group=group,
        member_id=identity["member_id"],
        group_id=identity["group_id"],
        term=contents.term,
        voted_for=contents.voted_for,
        commit=contents.commit,
        snapshot_index=contents.snapshot.index,
        snapshot_bytes=len(contents.snapshot.data),
        last_index=last_index,
        torn_bytes=contents.torn_bytes,
        entries=list(contents.entries[-SHOWN_ENTRIES:]),
    )
