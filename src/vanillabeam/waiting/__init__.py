"""Waiting of requests for targets whose places are short."""
