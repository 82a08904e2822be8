"""Open work that the entry VMs of a data centre tell each other directly."""
