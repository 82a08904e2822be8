"""Requests that pass through an entry VM to a target, byte for byte."""

from vanillabeam.forwarding.app import ForwardingApp
from vanillabeam.forwarding.dialect import Dialect, Handover, RequestMetadata, Verdict

__all__ = ["Dialect", "RequestMetadata", "ForwardingApp", "Handover", "Verdict"]
