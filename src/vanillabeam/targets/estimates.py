"""Estimates for one target: rates, run time and pending prompt tokens."""

from vanillabeam.targetwire import LoadReport

__all__ = ["Estimates", "Ewma"]

#: Values assumed before the first run was observed.
INITIAL_PREFILL_TOKENS_S = 5000.0
INITIAL_RUN_S = 5.0
INITIAL_LINK_BYTES_S = 0.0
#: Part of the time to the first token that does not depend on the prompt.
FIRST_TOKEN_BASE_S = 0.05
#: Runs that computed fewer tokens are too short to measure the rate.
MIN_SAMPLE_TOKENS = 512
MIN_RATE_TOKENS_S = 10.0
EWMA_WEIGHT = 0.2


class Ewma:
    """An exponentially weighted moving average.

    :param initial: value before the first sample.
    """

    def __init__(self, initial: float, weight: float = EWMA_WEIGHT):
        self.value = initial
        self.weight = weight
        self.samples = 0

    def add(self, sample: float) -> None:
        """Add a sample; the first few have a larger weight."""
        weight = max(self.weight, 1 / (self.samples + 2))
        self.value += weight * (sample - self.value)
        self.samples += 1


class Estimates:
    """Estimates for one target, corrected for the lag of its load reports."""

    def __init__(self):
        self.prefill_tokens_s = Ewma(INITIAL_PREFILL_TOKENS_S)
        self.link_bytes_s = Ewma(INITIAL_LINK_BYTES_S)
        self.run_s = Ewma(INITIAL_RUN_S)
        self._reported_tokens = 0.0
        self._reported_at_s = float("-inf")
        self._unreported_grants: dict[str, tuple[float, float]] = {}

    def apply_report(self, report: LoadReport, now_s: float) -> None:
        """Apply a load report, which includes all grants older than its values."""
        self._reported_at_s = now_s - report["age_s"]
        self._reported_tokens = float(report["queued_prefill_tokens"])
        self._unreported_grants = {
            key: grant
            for key, grant in self._unreported_grants.items()
            if grant[0] > self._reported_at_s
        }

    def add_grant(self, key: str, tokens: float, now_s: float) -> None:
        """Count the prompt tokens of a grant that no load report includes yet."""
        self._unreported_grants[key] = (now_s, tokens)

    def remove_grant(self, key: str) -> None:
        """Remove a grant whose run is finished."""
        self._unreported_grants.pop(key, None)

    def pending_tokens(self, now_s: float) -> float:
        """Return the prompt tokens that the target has yet to compute."""
        unreported = sum(tokens for _, tokens in self._unreported_grants.values())
        if not unreported and not self._reported_tokens:
            return 0.0
        began_s = self._reported_at_s
        if not self._reported_tokens:
            began_s = min(
                granted_s for granted_s, _ in self._unreported_grants.values()
            )
        done = self.prefill_tokens_s.value * max(0.0, now_s - began_s)
        return max(0.0, self._reported_tokens + unreported - done)

    def first_token_s(self, tokens: float, now_s: float) -> float:
        """Return the expected seconds to the first token.

        :param tokens: prompt tokens that are not in the target's cache.
        """
        work = self.pending_tokens(now_s) + tokens
        return FIRST_TOKEN_BASE_S + work / self.prefill_tokens_s.value

    def observe_first_token(self, tokens: float, first_token_s: float) -> None:
        """Update the prefill rate from a run.

        :param tokens: prompt tokens of the run that the target computed, and
            those that were pending before it.
        :param first_token_s: seconds to the first token of the run.
        """
        busy_s = first_token_s - FIRST_TOKEN_BASE_S
        if tokens < MIN_SAMPLE_TOKENS or busy_s <= 0:
            return
        self.prefill_tokens_s.add(max(MIN_RATE_TOKENS_S, tokens / busy_s))

    def observe_import(self, size_bytes: int, import_s: float) -> None:
        """Update the link's rate from an import of blocks."""
        if size_bytes <= 0 or import_s <= 0:
            return
        if self.link_bytes_s.samples == 0:
            self.link_bytes_s.value = size_bytes / import_s
        self.link_bytes_s.add(size_bytes / import_s)
