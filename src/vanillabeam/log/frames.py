"""Records in a file: framed, numbered by batch, each with a CRC.

A batch is written at once and synced before the next begins. So a bad record
is a torn tail only if nothing of a later batch follows it.
"""

import struct
import zlib
from typing import NamedTuple

__all__ = ["Frame", "Scan", "encode_batch", "scan"]

MAGIC = b"VBL\x01"
FINAL = 1
_HEAD = struct.Struct(">4sIQBc")
_CRC = struct.Struct(">I")
HEADER_BYTES = _HEAD.size + _CRC.size


class Frame(NamedTuple):
    """One record.

    :param kind: one letter that says how to read ``payload``.
    :param batch: number of the batch; counts up.
    :param final: last record of its batch.
    """

    kind: bytes
    payload: bytes
    batch: int
    final: bool


class Scan(NamedTuple):
    """What a file holds.

    :param frames: records of whole batches.
    :param good_bytes: where the last whole batch ends.
    :param torn_bytes: bytes after it that a crash left.
    :param damage: what is wrong beyond a torn tail, else empty.
    """

    frames: list[Frame]
    valid_bytes: int
    torn_bytes: int
    damage: str


def encode_batch(records: list[tuple[bytes, bytes]], batch: int) -> bytes:
    """Return the bytes of a batch.

    :param records: ``(kind, payload)`` pairs.
    """
    parts: list[bytes] = []
    for place, (kind, payload) in enumerate(records, start=1):
        flags = FINAL if place == len(records) else 0
        head = _HEAD.pack(MAGIC, len(payload), batch, flags, kind)
        crc = zlib.crc32(payload, zlib.crc32(head))
        parts += [head, _CRC.pack(crc), payload]
    return b"".join(parts)


def scan(data: bytes) -> Scan:
    """Return the records in ``data`` and whether its end is torn or damaged."""
    frames: list[Frame] = []
    offset = valid_bytes = good_frames = 0
    while offset < len(data):
        frame = _frame_at(data, offset)
        if frame is None:
            break
        frames.append(frame)
        offset += HEADER_BYTES + len(frame.payload)
        if frame.final:
            valid_bytes, good_frames = offset, len(frames)
    damage = _damage(data, offset, frames) or _sequence_damage(frames)
    return Scan(frames[:good_frames], valid_bytes, len(data) - valid_bytes, damage)


def _frame_at(data: bytes, offset: int) -> Frame | None:
    start = offset + HEADER_BYTES
    if start > len(data) or data[offset : offset + len(MAGIC)] != MAGIC:
        return None
    head = data[offset : offset + _HEAD.size]
    _, length, batch, flags, kind = _HEAD.unpack(head)
    (crc,) = _CRC.unpack(data[offset + _HEAD.size : start])
    payload = data[start : start + length]
    if len(payload) != length or zlib.crc32(payload, zlib.crc32(head)) != crc:
        return None
    return Frame(kind, payload, batch, bool(flags & FINAL))


def _damage(data: bytes, offset: int, frames: list[Frame]) -> str:
    """Return what is wrong if the bad record at ``offset`` is no torn tail."""
    if offset >= len(data):
        return ""
    open_batch = 1
    if frames:
        open_batch = frames[-1].batch + (1 if frames[-1].final else 0)
    place = data.find(MAGIC, offset + 1)
    while place >= 0:
        later = _frame_at(data, place)
        if later and later.batch > open_batch:
            return f"bad record at byte {offset}, before a later batch"
        place = data.find(MAGIC, place + 1)
    return ""


def _sequence_damage(frames: list[Frame]) -> str:
    for before, after in zip(frames, frames[1:], strict=False):
        if after.batch != before.batch + (1 if before.final else 0):
            return f"batch {after.batch} follows batch {before.batch}"
    return ""
