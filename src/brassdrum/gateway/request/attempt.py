"""One attempt at an endpoint: its call, its memory reservations and its entry in the load table."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace
from typing import Protocol

from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.guards.endings import LostRequest
from brassdrum.gateway.guards.process_check import ProcessChecker, ProcessState
from brassdrum.gateway.model import (
    DeclaredRequest,
    Dialect,
    EndpointSignals,
    Headers,
    HelperReference,
    Reply,
    ReplyKind,
    Reservation,
    Route,
)
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall, EndpointPool, OutgoingRequest
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Helper, Placement
from brassdrum.gateway.placing.reservations import MemoryHold, ReservationManager
from brassdrum.gateway.request.answer_progress import AnswerProgress
from brassdrum.gateway.request.completeness import Framing, content_length_of, framing_of
from brassdrum.gateway.request.events import EventStreamReader
from brassdrum.gateway.sharing.demand import DemandKey
from brassdrum.gateway.sharing.ledger import DemandLedger
from brassdrum.gateway.throttling.throttle import EndpointThrottle

__all__ = ["Attempt", "CallAttempt", "AttemptContext", "AttemptOwner", "helper_name"]

# With at most this share of its slots in use an endpoint counts as having capacity.
_MAX_USED_SLOTS_RATIO = 0.5


class AttemptContext(Protocol):
    """State and services of the daemon that all attempts share."""

    loop: EventLoop
    dialect: Dialect
    pool: EndpointPool
    load_table: LoadTable
    demand_ledger: DemandLedger
    reservations: ReservationManager
    routing_state: RoutingState
    endpoint_monitor: EndpointMonitor
    throttle: EndpointThrottle
    process_checker: ProcessChecker

    def response_interrupted(self, attempt: Attempt, lost: LostRequest) -> None:
        """Handle a response that an endpoint cut off without a reason."""

    def load_changed(self) -> None:
        """Handle a change of this daemon's requests in flight."""

    def signals_received(self, endpoint: str, signals: EndpointSignals, sent_at: float) -> None:
        """Handle what an endpoint asks for in a response to a request sent at a time."""

    def next_attempt_number(self) -> int:
        """Return a number that is unique among this daemon's attempts."""


class AttemptOwner(Protocol):
    """Receive the events of an attempt; only ``attempt_response_data`` is called repeatedly."""

    request: DeclaredRequest
    route: Route
    service: str
    # The last event that the caller has, None before the first one.
    last_event_id: int | None

    @property
    def demand_key(self) -> DemandKey:
        """Return the key under which the request is counted."""

    def new_progress(self) -> AnswerProgress:
        """Return what follows the answer of a new attempt."""

    def build_request(self, attempt: Attempt, placement: Placement) -> OutgoingRequest:
        """Return the request to send to the chosen endpoint."""

    def restart_stall_timer(self, placement: Placement | None) -> None:
        """Restart the timer that detects a stalled endpoint.

        ``placement`` is None once the first event has arrived.
        """

    def reservation_unusable(self, attempt: Attempt, detail: str) -> None:
        """Handle a memory reservation that is refused or too late; the request was not sent."""

    def attempt_unresponsive(self, attempt: CallAttempt, detail: str, *, certain: bool) -> None:
        """Handle an endpoint that does not answer; it may still go on."""

    def attempt_response_started(self, attempt: CallAttempt, reply: Reply) -> None:
        """Handle the status and headers of the response."""

    def attempt_response_data(self, attempt: CallAttempt, content: bytes) -> None:
        """Handle a chunk of the response body."""

    def attempt_completed(self, attempt: CallAttempt) -> None:
        """Handle the end of a complete response."""

    def attempt_connection_lost(self, attempt: CallAttempt, how: CallFailure, detail: str) -> None:
        """Handle a lost connection."""


class CallAttempt:
    """What attempts have in common: one call, its reply and its end.

    ``unsent`` says that the request reached no endpoint, ``max_unsent`` how many such attempts a
    request may make, since they are not counted as sends. ``retry_after`` is the time in seconds
    that a refusal names. ``silent`` says that the other side has sent nothing for too long and has
    not gone on since. ``reader`` and ``progress`` follow the answer of this attempt.
    """

    max_unsent = 4

    def __init__(self, endpoint: str, sent_at: float, owner: AttemptOwner) -> None:
        self.endpoint = endpoint
        self.sent_at = sent_at
        self.reply: Reply | None = None
        self.framing = Framing.CLOSE
        self.content_length: bytes | None = None
        self.body = bytearray()
        self.unsent = False
        self.retry_after: float | None = None
        self.silent = False
        self.reader = EventStreamReader(owner.last_event_id)
        self.progress: AnswerProgress = owner.new_progress()
        self._owner = owner
        self._call: EndpointCall | None = None
        self._finished = False

    @property
    def may_have_run(self) -> bool:
        """Return whether the request was sent and is not known to be unexecuted."""
        return not self._finished and self._call is not None and self._call.sent

    @property
    def reused_connection(self) -> bool:
        """Return whether the request was sent over a pooled connection."""
        return self._call is not None and self._call.reused

    @property
    def request_taken(self) -> bool:
        """Return whether the endpoint has taken the whole request."""
        return self._call is None or not self._call.unsent_bytes

    def set_read_gate(self, read_size: Callable[[], int] | None) -> None:
        """Ask a function before each read how many bytes may be read; 0 pauses the response.

        None reads the response as it comes.
        """
        if self._call is not None:
            self._call.read_gate = read_size
        if read_size is None:
            self.resume_reading()

    def resume_reading(self) -> None:
        """Read the response again after a pause."""
        if self._call is not None and not self._finished:
            self._call.resume_reading()

    @property
    def finished(self) -> bool:
        """Return whether the attempt is over."""
        return self._finished

    @property
    def has_alternative(self) -> bool:
        """Return whether the request may be sent elsewhere instead."""
        raise NotImplementedError

    @property
    def queued_prefill_seconds(self) -> float:
        """Return the seconds of prefill queued before the request, as far as is known."""
        raise NotImplementedError

    def first_event_received(self) -> None:
        """Handle the first event of the response."""
        raise NotImplementedError

    def failed(self, *, certain: bool, detail: str) -> None:
        """Record a failure of the other side."""
        raise NotImplementedError

    def fell_silent(self, *, certain: bool, detail: str) -> None:
        """Record that the other side has sent nothing for too long; once a silence."""
        if self.silent:
            return
        self.silent = True
        self.failed(certain=certain, detail=detail)

    def went_on(self) -> None:
        """Record that the other side sends again after a silence."""
        self.silent = False

    def answered_failure(self, detail: str) -> None:
        """Record an error response of the endpoint."""
        raise NotImplementedError

    def served(self) -> None:
        """Record a complete response of the endpoint."""
        raise NotImplementedError

    def interrupted(self, lost: LostRequest) -> None:
        """Handle a response that broke off without a reason."""
        raise NotImplementedError

    def check_sender(self, done: Callable[[ProcessState], None]) -> None:
        """Report later whether the process that sent the response still runs."""
        raise NotImplementedError

    def rejected(self, reply: Reply) -> None:
        """Handle a reply that says that the request was not executed."""
        raise NotImplementedError

    def cancel(self) -> None:
        """Cancel the call, so that the other side stops its work."""
        if self._call is not None and not self._finished:
            self._call.cancel()
        self.finish()

    def finish(self) -> None:
        """End the attempt."""
        self._finished = True

    def _request_unacknowledged(self) -> None:
        if not self._finished:
            detail = "the request was not acknowledged"
            self._owner.attempt_unresponsive(self, detail, certain=False)

    def response_data(self, content: bytes) -> None:
        """Handle a chunk of the response body."""
        if not self._finished:
            self._owner.attempt_response_data(self, content)

    def response_completed(self) -> None:
        """Handle the end of a complete response."""
        if not self._finished:
            self._owner.attempt_completed(self)

    def call_failed(self, how: CallFailure, detail: str) -> None:
        """Handle a lost connection."""
        if not self._finished:
            self._owner.attempt_connection_lost(self, how, detail)


class Attempt(CallAttempt):
    """Send a request to one endpoint, and keep the load table up to date meanwhile."""

    def __init__(self, context: AttemptContext, owner: AttemptOwner, placement: Placement) -> None:
        super().__init__(placement.entry.id, context.loop.now(), owner)
        self._context = context
        self._placement = placement
        # Not the number of sends, which leaves out attempts without a memory reservation.
        self._attempt_number = context.next_attempt_number()
        self._load_key = f"{owner.request.id}.{self._attempt_number}"
        self._reservation: MemoryHold | None = None
        self._first_event_seen = False

    @property
    def has_alternative(self) -> bool:
        """Return whether another endpoint takes requests."""
        usable = self._context.routing_state.usable(self._owner.service)
        open_entries = self._context.throttle.open_entries(usable)
        return any(entry.id != self.endpoint for entry in open_entries)

    @property
    def queued_prefill_seconds(self) -> float:
        """Return the seconds of prefill queued at the endpoint."""
        return self._context.load_table.total(self.endpoint).pending_prefill_ms / 1000

    @property
    def endpoint_has_free_slots(self) -> bool:
        """Return whether enough slots of the endpoint are known to be free."""
        taken = self._context.load_table.total(self.endpoint).requests
        return taken <= self._placement.entry.slots * _MAX_USED_SLOTS_RATIO

    def reservation_id(self, endpoint: str) -> str:
        """Return the identifier of the memory that an endpoint reserves for this attempt."""
        return f"{self._owner.request.id}-{self._attempt_number}-{endpoint}"

    def start(self) -> None:
        """Reserve memory at the helpers, if needed, and send the request."""
        self._context.load_table.start(
            self._load_key,
            self._placement.shares,
            self._context.loop.now(),
            self._placement.first_event_ms,
        )
        self._context.demand_ledger.sent(self._load_key, self._owner.demand_key)
        self._context.load_changed()
        reservations = tuple(
            Reservation(
                each.entry.address, self.reservation_id(each.entry.name), each.stored_tokens
            )
            for each in self._placement.helpers
            if each.stored_tokens
        )
        if reservations:
            endpoint_address = self._placement.entry.address
            self._reservation = self._context.reservations.acquire(
                reservations,
                endpoint_address,
                self._reservation_answered,
                self._endpoint_unresponsive,
            )
            return
        self._send()

    def _reservation_answered(self, granted: bool) -> None:
        if self._finished:
            return
        if not granted:
            self._owner.reservation_unusable(self, "an endpoint refused the memory reservation")
            return
        zone = self._evacuated_zone()
        if zone is not None:
            detail = f"zone {zone} was evacuated before the memory reservation was granted"
            self._owner.reservation_unusable(self, detail)
            return
        self._send()

    def _evacuated_zone(self) -> str | None:
        """Return an evacuated zone that has an endpoint of the placement, or None."""
        evacuated = self._context.routing_state.evacuated_zones
        placement = self._placement
        entries = [placement.entry, *(helper.entry for helper in placement.helpers)]
        return next((entry.zone for entry in entries if entry.zone in evacuated), None)

    def _send(self) -> None:
        address = self._placement.entry.address
        request = self._owner.build_request(self, self._placement)
        fresh = not self._owner.route.repeatable
        self.sent_at = self._context.loop.now()
        self._call = self._context.pool.call(address, self, request, fresh=fresh)
        self._call.on_unacknowledged = self._request_unacknowledged
        self._owner.restart_stall_timer(self._placement)

    def _endpoint_unresponsive(self) -> None:
        if not self._finished:
            detail = "the endpoint does not answer liveness checks"
            self._owner.attempt_unresponsive(self, detail, certain=True)

    def first_event_received(self) -> None:
        """Record that prefill is complete and decoding has begun."""
        if self._first_event_seen or self._finished:
            return
        self._first_event_seen = True
        self._context.endpoint_monitor.slowdowns.first_event_received(self._placement, self.sent_at)
        self._context.load_table.prefill_finished(self._load_key)
        self._context.load_changed()

    def finish(self) -> None:
        """Release the reservations and the entry in the load table."""
        if self._finished:
            return
        self._finished = True
        if self._reservation is not None:
            self._reservation.release()
        self._context.load_table.end(self._load_key, self._context.loop.now())
        self._context.demand_ledger.ended(self._load_key)
        self._context.load_changed()

    def failed(self, *, certain: bool, detail: str) -> None:
        """Record a failure of the endpoint; a certain one makes it suspect by itself."""
        self._context.endpoint_monitor.endpoint_failed(
            self.endpoint, certain=certain, detail=detail
        )

    def fell_silent(self, *, certain: bool, detail: str) -> None:
        """Record that the endpoint has sent nothing for too long; once a silence."""
        is_new = not self.silent
        super().fell_silent(certain=certain, detail=detail)
        if certain and is_new:
            self._context.endpoint_monitor.endpoint_fell_silent(self.endpoint)

    def went_on(self) -> None:
        """Record that the endpoint sends again, so that it is not avoided any longer."""
        super().went_on()
        self._context.endpoint_monitor.endpoint_answered(self.endpoint)

    def answered_failure(self, detail: str) -> None:
        """Record an error response, unless the endpoint asked for a pause."""
        if not self._context.throttle.is_paused(self.endpoint):
            self._context.endpoint_monitor.endpoint_answered_failure(self.endpoint, detail)

    def served(self) -> None:
        """Record a complete response."""
        self._context.endpoint_monitor.endpoint_served(self.endpoint)

    def interrupted(self, lost: LostRequest) -> None:
        """Look whether the endpoint has exited."""
        self._context.response_interrupted(self, lost)

    def check_sender(self, done: Callable[[ProcessState], None]) -> None:
        """Report later whether the endpoint's process still runs."""
        self._context.process_checker.check(self._placement.entry, self.sent_at, done)

    def rejected(self, reply: Reply) -> None:
        """Record which endpoint is at fault for a request that was not executed."""
        monitor = self._context.endpoint_monitor
        at_fault = self.endpoint
        if reply.faulty_endpoint is not None:
            at_fault = self._context.routing_state.find_endpoint(reply.faulty_endpoint) or at_fault
        if reply.kind is ReplyKind.WRONG_ENDPOINT and at_fault == self.endpoint:
            monitor.address_reused(self.endpoint)
            return
        if at_fault != self.endpoint:
            detail = "reported as failed by another endpoint"
            monitor.endpoint_failed(at_fault, certain=True, detail=detail)
            return
        if self.endpoint_has_free_slots and not self._context.throttle.is_paused(self.endpoint):
            # A full endpoint recovers soon; one that rejects requests with free slots does not.
            self.failed(certain=True, detail="it turns requests away though it has room")

    def response_started(self, status: int, headers: Headers) -> None:
        """Handle the status and headers of the response."""
        signals = self._context.dialect.read_signals(status, headers)
        if signals is not None:
            self._context.signals_received(self.endpoint, signals, self.sent_at)
        reply = self._context.dialect.read_reply(self._owner.request, status, headers)
        if reply.kind is ReplyKind.FAILURE and not reply.names_request:
            # A late copy of an answer to another call; answers to orders and reports name none.
            reply = replace(reply, kind=ReplyKind.UNVERIFIED)
        self.reply = reply
        self.framing = framing_of(self._owner.request.method, status, headers)
        self.content_length = content_length_of(headers)
        self._owner.attempt_response_started(self, self.reply)


def helper_name(attempt: Attempt, helper: Helper) -> HelperReference:
    """Return the helper's address with the identifier of its memory reservation, if it has one."""
    reservation = attempt.reservation_id(helper.entry.name) if helper.stored_tokens else None
    return HelperReference(helper.entry.address, reservation)
