"""Tell what a request has in common with others; no side effects."""

from __future__ import annotations

from brassdrum.gateway.model import DeclaredRequest
from brassdrum.outcomes.fingerprint import (
    RequestTraits,
    caller_mask,
    content_fingerprint,
    prompt_parts,
)

__all__ = ["traits_of"]


def traits_of(request: DeclaredRequest, body: bytes, organisation: str) -> RequestTraits:
    """Return what a request may have in common with others."""
    content = content_fingerprint(
        organisation, request.method, request.host.encode(), request.target, body
    )
    parts = prompt_parts(request.model, request.prompt_parts)
    return RequestTraits(content, parts, caller_mask(organisation))
