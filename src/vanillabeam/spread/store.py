"""Storage of a VM's copy on disk: one file for the copy, one for later steps."""

import os
from pathlib import Path
from typing import Any, NamedTuple, Protocol
from zlib import crc32

import msgspec

from vanillabeam.config import Config
from vanillabeam.exceptions import InvariantBroken
from vanillabeam.spread.copy import ConfigCopy
from vanillabeam.spread.exceptions import StoreDamaged
from vanillabeam.tickets import ConfigStep, config_hash

__all__ = ["CopyStore", "DiskFiles", "Files"]

COPY_FILE = "copy.json"
STEPS_FILE = "steps.log"
STORE_FORMAT = 1
#: Number of steps in the file of steps at which the copy is rewritten.
MAX_LOGGED_STEPS = 256
CRC_CHARS = 8


class Files(Protocol):
    """File operations of the store; every write is synced before it returns."""

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, ``None`` if there is none."""

    def replace(self, name: str, content: bytes) -> None:
        """Replace the file's content atomically."""

    def append(self, name: str, content: bytes) -> None:
        """Append ``content`` to the file; a crash may leave a part of it."""


class DiskFiles:
    """:class:`Files` in one folder.

    :param folder: created if it doesn't exist.
    """

    def __init__(self, folder: Path):
        folder.mkdir(parents=True, exist_ok=True)
        self._folder = folder

    def read(self, name: str) -> bytes | None:
        """Return a file's bytes, ``None`` if there is none."""
        path = self._folder / name
        return path.read_bytes() if path.exists() else None

    def replace(self, name: str, content: bytes) -> None:
        """Write a temporary file, sync it, rename it, sync the folder."""
        temporary = self._folder / f"{name}.tmp"
        with temporary.open("wb") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        temporary.replace(self._folder / name)
        self._sync_folder()

    def append(self, name: str, content: bytes) -> None:
        """Append to the file and sync it."""
        path = self._folder / name
        is_new = not path.exists()
        with path.open("ab") as file:
            file.write(content)
            file.flush()
            os.fsync(file.fileno())
        if is_new:
            self._sync_folder()

    def _sync_folder(self) -> None:
        folder = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(folder)
        finally:
            os.close(folder)


class _Stored(NamedTuple):
    format: int
    config: Config
    hash: str
    after: list[str] | None


class CopyStore:
    """Stores the newest configuration that this VM has put into force.

    :param files: files in a subfolder of the data folder.

    >>> store = CopyStore(DiskFiles(data_folder / "spread"))
    >>> copy = store.load()
    """

    def __init__(self, files: Files):
        self._files = files
        self._logged_steps = 0

    def load(self) -> ConfigCopy | None:
        """Return the stored copy after its later steps are applied.

        A partly written last step is dropped.

        :returns: the copy; ``None`` if nothing is stored yet.
        :raises StoreDamaged: if anything else is damaged.
        """
        content = self._files.read(COPY_FILE)
        copy = ConfigCopy() if content is None else _parse_copy(content)
        steps, valid_bytes, total_bytes = _parse_steps(
            self._files.read(STEPS_FILE) or b""
        )
        try:
            for step in steps:
                if step.index > copy.index and not copy.apply(step):
                    raise StoreDamaged(f"step {step.index} does not follow")
        except InvariantBroken as exc:
            raise StoreDamaged(exc.detail) from exc
        self._logged_steps = len(steps)
        if valid_bytes < total_bytes:
            self.save(copy.config, copy.hash, copy.cursor)
        return copy if copy.index else None

    def save(self, config: Config, hash: str, cursor: list[str] | None) -> None:
        """Replace the stored copy and its later steps by this copy."""
        stored = _Stored(STORE_FORMAT, config, hash, cursor)
        text = msgspec.json.encode(stored)
        self._files.replace(COPY_FILE, b"%08x\n" % crc32(text) + text)
        # If this write fails, ``load`` skips the steps that the copy already has.
        self._files.replace(STEPS_FILE, b"")
        self._logged_steps = 0

    def add(self, steps: tuple[ConfigStep, ...]) -> None:
        """Append steps that follow the stored copy."""
        lines = [msgspec.json.encode(step) for step in steps]
        content = b"".join(b"%08x %s\n" % (crc32(line), line) for line in lines)
        self._files.append(STEPS_FILE, content)
        self._logged_steps += len(steps)

    @property
    def needs_compaction(self) -> bool:
        """Whether there are so many steps that the copy should be rewritten."""
        return self._logged_steps > MAX_LOGGED_STEPS


def _parse_copy(content: bytes) -> ConfigCopy:
    checksum, _, text = content.partition(b"\n")
    if checksum != b"%08x" % crc32(text):
        raise StoreDamaged(f"{COPY_FILE}: checksum")
    stored = _decode(text, _Stored)
    if stored.format != STORE_FORMAT:
        raise StoreDamaged(f"{COPY_FILE}: format {stored.format}")
    if stored.after is None and config_hash(stored.config) != stored.hash:
        raise StoreDamaged(f"{COPY_FILE}: hash")
    return ConfigCopy(stored.config, stored.hash, stored.after)


def _parse_steps(content: bytes) -> tuple[list[ConfigStep], int, int]:
    steps = []
    valid_bytes = 0
    lines = content.split(b"\n")
    # Text after the last line end is a step that was not fully written.
    for number, line in enumerate(lines[:-1]):
        text = line[CRC_CHARS + 1 :]
        if line[:CRC_CHARS] != b"%08x" % crc32(text):
            if number == len(lines) - 2:
                break
            raise StoreDamaged(f"{STEPS_FILE}: line {number + 1}")
        steps.append(_decode(text, ConfigStep))
        valid_bytes += len(line) + 1
    return steps, valid_bytes, len(content)


def _decode(text: bytes, kind: Any) -> Any:
    try:
        return msgspec.json.decode(text, type=kind)
    except (msgspec.MsgspecError, UnicodeDecodeError) as exc:
        raise StoreDamaged(str(exc)) from exc
