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
#: Offsets in Linux's ``struct tcp_info``, whose first byte is ``tcpi_state``, of
#: ``tcpi_unacked`` (segments), ``tcpi_last_data_recv`` (milliseconds) and
#: ``tcpi_notsent_bytes``.
_UNACKED_OFFSET = 24
_LAST_DATA_OFFSET = 52
_UNSENT_OFFSET = 144
_NUMBER = struct.Struct("=I")
_INFO_BYTES = _UNSENT_OFFSET + _NUMBER.size
#: ``TCP_CLOSE``: after a reset, or after an end in order of both sides.
_CLOSED = b"\x07"
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
    info = _tcp_info(sock)
    if info[:1] == _CLOSED:
        return True
    return _number(info, _UNACKED_OFFSET) > 0 or _number(info, _UNSENT_OFFSET) > 0


def received_age_s(sock: socket.socket | trio.socket.SocketType) -> float:
    """Return the seconds since the kernel received bytes on a connection.

    :returns: 0 where the kernel doesn't tell.
    """
    age_s = _number(_tcp_info(sock), _LAST_DATA_OFFSET) / 1000
    return age_s if age_s <= MAX_AGE_S else 0.0


def _tcp_info(sock: socket.socket | trio.socket.SocketType) -> bytes:
    """Return the kernel's figures: fewer of an older kernel, none of another system."""
    option = getattr(socket, "TCP_INFO", None)
    if option is None:
        return b""
    try:
        return sock.getsockopt(socket.IPPROTO_TCP, option, _INFO_BYTES)
    except OSError:
        return b""


def _number(info: bytes, offset: int) -> int:
    """Return a number of the figures; 0 if they end before it."""
    if len(info) < offset + _NUMBER.size:
        return 0
    return _NUMBER.unpack_from(info, offset)[0]
