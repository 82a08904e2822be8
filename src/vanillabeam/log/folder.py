"""The file layer: one flat folder of a replica's files."""

import os
from pathlib import Path
from typing import Protocol

__all__ = ["DiskFolder", "Folder", "ReadFolder"]

TEMPORARY_SUFFIX = ".tmp"


class Folder(Protocol):
    """Files by name. Every method may raise :class:`OSError`."""

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes from ``offset`` on."""

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end; lasts only after :meth:`sync`."""

    def sync(self, name: str) -> None:
        """Make what was appended to a file last."""

    def replace(self, name: str, data: bytes) -> None:
        """Set a file's bytes, whole or not at all; lasts on return."""

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes; lasts on return."""

    def remove(self, name: str) -> None:
        """Delete a file."""

    def close(self) -> None:
        """Let go of open files."""


class ReadFolder:
    """The reading half of :class:`DiskFolder`.

    :param path: where the files live.
    """

    def __init__(self, path: Path):
        self.path = path

    def names(self) -> list[str]:
        """Return the names of the files, sorted."""
        return sorted(item.name for item in self.path.iterdir() if item.is_file())

    def read(self, name: str) -> bytes:
        """Return a file's bytes."""
        return (self.path / name).read_bytes()

    def read_part(self, name: str, offset: int, size: int) -> bytes:
        """Return up to ``size`` bytes from ``offset`` on."""
        with (self.path / name).open("rb") as file:
            file.seek(offset)
            return file.read(size)


class DiskFolder(ReadFolder):
    """A :class:`Folder` on disk; it is made if it is not there."""

    def __init__(self, path: Path):
        super().__init__(path)
        self._open_name = ""
        self._descriptor = -1
        path.mkdir(parents=True, exist_ok=True)
        _sync_folder(path.parent)
        _sync_folder(path.parent.parent)

    def append(self, name: str, data: bytes) -> None:
        """Write at a file's end; lasts only after :meth:`sync`."""
        self._open(name)
        view = memoryview(data)
        while view:
            view = view[os.write(self._descriptor, view) :]

    def sync(self, name: str) -> None:
        """Make what was appended to a file last."""
        self._open(name)
        os.fsync(self._descriptor)

    def replace(self, name: str, data: bytes) -> None:
        """Set a file's bytes, whole or not at all; lasts on return."""
        temporary = self.path / (name + TEMPORARY_SUFFIX)
        with temporary.open("wb") as file:
            file.write(data)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self.path / name)
        _sync_folder(self.path)

    def truncate(self, name: str, size: int) -> None:
        """Cut a file to ``size`` bytes; lasts on return."""
        self._open(name)
        os.ftruncate(self._descriptor, size)
        os.fsync(self._descriptor)

    def remove(self, name: str) -> None:
        """Delete a file."""
        (self.path / name).unlink(missing_ok=True)

    def close(self) -> None:
        """Let go of open files."""
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
