"""HTTP/1.1 client with a pool of persistent connections to endpoints."""

from __future__ import annotations

import errno
import logging
from collections import defaultdict, deque
from collections.abc import Callable
from dataclasses import dataclass, replace
from enum import Enum, auto
from typing import Protocol

import h11

from brassdrum.gateway.model import Headers
from brassdrum.gateway.net.answer_limits import MAX_HEAD_BYTES, AnswerMeter
from brassdrum.gateway.net.flow_control import MAX_READ_BYTES
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.transport import Dialer, Transport, dial
from brassdrum.telemetry import log_events

__all__ = [
    "CallFailure",
    "CallOwner",
    "ConnectionObserver",
    "EndpointCall",
    "EndpointPool",
    "OutgoingRequest",
]

_logger = logging.getLogger(__name__)
# A handshake between zones takes about 5 ms.
_CONNECT_TIMEOUT_SECONDS = 0.3
# Used without a Keep-Alive header; shorter than the usual idle timeout of servers.
_DEFAULT_REUSE_SECONDS = 2.0
# Connections are not reused this close to the idle timeout that the endpoint announces: a request
# in flight when the endpoint closes the connection would be lost.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
# Detects an unreachable host, so that the request can be sent to another one. Long enough for two
# lost packets and half a second of queueing on a slow link.
_ACK_TIMEOUT_SECONDS = 1.0
# The connection fails then. A host that is only paused for a second or two acknowledges before.
_ACK_LIMIT_SECONDS = 3.0
# A body above this may fill the endpoint's window. The kernel counts an endpoint that reads slowly,
# with its window closed, as one that acknowledges nothing.
_MAX_ACKNOWLEDGED_BODY_BYTES = 16384
_MAX_IDLE_PER_ADDRESS = 32
# How ``h11`` marks bytes beyond the limit on an incomplete head, chunk header or trailer.
_TOO_LONG_STATUS = 431


class CallFailure(Enum):
    """How far a call had progressed when its connection was lost."""

    NOT_SENT = auto()
    MAY_HAVE_RUN = auto()
    ANSWER_CUT = auto()


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """A request to an endpoint; ``max_answer_bytes`` limits the body of its answer, if set."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes
    max_answer_bytes: int | None = None


class CallOwner(Protocol):
    """Callbacks for one call; ``response_completed`` or ``call_failed`` is the last."""

    def response_started(self, status: int, headers: Headers) -> None:
        """Handle the status and headers of the response."""

    def response_data(self, content: bytes) -> None:
        """Handle a chunk of the response body."""

    def response_completed(self) -> None:
        """Handle the end of a complete response."""

    def call_failed(self, how: CallFailure, detail: str) -> None:
        """Handle a lost connection or an invalid response."""


class EndpointConnection:
    """A client connection that carries one call at a time."""

    def __init__(self, pool: EndpointPool, loop: EventLoop, address: str) -> None:
        self.address = address
        self.idle_since = 0.0
        self.reuse_seconds = _DEFAULT_REUSE_SECONDS
        self._pool = pool
        self._loop = loop
        self._call: EndpointCall | None = None
        self._established = False
        self._codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self._meter = AnswerMeter()
        self.opened_at = loop.now()
        self._answered = False
        self._ended = False
        self._checks_ack = False
        self._ack_timer: Timer | None = None
        begun = pool.dial(address)
        self.failed = begun.error != 0
        self.refused = begun.error == errno.ECONNREFUSED
        if self.failed:
            return
        self._timer: Timer | None = loop.call_later(
            _CONNECT_TIMEOUT_SECONDS, self._connect_timed_out
        )
        self._transport = Transport(loop, begun.socket, self, connecting=True)
        self._transport.read_gate = self._read_size

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._transport.closed

    @property
    def acknowledged(self) -> bool:
        """Return whether the other host has acknowledged all that was sent."""
        return not self.closed and not self._transport.unacknowledged_bytes

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of the request that the endpoint has not taken yet."""
        return self._transport.write_buffer_size

    def resume_reading(self) -> None:
        """Read the response again after its call refused a read."""
        self._transport.resume_reading()

    def set_ack_timeout(self, body_bytes: int) -> None:
        """Limit how long the request may stay unacknowledged, unless its body is large."""
        limited = body_bytes <= _MAX_ACKNOWLEDGED_BODY_BYTES
        self._transport.set_ack_timeout(_ACK_LIMIT_SECONDS if limited else 0.0)
        self._checks_ack = limited

    def send(self, call: EndpointCall) -> None:
        """Send the request of a call once the connection is established."""
        self._call = call
        self._meter = AnswerMeter(call.request.max_answer_bytes)
        if self._established:
            self._send_request()

    def close(self) -> None:
        """Close the connection without notifying the call."""
        self._call = None
        self._stop_timer()
        self._stop_ack_timer()
        self._transport.close()

    def connection_made(self) -> None:
        """Send the pending request."""
        self._stop_timer()
        self._established = True
        if self._call is None:
            return
        try:
            self._send_request()
        except Exception as error:
            self._handler_failed(error)

    def data_received(self, data: bytes) -> None:
        """Handle data or EOF from the endpoint."""
        self._ended = not data
        if data and not self._answered:
            self._answered = True
            self._pool.observer.reached(self.address, self.opened_at)
        call, meter = self._call, self._meter
        if call is None:
            # Neither data nor EOF is expected on an idle connection.
            self._pool.discard(self)
            return
        meter.received(len(data))
        try:
            self._codec.receive_data(data)
            self._process_events()
        except h11.RemoteProtocolError as error:
            if error.error_status_hint == _TOO_LONG_STATUS:
                self._exceed_limit(f"a head or trailer exceeds {MAX_HEAD_BYTES} bytes")
                return
            self._fail_call(str(error))
            return
        except Exception as error:
            self._handler_failed(error)
            return
        # The connection may carry another call by now.
        exceeded = meter.exceeded_limit() if self._call is call else None
        if exceeded is not None:
            self._exceed_limit(exceeded)

    def connection_lost(self, error: OSError) -> None:
        """Handle a connection error."""
        self._stop_timer()
        if not self._answered or error.errno == errno.ETIMEDOUT:
            self._pool.observer.connection_failed(self.address)
        if self._call is None:
            self._pool.discard(self)
            return
        self._call.refused = error.errno == errno.ECONNREFUSED
        self._fail_call(str(error))

    def _send_request(self) -> None:
        call = self._call
        assert call is not None
        request = call.request
        head = self._codec.send(
            h11.Request(method=request.method, target=request.target, headers=request.headers)
        )
        call.sent = True
        self._transport.write(head)
        if request.body:
            self._transport.write(self._codec.send(h11.Data(data=request.body)))
            # The transport keeps what is unsent.
            call.request = replace(request, body=b"")
        self._transport.write(self._codec.send(h11.EndOfMessage()))
        if self._checks_ack:
            self._ack_timer = self._loop.call_later(_ACK_TIMEOUT_SECONDS, self._check_acknowledged)

    def _check_acknowledged(self) -> None:
        """Report a request that the other host has not acknowledged in time."""
        call = self._call
        if call is None or not self._transport.unacknowledged_bytes:
            return
        self._pool.observer.connection_failed(self.address)
        if call.on_unacknowledged is not None:
            call.on_unacknowledged()

    def _stop_ack_timer(self) -> None:
        if self._ack_timer is not None:
            self._ack_timer.cancel()
            self._ack_timer = None

    def _read_size(self) -> int:
        """Return how many bytes of the response may be read now."""
        call = self._call
        if call is None or call.read_gate is None:
            return MAX_READ_BYTES
        return call.read_gate()

    def _process_events(self) -> None:
        while self._call is not None:
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._apply_keep_alive(event)
                self._call.response_started = True
                self._meter.head_completed(event.status_code)
                self._call.owner.response_started(event.status_code, event.headers.raw_items())
            elif isinstance(event, h11.Data):
                self._meter.body_received(len(event.data))
                self._call.owner.response_data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._complete_call()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail_call("the endpoint closed the connection")

    def _complete_call(self) -> None:
        self._stop_ack_timer()
        call, self._call = self._call, None
        assert call is not None
        both_done = self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        # Trailing data belongs to no request; after an early response, the endpoint may still
        # expect the rest of the request body. An answer without a length ends with its connection.
        reusable = (
            both_done
            and not self._ended
            and not self._codec.trailing_data[0]
            and not self._transport.write_buffer_size
        )
        if reusable:
            self._codec.start_next_cycle()
            self._pool.release(self)
        else:
            self._transport.close()
        call.owner.response_completed()

    def _apply_keep_alive(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, seconds = part.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    self.reuse_seconds = int(seconds) - _KEEP_ALIVE_MARGIN_SECONDS

    def _connect_timed_out(self) -> None:
        self._transport.close()
        self._pool.observer.connection_failed(self.address)
        self._fail_call("connect timed out")

    def _exceed_limit(self, limit: str) -> None:
        """Break off an answer that may go on without end."""
        if self._call is None:
            return
        self._pool.answers_over_limit += 1
        log_events.ANSWER_OVER_LIMIT.write(
            _logger, address=self.address, limit=limit, bytes=self._meter.received_bytes
        )
        self._fail_call(f"the answer was broken off: {limit}")

    def _handler_failed(self, error: Exception) -> None:
        """End the call whose handler failed, so that nobody waits for it."""
        _logger.exception("call handler failed", extra={"address": self.address})
        self._fail_call(f"a handler of the call failed: {type(error).__name__}")

    def _fail_call(self, detail: str) -> None:
        self._stop_timer()
        self._stop_ack_timer()
        self._transport.close()
        call, self._call = self._call, None
        if call is None:
            return
        if not call.sent:
            call.owner.call_failed(CallFailure.NOT_SENT, detail)
        elif call.response_started:
            call.owner.call_failed(CallFailure.ANSWER_CUT, detail)
        else:
            call.owner.call_failed(CallFailure.MAY_HAVE_RUN, detail)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class EndpointCall:
    """A request in progress at an endpoint."""

    def __init__(self, owner: CallOwner, request: OutgoingRequest) -> None:
        self.owner = owner
        self.request = request
        self.sent = False
        self.response_started = False
        self.reused = False
        # Whether the other host refused the connection, so that nothing listens there.
        self.refused = False
        self.connection: EndpointConnection | None = None
        # Returns how many bytes of the response may be read now; 0 pauses it.
        self.read_gate: Callable[[], int] | None = None
        # Called once if the other host does not acknowledge the request in time.
        self.on_unacknowledged: Callable[[], None] | None = None

    @property
    def acknowledged(self) -> bool:
        """Return whether the other host has acknowledged the whole request."""
        return self.sent and self.connection is not None and self.connection.acknowledged

    @property
    def connected_at(self) -> float | None:
        """Return when its connection was begun, or None without one."""
        return None if self.connection is None else self.connection.opened_at

    @property
    def unsent_bytes(self) -> int:
        """Return the bytes of the request that the endpoint has not taken yet."""
        return 0 if self.connection is None else self.connection.unsent_bytes

    def resume_reading(self) -> None:
        """Read the response again after ``read_gate`` refused a read."""
        if self.connection is not None:
            self.connection.resume_reading()

    def cancel(self) -> None:
        """Close the connection, so that the endpoint stops its work; the owner is not notified."""
        if self.connection is not None:
            self.connection.close()


class ConnectionObserver(Protocol):
    """Learns which addresses new connections reach."""

    def connection_failed(self, address: str) -> None:
        """Handle a connection that could not be opened or failed before any answer."""

    def reached(self, address: str, opened_at: float) -> None:
        """Handle the first answer on a connection that was opened at a time."""


class _NoObserver:
    def connection_failed(self, address: str) -> None:
        """Ignore it."""

    def reached(self, address: str, opened_at: float) -> None:
        """Ignore it."""


class EndpointPool:
    """A pool of persistent connections by address."""

    def __init__(self, loop: EventLoop) -> None:
        self.observer: ConnectionObserver = _NoObserver()
        self.dial: Dialer = dial
        self._loop = loop
        self._idle_by_address: dict[str, deque[EndpointConnection]] = defaultdict(deque)
        self.connections_opened = 0
        self.answers_over_limit = 0

    def call(
        self, address: str, owner: CallOwner, request: OutgoingRequest, *, fresh: bool = False
    ) -> EndpointCall:
        """Send a request; ``fresh`` forces a new connection without data of earlier responses."""
        call = EndpointCall(owner, request)
        connection = None if fresh else self._take_idle(address)
        call.reused = connection is not None
        if connection is None:
            connection = EndpointConnection(self, self._loop, address)
            self.connections_opened += 1
        if connection.failed:
            call.refused = connection.refused
            self.observer.connection_failed(address)
            self._loop.post(lambda: owner.call_failed(CallFailure.NOT_SENT, "connect failed"))
            return call
        call.connection = connection
        if not fresh:
            connection.set_ack_timeout(len(request.body))
        connection.send(call)
        return call

    def release(self, connection: EndpointConnection) -> None:
        """Return a connection to the pool after a complete response."""
        idle = self._idle_by_address[connection.address]
        if len(idle) >= _MAX_IDLE_PER_ADDRESS or connection.reuse_seconds <= 0:
            connection.close()
            return
        connection.idle_since = self._loop.now()
        idle.append(connection)

    def discard(self, connection: EndpointConnection) -> None:
        """Close an idle connection and remove it from the pool."""
        connection.close()
        try:
            self._idle_by_address[connection.address].remove(connection)
        except ValueError:
            return  # Already removed.

    def close_idle(self, address: str) -> None:
        """Close the idle connections to an address that now belongs to another endpoint."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def _take_idle(self, address: str) -> EndpointConnection | None:
        idle = self._idle_by_address[address]
        now = self._loop.now()
        while idle:
            connection = idle.pop()
            if now - connection.idle_since < connection.reuse_seconds and not connection.closed:
                return connection
            connection.close()
        return None
