"""Requests whose work is cancelled from outside."""

import trio

from tests.cancelling import play_cancelled
from vanillabeam.callers.streaming import while_connected


class Opened:
    """Something that must be closed.

    :ivar owners: number of those who can close it.
    """

    def __init__(self):
        self.owners = 0


# Guards against an answer that nobody closes: it was dropped when its request was
# cancelled in the turn of the event loop in which it was opened.
def test_what_was_opened_is_never_dropped():
    def make():
        opened = []

        async def receive():
            await trio.sleep_forever()

        async def open_one(argument):
            await trio.sleep(1.0)
            opened.append(Opened())
            return opened[-1]

        async def act():
            result = await while_connected(receive, open_one, None)
            result.owners += 1

        async def check(after):
            assert [each.owners for each in opened] in ([], [1]), f"after {after} steps"

        return act, check

    assert play_cancelled(make) > 3
