"""The daemon's own network path to the endpoints."""
