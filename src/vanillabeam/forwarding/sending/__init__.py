"""Sending of a request to a target, and of its answer to the caller."""
