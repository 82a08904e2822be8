"""Task of a control VM that heeds targets which tell it that they leave."""

from collections.abc import Callable

import trio

from vanillabeam.decisions import TargetLeaving, TargetStays, log_record
from vanillabeam.fleet.directory import Directory
from vanillabeam.fleet.follower import Follower
from vanillabeam.fleet.leaving import LeavingNotices
from vanillabeam.fleet.records import Target

__all__ = ["LeavingTask"]


class LeavingTask:
    """Keeps the belief that targets leave, and tells watchers of it.

    :param directory: targets that announced themselves to this VM.
    :param follower: merged view over the directories of all control VMs.
    :param notify: wakes the watchers.
    :param heartbeat_s: seconds between two announcements of a target.
    """

    def __init__(
        self,
        directory: Directory,
        follower: Follower,
        notify: Callable[[], None],
        heartbeat_s: float,
    ):
        self._directory = directory
        self._follower = follower
        self._notify = notify
        self._period_s = heartbeat_s / 4
        self._notices = LeavingNotices(heartbeat_s)

    def receive(self, target: Target) -> None:
        """Record that a target has answered a call of this VM that it leaves.

        Watchers are told for as long as this VM believes it.
        """
        if self._notices.record(target.incarnation, trio.current_time()):
            log_record(TargetLeaving(target.name, target.born_ms, ""))
            self._publish()

    async def run(self) -> None:
        """End the belief that targets leave which go on announcing themselves."""
        while True:
            await trio.sleep(self._period_s)
            now_s = trio.current_time()
            ended = self._notices.weigh(self._follower.directory, now_s)
            for withdrawn in ended:
                age_s = round(withdrawn.age_s, 3)
                log_record(TargetStays(*withdrawn.incarnation, age_s))
            if ended:
                self._publish()

    def _publish(self) -> None:
        leaving = self._notices.incarnations()
        self._directory.set_leaving(leaving)
        self._follower.targets.leaving_here = leaving
        self._follower.targets.update_leaving()
        self._notify()
