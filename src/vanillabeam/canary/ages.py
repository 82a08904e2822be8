"""Ages of running rollouts on one control VM."""

from collections.abc import Mapping

from vanillabeam.canary.records import Step, VersionRollout, is_running

__all__ = ["RolloutAges"]


class RolloutAges:
    """Monotonic times at which orders were read and steps were applied here.

    An order that is applied as it is committed begins now. One that was read from disk
    or in a snapshot, or that was given before this process began, is older: its age is
    taken from the time of day.

    :param born_ms: start of this process in Unix milliseconds.

    >>> ages = RolloutAges(born_ms=900_000)
    >>> ages.observe(rollouts, index=7, now_s=1.0, now_ms=1_000_000)
    >>> ages.age_s(rollouts["shop"], now_s=3.5)
    2.5
    """

    def __init__(self, born_ms: float):
        self._born_ms = born_ms
        self._orders: dict[int, float] = {}
        #: Time and index at which the present step and share were seen first.
        self._steps: dict[int, tuple[Step, float, float, int]] = {}

    def observe(
        self,
        rollouts: Mapping[str, VersionRollout],
        index: int,
        now_s: float,
        now_ms: float,
    ) -> None:
        """Record orders and steps that are new here.

        :param index: index of the state that ``rollouts`` are of.
        :param now_ms: Unix milliseconds.
        """
        running = {
            record["order"]: record
            for record in rollouts.values()
            if is_running(record)
        }
        for order, record in running.items():
            if order not in self._orders:
                passed_s = max(0.0, (now_ms - record["started_ms"]) / 1000)
                is_live = order == index and record["started_ms"] >= self._born_ms
                self._orders[order] = now_s - (0.0 if is_live else passed_s)
            step = (record["step"], record["share"])
            if order not in self._steps or self._steps[order][:2] != step:
                self._steps[order] = (*step, now_s, index)
        self._orders = {k: v for k, v in self._orders.items() if k in running}
        self._steps = {k: v for k, v in self._steps.items() if k in running}

    def age_s(self, record: VersionRollout, now_s: float) -> float:
        """Return the seconds since the order of a running rollout."""
        return now_s - self._orders.get(record["order"], now_s)

    def step_since(self, record: VersionRollout) -> tuple[float, int]:
        """Return the time and index at which its step and share were seen first."""
        known = self._steps.get(record["order"])
        return (known[2], known[3]) if known is not None else (0.0, 0)
