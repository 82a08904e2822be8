"""Prompt parts that targets were sent recently and so have probably cached."""

__all__ = ["SentParts"]

#: Time for which a target probably keeps a part in its cache after using it.
CACHE_TTL_S = 3.0
#: Parts that are remembered for one target, the most recent ones.
MAX_PARTS_PER_TARGET = 256

Key = tuple[str, str]


class SentParts:
    """Time at which each part was last sent, by target incarnation.

    >>> sent_parts = SentParts()
    >>> sent_parts.record(("t-1", 1_000), "salt", ["sys", "session"], now_s=1.0)
    >>> sent_parts.is_cached(("t-1", 1_000), "salt", "sys", now_s=2.0)
    True
    """

    def __init__(self):
        self._sent: dict[tuple[str, int], dict[Key, float]] = {}

    def record(
        self, incarnation: tuple[str, int], salt: str, parts: list[str], now_s: float
    ) -> None:
        """Record the parts of a prompt that is sent to a target.

        :param incarnation: the target's name and start time.
        :param salt: cache salt of the prompt.
        :param parts: ids of the parts, in order.
        """
        times = self._sent.setdefault(incarnation, {})
        for part in parts:
            times.pop((salt, part), None)
            times[(salt, part)] = now_s
        while len(times) > MAX_PARTS_PER_TARGET:
            del times[next(iter(times))]

    def is_cached(
        self, incarnation: tuple[str, int], salt: str, part: str, now_s: float
    ) -> bool:
        """Return whether a target has probably cached a part."""
        sent_s = self._sent.get(incarnation, {}).get((salt, part))
        return sent_s is not None and now_s - sent_s < CACHE_TTL_S

    def holders(self, salt: str, part: str, now_s: float) -> frozenset[tuple[str, int]]:
        """Return the incarnations of the targets that have probably cached a part."""
        incarnations = self._sent
        return frozenset(
            incarnation
            for incarnation in incarnations
            if self.is_cached(incarnation, salt, part, now_s)
        )

    def keep_only(self, incarnations: set[tuple[str, int]]) -> None:
        """Forget all other incarnations."""
        for incarnation in [
            incarnation for incarnation in self._sent if incarnation not in incarnations
        ]:
            del self._sent[incarnation]
