"""Adapter to the users' platform: the only place that knows its names, headers and topics."""
