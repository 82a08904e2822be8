"""Ports of a VM's listeners, which another socket may hold at the start."""

import socket
from contextlib import suppress

import trio

from vanillabeam.decisions import PortFree, PortTaken, log_record
from vanillabeam.exceptions import PortUnavailable

__all__ = ["open_port", "wait_for_port"]

#: Shortest and longest pause between two attempts, in seconds.
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 0.5
PAUSE_FACTOR = 1.5
BACKLOG = 100


async def wait_for_port(name: str, address: str) -> socket.socket:
    """Return a socket that listens at ``address``, once no other holds its port.

    The beginning and the end of a wait are logged once each.

    :param name: name of the listener.
    :param address: ``host:port``.
    """
    began_s, pause_s = trio.current_time(), MIN_PAUSE_S
    is_waiting = False
    while True:
        try:
            sock = open_port(address)
        except PortUnavailable as exc:
            if not is_waiting:
                log_record(PortTaken(name, address, exc.type, exc.detail))
            is_waiting = True
            await trio.sleep(pause_s)
            pause_s = min(PAUSE_FACTOR * pause_s, MAX_PAUSE_S)
            continue
        if is_waiting:
            waited_s = round(trio.current_time() - began_s, 3)
            log_record(PortFree(name, address, waited_s))
        return sock


def open_port(address: str) -> socket.socket:
    """Return a socket that listens at ``address``.

    :raises PortUnavailable: if the port is in use or can't be bound.
    """
    host, _, port = address.rpartition(":")
    try:
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    except OSError as exc:
        raise PortUnavailable(str(exc)) from exc
    try:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        with suppress(OSError):
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.bind((host, int(port)))
        # Of two sockets that are bound to a port, only one can listen.
        sock.listen(BACKLOG)
    except OSError as exc:
        sock.close()
        raise PortUnavailable(str(exc)) from exc
    return sock
