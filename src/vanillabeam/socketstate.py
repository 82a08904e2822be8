"""State of a connection in the kernel, also before the event loop has read it."""

import select
import socket
import struct

import trio

__all__ = ["has_ended", "received_age_s"]

#: Linux reports the end of the other side's bytes even behind unread ones.
_END = (
    getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR | select.POLLNVAL
)
#: Offset of ``tcpi_last_data_recv``, milliseconds, in Linux's ``struct tcp_info``.
_LAST_DATA_OFFSET = 52
_LAST_DATA = struct.Struct("=I")
#: Longest age that is believed.
MAX_AGE_S = 60.0


def has_ended(sock: socket.socket | trio.socket.SocketType) -> bool:
    """Return whether the other side has ended or reset a connection."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), _END)
    return bool(poll.poll(0))


def received_age_s(sock: socket.socket | trio.socket.SocketType) -> float:
    """Return the seconds since the kernel received bytes on a connection.

    :returns: 0 where the kernel doesn't tell.
    """
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return 0.0
    size = _LAST_DATA_OFFSET + _LAST_DATA.size
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, size)
    except OSError:
        return 0.0
    if len(info) < size:
        return 0.0
    age_s = _LAST_DATA.unpack_from(info, _LAST_DATA_OFFSET)[0] / 1000
    return age_s if age_s <= MAX_AGE_S else 0.0
