"""Tests of the log's storage: recovery, damaged files, snapshots and checks."""

import pytest
from returns.result import Failure, Success

from tests.log.builders import MemoryFolder
from vanillabeam.log.check import check, show
from vanillabeam.log.contents import read_contents, segment_name
from vanillabeam.log.events import SaveEntries, SaveTerm
from vanillabeam.log.exceptions import DataFolderDamaged, StorageFailed
from vanillabeam.log.folder import DiskFolder, group_folder
from vanillabeam.log.records import Entry, EntryKind, Snapshot
from vanillabeam.log.storage import open_storage

SEGMENT = segment_name(1)


def entries(first, last, term=1):
    return tuple(
        Entry(index, term, EntryKind.COMMAND, f"c{index}")
        for index in range(first, last + 1)
    )


def make_storage(folder, member_id="m1"):
    return open_storage(folder, "tickets", lambda: member_id).unwrap()


def make_written_folder():
    """Return a folder with two batches, entries 1 to 3 and 4 to 5, and its storage."""
    folder = MemoryFolder()
    storage, _ = make_storage(folder)
    storage.write([SaveTerm(1, "m1"), SaveEntries(entries(1, 3))], 0).unwrap()
    storage.write([SaveEntries(entries(4, 5))], 3).unwrap()
    return folder, storage


def test_a_reopened_folder_keeps_its_member_id_and_contents():
    folder, _ = make_written_folder()
    storage, contents = make_storage(folder, "another")
    assert storage.identity["member_id"] == "m1"
    assert contents.entries == entries(1, 5)
    assert (contents.term, contents.voted_for, contents.commit) == (1, "m1", 3)


def test_new_entries_replace_the_conflicting_tail():
    folder, storage = make_written_folder()
    storage.write([SaveEntries(entries(4, 4, term=2))], 3).unwrap()
    _, contents = make_storage(folder)
    assert contents.entries == entries(1, 3) + entries(4, 4, term=2)


@pytest.mark.parametrize("cut_bytes", [1, 20, 60, 100])
def test_a_torn_tail_is_truncated_to_the_last_complete_batch(cut_bytes):
    folder, _ = make_written_folder()
    del folder.files[SEGMENT][-cut_bytes:]
    storage, contents = make_storage(folder)
    assert contents.entries == entries(1, 3)
    storage.write([SaveEntries(entries(4, 4))], 3).unwrap()
    assert make_storage(folder)[1].entries == entries(1, 4)


def test_any_flipped_byte_is_refused_or_truncates_the_last_batch():
    folder, _ = make_written_folder()
    original = bytes(folder.files[SEGMENT])
    for offset in range(len(original)):
        folder.files[SEGMENT][offset] ^= 0xFF
        result = read_contents(folder)
        if isinstance(result, Success):
            assert result.unwrap().entries == entries(1, 3)
            assert result.unwrap().torn_bytes
        else:
            assert isinstance(result.failure(), DataFolderDamaged)
        folder.files[SEGMENT][offset] ^= 0xFF


@pytest.mark.parametrize("name", ["member", SEGMENT])
def test_a_folder_with_a_missing_file_is_refused(name):
    folder, _ = make_written_folder()
    folder.remove(name)
    failure = open_storage(folder, "tickets", lambda: "m2").failure()
    assert isinstance(failure, DataFolderDamaged)


def test_a_damaged_snapshot_is_refused():
    folder, storage = make_written_folder()
    snapshot = Snapshot(4, 1, data=b"state")
    storage.save_snapshot(snapshot, 1, "m1", entries(5, 5), 4).unwrap()
    name = next(name for name in folder.names() if name.startswith("snapshot."))
    folder.files[name][-1] ^= 1
    assert isinstance(read_contents(folder), Failure)


def test_a_snapshot_leaves_one_short_log_file():
    folder, storage = make_written_folder()
    snapshot = Snapshot(4, 1, data=b"state" * 100)
    storage.save_snapshot(snapshot, 1, "m1", list(entries(5, 5)), 4).unwrap()
    assert len(folder.names()) == 3
    assert storage.read_chunk(495, 64).unwrap() == b"state"
    _, contents = make_storage(folder)
    assert contents.snapshot == snapshot
    assert contents.entries == entries(5, 5)


def test_a_snapshot_without_its_new_log_file_is_completed_on_open():
    folder, storage = make_written_folder()
    old = bytes(folder.files[SEGMENT])
    snapshot = Snapshot(9, 2, data=b"state")
    storage.save_snapshot(snapshot, 2, "", [], 9).unwrap()
    folder.remove(segment_name(2))
    folder.replace(SEGMENT, old)
    storage, contents = make_storage(folder)
    assert contents.entries == ()
    storage.write([SaveEntries(entries(10, 10, term=2))], 9).unwrap()
    assert make_storage(folder)[1].entries == entries(10, 10, term=2)


@pytest.mark.parametrize("fault", ["fail_writes", "fail_syncs"])
def test_no_write_is_accepted_after_a_failed_write(fault):
    folder, storage = make_written_folder()
    setattr(folder, fault, True)
    failure = storage.write([SaveTerm(2, "m1")], 0).failure()
    setattr(folder, fault, False)
    assert isinstance(failure, StorageFailed)
    assert storage.write([SaveTerm(2, "m1")], 0).failure() is failure


def test_files_on_a_disk_are_checked_and_shown_offline(tmp_path):
    folder = DiskFolder(group_folder(tmp_path, "tickets"))
    storage, _ = make_storage(folder)
    storage.write([SaveTerm(1, "m1"), SaveEntries(entries(1, 3))], 2).unwrap()
    storage.save_snapshot(Snapshot(2, 1), 1, "m1", list(entries(3, 3)), 2).unwrap()
    storage.close()
    (report,) = check(tmp_path)
    assert report.failure is None
    view = show(tmp_path, "tickets").unwrap()
    assert (view["member_id"], view["last_index"], view["commit"]) == ("m1", 3, 2)
    name = segment_name(2)
    damaged = bytearray(folder.read(name))
    damaged[40] ^= 1
    folder.replace(name, bytes(damaged))
    folder.close()
    (report,) = check(tmp_path)
    assert isinstance(report.failure, DataFolderDamaged)
