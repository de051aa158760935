"""Deliver the answer of an endpoint to a caller, reading it no faster than the caller allows."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.forwarding.forwarder import Forwarder
from brassdrum.gateway.model import Headers, Reply
from brassdrum.gateway.net.callers import CallerConnection
from brassdrum.gateway.net.pacing import CallerFlow, UnpacedFlow
from brassdrum.gateway.request.attempt import CallAttempt
from brassdrum.gateway.request.story import RequestStory
from brassdrum.telemetry import log_events

__all__ = ["MAX_KEPT_BYTES", "AnswerDelivery", "DeliveryOwner", "PacedFlow"]

# A plain answer of at most this length is kept whole, so that it can be fetched again if it breaks
# off; a longer one is forwarded while it arrives.
MAX_KEPT_BYTES = 262144

PacedFlow = CallerFlow | UnpacedFlow


class DeliveryOwner(Protocol):
    """The request whose answer is delivered."""

    forwarder: Forwarder
    story: RequestStory

    def answer_paused(self) -> None:
        """Handle a pause: the endpoint has to wait."""

    def answer_resumed(self) -> None:
        """Handle the end of a pause."""

    def forward_kept(self, attempt: CallAttempt) -> None:
        """Forward a plain answer while it arrives, since it cannot be kept whole."""


class AnswerDelivery:
    """Write one answer to a caller's connection, and pause its endpoint while that is due.

    ``started`` says that the caller has the status, ``forwarding`` that a plain answer is passed on
    while it arrives, after which it cannot be fetched again. ``throttled`` says that the present
    attempt was paused, so that its endpoint may have cut it off for that.
    """

    def __init__(
        self, connection: CallerConnection, flow: PacedFlow | None, owner: DeliveryOwner
    ) -> None:
        self.started = False
        self.forwarding = False
        self.throttled = False
        self._connection = connection
        self._flow: PacedFlow = UnpacedFlow() if flow is None else flow
        self._owner = owner
        self._attempt: CallAttempt | None = None
        self._pause_logged = False

    def deliver_until(self, when: float) -> None:
        """Set when the caller gives up."""
        self._flow.deliver_until = when

    def pace(self, attempt: CallAttempt) -> None:
        """Read the answer of an attempt as the caller allows."""
        self._attempt = attempt
        self.throttled = False
        attempt.set_read_gate(self._read_size)

    def detach(self) -> None:
        """Forget the answer of the present attempt."""
        self._attempt = None
        self.throttled = False
        self._flow.response_ended()

    def release_body(self) -> None:
        """Free the room of a request body that is not needed any more."""
        self._flow.release_body()

    def keep(self, attempt: CallAttempt, content: bytes) -> None:
        """Keep a part of a plain answer, or forward it once the answer is long."""
        if self.forwarding:
            self._connection.send_data(content)
            return
        attempt.body += content
        self._flow.set_held(len(attempt.body))
        if len(attempt.body) > MAX_KEPT_BYTES:
            self._owner.forward_kept(attempt)

    def forward(self, attempt: CallAttempt, reply: Reply) -> None:
        """Begin to forward a plain answer, with what was kept of it."""
        self.forwarding = True
        headers = reply.headers
        if attempt.content_length is not None:
            headers = [*headers, (b"Content-Length", attempt.content_length)]
        self.start(attempt, Reply(reply.kind, reply.status, headers))
        kept, attempt.body = bytes(attempt.body), bytearray()
        self._flow.set_held(0)
        self._connection.send_data(kept)

    def set_unfinished(self, count: int) -> None:
        """Record how many bytes of an unfinished event are kept."""
        self._flow.set_unfinished(count)

    def start(self, attempt: CallAttempt, reply: Reply) -> None:
        """Send the status and headers, once."""
        if self.started:
            return
        self.started = True
        headers = self._owner.forwarder.with_endpoint(reply.headers, attempt.endpoint)
        self._connection.start_response(reply.status, headers)

    def send(self, content: bytes) -> None:
        """Send a part of the body."""
        self._connection.send_data(content)

    def end(self) -> None:
        """End an answer that was started."""
        self._connection.end_response()

    def send_whole(self, attempt: CallAttempt, reply: Reply) -> None:
        """Send an answer that was kept, or end one that was forwarded."""
        if self.forwarding:
            self._connection.end_response()
            return
        headers = self._owner.forwarder.with_endpoint(reply.headers, attempt.endpoint)
        self._connection.send_response(reply.status, headers, bytes(attempt.body))

    def send_own(self, status: int, headers: Headers) -> None:
        """Send an answer of this daemon, without a body."""
        self._connection.send_response(status, headers, b"")

    def abort(self) -> None:
        """Break off an answer that was started."""
        self._connection.abort()

    def reading_resumed(self) -> None:
        """Read the answer again after a pause."""
        if self._attempt is not None:
            self._attempt.resume_reading()
            self._owner.answer_resumed()

    def _read_size(self) -> int:
        """Return how many bytes of the answer may be read now; 0 pauses it."""
        attempt = self._attempt
        if attempt is None:
            return 0
        size = self._flow.request_read(self)
        if size == 0 and attempt.body:
            # What is kept whole leaves only once it is complete, so it is not what may wait.
            self._flow.response_ended()
            self._owner.forward_kept(attempt)
            size = 0 if attempt.finished else self._flow.request_read(self)
        if size == 0 and not attempt.finished:
            self.throttled = True
            self._owner.answer_paused()
            self._log_pause(attempt)
        return size

    def _log_pause(self, attempt: CallAttempt) -> None:
        """Log the first pause of the answer."""
        if self._pause_logged:
            return
        self._pause_logged = True
        self._owner.story.log(
            log_events.PAUSED,
            endpoint=attempt.endpoint,
            unsent=self._flow.unsent,
            buffered=self._flow.buffered,
        )
