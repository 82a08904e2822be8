"""Hypothesis provider whose choices depend on nothing but the seed.

By default Hypothesis also draws constants from the source of all loaded modules.
Runs of one seed would then differ with the tests that run in the same process and
with each edited line.
"""

from hypothesis.internal.conjecture.providers import (
    AVAILABLE_PROVIDERS,
    HypothesisProvider,
)

__all__ = ["BACKEND", "SeededProvider"]

BACKEND = "seeded"


class SeededProvider(HypothesisProvider):
    """Draws random values only, no constants of loaded modules."""

    def _maybe_draw_constant(self, *args, **options):
        return None


AVAILABLE_PROVIDERS[BACKEND] = f"{__name__}.{SeededProvider.__name__}"
