"""Content fingerprints, which identify repeated requests at any daemon."""

from __future__ import annotations

import hashlib

__all__ = ["content_fingerprint"]

_DIGEST_BYTES = 8  # negligible collision probability among a million contents


def content_fingerprint(caller: str, *parts: bytes) -> str:
    """Return a digest of 16 hex digits of the caller and the method, path and body.

    The attempt id is left out, since it differs for each retry by the caller.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (caller.encode(), *parts):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
