"""Carry forwarded requests between simulated daemons, and cut their paths to the engines."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import TYPE_CHECKING

from brassdrum.gateway.forwarding.terms import read_terms
from brassdrum.gateway.model import DeclaredRequest, Headers, Route
from brassdrum.gateway.net.upstream import CallFailure, CallOwner, OutgoingRequest
from brassdrum.gateway.request.exchange import Exchange

if TYPE_CHECKING:
    from brassdrum.bench.load.daemon import SimulatedDaemon

__all__ = ["CHUNKED", "FORWARDED", "ForwardedRequest", "PeerPool"]

# The way between daemons.
_WAY_SECONDS = 0.0015
FORWARDED = b"forwarded"
# Simulated answers are framed as those of daemons and engines are.
CHUNKED = (b"Transfer-Encoding", b"chunked")


@dataclass(frozen=True, slots=True)
class ForwardedRequest:
    """A request with its route, as the daemon that forwards it knows both."""

    request: DeclaredRequest
    route: Route
    events: int


class _PeerCall:
    def __init__(self) -> None:
        self.sent = False
        self.reused = False
        self.cancelled = False
        self.exchange: Exchange | None = None

    def cancel(self) -> None:
        """End the work at the other daemon."""
        self.cancelled = True
        if self.exchange is not None and not self.exchange.finished:
            self.exchange.caller_disconnected()

    def resume_reading(self) -> None:
        """Do nothing: what the other daemon sends is read at once."""


class _PeerConnection:
    """Hand what the other daemon answers to the attempt, later by the way."""

    def __init__(self, daemon: SimulatedDaemon, owner: CallOwner, call: _PeerCall) -> None:
        self._daemon = daemon
        self._owner = owner
        self._call = call

    def start_response(self, status: int, headers: Headers) -> None:
        """Hand on the start of an answer."""
        self._later(lambda: self._owner.response_started(status, [*headers, CHUNKED]))

    def send_data(self, content: bytes) -> None:
        """Hand on a part of the body."""
        self._later(lambda: self._owner.response_data(content))

    def end_response(self) -> None:
        """Hand on the end."""
        self._later(self._owner.response_completed)

    def send_response(self, status: int, headers: Headers, _body: bytes) -> None:
        """Hand on a whole answer."""
        self.start_response(status, headers)
        self.end_response()

    def abort(self) -> None:
        """Hand on that the answer is broken off."""
        self._later(lambda: self._owner.call_failed(CallFailure.ANSWER_CUT, "cut"))

    def _later(self, action: Callable[[], None]) -> None:
        def act() -> None:
            if not self._call.cancelled:
                action()

        self._daemon.loop.call_later(_WAY_SECONDS, act)


class PeerPool:
    """Hand requests to other daemons, and count them."""

    def __init__(self, daemon: SimulatedDaemon) -> None:
        self._daemon = daemon
        self.forwarded = 0

    def call(
        self, address: str, owner: CallOwner, request: OutgoingRequest, *, fresh: bool = False
    ) -> _PeerCall:
        """Send a request to the daemon on a host."""
        call = _PeerCall()
        host = address.partition(":")[0]
        number = dict(request.headers)[FORWARDED]
        forwarded = self._daemon.forwarded_by_number.pop(number)
        self.forwarded += 1
        call.sent = True

        def arrive() -> None:
            if not call.cancelled:
                self._take_over(host, owner, request, forwarded, call)

        self._daemon.loop.call_later(_WAY_SECONDS, arrive)
        return call

    def _take_over(
        self,
        host: str,
        owner: CallOwner,
        request: OutgoingRequest,
        forwarded: ForwardedRequest,
        call: _PeerCall,
    ) -> None:
        daemon = self._daemon.fleet.daemon_on(host)
        daemon.taken_over += 1
        daemon.events_by_request[forwarded.request.id] = forwarded.events
        terms = read_terms(request.headers)
        exchange = Exchange(
            daemon,
            _PeerConnection(daemon, owner, call),
            replace(forwarded.request, headers=[]),
            b"",
            forwarded.route,
            None,
            daemon.loop.now() - terms.waited,
            terms,
        )
        exchange.service = self._daemon.service
        call.exchange = exchange
        exchange.start()
