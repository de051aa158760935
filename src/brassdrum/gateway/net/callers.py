"""Serve callers' connections over HTTP/1.1 with ``h11`` as the codec.

``waitress`` rewrites header names, reads bodies ahead of the application and knows no time limit
for a header; a verbatim relay needs all three, so this border uses its nearest kin.
"""

from __future__ import annotations

import logging
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

import h11

from brassdrum.gateway.model import CallerLimits, Headers, RequestHead
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.transport import Transport

__all__ = ["CallerConnection", "CallerHandler", "Listener", "Responder"]

_logger = logging.getLogger(__name__)
_BACKLOG = 1024
_ACCEPTS_PER_WAKE = 64
# A caller that stops reading may hold this much of its answer; then its connection is dropped.
_LARGEST_BACKLOG = 4 << 20
_REASONS = {400: b"Bad Request", 408: b"Request Timeout", 413: b"Content Too Large"}
_REASONS |= {431: b"Request Header Fields Too Large", 503: b"Service Unavailable", 200: b"OK"}


class CallerHandler(Protocol):
    """Answer one request."""

    def caller_left(self) -> None:
        """Learn that the caller closed its connection before the answer was whole."""


class Responder(Protocol):
    """Decide how requests are answered and how long connections live."""

    def limits(self) -> CallerLimits:
        """Return the limits in force."""

    def closing(self) -> bool:
        """Return whether connections shall end after their present answer."""

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes
    ) -> CallerHandler | None:
        """Begin to answer a request that was read whole; None if it is answered already."""


class Listener:
    """Accept connections on one address."""

    def __init__(
        self, loop: EventLoop, host: str, port: int, accept: Callable[[socket.socket], None]
    ) -> None:
        self._loop = loop
        self._accept = accept
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._socket.bind((host, port))
        self._socket.listen(_BACKLOG)
        self._socket.setblocking(False)
        self.port = int(self._socket.getsockname()[1])
        loop.watch(self._socket, selectors.EVENT_READ, self._ready)

    def close(self) -> None:
        """Take no more connections."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _ready(self, _events: int) -> None:
        for _ in range(_ACCEPTS_PER_WAKE):
            try:
                sock, _address = self._socket.accept()
            except BlockingIOError:
                return
            except OSError as error:
                _logger.warning("accept failed", extra={"error": str(error)})
                return
            self._accept(sock)


class CallerConnection:
    """Read requests from one connection, one at a time, and write their answers."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        responder: Responder,
        on_closed: Callable[[CallerConnection], None],
    ) -> None:
        self._loop = loop
        self._responder = responder
        self._on_closed = on_closed
        self._limits = responder.limits()
        self._codec = h11.Connection(
            h11.SERVER, max_incomplete_event_size=self._limits.header_bytes
        )
        self._head: RequestHead | None = None
        self._body = bytearray()
        self._handler: CallerHandler | None = None
        self._answering = False
        self._timer: Timer | None = None
        self._reading = False
        self._transport = Transport(loop, sock, self)
        self._wait_idle()

    @property
    def busy(self) -> bool:
        """Return whether a request is being read or answered."""
        return self._answering or self._reading

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._transport.closed

    def begin(self, status: int, headers: Headers) -> None:
        """Send the start of the answer."""
        if self._responder.closing():
            headers = [*headers, (b"Connection", b"close")]
        reason = _REASONS.get(status, b"Status")
        self._send(h11.Response(status_code=status, headers=headers, reason=reason))

    def data(self, content: bytes) -> None:
        """Send a part of the answer's body."""
        self._send(h11.Data(data=content))
        if self._transport.backlog > _LARGEST_BACKLOG:
            _logger.warning("caller reads too slowly", extra={"backlog": self._transport.backlog})
            self._lose()

    def end(self) -> None:
        """End a whole answer and wait for the next request."""
        self._send(h11.EndOfMessage())
        self._answering = False
        self._handler = None
        if self._transport.closed:
            return
        if self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE:
            self._codec.start_next_cycle()
            self._wait_idle()
            self._advance()
            return
        self._close_politely()

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send a whole answer."""
        length = (b"Content-Length", b"%d" % len(body))
        self.begin(status, [*headers, length])
        if body:
            self.data(body)
        if not self._transport.closed:
            self.end()

    def abort(self) -> None:
        """Break the answer off so that it cannot look whole."""
        self._answering = False
        self._handler = None
        # Every answer has a length or chunks, so an early end of the connection shows; a reset
        # would take away bytes that the caller has not read yet.
        self._shut()

    def close_if_idle(self) -> None:
        """Close a connection on which no request is being read or answered."""
        if not self.busy and not self._transport.closed:
            self._shut()

    def connected(self) -> None:
        """Do nothing: callers' connections are established when they are accepted."""

    def received(self, data: bytes) -> None:
        """Take bytes of the caller."""
        if not data and self._answering:
            self._lose()
            return
        if not data and not self._reading:
            self._shut()
            return
        try:
            self._codec.receive_data(data)
        except h11.RemoteProtocolError as error:
            self._refuse(error)
            return
        if not self._answering:
            self._advance()

    def lost(self, _error: OSError) -> None:
        """Learn that the connection broke."""
        self._lose()

    def _advance(self) -> None:
        while not self._answering and not self._transport.closed:
            try:
                event = self._codec.next_event()
            except h11.RemoteProtocolError as error:
                self._refuse(error)
                return
            if event is h11.NEED_DATA:
                self._note_partial_read()
                return
            if event is h11.PAUSED:
                return
            self._take(event)

    def _take(self, event: h11.Event) -> None:
        if isinstance(event, h11.Request):
            self._begin_reading()
            self._head = RequestHead(event.method, event.target, event.headers.raw_items())
            if self._head.size > self._limits.header_bytes:
                # The codec bounds only what comes in pieces, not a head that comes at once.
                self._fail(431)
                return
            if self._codec.they_are_waiting_for_100_continue:
                self._send(h11.InformationalResponse(status_code=100, headers=[]))
        elif isinstance(event, h11.Data):
            self._body += event.data
            if len(self._body) > self._limits.body_bytes:
                self._fail(413)
        elif isinstance(event, h11.EndOfMessage):
            self._handle()
        elif isinstance(event, h11.ConnectionClosed):
            self._shut()

    def _handle(self) -> None:
        self._stop_timer()
        head, body = self._head, bytes(self._body)
        assert head is not None
        self._head, self._body = None, bytearray()
        self._reading = False
        self._answering = True
        handler = self._responder.handle(self, head, body)
        if self._answering:
            self._handler = handler

    def _note_partial_read(self) -> None:
        if not self._reading and self._codec.trailing_data[0]:
            self._begin_reading()

    def _begin_reading(self) -> None:
        if self._reading:
            return
        self._reading = True
        self._limits = self._responder.limits()
        self._start_timer(self._limits.header_seconds, lambda: self._fail(408))

    def _wait_idle(self) -> None:
        if self._responder.closing():
            return
        self._start_timer(self._responder.limits().idle_seconds, self._shut)

    def _start_timer(self, seconds: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(seconds, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None

    def _refuse(self, error: h11.RemoteProtocolError) -> None:
        _logger.info("unreadable request", extra={"error": str(error)})
        self._fail(error.error_status_hint)

    def _fail(self, status: int) -> None:
        """Answer what cannot be read any further, and close."""
        if self._codec.our_state is h11.IDLE or self._codec.our_state is h11.SEND_RESPONSE:
            self._send(
                h11.Response(
                    status_code=status,
                    reason=_REASONS.get(status, b"Refused"),
                    headers=[(b"Content-Length", b"0"), (b"Connection", b"close")],
                )
            )
            self._send(h11.EndOfMessage())
        self._close_politely()

    def _close_politely(self) -> None:
        self._stop_timer()
        self._transport.close_when_sent()
        if self._transport.closed:
            self._on_closed(self)
        else:
            self._start_timer(self._limits.header_seconds, self._shut)

    def _send(self, event: h11.Event) -> None:
        if self._transport.closed:
            return
        data = self._codec.send(event)
        if data:
            self._transport.write(data)

    def _lose(self) -> None:
        handler, self._handler = self._handler, None
        self._answering = False
        self._shut()
        if handler is not None:
            handler.caller_left()

    def _shut(self) -> None:
        self._stop_timer()
        self._transport.close()
        self._on_closed(self)
