"""Carry one request from its arrival through its attempts to its answer."""
