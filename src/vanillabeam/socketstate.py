"""State of a connection in the kernel, also before the event loop has read it."""

import select
import socket
import struct

import trio

__all__ = ["has_ended", "is_cut", "received_age_s"]

#: Linux reports the end of the other side's bytes even behind unread ones.
_END = (
    getattr(select, "POLLRDHUP", 0) | select.POLLHUP | select.POLLERR | select.POLLNVAL
)
#: Offsets in Linux's ``struct tcp_info``, of ``tcpi_state`` and of three numbers:
#: ``tcpi_unacked`` (segments), ``tcpi_last_data_recv`` (milliseconds) and
#: ``tcpi_notsent_bytes``.
_STATE_OFFSET = 0
_UNACKED_OFFSET = 24
_LAST_DATA_OFFSET = 52
_UNSENT_OFFSET = 144
_NUMBER = struct.Struct("=I")
#: ``TCP_CLOSE``: after a reset, or after an end in order of both sides.
_CLOSED = 7
#: Longest age that is believed.
MAX_AGE_S = 60.0


def has_ended(sock: socket.socket | trio.socket.SocketType) -> bool:
    """Return whether the other side has ended or reset a connection."""
    if sock.fileno() < 0:
        return True
    poll = select.poll()
    poll.register(sock.fileno(), _END)
    return bool(poll.poll(0))


def is_cut(sock: socket.socket | trio.socket.SocketType) -> bool:
    """Return whether a connection was cut, though its end was read as one in order.

    Asked once the other side's bytes have ended and while ours are open: the kernel has
    seen a reset, or holds bytes that the other side hasn't acknowledged. One that has
    read all of them has acknowledged them with its end at the latest.

    :returns: ``False`` where the kernel doesn't tell.
    """
    info = _tcp_info(sock, _UNSENT_OFFSET + _NUMBER.size)
    if info is None:
        return False
    unacked, unsent = _number(info, _UNACKED_OFFSET), _number(info, _UNSENT_OFFSET)
    return info[_STATE_OFFSET] == _CLOSED or unacked > 0 or unsent > 0


def received_age_s(sock: socket.socket | trio.socket.SocketType) -> float:
    """Return the seconds since the kernel received bytes on a connection.

    :returns: 0 where the kernel doesn't tell.
    """
    info = _tcp_info(sock, _LAST_DATA_OFFSET + _NUMBER.size)
    if info is None:
        return 0.0
    age_s = _number(info, _LAST_DATA_OFFSET) / 1000
    return age_s if age_s <= MAX_AGE_S else 0.0


def _tcp_info(
    sock: socket.socket | trio.socket.SocketType, size_bytes: int
) -> bytes | None:
    """Return the begin of the kernel's figures; ``None`` where it has fewer of them."""
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return None
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, option, size_bytes)
    except OSError:
        return None
    return info if len(info) == size_bytes else None


def _number(info: bytes, offset: int) -> int:
    return _NUMBER.unpack_from(info, offset)[0]
