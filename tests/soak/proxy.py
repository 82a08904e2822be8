"""Loopback proxy between VMs that delays, holds, silences and resets connections.

It runs as a process of its own, so that what callers do doesn't hold it up. It prints
its address and takes commands as JSON lines: the name of a method and its arguments.
"""

import json
import math
import socket
import struct
import subprocess
import sys
from contextlib import contextmanager
from functools import partial

import trio

from tests.soak.vmmain import CONNECTED

RECEIVE_BYTES = 65_536
#: Bytes that one direction holds while it is blocked, like a send buffer.
HELD_BYTES = 262_144
HOLD_PERIOD_S = 0.02
SILENT_PERIOD_S = 0.5
RESET_LINGER = struct.pack("ii", 1, 0)


class Faults:
    """What the network does to one direction between two hosts.

    :ivar delay_s: seconds that each byte takes.
    :ivar is_open: not set while nothing passes; what is sent is held.
    """

    def __init__(self):
        self.delay_s = 0.0
        self.is_open = trio.Event()
        self.is_open.set()

    def block(self):
        """Let nothing pass."""
        if self.is_open.is_set():
            self.is_open = trio.Event()

    async def pass_through(self):
        """Wait as long as the direction is blocked."""
        while not self.is_open.is_set():
            await self.is_open.wait()


class Connection:
    """A relayed connection.

    :ivar is_silent: whether nothing passes for good, while both ends stay open.
    :ivar ended: number of ends that have closed.
    """

    def __init__(self, source, destination, near, far):
        self.source = source
        self.destination = destination
        self.near = near
        self.far = far
        self.is_silent = False
        self.ended = 0

    def reset(self):
        """Reset both ends."""
        for stream in (self.near, self.far):
            reset(stream)


class Proxy:
    """Relays the connections that VMs open, with faults by source and destination.

    Hosts are named as the VMs and targets are addressed. A target has the host
    ``127.0.0.1``; it can't be told from another by host, but by its address.

    :ivar connections: open connections.
    """

    def __init__(self):
        self.connections: list[Connection] = []
        self._faults: dict[tuple[str, str], Faults] = {}

    def faults(self, source, destination) -> Faults:
        """Return the faults of the direction from one host to another."""
        return self._faults.setdefault((source, destination), Faults())

    def between(self, some, others, *, both=True):
        """Return the faults of all directions from some hosts to others."""
        pairs = [(a, b) for a in some for b in others if a != b]
        if both:
            pairs += [(b, a) for a, b in pairs]
        return [self.faults(a, b) for a, b in dict.fromkeys(pairs)]

    def block(self, some, others, *, both=True):
        """Hold all that is sent from some hosts to others."""
        for faults in self.between(some, others, both=both):
            faults.block()

    def delay(self, some, others, delay_s):
        """Delay all that is sent between some hosts and others."""
        for faults in self.between(some, others):
            faults.delay_s = delay_s

    def heal(self, some, others):
        """End all faults between some hosts and others."""
        for faults in self.between(some, others):
            faults.is_open.set()
            faults.delay_s = 0.0

    def break_all(self, *, silently):
        """Reset all open connections, or let nothing pass on them any more."""
        for connection in list(self.connections):
            if silently:
                connection.is_silent = True
            else:
                connection.reset()

    async def obey(self):
        """Carry out commands from the standard input until it ends."""
        async for data in trio.wrap_file(sys.stdin.buffer):
            name, arguments, options = json.loads(data)
            getattr(self, name)(*arguments, **options)

    async def run(self, *, task_status=trio.TASK_STATUS_IGNORED):
        """Relay until cancelled."""
        listeners = await trio.open_tcp_listeners(0, host="127.0.0.1")
        host, port = listeners[0].socket.getsockname()
        print(f"{host}:{port}", flush=True)
        await trio.serve_listeners(self._serve, listeners, task_status=task_status)

    async def _serve(self, near):
        try:
            await self._relay(near)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            pass
        finally:
            await trio.aclose_forcefully(near)

    async def _relay(self, near):
        preamble = b""
        while not preamble.endswith(b"\n"):
            data = await near.receive_some(RECEIVE_BYTES)
            if not data:
                return
            preamble += data
        source, address = preamble.decode().split()
        host, _, port = address.rpartition(":")
        destination = address if host == "127.0.0.1" else host
        there, back = self._faults_of(source, destination)
        if not await self._may_connect(near, there, back):
            return
        far = await trio.open_tcp_stream(host, int(port))
        connection = Connection(source, destination, near, far)
        self.connections.append(connection)
        try:
            await near.send_all(CONNECTED)
            async with trio.open_nursery() as nursery:
                nursery.start_soon(self._carry, connection, near, far, there)
                nursery.start_soon(self._carry, connection, far, near, back)
        finally:
            self.connections.remove(connection)
            await trio.aclose_forcefully(far)

    async def _may_connect(self, near, there, back):
        """Wait until a new connection passes; return whether it is still wanted."""
        if there.is_open.is_set() and back.is_open.is_set():
            return True
        is_passable = False
        async with trio.open_nursery() as nursery:

            async def watch():
                await near.receive_some(1)
                nursery.cancel_scope.cancel()

            nursery.start_soon(watch)
            await there.pass_through()
            await back.pass_through()
            is_passable = True
            nursery.cancel_scope.cancel()
        return is_passable

    def _faults_of(self, source, destination):
        return self.faults(source, destination), self.faults(destination, source)

    async def _carry(self, connection, sender, receiver, faults):
        """Carry one direction; a reset of the sender drops what is held."""
        put, take = trio.open_memory_channel[tuple[float, bytes]](math.inf)
        held = Held()
        async with trio.open_nursery() as nursery:
            deliver = partial(self._deliver, connection, receiver, faults, held)
            nursery.start_soon(deliver, take)
            async with put:
                while True:
                    while held.size > HELD_BYTES:
                        await trio.sleep(HOLD_PERIOD_S)
                    try:
                        data = await sender.receive_some(RECEIVE_BYTES)
                    except (trio.BrokenResourceError, trio.ClosedResourceError):
                        held.is_lost = True
                        data = b""
                    if not data:
                        connection.ended += 1
                        return
                    if not held.size and self._is_passable(connection, faults):
                        await self._forward(connection, receiver, data)
                        continue
                    held.size += len(data)
                    put.send_nowait((trio.current_time() + faults.delay_s, data))

    async def _deliver(self, connection, receiver, faults, held, take):
        try:
            async for due_s, data in take:
                await trio.sleep_until(due_s)
                await self._wait_passable(connection, faults)
                if held.is_lost:
                    break
                await receiver.send_all(data)
                held.size -= len(data)
            await self._wait_passable(connection, faults)
            if held.is_lost:
                reset(receiver)
            else:
                await receiver.send_eof()
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            connection.reset()

    def _is_passable(self, connection, faults):
        return (
            faults.is_open.is_set() and not faults.delay_s and not connection.is_silent
        )

    async def _forward(self, connection, receiver, data):
        try:
            await receiver.send_all(data)
        except (OSError, trio.BrokenResourceError, trio.ClosedResourceError):
            connection.reset()

    async def _wait_passable(self, connection, faults):
        await faults.pass_through()
        while connection.is_silent and connection.ended < 2:
            await trio.sleep(SILENT_PERIOD_S)


class Held:
    """Bytes that one direction holds; ``is_lost`` once their sender has reset."""

    def __init__(self):
        self.size = 0
        self.is_lost = False


def reset(stream):
    """Reset a connection."""
    try:
        stream.socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_LINGER)
    except OSError:
        return
    stream.socket.close()


class RemoteProxy:
    """A proxy in another process.

    :ivar address: ``host:port`` for :class:`~tests.soak.fleet.Fleet`.
    """

    def __init__(self, process):
        self._process = process
        self.address = process.stdout.readline().decode().strip()

    def command(self, name, *arguments, **options):
        """Call a method of the proxy."""
        line = json.dumps([name, arguments, options]) + "\n"
        self._process.stdin.write(line.encode())
        self._process.stdin.flush()


@contextmanager
def running_proxy():
    """Start a proxy in a process of its own; end it afterwards."""
    command = [sys.executable, "-m", "tests.soak.proxy"]
    pipe = subprocess.PIPE
    with subprocess.Popen(command, stdin=pipe, stdout=pipe) as process:
        try:
            yield RemoteProxy(process)
        finally:
            process.kill()


async def main():
    """Relay until the standard input ends."""
    proxy = Proxy()
    async with trio.open_nursery() as nursery:
        nursery.start_soon(proxy.run)
        await proxy.obey()
        nursery.cancel_scope.cancel()


if __name__ == "__main__":
    trio.run(main)
