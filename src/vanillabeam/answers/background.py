"""Background tasks that outlive a caller's request: connections, cancels, records."""

from collections.abc import Awaitable, Callable
from typing import Any

import trio
from loguru import logger

from vanillabeam.exceptions import InvariantBroken

__all__ = ["Background"]


class Background:
    """Nursery for background tasks, open while :meth:`run` runs.

    >>> background = Background()
    >>> background.running
    False
    """

    def __init__(self):
        self._nursery: trio.Nursery | None = None

    @property
    def running(self) -> bool:
        """Return whether :meth:`spawn` can start tasks."""
        return self._nursery is not None

    async def run(self, *, task_status: Any = trio.TASK_STATUS_IGNORED) -> None:
        """Keep the nursery open until cancelled."""
        async with trio.open_nursery() as nursery:
            self._nursery = nursery
            task_status.started()
            await trio.sleep_forever()

    def spawn(self, task: Callable[..., Awaitable[None]], *args: Any) -> None:
        """Start ``task`` in the background.

        An :class:`InvariantBroken` raised in the task is logged and ends only
        that task.

        :param args: positional arguments of ``task``.
        :raises InvariantBroken: if the nursery isn't open.
        """
        if self._nursery is None:
            raise InvariantBroken("the runner does not run")
        self._nursery.start_soon(_run_guarded, task, args)


async def _run_guarded(task: Callable[..., Awaitable[None]], args: tuple) -> None:
    try:
        await task(*args)
    except InvariantBroken:
        logger.exception("invariant broken in the background")
