"""Admission control: rate limits, quota lending and fair queueing, without I/O."""
