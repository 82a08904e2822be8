import errno
import random

from tests.cache.builders import make_ids, make_workspace
from vanillabeam.blocks import release_tag, workspace_tag
from vanillabeam.store.disk import Checksum
from vanillabeam.store.records import ConfigUpdated, WriteBegun
from vanillabeam.store.state import StoreLimits, StoreState

RELEASE = release_tag("ledger", "v1")


class Crash(Exception):
    pass


class _Inode:
    def __init__(self):
        self.data = bytearray()
        self.synced = 0


class FakeFiles:
    """In-memory folder that loses changes that were not synced.

    :param crash_at: number of the step that raises :class:`Crash`.
    :param full_at: capacity in bytes beyond which writes fail with ``ENOSPC``.
    """

    def __init__(self, crash_at=None, full_at=None):
        self.crash_at = crash_at
        self.full_at = full_at
        self.steps = 0
        self.inodes = {}
        self.durable = {}

    def names(self):
        return list(self.inodes)

    def create(self, name):
        self.step()
        assert name not in self.inodes
        self.inodes[name] = _Inode()
        return _FakeWriter(self, self.inodes[name])

    def open(self, name):
        if name not in self.inodes:
            raise FileNotFoundError(name)
        return _FakeReader(bytes(self.inodes[name].data))

    def age_s(self, name):
        return 0.0

    def rename(self, old, new):
        self.step()
        self.inodes[new] = self.inodes.pop(old)

    def remove(self, name):
        self.step()
        self.inodes.pop(name, None)

    def sync_folder(self):
        self.step()
        self.durable = dict(self.inodes)

    def step(self):
        self.steps += 1
        if self.steps == self.crash_at:
            raise Crash

    def after_crash(self, rng):
        """Return a possible state of the folder after a crash.

        Each unsynced change of the folder is kept or lost at random. Unsynced
        bytes of a file are cut off, or replaced by zeros.
        """
        survivors = FakeFiles()
        for name in {**self.durable, **self.inodes}:
            choice = rng.choice([self.durable, self.inodes])
            if name in choice:
                survivors.inodes[name] = inode = _Inode()
                source = choice[name]
                inode.data = source.data[: rng.randint(source.synced, len(source.data))]
                lost = len(source.data) - len(inode.data)
                inode.data += bytes(rng.choice([0, lost]))
        return survivors


class _FakeWriter:
    def __init__(self, files, inode):
        self.files = files
        self.inode = inode

    def write(self, data):
        self.files.step()
        used = sum(len(inode.data) for inode in self.files.inodes.values())
        if self.files.full_at is not None and used + len(data) > self.files.full_at:
            raise OSError(errno.ENOSPC, "full")
        self.inode.data += data

    def sync(self):
        self.files.step()
        self.inode.synced = len(self.inode.data)

    def close(self):
        pass


class _FakeReader:
    def __init__(self, data):
        self.data = data
        self.size = len(data)

    def read(self, size):
        part, self.data = self.data[:size], self.data[size:]
        return part

    def close(self):
        pass


def make_state(memory=1_000, disk=0, seed=1, **limits):
    return StoreState(StoreLimits(memory, disk, **limits), random.Random(seed))


def make_config(*workspaces, quota=0, releases=(RELEASE,)):
    workspaces = workspaces or (make_workspace(),)
    quotas = {workspace_tag(workspace): quota for workspace in workspaces}
    return ConfigUpdated(quotas, frozenset(releases))


def make_upload(block_id=None, length=100, parent="", tokens=4_000):
    return WriteBegun(block_id or make_ids(1)[0], length, "00" * 16, tokens, parent)


def checksum_of(data):
    checksum = Checksum()
    checksum.update(data)
    return checksum.hex()
