"""Requests that pass through an entry VM to a target, byte for byte."""

from vanillabeam.forwarding.app import ForwardingApp
from vanillabeam.forwarding.dialect import Dialect, Facts, Handover, Verdict

__all__ = ["Dialect", "Facts", "ForwardingApp", "Handover", "Verdict"]
