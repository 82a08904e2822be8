"""A source of choices that depends on its seed and on nothing else.

Hypothesis mixes constants of every module that is loaded into its choices, so
that runs of one seed differ with the tests that share a process and with each
edited line.
"""

from hypothesis.internal.conjecture.providers import (
    AVAILABLE_PROVIDERS,
    HypothesisProvider,
)

__all__ = ["BACKEND", "SeededProvider"]

BACKEND = "seeded"


class SeededProvider(HypothesisProvider):
    """Draws at random only."""

    def _maybe_draw_constant(self, *args, **options):
        return None


AVAILABLE_PROVIDERS[BACKEND] = f"{__name__}.{SeededProvider.__name__}"
