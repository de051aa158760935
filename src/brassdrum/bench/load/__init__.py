"""Measure the gateway's decisions under load, in simulated time and without any network."""
