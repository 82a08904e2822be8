"""Tasks beside the requests whose failure must not end the process."""

from collections import Counter
from collections.abc import Awaitable, Callable
from typing import Any

import trio

from vanillabeam.decisions import TaskFailed, log_record

__all__ = ["TASK_FAILURES", "keep_running", "run_guarded"]

#: Seconds before a failed task runs again.
RESTART_S = 0.5

#: Number of failures by name of the task, since the start of the process.
TASK_FAILURES: Counter[str] = Counter()


async def keep_running(
    name: str, task: Callable[..., Awaitable[None]], *args: Any
) -> None:
    """Run a task until it returns, again after each failure.

    :param name: name of the task in log lines.
    """
    while True:
        if await run_guarded(name, task, *args):
            return
        await trio.sleep(RESTART_S)


async def run_guarded(
    name: str, task: Callable[..., Awaitable[None]], *args: Any
) -> bool:
    """Run a task once; return whether it ended without a failure."""
    failures: list[Exception] = []
    try:
        await task(*args)
    except* Exception as group:
        # A cancellation beside it goes on to its scope.
        failures.append(_innermost(group))
    for exc in failures:
        TASK_FAILURES[name] += 1
        log_record(TaskFailed(name, type(exc).__name__, _describe(exc)))
    return not failures


def _innermost(exc: Exception) -> Exception:
    """Return the first failure in a nursery's group."""
    while isinstance(exc, ExceptionGroup):
        exc = exc.exceptions[0]
    return exc


def _describe(exc: Exception) -> str:
    """Return a failure, and where it was raised."""
    traceback = exc.__traceback__
    while traceback is not None and traceback.tb_next is not None:
        traceback = traceback.tb_next
    if traceback is None:
        return repr(exc)
    code = traceback.tb_frame.f_code
    return f"{exc!r} in {code.co_qualname}, line {traceback.tb_lineno}"
