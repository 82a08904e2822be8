"""Which target a request should go to: the first token decides."""

from vanillabeam.routing.router import Choice, Router
from vanillabeam.routing.weights import Weights

__all__ = ["Choice", "Router", "Weights"]
