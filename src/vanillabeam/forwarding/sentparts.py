"""Which parts of prompts each target was sent lately, and so has cached."""

__all__ = ["SentParts"]

#: A target keeps a part for so long, most likely, after it has used it.
CACHE_TTL_S = 3.0
#: Parts that are remembered of one target.
MAX_PARTS_PER_TARGET = 256

Key = tuple[str, str]


class SentParts:
    """Parts by target life, with the time at which each was last sent.

    >>> sent = SentParts()
    >>> sent.sent(("t-1", 1_000), "salt", ["sys", "session"], now_s=1.0)
    >>> sent.is_cached(("t-1", 1_000), "salt", "sys", now_s=2.0)
    True
    """

    def __init__(self):
        self._sent: dict[tuple[str, int], dict[Key, float]] = {}

    def record(
        self, incarnation: tuple[str, int], salt: str, parts: list[str], now_s: float
    ) -> None:
        """Note the parts of a prompt that goes to a target."""
        times = self._sent.setdefault(incarnation, {})
        for part in parts:
            times.pop((salt, part), None)
            times[(salt, part)] = now_s
        while len(times) > MAX_PARTS_PER_TARGET:
            del times[next(iter(times))]

    def is_cached(
        self, incarnation: tuple[str, int], salt: str, part: str, now_s: float
    ) -> bool:
        """Return whether a target has used a part so lately that it keeps it."""
        sent_s = self._sent.get(incarnation, {}).get((salt, part))
        return sent_s is not None and now_s - sent_s < CACHE_TTL_S

    def holders(self, salt: str, part: str, now_s: float) -> frozenset[tuple[str, int]]:
        """Return the lives of all targets that keep a part, most likely."""
        incarnations = self._sent
        return frozenset(
            incarnation
            for incarnation in incarnations
            if self.is_cached(incarnation, salt, part, now_s)
        )

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget targets that are gone."""
        for incarnation in [
            incarnation for incarnation in self._sent if incarnation not in incarnations
        ]:
            del self._sent[incarnation]
