"""Adapter to the users' platform.

Translates the names, documents, headers and calls of the platform into those of
the product, and contains no other logic.
"""
