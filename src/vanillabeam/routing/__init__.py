"""Choice of the target with the earliest expected first token."""

from vanillabeam.routing.router import Choice, Router
from vanillabeam.routing.weights import CostWeights

__all__ = ["Choice", "Router", "CostWeights"]
