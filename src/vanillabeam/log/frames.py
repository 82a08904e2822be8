"""Record framing for files: each record has a CRC and a batch number.

A batch is written as a whole and synced before the next one is written.
Therefore an invalid record is a torn tail only if no record of a later batch
follows it; otherwise the file is damaged.
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

    :param kind: one byte that determines the format of ``payload``.
    :param batch: number of the record's batch; consecutive within a file.
    :param final: whether this is the last record of its batch.
    """

    kind: bytes
    payload: bytes
    batch: int
    final: bool


class Scan(NamedTuple):
    """Result of scanning a file.

    :param frames: records of complete batches.
    :param valid_bytes: size of the file up to the end of the last complete
        batch.
    :param torn_bytes: size of the incomplete batch that a crash left after it.
    :param damage: description of damage other than a torn tail, else empty.
    """

    frames: list[Frame]
    valid_bytes: int
    torn_bytes: int
    damage: str


def encode_batch(records: list[tuple[bytes, bytes]], batch: int) -> bytes:
    """Return the encoded bytes of a batch.

    :param records: ``(kind, payload)`` pairs.
    :param batch: number of the batch.
    """
    parts: list[bytes] = []
    for number, (kind, payload) in enumerate(records, start=1):
        flags = FINAL if number == len(records) else 0
        head = _HEAD.pack(MAGIC, len(payload), batch, flags, kind)
        crc = zlib.crc32(payload, zlib.crc32(head))
        parts += [head, _CRC.pack(crc), payload]
    return b"".join(parts)


def scan(data: bytes) -> Scan:
    """Return the records in ``data``, and whether it is torn or damaged."""
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
    """Describe the damage unless the bad record at ``offset`` is a torn tail."""
    if offset >= len(data):
        return ""
    open_batch = 1
    if frames:
        open_batch = frames[-1].batch + (1 if frames[-1].final else 0)
    position = data.find(MAGIC, offset + 1)
    while position >= 0:
        later = _frame_at(data, position)
        if later and later.batch > open_batch:
            return f"bad record at byte {offset}, before a later batch"
        position = data.find(MAGIC, position + 1)
    return ""


def _sequence_damage(frames: list[Frame]) -> str:
    for before, after in zip(frames, frames[1:], strict=False):
        if after.batch != before.batch + (1 if before.final else 0):
            return f"batch {after.batch} follows batch {before.batch}"
    return ""
