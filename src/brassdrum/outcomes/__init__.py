"""Idempotency claims, retries, stream resumption and crash quarantine."""
