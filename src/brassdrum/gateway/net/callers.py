"""HTTP/1.1 server connections, with ``h11`` as the codec.

``waitress`` is not suitable for a verbatim proxy: it rewrites header names, buffers bodies before
it calls the application and has no timeout for headers.
"""

from __future__ import annotations

import logging
import re
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

import h11

from brassdrum.gateway.model import CallerLimits, Headers, RequestHead
from brassdrum.gateway.net.answer_limits import framing_limit
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.pacing import CallerFlow, Pacer, UnpacedFlow
from brassdrum.gateway.net.transport import Transport
from brassdrum.telemetry import log_events

__all__ = ["CallerConnection", "CallerHandler", "Listener", "Responder"]

_logger = logging.getLogger(__name__)
_LISTEN_BACKLOG = 1024
_MAX_ACCEPTS_PER_EVENT = 64
# Pause after a failed accept, as a rule for want of descriptors.
_ACCEPT_PAUSE_SECONDS = 0.05
# Further requests of a caller beyond this are not read while it has a response to come.
_MAX_PIPELINED_BYTES = 65536
# How often it is checked whether a caller has left whose socket is not read.
_LEFT_CHECK_SECONDS = 0.5
# ``h11`` quotes the line that it rejects, which may hold a key; what comes before is logged.
_QUOTED = re.compile(r":|\(|\bb['\"]")
_REASON_PHRASES = {400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large"}
_REASON_PHRASES |= {
    431: b"Request Header Fields Too Large",
    503: b"Service Unavailable",
    200: b"OK",
}


class CallerHandler(Protocol):
    """Processes one request."""

    def caller_disconnected(self) -> None:
        """Handle the loss of the caller's connection before the response is complete."""


class Responder(Protocol):
    """Handles the requests of connections and provides their limits."""

    def limits(self) -> CallerLimits:
        """Return the current limits."""

    def closing(self) -> bool:
        """Return whether connections are closed after their current response."""

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Process a complete request; return None if the response has been sent.

        ``body`` is None if there was no room for it; the request must be refused then.
        """


class Listener:
    """A listening TCP socket."""

    def __init__(
        self, loop: EventLoop, host: str, port: int, accept: Callable[[socket.socket], None]
    ) -> None:
        self._loop = loop
        self._accept = accept
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._socket.listen(_LISTEN_BACKLOG)
        self._socket.setblocking(False)
        self.port = int(self._socket.getsockname()[1])
        loop.watch(self._socket, selectors.EVENT_READ, self._accept_pending)

    def close(self) -> None:
        """Stop accepting connections."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _accept_pending(self, _events: int) -> None:
        for _ in range(_MAX_ACCEPTS_PER_EVENT):
            try:
                sock, _address = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _logger.warning("failed to accept connection", extra={"error": str(error)})
                self._pause()
                return
            self._accept(sock)

    def _pause(self) -> None:
        """Accept nothing for a moment; the socket stays readable until a descriptor is free."""
        self._loop.unwatch(self._socket)
        self._loop.call_later(_ACCEPT_PAUSE_SECONDS, self._resume)

    def _resume(self) -> None:
        if self._socket.fileno() >= 0:
            self._loop.watch(self._socket, selectors.EVENT_READ, self._accept_pending)


class CallerConnection:
    """A server connection that handles one request at a time.

    The next request begins once the caller has taken the response to the one before.
    """

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        responder: Responder,
        on_closed: Callable[[CallerConnection], None],
        pacer: Pacer | None = None,
        on_cut: Callable[[str], None] | None = None,
    ) -> None:
        self.flow: CallerFlow | UnpacedFlow = UnpacedFlow() if pacer is None else pacer.open()
        self._on_cut = on_cut
        self._cut_recorded = False
        # Bytes of responses that the socket has not taken yet.
        self._unsent = 0
        self._loop = loop
        self._responder = responder
        self._on_closed = on_closed
        self._limits = responder.limits()
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._body_bytes = 0
        # Bytes of the request, without those of the read that began it.
        self._request_bytes = 0
        self._body_refused = False
        self._handler: CallerHandler | None = None
        self._responding = False
        self._delivering = False
        # Whether the connection closes once what is buffered was sent.
        self._closing = False
        self._timer: Timer | None = None
        self._reading = False
        self._transport = Transport(loop, sock, self)
        self._transport.on_drain = self._drained
        self._start_idle_timer()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or processed, or its response delivered."""
        delivering = not self.closed and self._transport.write_buffer_size > 0
        return self._responding or self._reading or delivering

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._transport.closed

    def start_response(self, status: int, headers: Headers) -> None:
        """Send the status and headers of a response."""
        if self._responder.closing():
            headers = [*headers, (b"Connection", b"close")]
        reason = _REASON_PHRASES.get(status, b"Status")
        self._send(h11.Response(status_code=status, headers=headers, reason=reason))

    def send_data(self, content: bytes) -> None:
        """Send a chunk of the response body."""
        self._send(h11.Data(data=content))

    def end_response(self) -> None:
        """Complete the response; wait until the caller has it, then for the next request."""
        self._send(h11.EndOfMessage())
        self._responding = False
        self._handler = None
        self.flow.response_ended()
        self.flow.release_body()
        if self._transport.closed:
            return
        if self._codec.our_state is not h11.DONE or self._codec.their_state is not h11.DONE:
            self._close_after_flush()
            return
        self._codec.start_next_cycle()
        if self._transport.write_buffer_size:
            self._delivering = True
            self._start_delivery_timer()
            return
        self._await_request()

    def send_response(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a complete response."""
        length = (b"Content-Length", b"%d" % len(body))
        self.start_response(status, [*headers, length])
        if body:
            self.send_data(body)
        if not self._transport.closed:
            self.end_response()

    def abort(self) -> None:
        """Close the connection, leaving the response visibly incomplete."""
        self._responding = False
        self._handler = None
        if self._codec.their_http_version == b"1.0":
            # This caller gets no chunks: to it an orderly end is the end of the response.
            self._transport.reset_on_close()
        # Others see the truncation by the framing. A reset could discard data that they have not
        # read yet.
        self._close()

    def close_if_idle(self) -> None:
        """Close the connection unless a request is being read or processed."""
        if not self.busy and not self._transport.closed:
            self._close()

    def record_stop(self) -> None:
        """Record a request or a response that the end of the daemon cuts off."""
        if self.busy and not self._responding:
            self._record_cut("the daemon stopped")

    def connection_made(self) -> None:
        """Do nothing: accepted connections are already established."""

    def data_received(self, data: bytes) -> None:
        """Handle data or EOF from the caller."""
        # The end of the caller's data counts as its disconnect, also while it is sent a response.
        if not data and self._responding:
            self._handle_disconnect()
            return
        if not data and (not self._reading or self._closing):
            self._record_left()
            self._close()
            return
        if self._closing:
            # No request is read any more. The bytes are dropped instead of left in the socket, for
            # the reset of a connection with unread data may discard the response.
            return
        self._request_bytes += len(data)
        try:
            self._codec.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._reject_malformed(error)
            return
        if self._responding or self._delivering:
            self._limit_pipelined()
            return
        self._process_events()

    def connection_lost(self, _error: OSError) -> None:
        """Handle a connection error."""
        self._handle_disconnect()

    def _await_request(self) -> None:
        """Begin with the next request, which may have been read already."""
        self._transport.resume_reading()
        self._start_idle_timer()
        self._process_events()

    def _drained(self) -> None:
        """Handle bytes that the caller has taken."""
        self._set_unsent()
        if self._transport.closed:
            self._close()
            return
        if self._delivering and not self._transport.write_buffer_size:
            self._delivering = False
            self._stop_timer()
            self._await_request()

    def _limit_pipelined(self) -> None:
        """Stop reading further requests that a caller sends before it has its response."""
        if len(self._codec.trailing_data[0]) <= _MAX_PIPELINED_BYTES:
            return
        self._transport.pause_reading()
        self._loop.call_later(_LEFT_CHECK_SECONDS, self._check_left)

    def _check_left(self) -> None:
        """Notice that a caller has left whose socket is not read."""
        if self._transport.closed or not self._transport.reading_paused:
            return
        if self._transport.peer_closed:
            self._handle_disconnect()
            return
        self._loop.call_later(_LEFT_CHECK_SECONDS, self._check_left)

    def _process_events(self) -> None:
        while not self._responding and not self._transport.closed:
            try:
                event = self._codec.next_event()
            except h11.RemoteProtocolError as error:
                self._reject_malformed(error)
                return
            if event is h11.NEED_DATA:
                self._check_partial_head()
                self._check_framing()
                return
            if event is h11.PAUSED:
                return
            self._process_event(event)

    def _process_event(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._begin_reading()
            self._head = RequestHead(event.method, event.target, event.headers.raw_items())
            if self._head.size > self._limits.header_bytes:
                # h11 limits only incomplete heads, not one that arrives in a single read.
                self._send_error(431, "the head is too long")
                return
            if not self.flow.reserve_body(self._declared_body_bytes()):
                self._body_refused = True
            if self._codec.they_are_waiting_for_100_continue:
                if self._body_refused:
                    self._dispatch_request()
                    return
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            self._add_body(event.data)
        elif isinstance(event, h11.EndOfMessage):
            self._dispatch_request()
        elif isinstance(event, h11.ConnectionClosed):
            self._record_left()
            self._close()

    def _declared_body_bytes(self) -> int:
        """Return the length that a request declares for its body, 0 if it declares none."""
        assert self._head is not None
        for name, value in self._head.headers:
            if name.lower() == b"content-length":
                return min(int(value), self._limits.body_bytes)
        return 0

    def _add_body(self, data: bytes | bytearray) -> None:
        """Keep a part of a request body, or drop it if there is no room for the body."""
        self._body_bytes += len(data)
        if self._body_bytes > self._limits.body_bytes:
            self._send_error(413, "the body is too long")
            return
        if not self._body_refused and not self.flow.reserve_body(self._body_bytes):
            self._body_refused = True
        if self._body_refused:
            # The rest is read and dropped, so that the caller gets its refusal.
            self._body = bytearray()
            self.flow.release_body()
            return
        self._body += data

    def _dispatch_request(self) -> None:
        self._stop_timer()
        head = self._head
        body = None if self._body_refused else bytes(self._body)
        assert head is not None
        self._head, self._body = None, bytearray()
        self._reading = False
        self._responding = True
        try:
            handler = self._responder.handle(self, head, body)
        except Exception:
            # Nothing was sent to an endpoint: from there on requests end by themselves.
            _logger.exception("request handler failed")
            self._send_error(503, "its handler failed")
            return
        if self._responding:
            self._handler = handler

    def _check_partial_head(self) -> None:
        if not self._reading and self._codec.trailing_data[0]:
            self._begin_reading()

    def _check_framing(self) -> None:
        """Refuse a request whose chunk extensions have no end."""
        limit = framing_limit(self._limits.header_bytes, self._body_bytes)
        if self._reading and self._request_bytes - self._body_bytes > limit:
            self._send_error(431, f"its framing exceeds {limit} bytes")

    def _begin_reading(self) -> None:
        if self._reading:
            return
        self._reading = True
        self._body_bytes = 0
        self._request_bytes = 0
        self._body_refused = False
        self._cut_recorded = False
        self.flow.deliver_until = 0.0
        self._limits = self._responder.limits()
        self._start_timer(
            self._limits.header_seconds,
            lambda: self._send_error(408, "the request was not complete in time"),
        )

    def _start_idle_timer(self) -> None:
        if self._responder.closing():
            return
        self._start_timer(self._responder.limits().idle_seconds, self._close)

    def _start_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _reject_malformed(self, error: h11.RemoteProtocolError) -> None:
        self._send_error(error.error_status_hint, _QUOTED.split(str(error), maxsplit=1)[0].strip())

    def _send_error(self, status: int, reason: str) -> None:
        """Send an error response, if still possible, and close the connection."""
        is_sendable = self._codec.our_state is h11.IDLE or (
            self._codec.our_state is h11.SEND_RESPONSE
        )
        self._record_cut(reason, status if is_sendable else 0)
        if is_sendable:
            self._send(
                h11.Response(
                    status_code=status,
                    reason=_REASON_PHRASES.get(status, b"Refused"),
                    headers=[(b"Content-Length", b"0"), (b"Connection", b"close")],
                )
            )
            self._send(h11.EndOfMessage())
        self._close_after_flush()

    def _close_after_flush(self) -> None:
        self._closing = True
        self._stop_timer()
        self.flow.release_body()
        self._transport.close_when_sent()
        if self._transport.closed:
            self._close()
        else:
            self._start_delivery_timer()

    def _start_delivery_timer(self) -> None:
        """Bound how long a complete response waits for a caller that reads slowly."""
        seconds = max(self._limits.header_seconds, self.flow.deliver_until - self._loop.now())
        self._start_timer(seconds, self._delivery_expired)

    def _delivery_expired(self) -> None:
        log_events.NOT_READ.write(_logger, unsent=self._transport.write_buffer_size)
        self._count_cut("delivering")
        self.abort()

    def _send(self, event: h11.Event) -> None:
        if self._transport.closed:
            return
        data = self._codec.send(event)
        if data:
            self._transport.write(data)
            self._set_unsent()

    def _set_unsent(self) -> None:
        self._unsent = self._transport.write_buffer_size
        self.flow.set_unsent(self._unsent)

    def _record_left(self) -> None:
        """Record a caller that left while its request was read or its response delivered."""
        if self._reading or self._unsent:
            self._record_cut("the caller closed its connection")

    def _record_cut(self, reason: str, status: int = 0) -> None:
        """Log that the connection closes under a request, once a request."""
        if self._cut_recorded:
            return
        stage = "reading"
        if not self._reading and self._unsent:
            stage = "delivering"
        log_events.CONNECTION_CLOSED.write(
            _logger,
            request=None,
            stage=stage,
            status=status,
            unsent=self._unsent,
            reason=reason,
        )
        self._count_cut(stage)

    def _count_cut(self, stage: str) -> None:
        """Count a connection that closes under a request, once a request."""
        if self._on_cut is not None and not self._cut_recorded:
            self._on_cut(stage)
        self._cut_recorded = True

    def _handle_disconnect(self) -> None:
        handler, self._handler = self._handler, None
        if handler is None:
            self._record_left()
        self._responding = False
        self._close()
        if handler is not None:
            handler.caller_disconnected()

    def _close(self) -> None:
        self._stop_timer()
        self._transport.close()
        self.flow.close()
        self._on_closed(self)
