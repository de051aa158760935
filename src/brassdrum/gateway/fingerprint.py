"""Name the content of a request, so that the same one is known again at any daemon."""

from __future__ import annotations

import hashlib

from brassdrum.gateway.model import DeclaredRequest

__all__ = ["fingerprint"]

# 8 bytes: among a million contents two share a name once in 37 million fleets.
_DIGEST_BYTES = 8


def fingerprint(request: DeclaredRequest, caller: str, body: bytes) -> str:
    """Return 16 hex digits of who asks for what: the caller, the path with its query, the body.

    The id of the attempt is no part of it: a caller that comes again has another one.
    """
    digest = hashlib.blake2b(digest_size=_DIGEST_BYTES)
    for part in (request.method, request.host.encode(), request.target, caller.encode()):
        digest.update(len(part).to_bytes(4, "big"))
        digest.update(part)
    digest.update(body)
    return digest.hexdigest()
