"""Load and experiment tool of vanillabeam."""
