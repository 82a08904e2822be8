"""File access: one flat folder with the files of a replica."""

import os
from pathlib import Path
from typing import Protocol

__all__ = ["DiskFolder", "Folder", "ReadFolder", "group_folder"]

TEMPORARY_SUFFIX = ".tmp"


def group_folder(data_folder: Path, group: str) -> Path:
    """Return the folder with the files of a group's replica."""
    return data_folder / "log" / group


class Folder(Protocol):
    """A flat folder of files. Every method may raise :class:`OSError`."""

    def names(self) -> list[str]:
        """Return the sorted names of the files."""

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes of a file, starting at ``offset``."""

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; durable only after :meth:`sync`."""

    def sync(self, name: str) -> None:
        """Make all data appended to a file durable."""

    def sync_names(self) -> None:
        """Make all created, replaced and removed names durable."""

    def replace(self, name: str, data: bytes) -> None:
        """Replace the contents of a file atomically; durable on return."""

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes; durable on return."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def close(self) -> None:
        """Close open files."""


class ReadFolder:
    """Read-only part of :class:`DiskFolder`.

    :param path: folder that contains the files.
    """

    def __init__(self, path: Path):
        self.path = path

    def names(self) -> list[str]:
        """Return the sorted names of the files."""
        return sorted(item.name for item in self.path.iterdir() if item.is_file())

    def read(self, name: str) -> bytes:
        """Return the contents of a file."""
        return (self.path / name).read_bytes()

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes of a file, starting at ``offset``."""
        with (self.path / name).open("rb") as file:
            file.seek(offset)
            return file.read(size)


class DiskFolder(ReadFolder):
    """A :class:`Folder` on disk, which is created if it does not exist.

    :param path: folder that contains the files.
    """

    def __init__(self, path: Path):
        super().__init__(path)
        self._open_name = ""
        self._descriptor = -1
        path.mkdir(parents=True, exist_ok=True)
        _sync_folder(path.parent)
        _sync_folder(path.parent.parent)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file; durable only after :meth:`sync`."""
        self._open(name)
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make all data appended to a file durable."""
        self._open(name)
        os.fsync(self._descriptor)

    def sync_names(self) -> None:
        """Make all created, replaced and removed names durable."""
        _sync_folder(self.path)

    def replace(self, name: str, data: bytes) -> None:
        """Replace the contents of a file atomically; durable on return."""
        temporary = self.path / (name + TEMPORARY_SUFFIX)
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.path / name)
        _sync_folder(self.path)

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to ``size`` bytes; durable on return."""
        self._open(name)
        os.ftruncate(self._descriptor, size)
        os.fsync(self._descriptor)

    def remove(self, name: str) -> None:
        """Delete a file."""
        (self.path / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Close open files."""
        if self._descriptor >= 0:
            os.close(self._descriptor)
        self._open_name, self._descriptor = "", -1

    def _open(self, name: str) -> None:
        if self._open_name == name:
            return
        self.close()
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self._descriptor = os.open(self.path / name, flags, 0o600)
        self._open_name = name


def _sync_folder(path: Path) -> None:
    descriptor = os.open(path, os.O_RDONLY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
