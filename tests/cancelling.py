"""Cancellation of a task at each of its steps, on a virtual clock."""

import trio
import trio.testing

__all__ = ["play_cancelled"]

#: Steps of one play; more are a loop.
MAX_STEPS = 2_000


class _Canceller(trio.abc.Instrument):
    """Cancels a scope when the tasks of a run have taken a number of steps.

    :param after: number of steps; ``None`` counts them only.
    :ivar steps: steps taken since :attr:`scope` was set.
    """

    def __init__(self, after):
        self.steps = 0
        self.scope = None
        self._after = after

    def after_task_step(self, task):
        if self.scope is None:
            return
        self.steps += 1
        assert self.steps < MAX_STEPS
        if self.steps == self._after:
            self.scope.cancel()


def play_cancelled(make):
    """Run a fresh play for each step at which it can be cancelled.

    :param make: returns an async function to cancel, and one that checks what it has
        left behind, in the same run.
    :returns: number of plays that were cancelled.
    """
    steps = _play(make, None)
    for after in range(1, steps + 1):
        _play(make, after)
    return steps


def _play(make, after):
    canceller = _Canceller(after)
    steps = 0

    async def main():
        nonlocal steps
        act, check = make()
        with trio.CancelScope() as scope:
            canceller.scope = scope
            await act()
        steps, canceller.scope = canceller.steps, None
        await check(after)

    clock = trio.testing.MockClock(autojump_threshold=0)
    trio.run(main, clock=clock, instruments=[canceller])
    return steps
