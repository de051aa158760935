"""Leader election: leases in the log service for duties that one daemon performs at a time."""
