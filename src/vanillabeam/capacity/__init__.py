"""Capacity of each target: how much load it handles well."""
