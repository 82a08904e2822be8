import socket
import time

import pytest

from tests.platform.rawworker import reset_on_close
from vanillabeam import socketstate
from vanillabeam.socketstate import has_ended, is_cut, received_age_s


class Pair:
    """Both ends of a connection on the loopback."""

    def __init__(self):
        with socket.create_server(("127.0.0.1", 0)) as server:
            self.caller = socket.create_connection(server.getsockname())
            self.ours, _ = server.accept()
        self.socket = self.caller

    def __enter__(self):
        return self

    def __exit__(self, *exc_info):
        self.caller.close()
        self.ours.close()


def test_an_open_connection_has_not_ended():
    with Pair() as pair:
        pair.caller.sendall(b"x")
        assert not has_ended(pair.ours)


# Guards against an end that isn't seen behind bytes that nobody has read.
@pytest.mark.parametrize("is_reset", [False, True])
def test_an_end_behind_unread_bytes_is_seen(is_reset):
    with Pair() as pair:
        pair.caller.sendall(b"x")
        if is_reset:
            reset_on_close(pair)
        pair.caller.close()
        time.sleep(0.05)
        assert has_ended(pair.ours)


def test_our_own_closed_connection_has_ended():
    with Pair() as pair:
        pair.ours.close()
        assert has_ended(pair.ours)


# Guards against a measure that begins when we read: bytes wait in the kernel.
def test_the_age_counts_from_the_arrival_of_the_bytes():
    with Pair() as pair:
        pair.caller.sendall(b"x")
        time.sleep(0.3)
        assert 0.25 < received_age_s(pair.ours) < 5.0
        pair.caller.sendall(b"x")
        time.sleep(0.01)
        assert received_age_s(pair.ours) < 0.2


def test_a_socket_of_another_kind_has_no_age():
    ours, other = socket.socketpair()
    with ours, other:
        other.sendall(b"x")
        assert received_age_s(ours) == 0.0


WAIT_S = 0.05


def read_to_end(sock):
    """Return all bytes; the end must seem to be in order."""
    parts = []
    while data := sock.recv(65_536):
        parts.append(data)
    return b"".join(parts)


@pytest.mark.parametrize("is_half", [False, True])
def test_an_end_in_order_cuts_nothing(is_half):
    with Pair() as pair:
        pair.ours.sendall(b"request")
        assert pair.caller.recv(100) == b"request"
        pair.caller.sendall(b"answer")
        pair.caller.shutdown(socket.SHUT_WR)
        if not is_half:
            pair.caller.close()
        assert read_to_end(pair.ours) == b"answer"
        assert not is_cut(pair.ours)


# Guards against a reset that nobody is told of: the bytes end as if in order.
@pytest.mark.parametrize("taken_by", ["send", "option", "an end before it"])
def test_a_reset_is_seen_whichever_call_was_told(taken_by):
    with Pair() as pair:
        pair.ours.sendall(b"request")
        time.sleep(WAIT_S)
        pair.caller.sendall(b"answer")
        if taken_by == "an end before it":
            pair.caller.shutdown(socket.SHUT_WR)
        # Closed with unread bytes.
        pair.caller.close()
        time.sleep(WAIT_S)
        if taken_by == "send":
            with pytest.raises(ConnectionError):
                pair.ours.send(b"more")
        elif taken_by == "option":
            assert pair.ours.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        assert read_to_end(pair.ours) == b"answer"
        assert is_cut(pair.ours)


def test_bytes_that_the_other_side_has_not_taken_are_seen():
    with Pair() as pair:
        pair.ours.setblocking(False)
        while True:
            try:
                pair.ours.send(b"x" * 65_536)
            except BlockingIOError:
                break
        pair.caller.sendall(b"answer")
        pair.caller.shutdown(socket.SHUT_WR)
        pair.ours.setblocking(True)
        assert read_to_end(pair.ours) == b"answer"
        assert is_cut(pair.ours)


# Older kernels tell fewer figures, and other systems none.
@pytest.mark.parametrize(
    ("info", "expected"),
    [(b"", False), (b"\x07", True), (b"\x08", False), (b"\x08" + bytes(103), False)],
)
def test_what_the_kernel_tells_is_used(monkeypatch, info, expected):
    monkeypatch.setattr(socketstate, "_tcp_info", lambda sock: info)
    with Pair() as pair:
        assert is_cut(pair.ours) is expected
        assert received_age_s(pair.ours) == 0.0
