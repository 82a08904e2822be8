import socket
import time

import pytest

from tests.platform.rawworker import reset_on_close
from vanillabeam.socketstate import has_ended, received_age_s


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
