"""The adapter to the users' platform: it translates and does nothing else."""
