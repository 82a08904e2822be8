"""Tests of block files: crashes at every step, full disks and damaged files."""

import errno
import random

import pytest
from hypothesis import given, settings, strategies as st
from returns.result import Failure, Success

from tests.cache.builders import make_ids
from tests.store.builders import Crash, FakeFiles, checksum_of
from vanillabeam.store.disk import (
    BlockKey,
    BlockWriter,
    block_name,
    open_block,
    parse_name,
    remove_block,
)
from vanillabeam.store.files import DiskFiles

DATA = bytes(range(256)) * 8
BLOCK_ID = make_ids(1)[0]


def make_header(data=DATA, generation=1):
    return {
        "block_id": BLOCK_ID,
        "generation": generation,
        "length": len(data),
        "checksum": checksum_of(data),
        "tokens": 4_000,
        "parent": "",
    }


def write_block(files, data=DATA, generation=1):
    writer = BlockWriter(files, make_header(data, generation))
    for start in range(0, len(data), 512):
        writer.write(data[start : start + 512])
    writer.seal()


def read_block(files, key=BlockKey(BLOCK_ID, 1)):  # noqa: B008
    opened = open_block(files, key)
    if isinstance(opened, Failure):
        return None
    header, file = opened.unwrap()
    data = file.read(2**20)
    file.close()
    return data if checksum_of(data) == header["checksum"] else None


class UnsyncedFiles(FakeFiles):
    """Violates the rule that a file is synced before it is renamed."""

    def create(self, name):
        writer = super().create(name)
        writer.sync = self.step
        return writer


def find_incomplete_blocks(kind, seeds=20):
    """Return the crash steps and seeds that leave an incomplete sealed file.

    :param kind: class of the folder to write to.
    :param seeds: number of random crash outcomes to try at each step.
    """
    total = kind()
    write_block(total)
    incomplete = []
    for step in range(1, total.steps + 1):
        for seed in range(seeds):
            files = kind(crash_at=step)
            with pytest.raises(Crash):
                write_block(files)
            after = files.after_crash(random.Random(seed))
            for name in filter(parse_name, after.names()):
                if read_block(after, parse_name(name)) != DATA:
                    incomplete.append((step, seed))
    return incomplete


def test_a_crash_at_any_step_leaves_only_sealed_blocks():
    assert find_incomplete_blocks(FakeFiles) == []


def test_detects_a_rename_before_the_sync():
    assert find_incomplete_blocks(UnsyncedFiles)


def test_a_sealed_block_survives_every_later_crash():
    for seed in range(50):
        files = FakeFiles()
        write_block(files)
        assert read_block(files.after_crash(random.Random(seed))) == DATA


def test_an_abandoned_write_leaves_nothing_on_a_full_disk():
    files = FakeFiles(full_at=1_000)
    writer = BlockWriter(files, make_header())
    with pytest.raises(OSError) as caught:
        writer.write(DATA)
    assert caught.value.errno == errno.ENOSPC
    writer.abandon()
    assert files.names() == []


@settings(derandomize=True, max_examples=300, deadline=None)
@given(st.data())
def test_damaged_files_are_never_read_as_whole(data):
    files = FakeFiles()
    write_block(files)
    content = files.inodes[block_name(BLOCK_ID, 1)].data
    kind = data.draw(st.sampled_from(["flip", "cut", "grow", "replace"]))
    at = data.draw(st.integers(0, len(content) - 1))
    if kind == "flip":
        content[at] ^= data.draw(st.integers(1, 255))
    elif kind == "cut":
        del content[at:]
    elif kind == "grow":
        content += b"x"
    else:
        content[:] = data.draw(st.binary(max_size=200))
    assert read_block(files) is None


@pytest.mark.parametrize(
    "name",
    ["", "x.block", f"{BLOCK_ID}.x.block", f"{BLOCK_ID}.1.writing", "../a.1.block"],
)
def test_other_file_names_are_not_blocks(name):
    assert parse_name(name) is None


def test_blocks_round_trip_through_real_files(tmp_path):
    files = DiskFiles(tmp_path / "blocks")
    write_block(files)
    assert files.names() == [block_name(BLOCK_ID, 1)]
    assert read_block(files) == DATA
    assert isinstance(open_block(files, BlockKey(BLOCK_ID, 1)), Success)
    assert files.age_s(block_name(BLOCK_ID, 1)) >= 0
    remove_block(files, BLOCK_ID, 1)
    remove_block(files, BLOCK_ID, 1)
    assert read_block(files) is None
