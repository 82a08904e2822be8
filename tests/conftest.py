"""Fixtures that apply to every test, and the pass for known failures."""

from pathlib import Path

import pytest
import trio
from trio.testing import MockClock

KNOWN_RED = Path(__file__).parents[1] / "KNOWN-RED.txt"


def known_red_tests():
    """Return the ids of the tests that are listed in ``KNOWN-RED.txt``."""
    lines = KNOWN_RED.read_text().splitlines() if KNOWN_RED.exists() else []
    return [line.partition(" ")[2] for line in lines if line.startswith("test: ")]


@pytest.hookimpl(hookwrapper=True)
def pytest_runtest_makereport(item, call):
    """Report a failure of a listed test as expected; it is printed at the end."""
    outcome = yield
    report = outcome.get_result()
    if call.when == "call" and report.failed and item.nodeid in known_red_tests():
        report.outcome = "skipped"
        report.wasxfail = "listed in KNOWN-RED.txt"


def pytest_terminal_summary(terminalreporter):
    """Print the listed tests and whether they failed in this run."""
    failed = {report.nodeid for report in terminalreporter.stats.get("xfailed", ())}
    for name in known_red_tests():
        result = "failed" if name in failed else "did not fail"
        terminalreporter.write_line(f"known red, {result}: {name}")


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
