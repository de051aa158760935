"""Decide where a request goes, from the work in flight at all endpoints."""
