"""One attempt by way of another daemon."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from brassdrum.gateway.forwarding.targets import ForwardTargets
from brassdrum.gateway.forwarding.terms import read_result, without_forwarding
from brassdrum.gateway.guards.endings import LostRequest
from brassdrum.gateway.guards.process_check import ProcessState
from brassdrum.gateway.model import (
    DaemonAddress,
    Dialect,
    EndpointSignals,
    Headers,
    Reply,
    ReplyKind,
)
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import EndpointPool, OutgoingRequest
from brassdrum.gateway.request.attempt import AttemptOwner, CallAttempt
from brassdrum.gateway.request.completeness import content_length_of, framing_of
from brassdrum.header_values import parse_decimal

__all__ = ["ForwardContext", "ForwardedAttempt", "ForwardingOwner"]

_RETRY_AFTER = b"retry-after"


class ForwardContext(Protocol):
    """State and services of the daemon that forwarded attempts share."""

    loop: EventLoop
    dialect: Dialect
    peer_pool: EndpointPool
    forward_targets: ForwardTargets

    def signals_received(self, endpoint: str, signals: EndpointSignals, sent_at: float) -> None:
        """Handle what an endpoint asks for in a response to a request sent at a time."""

    @property
    def own_host(self) -> str:
        """Return the host of this daemon."""

    @property
    def peer_port(self) -> int:
        """Return the port at which daemons serve each other."""


class ForwardingOwner(AttemptOwner, Protocol):
    """The request that is forwarded.

    ``refused_by`` are the hosts that could not take it, ``tried_endpoints`` those that had it.
    """

    refused_by: set[str]
    tried_endpoints: set[str]


class ForwardedAttempt(CallAttempt):
    """Send a request to another daemon, which sends it to at most one endpoint.

    What goes wrong there is judged there: this daemon knows nothing of the endpoint.
    """

    # A daemon whose path is lost too refuses at once; many of them may be.
    max_unsent = 8

    def __init__(
        self, context: ForwardContext, owner: ForwardingOwner, peer: DaemonAddress
    ) -> None:
        super().__init__(peer.host, context.loop.now(), owner)
        self._context = context
        self._owner: ForwardingOwner = owner
        self.host = peer.host
        self._peer = peer

    @property
    def has_alternative(self) -> bool:
        """Return whether another daemon may be asked instead."""
        return self._context.forward_targets.has_other(self.host)

    @property
    def queued_prefill_seconds(self) -> float:
        """Return 0: the load of the endpoint is known to the other daemon only."""
        return 0.0

    def start(self, request: OutgoingRequest) -> None:
        """Send the request."""
        self._context.forward_targets.started(self.host)
        address = f"{self.host}:{self._context.peer_port}"
        fresh = not self._owner.route.repeatable
        self._call = self._context.peer_pool.call(address, self, request, fresh=fresh)
        self._call.on_unacknowledged = self._request_unacknowledged

    def first_event_received(self) -> None:
        """Do nothing: the other daemon counts the load."""

    def finish(self) -> None:
        """End the attempt."""
        if self._finished:
            return
        self._finished = True
        self._context.forward_targets.ended(self.host)

    def failed(self, *, certain: bool, detail: str) -> None:
        """Avoid the daemon for a while, and for this request altogether."""
        self._owner.refused_by.add(self.host)
        now = self._context.loop.now()
        if certain:
            self._context.forward_targets.unreached(self._peer, now)
        else:
            self._context.forward_targets.refused(self._peer, now)

    def answered_failure(self, detail: str) -> None:
        """Do nothing: the other daemon has recorded the endpoint's failure."""

    def served(self) -> None:
        """Do nothing: the other daemon has recorded the endpoint's success."""

    def interrupted(self, lost: LostRequest) -> None:
        """Do nothing: the other daemon looks whether the endpoint has ended."""

    def check_sender(self, done: Callable[[ProcessState], None]) -> None:
        """Report that the daemon has ended: daemons send no answers without a length or chunks."""
        self._context.loop.post(lambda: done(ProcessState.ENDED))

    def rejected(self, reply: Reply) -> None:
        """Avoid a daemon that could not send the request to any endpoint."""
        if self.unsent:
            self.failed(certain=False, detail="refused")

    def response_started(self, status: int, headers: Headers) -> None:
        """Handle the status and headers of the response."""
        result = read_result(headers)
        self.framing = framing_of(self._owner.request.method, status, headers)
        self.content_length = content_length_of(headers)
        self._owner.tried_endpoints.update(result.tried)
        reply = self._context.dialect.read_reply(
            self._owner.request, status, without_forwarding(headers)
        )
        if result.endpoint is not None:
            self.endpoint = result.endpoint
            self._record_signals(result.endpoint, status, headers)
        if result.refused_after is not None:
            self.unsent = result.refused_after == 0
            self.retry_after = _retry_after(headers)
            reply = Reply(ReplyKind.NOT_EXECUTED, status, reply.headers)
        self.reply = reply
        self._owner.attempt_response_started(self, reply)

    def _record_signals(self, endpoint: str, status: int, headers: Headers) -> None:
        """Record what the endpoint says to all daemons; a pause concerns the other one alone."""
        signals = self._context.dialect.read_signals(status, headers)
        if signals is not None:
            signals = replace(signals, pause=None)
            self._context.signals_received(endpoint, signals, self.sent_at)


def _retry_after(headers: Headers) -> float | None:
    for name, value in headers:
        if name.lower() == _RETRY_AFTER:
            return parse_decimal(value.decode("latin-1"))
    return None
