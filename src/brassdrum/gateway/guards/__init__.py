"""Protect endpoints from requests that crash them."""
