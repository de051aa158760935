"""Routing of requests to endpoints; performs no I/O."""
