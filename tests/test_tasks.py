"""Tasks whose failure is logged and counted, and ends nothing else."""

import trio
import trio.testing

from vanillabeam.tasks import TASK_FAILURES, keep_running, run_guarded


def run(*args):
    async def main():
        with trio.fail_after(60):
            return await args[0](*args[1:])

    return trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))


class Task:
    """Task that fails a number of times before it returns."""

    def __init__(self, failures):
        self.failures = failures
        self.runs = 0

    async def __call__(self):
        self.runs += 1
        if self.runs <= self.failures:
            async with trio.open_nursery():
                raise ValueError("odd input")


# One odd input to a task beside the requests once ended the whole process.
def test_a_failed_task_runs_again_and_is_counted():
    task = Task(failures=2)
    before = TASK_FAILURES["odd"]
    run(keep_running, "odd", task)
    assert task.runs == 3
    assert TASK_FAILURES["odd"] - before == 2


def test_a_failed_piece_of_work_stops_alone():
    assert not run(run_guarded, "odd", Task(failures=1))
    assert run(run_guarded, "odd", Task(failures=0))


def test_a_cancelled_task_does_not_run_again():
    async def main():
        with trio.move_on_after(1) as scope:
            await keep_running("sleep", trio.sleep_forever)
        assert scope.cancelled_caught

    run(main)


# Guards against the end of a process by a task that fails while it is being cancelled.
def test_a_failure_beside_a_cancellation_ends_nothing_else():
    async def fail_when_cancelled():
        try:
            await trio.sleep_forever()
        finally:
            raise ValueError("odd end")

    async def task():
        async with trio.open_nursery() as nursery:
            nursery.start_soon(fail_when_cancelled)
            nursery.start_soon(trio.sleep_forever)

    async def main():
        with trio.move_on_after(1.0) as scope:
            await run_guarded("odd", task)
        return scope.cancelled_caught

    assert run(main)
