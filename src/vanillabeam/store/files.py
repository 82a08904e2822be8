"""File access of the store: one flat folder, behind a replaceable interface."""

import os
import time
from pathlib import Path
from typing import Protocol

__all__ = ["DiskFiles", "FileLayer", "ReadFile", "WriteFile"]


class WriteFile(Protocol):
    """A new file that is open for writing."""

    def write(self, data: bytes | memoryview) -> None:
        """Append ``data`` to the file."""

    def sync(self) -> None:
        """Flush all written bytes to the disk."""

    def close(self) -> None:
        """Close the file."""


class ReadFile(Protocol):
    """A file that is open for reading.

    :ivar size: size of the file in bytes.
    """

    size: int

    def read(self, size: int) -> bytes:
        """Return the next bytes, at most ``size``; empty at the end of the file."""

    def close(self) -> None:
        """Close the file."""


class FileLayer(Protocol):
    """Files of one folder; every method may raise ``OSError``."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def create(self, name: str) -> WriteFile:
        """Create a file and open it for writing."""

    def open(self, name: str) -> ReadFile:
        """Open a file for reading."""

    def age_s(self, name: str) -> float:
        """Return the seconds since the file was last written."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically."""

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""

    def sync_folder(self) -> None:
        """Flush all renames and removals to the disk."""


class DiskFiles:
    """Files of a folder on disk.

    :param folder: path of the folder, which is created if it does not exist.
    """

    def __init__(self, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder

    def names(self) -> list[str]:
        """Return the names of all files."""
        return [entry.name for entry in os.scandir(self.folder)]

    def create(self, name: str) -> WriteFile:
        """Create a file and open it for writing."""
        return _Writer(self.folder / name)

    def open(self, name: str) -> ReadFile:
        """Open a file for reading."""
        return _Reader(self.folder / name)

    def age_s(self, name: str) -> float:
        """Return the seconds since the file was last written, by wall clock."""
        written_s = (self.folder / name).stat().st_mtime
        return max(0.0, time.time() - written_s)

    def rename(self, old: str, new: str) -> None:
        """Rename a file atomically."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file if it exists."""
        (self.folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Flush all renames and removals to the disk."""
        handle = os.open(self.folder, os.O_RDONLY | os.O_DIRECTORY)
        try:
            os.fsync(handle)
        finally:
            os.close(handle)


class _Writer:
    def __init__(self, path: Path):
        self._file = open(path, "xb", buffering=0)  # noqa: SIM115

    def write(self, data: bytes | memoryview) -> None:
        remaining = memoryview(data)
        while remaining:
            remaining = remaining[self._file.write(remaining) :]

    def sync(self) -> None:
        os.fsync(self._file.fileno())

    def close(self) -> None:
        self._file.close()


class _Reader:
    def __init__(self, path: Path):
        self._file = open(path, "rb", buffering=0)  # noqa: SIM115
        self.size = os.fstat(self._file.fileno()).st_size

    def read(self, size: int) -> bytes:
        return self._file.read(size) or b""

    def close(self) -> None:
        self._file.close()
