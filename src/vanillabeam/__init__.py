"""A serving system for model prompts that return after long gaps."""

from vanillabeam.exceptions import VanillabeamError

__all__ = ["VanillabeamError", "__version__"]

__version__ = "0.1.0"
