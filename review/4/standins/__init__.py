"""Stand-ins for the script of this case."""
