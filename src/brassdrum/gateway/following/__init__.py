"""Track configuration and endpoints from the store, peers, and request outcomes."""
