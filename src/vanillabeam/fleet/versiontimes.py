"""Times at which each model's weight versions were named, as a control VM saw it."""

from collections.abc import Mapping

from vanillabeam.fleet.view import MAX_VERSIONS_KEPT

__all__ = ["VersionTimes"]

#: Age in seconds reported for weight versions committed before this process
#: started, whose true age is not recorded.
INITIAL_AGE_S = 1e6


class VersionTimes:
    """Monotonic time at which each of the newest versions was named, by model.

    >>> times = VersionTimes()
    >>> times.record({"m": 2}, at_s=5.0)
    >>> times.ages_s(now_s=7.0)
    {'m': [(2, 2.0)]}
    """

    def __init__(self):
        self._times_s: dict[str, dict[int, float]] = {}

    def record(self, weights: Mapping[str, int], at_s: float) -> None:
        """Record the newest versions; those that are known keep their time.

        :param at_s: the present; negative infinity for versions restored from disk.
        """
        for model, version in weights.items():
            times = self._times_s.setdefault(model, {})
            times.setdefault(version, at_s)
            while len(times) > MAX_VERSIONS_KEPT:
                del times[min(times)]

    def ages_s(self, now_s: float) -> dict[str, list[tuple[int, float]]]:
        """Return the age in seconds of each version, by model."""
        return {
            model: [
                (version, min(now_s - at_s, INITIAL_AGE_S))
                for version, at_s in times.items()
            ]
            for model, times in self._times_s.items()
        }

    def newest_ages_s(self, now_s: float) -> dict[str, float]:
        """Return the age in seconds of each model's newest version."""
        ages_s = self.ages_s(now_s)
        return {model: max(ages)[1] for model, ages in ages_s.items() if ages}
