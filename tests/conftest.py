"""Fixtures that apply to every test."""

import pytest
import trio
from trio.testing import MockClock


@pytest.fixture(autouse=True)
def threads_take_no_virtual_time(monkeypatch):
    """Run functions meant for a thread in the event loop if the clock is virtual.

    A virtual clock that skips waits does not account for threads: it would skip
    time while a thread still writes, and timeouts would depend on the load of
    the machine.
    """
    run_in_thread = trio.to_thread.run_sync

    async def run_sync(function, *args, **options):
        if not isinstance(trio.lowlevel.current_clock(), MockClock):
            return await run_in_thread(function, *args, **options)
        await trio.lowlevel.checkpoint()
        return function(*args)

    monkeypatch.setattr(trio.to_thread, "run_sync", run_sync)
