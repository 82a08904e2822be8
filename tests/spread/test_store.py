import pytest

from tests.spread.builders import MemoryFiles, make_copy
from vanillabeam.spread import DiskFiles, StoreDamaged
from vanillabeam.spread.store import MAX_LOGGED_STEPS, STEPS_FILE, CopyStore


def make_store(files=None):
    files = files or MemoryFiles()
    store = CopyStore(files)
    steps = make_copy(5).steps_after(0)
    store.add(tuple(steps[:3]))
    store.add(tuple(steps[3:]))
    return store, files


def test_an_empty_store_loads_no_copy():
    assert CopyStore(MemoryFiles()).load() is None


@pytest.mark.parametrize("on_disk", [False, True])
def test_stored_steps_and_copies_are_loaded(on_disk, tmp_path):
    store, files = make_store(DiskFiles(tmp_path / "spread") if on_disk else None)
    copy = make_copy(5)
    loaded = CopyStore(files).load()
    assert (loaded.config, loaded.hash) == (copy.config, copy.hash)
    store.save(copy.config, copy.hash, None)
    assert CopyStore(files).load().config == copy.config


def test_a_torn_last_step_is_dropped_and_later_steps_are_appended():
    _, files = make_store()
    steps = make_copy(6).steps_after(0)
    for cut in range(1, 30):
        torn = MemoryFiles()
        torn.files = {STEPS_FILE: files.files[STEPS_FILE][:-cut]}
        store = CopyStore(torn)
        assert store.load().index == 4
        store.add(tuple(steps[4:]))
        assert CopyStore(torn).load().index == 6


def test_damage_before_the_last_step_is_reported():
    _, files = make_store()
    content = bytearray(files.files[STEPS_FILE])
    content[20] ^= 1
    files.files[STEPS_FILE] = bytes(content)
    with pytest.raises(StoreDamaged):
        CopyStore(files).load()


def test_a_damaged_copy_is_reported():
    store, files = make_store()
    copy = make_copy(5)
    store.save(copy.config, copy.hash, None)
    files.files["copy.json"] = files.files["copy.json"].replace(b"m1", b"m9")
    with pytest.raises(StoreDamaged):
        CopyStore(files).load()


def test_a_crash_between_copy_and_steps_loses_nothing():
    store, files = make_store()
    steps = files.files[STEPS_FILE]
    copy = make_copy(5)
    store.save(copy.config, copy.hash, None)
    files.files[STEPS_FILE] = steps
    assert CopyStore(files).load().index == 5


def test_many_steps_need_compaction():
    store = CopyStore(MemoryFiles())
    store.add(tuple(make_copy(MAX_LOGGED_STEPS + 1).steps_after(0)))
    assert store.needs_compaction
