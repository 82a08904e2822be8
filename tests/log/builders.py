"""Builders of log nodes with an in-memory network and folder."""

import random
from pathlib import Path

import msgspec
import trio
from returns.result import Failure

from vanillabeam.exceptions import Run, VanillabeamError
from vanillabeam.log import Address, LogNode, LogSettings

SETTINGS = LogSettings(snapshot_entries=50, kept_entries=5)


class Unreachable(VanillabeamError):
    type = "unreachable"
    run = Run.NOT_RUN


class ListMachine:
    """State machine that appends commands to a list and replies with its length."""

    def __init__(self):
        self.commands = []

    def apply(self, index, command):
        self.commands.append([index, command])
        return str(len(self.commands))

    def snapshot(self):
        return msgspec.json.encode(self.commands)

    def restore(self, snapshot):
        self.commands = msgspec.json.decode(snapshot)


class MemoryFolder:
    """Data folder in memory that loses bytes without a sync in a crash.

    :ivar files: bytes written to each file.
    :ivar synced: number of synced bytes of each file.
    :ivar fail_writes: whether every write raises, as on a full disk.
    :ivar fail_syncs: whether every sync raises.
    """

    def __init__(self):
        self.files = {}
        self.synced = {}
        self.fail_writes = False
        self.fail_syncs = False

    def names(self):
        return sorted(self.files)

    def read(self, name):
        return bytes(self.files[name])

    def read_part(self, name, offset, size):
        return bytes(self.files[name][offset : offset + size])

    def append(self, name, data):
        self._check()
        self.files.setdefault(name, bytearray()).extend(data)

    def sync(self, name):
        if self.fail_syncs:
            raise OSError("sync failed")
        self.synced[name] = len(self.files[name])

    def sync_names(self):
        if self.fail_syncs:
            raise OSError("sync failed")

    def replace(self, name, data):
        self._check()
        self.files[name] = bytearray(data)
        self.synced[name] = len(data)

    def truncate(self, name, size):
        self._check()
        del self.files[name][size:]
        self.synced[name] = size

    def remove(self, name):
        self.files.pop(name, None)
        self.synced.pop(name, None)

    def close(self):
        pass

    def crash(self, rng):
        """Truncate each file at random, but at or after its last synced byte."""
        for name, data in self.files.items():
            kept = rng.randint(self.synced[name], len(data))
            del data[kept:]
            self.synced[name] = kept

    def _check(self):
        if self.fail_writes:
            raise OSError("no space left")


#: Delay in seconds that answers don't have, so that most tests take few steps.
SHORT_DELAY_S = 0.01


class Network:
    """Passes requests between nodes in one process.

    :ivar routes: handlers by address and path.
    :ivar cut: pairs of source and destination address whose messages are lost.
    :ivar delay_s: time in seconds that a message takes one way.
    :ivar bytes_s: rate of each link in bytes a second.
    :ivar sent_bytes: size of all bodies that were sent.
    """

    def __init__(self):
        self.routes = {}
        self.cut = set()
        self.bytes_s = float("inf")
        self.delay_s = 0.0005
        self.calls = 0
        self.sent_bytes = 0

    def call_from(self, source):
        async def call(address, path, body):
            self.calls += 1
            self.sent_bytes += len(body)
            await trio.sleep(self.delay_s + len(body) / self.bytes_s)
            if (source, address) in self.cut:
                await trio.sleep_forever()
            handler = self.routes.get(address, {}).get(path)
            if handler is None:
                return Failure(Unreachable(address))
            answer = await handler(body)
            if self.delay_s > SHORT_DELAY_S:
                await trio.sleep(self.delay_s)
            if (address, source) in self.cut:
                await trio.sleep_forever()
            return answer

        return call


def make_addresses(count):
    """Return the addresses of ``vm-1`` to ``vm-count``."""
    return [Address(f"vm-{n}", f"vm-{n}:1") for n in range(1, count + 1)]


class Register:
    """State machine that keeps the newest command only."""

    def __init__(self):
        self.command = ""

    def apply(self, index, command):
        self.command = command
        return ""

    def snapshot(self):
        return self.command.encode()

    def restore(self, snapshot):
        self.command = snapshot.decode()


def make_node(
    vm,
    count,
    network,
    folder=None,
    seed=1,
    bootstrap=True,
    seeds=None,
    make_machine=ListMachine,
    **settings,
):
    """Return a node.

    :param seeds: names of the initial members; ``None`` for ``vm-1`` to ``vm-count``.
    """
    address = f"{vm}:1"
    initial = [Address(each, f"{each}:1") for each in seeds or ()]
    node = LogNode(
        "tickets",
        vm,
        address,
        Path("unused"),
        make_machine(),
        initial or make_addresses(count),
        network.call_from(address),
        random.Random(f"{vm}/{seed}"),
        SETTINGS._replace(**settings),
        bootstrap=bootstrap,
        folder=MemoryFolder() if folder is None else folder,
    )
    network.routes[address] = node.routes()
    return node


async def wait_until(condition, limit_s=60.0):
    for _ in range(int(limit_s / 0.05)):
        if condition():
            return
        await trio.sleep(0.05)
    raise AssertionError("the condition was not met in time")
