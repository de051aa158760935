"""Scenarios that operators can read."""
