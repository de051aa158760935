"""Forward one request to other daemons, or answer the daemon that forwarded it."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.forwarding.forwarded_attempt import (
    ForwardContext,
    ForwardedAttempt,
    ForwardingOwner,
)
from brassdrum.gateway.forwarding.terms import (
    ForwardResult,
    ForwardTerms,
    encode_result,
    encode_terms,
    without_forwarding,
)
from brassdrum.gateway.model import Headers

__all__ = ["Forwarder", "ForwarderOwner"]


class ForwarderOwner(ForwardingOwner, Protocol):
    """The request that is forwarded."""

    arrived: float
    tried_endpoints: set[str]


class Forwarder:
    """Choose daemons for one request; ``terms`` are set if it was forwarded to this daemon."""

    def __init__(
        self, context: ForwardContext, owner: ForwarderOwner, terms: ForwardTerms | None
    ) -> None:
        self.terms = terms
        self._context = context
        self._owner = owner

    def next_attempt(self) -> ForwardedAttempt | None:
        """Return an attempt at another daemon, or None: each request is forwarded once at most."""
        if self.terms is not None:
            return None
        now = self._context.loop.now()
        peer = self._context.forward_targets.choose(self._owner.refused_by, now)
        return None if peer is None else ForwardedAttempt(self._context, self._owner, peer)

    def headers(self, resume_after: int | None) -> Headers:
        """Return the headers of the forwarded request."""
        waited = self._context.loop.now() - self._owner.arrived
        terms = ForwardTerms(self._context.own_host, waited, self._tried())
        headers = self._context.dialect.forwarded_headers(self._owner.request, resume_after)
        return [*without_forwarding(headers), *encode_terms(terms)]

    # What the daemon that forwarded the request is told; a caller is told nothing.

    def with_endpoint(self, headers: Headers, endpoint: str) -> Headers:
        """Add to an endpoint's answer which endpoint it is from."""
        return self._with(headers, ForwardResult(endpoint=endpoint, tried=self._tried()))

    def with_failure(self, headers: Headers) -> Headers:
        """Add to a failure of this daemon which endpoints have had the request."""
        return self._with(headers, ForwardResult(tried=self._tried()))

    def with_refusal(self, headers: Headers, sends: int) -> Headers:
        """Add that the request has not run."""
        return self._with(headers, ForwardResult(refused_after=sends, tried=self._tried()))

    def _with(self, headers: Headers, result: ForwardResult) -> Headers:
        if self.terms is None:
            return headers
        # An endpoint must not speak for this daemon.
        return [*without_forwarding(headers), *encode_result(result)]

    def _tried(self) -> tuple[str, ...]:
        return tuple(sorted(self._owner.tried_endpoints))
