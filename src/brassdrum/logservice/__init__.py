"""Clients of the platform: log service, host list, weight store."""
