"""Which target a request should go to: the first token decides."""

from vanillabeam.routing.router import Choice, Router
from vanillabeam.routing.weights import CostWeights

__all__ = ["Choice", "Router", "CostWeights"]
