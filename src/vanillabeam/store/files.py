"""The store's file layer: one flat folder, and nothing else of the system."""

import os
import time
from pathlib import Path
from typing import Protocol

__all__ = ["DiskFiles", "FileLayer", "ReadFile", "WriteFile"]


class WriteFile(Protocol):
    """A new file that is being written."""

    def write(self, data: bytes | memoryview) -> None:
        """Append ``data``."""

    def sync(self) -> None:
        """Return once what was written is on the disk."""

    def close(self) -> None:
        """End writing."""


class ReadFile(Protocol):
    """A file that is being read."""

    size: int

    def read(self, size: int) -> bytes:
        """Return up to ``size`` further bytes."""

    def close(self) -> None:
        """End reading."""


class FileLayer(Protocol):
    """Files of one folder. Every method may raise ``OSError``."""

    def names(self) -> list[str]:
        """Return the names of all files."""

    def create(self, name: str) -> WriteFile:
        """Begin a new file."""

    def open(self, name: str) -> ReadFile:
        """Begin to read a file."""

    def age_s(self, name: str) -> float:
        """Return seconds since the file was written."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file in one step."""

    def remove(self, name: str) -> None:
        """Remove a file; one that is not there is no failure."""

    def sync_folder(self) -> None:
        """Return once all renames and removals are on the disk."""


class DiskFiles:
    """Files of a real folder.

    :param folder: made if it is not there.
    """

    def __init__(self, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        self.folder = folder

    def names(self) -> list[str]:
        """Return the names of all files."""
        return [entry.name for entry in os.scandir(self.folder)]

    def create(self, name: str) -> WriteFile:
        """Begin a new file."""
        return _Writer(self.folder / name)

    def open(self, name: str) -> ReadFile:
        """Begin to read a file."""
        return _Reader(self.folder / name)

    def age_s(self, name: str) -> float:
        """Return seconds since the file was written, by the wall clock."""
        written_s = (self.folder / name).stat().st_mtime
        return max(0.0, time.time() - written_s)

    def rename(self, old: str, new: str) -> None:
        """Rename a file in one step."""
        os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file; one that is not there is no failure."""
        (self.folder / name).unlink(missing_ok=True)

    def sync_folder(self) -> None:
        """Return once all renames and removals are on the disk."""
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
