"""Outcomes: claims, retries, resumed streams and whole answers."""
