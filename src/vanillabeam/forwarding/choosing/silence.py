"""Unanswered requests at each target, and how long it has sent nothing."""

from vanillabeam.forwarding.choosing.openwork import OpenRequest

__all__ = ["Silence"]


class Silence:
    """Requests of this entry VM that have no answer yet, by target."""

    def __init__(self):
        self._unanswered: dict[str, dict[int, OpenRequest]] = {}
        self._last_activity_s: dict[str, float] = {}

    def record_start(self, request: OpenRequest) -> None:
        """Record a request that is being sent."""
        self._unanswered.setdefault(request.target, {})[request.number] = request

    def record_activity(self, target: str, now_s: float) -> None:
        """Record that data has arrived from a target."""
        self._last_activity_s[target] = now_s

    def pop(self, request: OpenRequest) -> bool:
        """Forget a request; return whether it had no answer yet."""
        unanswered = self._unanswered.get(request.target, {})
        was_unanswered = unanswered.pop(request.number, None) is not None
        if not unanswered:
            self._unanswered.pop(request.target, None)
        return was_unanswered

    def first_unanswered(self, target: str) -> OpenRequest | None:
        """Return the oldest request that a target has not answered."""
        return next(iter(self._unanswered.get(target, {}).values()), None)

    def silent_s(self, request: OpenRequest, now_s: float) -> float:
        """Return for how long the target of a request has sent nothing since."""
        active_s = self._last_activity_s.get(request.target, 0.0)
        return now_s - max(request.began_s, active_s)

    def keep_only(self, targets: set[str]) -> None:
        """Forget when all other targets last sent data."""
        self._last_activity_s = {
            name: at_s
            for name, at_s in self._last_activity_s.items()
            if name in targets
        }
