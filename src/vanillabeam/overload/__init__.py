"""Overload of an entry VM that is short of processor time."""
