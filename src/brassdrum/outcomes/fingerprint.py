"""Name the content of a request, so that the same one is known again at any daemon."""

from __future__ import annotations

import hashlib

__all__ = ["content_fingerprint"]

# 8 bytes: among a million contents two share a name once in 37 million fleets.
_DIGEST_BYTES = 8


def content_fingerprint(caller: str, *parts: bytes) -> str:
    """Return 16 hex digits of who asks for what: the caller, and the method, path and body.

    The id of the attempt is no part of it: a caller that comes again has another one.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (caller.encode(), *parts):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    return digest.hexdigest()
