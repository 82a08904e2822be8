"""Stand-ins for the scripts of the review: fleet, workers, operator, clients."""
