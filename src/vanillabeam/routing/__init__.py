"""Choice of the target with the earliest expected first token."""

from vanillabeam.routing.router import Candidate, Router
from vanillabeam.routing.weights import CostWeights

__all__ = ["Candidate", "Router", "CostWeights"]
