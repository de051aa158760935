"""Clients of the platform's log service and host list."""
