"""What every test gets."""

import pytest
import trio
from trio.testing import MockClock


@pytest.fixture(autouse=True)
def threads_take_no_virtual_time(monkeypatch):
    """Run what goes to a thread in place where the clock is virtual.

    A clock that jumps over waits does not know of threads: it would jump while
    one still writes, and time-outs would depend on how busy the machine is.
    """
    in_thread = trio.to_thread.run_sync

    async def run_sync(function, *args, **options):
        if not isinstance(trio.lowlevel.current_clock(), MockClock):
            return await in_thread(function, *args, **options)
        await trio.lowlevel.checkpoint()
        return function(*args)

    monkeypatch.setattr(trio.to_thread, "run_sync", run_sync)
