"""Faults of the disk and of the time of day, in a child process only.

Each fault lasts while a file of its name stands in a folder, so a test switches
faults of a running process on and off:

- ``full``: every write to the data folder fails with ENOSPC;
- ``broken``: every write and sync there fails with EIO;
- ``slow``: every write and sync takes as many seconds more as the file says;
- ``hanging``: every write and sync waits until the file is gone;
- ``clock``: the time of day is ahead by as many seconds as the file says.

Only files below the data folder are concerned, as the program's settings name it.
Log lines and the steady clock stay as they are.
"""

import errno
import io
import json
import os
import time
from pathlib import Path

from vanillabeam.platform.settings import PATH_VARIABLE

__all__ = ["install"]

POLL_S = 0.02
NO_FOLDER = Path("/nonexistent")
WRITE_MODES = frozenset("wax+")


class _Faults:
    """Faults that are switched on by files in ``folder``."""

    def __init__(self, folder: Path):
        self.folder = folder
        self._data: Path | None = None

    def seconds(self, name: str) -> float:
        """Return the number in a fault's file, 0 without one."""
        try:
            with _open(self.folder / name) as file:
                return float(file.read() or 0)
        except (OSError, ValueError):
            return 0.0

    def is_on(self, name: str) -> bool:
        return os.access(self.folder / name, os.F_OK)

    def is_data(self, path: object) -> bool:
        """Return whether a path is below the data folder."""
        if self._data is None:
            self._data = _data_folder()
        return Path(os.fsdecode(path)).is_relative_to(self._data)

    def has_data(self, descriptor: int) -> bool:
        """Return whether an open file is below the data folder."""
        try:
            return self.is_data(os.readlink(f"/proc/self/fd/{descriptor}"))
        except OSError:
            return False

    def wait(self) -> None:
        """Wait as a slow or a hanging disk does."""
        if delay_s := self.seconds("slow"):
            time.sleep(delay_s)
        while self.is_on("hanging"):
            time.sleep(POLL_S)

    def refuse(self, *, is_write: bool) -> None:
        """Raise the error of a broken disk, and of a full one at a write."""
        if self.is_on("broken"):
            raise OSError(errno.EIO, os.strerror(errno.EIO))
        if is_write and self.is_on("full"):
            raise OSError(errno.ENOSPC, os.strerror(errno.ENOSPC))


class _DataFile:
    """A file that was opened for writing below the data folder."""

    def __init__(self, file, faults: _Faults):
        self._file = file
        self._faults = faults

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self._file.close()

    def __getattr__(self, name):
        return getattr(self._file, name)

    def write(self, data):
        self._faults.wait()
        self._faults.refuse(is_write=True)
        return self._file.write(data)


_open = io.open


def _data_folder() -> Path:
    """Return the data folder of this process; a VM without a disk has none."""
    try:
        with _open(os.environ[PATH_VARIABLE], "rb") as file:
            fields = json.load(file)["platform"]
    except (OSError, LookupError, ValueError):
        return NO_FOLDER
    return Path(fields.get("data_dir") or NO_FOLDER)


def install(folder: str) -> None:
    """Replace the functions of this process that write, sync and tell the time.

    :param folder: folder with the files that switch the faults on.
    """
    faults = _Faults(Path(folder))
    os.write = _on_descriptor(os.write, faults, is_write=True)
    os.fsync = _on_descriptor(os.fsync, faults, is_write=False)
    os.ftruncate = _on_descriptor(os.ftruncate, faults, is_write=True)
    os.mkdir = _on_path(os.mkdir, faults)
    os.replace = _on_path(os.replace, faults)
    io.open = _opening(faults)
    true_time = time.time
    time.time = lambda: true_time() + faults.seconds("clock")


def _on_descriptor(call, faults: _Faults, *, is_write: bool):
    def replacement(descriptor, *args):
        if faults.has_data(descriptor):
            faults.wait()
            faults.refuse(is_write=is_write)
        return call(descriptor, *args)

    return replacement


def _on_path(call, faults: _Faults):
    def replacement(path, *args, **options):
        if faults.is_data(path):
            faults.wait()
            faults.refuse(is_write=True)
        return call(path, *args, **options)

    return replacement


def _opening(faults: _Faults):
    def replacement(path, mode="r", *args, **options):
        file = _open(path, mode, *args, **options)
        is_path = not isinstance(path, int)
        if is_path and WRITE_MODES & set(mode) and faults.is_data(path):
            return _DataFile(file, faults)
        return file

    return replacement
