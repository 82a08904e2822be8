"""Requests of a VM's callers, and the role that serves them."""

from vanillabeam.callers.app import EntryInterface, caller_app
from vanillabeam.callers.entry import Entry

__all__ = ["Entry", "EntryInterface", "caller_app"]
