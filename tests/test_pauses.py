import trio
import trio.testing

from vanillabeam.pauses import PAUSE_S, SETTLE_S, PauseDetector


class Clock:
    """A clock that jumps as that of a process that was frozen."""

    def __init__(self):
        self.now_s = 0.0
        self.pauses = PauseDetector()

    def run(self, length_s):
        """Run without a pause; return whether one has just ended."""
        for _ in range(round(length_s / 0.1)):
            self.now_s += 0.1
            self.pauses.has_just_ended(self.now_s)
        return self.pauses.has_just_ended(self.now_s)

    def freeze(self, length_s):
        self.now_s += length_s
        return self.pauses.has_just_ended(self.now_s)


def test_a_process_that_runs_has_no_pause():
    clock = Clock()
    assert not clock.run(5.0)
    assert not clock.freeze(PAUSE_S / 2)


def test_a_pause_makes_what_is_read_old_for_a_while_and_no_longer():
    clock = Clock()
    clock.run(1.0)
    assert clock.freeze(4.0)
    assert clock.pauses.pause_s >= 4.0
    assert clock.run(SETTLE_S / 2)
    assert not clock.run(SETTLE_S)


def test_the_time_before_the_first_look_is_no_pause():
    assert not PauseDetector().has_just_ended(1000.0)


def test_the_task_looks_at_the_clock_by_itself():
    async def main():
        pauses = PauseDetector()
        async with trio.open_nursery() as nursery:
            nursery.start_soon(pauses.run)
            await trio.sleep(10.0)
            ended = pauses.has_just_ended(trio.current_time())
            nursery.cancel_scope.cancel()
        return ended

    assert not trio.run(main, clock=trio.testing.MockClock(autojump_threshold=0))
