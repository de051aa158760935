"""Take in requests of callers and of other daemons: hold, refuse or begin to process them."""

from __future__ import annotations

import logging
import random
from dataclasses import dataclass, replace
from typing import Protocol

from brassdrum.errors import InvalidRequestError
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.forwarding.terms import (
    ForwardResult,
    ForwardTerms,
    encode_result,
    read_terms,
    without_forwarding,
)
from brassdrum.gateway.measures import GatewayMetrics
from brassdrum.gateway.model import DeclaredRequest, Dialect, Headers, RequestHead, Route
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.request.admission import AdmittedRequest, Refusal, admit
from brassdrum.gateway.request.early import HeldRequest, HeldRequestQueue, max_hold_seconds
from brassdrum.gateway.request.patience import max_retry_after
from brassdrum.telemetry import log_events

__all__ = ["Arrival", "IntakeContext", "RequestIntake"]

_logger = logging.getLogger(__name__)
# About the time in which slow readers take some hundred KB and make room for a body.
_NO_ROOM_RETRY_AFTER_SECONDS = 0.5
# Callers refused because of a planned stop should retry at another daemon immediately.
_STOP_RETRY_AFTER_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class Arrival:
    """A request as it arrived; ``forwarded`` is set if another daemon has its caller."""

    connection: CallerConnection
    body: bytes
    at: float
    forwarded: ForwardTerms | None = None


class IntakeContext(Protocol):
    """State and services of the daemon that the intake depends on."""

    loop: EventLoop
    dialect: Dialect
    routing_state: RoutingState
    metrics: GatewayMetrics

    def closing(self) -> bool:
        """Return whether the daemon is about to stop."""

    def would_be_aborted(self, request: DeclaredRequest, route: Route, service: str) -> bool:
        """Return whether a planned stop would abort a request that is accepted now."""

    def begin_exchange(
        self, admitted: AdmittedRequest, arrival: Arrival, service: str
    ) -> CallerHandler:
        """Begin to process an admitted request."""


class RequestIntake:
    """Admit requests, hold those that come before the first configuration, refuse the others."""

    def __init__(self, context: IntakeContext, rng: random.Random) -> None:
        self._context = context
        self._random = rng
        self._held_requests = HeldRequestQueue(context.loop, self._refuse_held, self._record_left)

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Begin to process a request; hold it if there is no configuration yet."""
        if body is None:
            self._refuse_body(Arrival(connection, b"", self._context.loop.now()), head)
            return None
        if self._context.routing_state.configuration is None and not self._context.closing():
            held = self._hold(connection, head, body)
            if held is not None:
                return held
        return self._admit(head, Arrival(connection, body, self._context.loop.now()))

    def handle_forwarded(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Process a request that another daemon has forwarded, as if it were a caller's own."""
        now = self._context.loop.now()
        try:
            terms = read_terms(head.headers)
        except InvalidRequestError as error:
            self._refuse(Arrival(connection, body or b"", now), Refusal(400, error.message))
            return None
        if body is None:
            self._refuse_body(Arrival(connection, b"", now, terms), head)
            return None
        own_head = replace(head, headers=without_forwarding(head.headers))
        return self._admit(own_head, Arrival(connection, body, now - terms.waited, terms))

    def holds_requests(self) -> bool:
        """Return whether requests wait for the first configuration."""
        return len(self._held_requests) > 0

    def release_held(self) -> None:
        """Process the requests that were held."""
        self._held_requests.release(self._handle_held)

    def refuse_held(self) -> None:
        """Refuse the requests that are held, since the daemon is about to stop."""
        self._held_requests.refuse_all("about to stop")

    def _admit(self, head: RequestHead, arrival: Arrival) -> CallerHandler | None:
        admission = admit(self._context.routing_state, self._context.dialect, head)
        if isinstance(admission, Refusal):
            self._refuse(arrival, admission)
            return None
        request, route = admission.request, admission.route
        service = self._context.routing_state.choose_service(route, self._random)
        if self._context.would_be_aborted(request, route, service):
            refusal = Refusal(503, "about to stop", _STOP_RETRY_AFTER_SECONDS, request.id)
            self._refuse(arrival, refusal)
            return None
        if arrival.forwarded is not None:
            self._context.metrics.record_taken_over()
            log_events.TAKEN_OVER.write(
                _logger,
                request=request.id,
                sender=arrival.forwarded.sender,
                waited_ms=round(arrival.forwarded.waited * 1000),
            )
        return self._context.begin_exchange(admission, arrival, service)

    def _hold(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> HeldRequest | None:
        """Hold a request until the first configuration; return None if it can't be held."""
        try:
            request = self._context.dialect.read_request(head)
        except InvalidRequestError:
            # Admission refuses it with the right status.
            return None
        held = self._held_requests.hold(connection, head, body, request)
        if held is not None:
            log_events.HELD.write(
                _logger, request=request.id, seconds=round(max_hold_seconds(request), 2)
            )
        return held

    def _handle_held(self, held: HeldRequest) -> CallerHandler | None:
        return self._admit(held.head, Arrival(held.connection, held.body, held.arrived))

    def _refuse_held(self, held: HeldRequest, detail: str) -> None:
        """Refuse a held request; without a stop, the caller should retry as late as it can."""
        time_left = held.request.timeout - (self._context.loop.now() - held.arrived)
        closing = self._context.closing()
        seconds = _STOP_RETRY_AFTER_SECONDS if closing else max_retry_after(time_left)
        arrival = Arrival(held.connection, held.body, held.arrived)
        self._refuse(arrival, Refusal(503, detail, seconds, held.request.id))

    def _record_left(self, held: HeldRequest) -> None:
        """Record a held request whose caller has left."""
        self._context.metrics.record_cut_connection("held")
        log_events.CONNECTION_CLOSED.write(
            _logger,
            request=held.request.id,
            stage="held",
            status=0,
            unsent=0,
            reason="the caller closed its connection",
        )

    def _refuse_body(self, arrival: Arrival, head: RequestHead) -> None:
        """Refuse a request whose body found no room among what connections buffer."""
        name, seconds = "", _NO_ROOM_RETRY_AFTER_SECONDS
        try:
            request = self._context.dialect.read_request(head)
            name, seconds = request.id, min(seconds, max_retry_after(request.timeout))
        except InvalidRequestError:
            pass  # It is refused all the same, under no name.
        detail = "no room for the request body: callers or endpoints read slowly"
        self._refuse(arrival, Refusal(503, detail, seconds, name))

    def _refuse(self, arrival: Arrival, refusal: Refusal) -> None:
        headers: Headers = []
        if arrival.forwarded is not None:
            headers += encode_result(ForwardResult(refused_after=0))
        if refusal.retry_after is not None:
            headers.append((b"Retry-After", b"%.2f" % refusal.retry_after))
        self._context.metrics.record_refusal(refusal.status)
        log_events.REFUSED.write(
            _logger,
            request=refusal.request_id,
            status=refusal.status,
            detail=refusal.detail,
            version=self._context.routing_state.version,
        )
        arrival.connection.send_response(refusal.status, headers, b"")
