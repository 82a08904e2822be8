"""Checks of targets whose answers broke off, over real connections."""

import socket

import pytest
import trio

from tests.fleet.builders import make_target
from tests.forwarding.builders import make_chooser
from vanillabeam.forwarding.judging.endings import BrokenAnswer, TargetEnds
from vanillabeam.forwarding.judging.endprobe import EndProbe


def broken_after_check(address, accepts):
    """Return the requests that count as evidence after a target was checked."""

    async def main():
        target = make_target("t-1", address=address)
        chooser, ends = make_chooser(target), TargetEnds()
        probe = EndProbe(ends, chooser._directory, chooser)
        now_s = trio.current_time()
        ends.record_broken(BrokenAnswer("r-1", target, ("p-1",), now_s, now_s))
        async with trio.open_nursery() as nursery:
            if accepts:
                listeners = await trio.open_tcp_listeners(
                    int(address.rpartition(":")[2]), host="127.0.0.1"
                )
                nursery.start_soon(trio.serve_listeners, ignore, listeners)
            nursery.start_soon(probe.run)
            probe.check(target)
            probe.check(target)
            await trio.sleep(0.3)
            nursery.cancel_scope.cancel()
        return [broken.request_id for broken in ends.broken(trio.current_time())]

    return trio.run(main)


async def ignore(stream):
    await trio.sleep(1.0)


def free_address():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return f"127.0.0.1:{sock.getsockname()[1]}"


@pytest.mark.parametrize("accepts, expected", [(False, ["r-1"]), (True, [])])
def test_an_address_that_refuses_connections_tells_of_the_end(accepts, expected):
    assert broken_after_check(free_address(), accepts) == expected
