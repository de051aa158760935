"""Send requests to endpoints over kept connections, with ``h11`` as the codec."""

from __future__ import annotations

import errno
import socket
from collections import defaultdict, deque
from dataclasses import dataclass
from enum import Enum, auto
from typing import Protocol

import h11

from brassdrum.gateway.model import Headers
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.net.transport import Transport

__all__ = ["Break", "CallOwner", "EndpointCall", "EndpointPool", "OutgoingRequest"]

# A connection that is not up after this is given up: a handshake takes about 5 ms between zones.
_CONNECT_SECONDS = 0.3
# Endpoints that name no idle time close connections after seconds; a shorter reuse is safe.
_REUSE_SECONDS = 2.0
# Endpoints close at the time that they name; a request on its way then would be lost.
_KEEP_ALIVE_MARGIN_SECONDS = 0.5
# A host that is gone, or a connection that went silent, acknowledges nothing: a request that may be
# sent again is not left there for longer. Round trips take about 5 ms; this bears two lost packets,
# and half a second of waiting at a thin link.
_UNACKNOWLEDGED_SECONDS = 1.0
_MOST_IDLE = 32
_LARGEST_HEADER_BYTES = 65536


class Break(Enum):
    """Say how far a call got before its connection broke."""

    NOT_SENT = auto()
    MAY_HAVE_RUN = auto()
    ANSWER_CUT = auto()


@dataclass(frozen=True, slots=True)
class OutgoingRequest:
    """Hold one request for an endpoint."""

    method: bytes
    target: bytes
    headers: Headers
    body: bytes


class CallOwner(Protocol):
    """Be told of one call's answer; after ``answered`` or ``broken`` nothing more comes."""

    def began(self, status: int, headers: Headers) -> None:
        """Take the start of the answer."""

    def data(self, content: bytes) -> None:
        """Take a part of the answer's body."""

    def answered(self) -> None:
        """Learn that the answer is whole."""

    def broken(self, how: Break, detail: str) -> None:
        """Learn that the connection broke."""


class EndpointConnection:
    """Carry one call at a time."""

    def __init__(self, pool: EndpointPool, loop: EventLoop, address: str) -> None:
        self.address = address
        self.idle_since = 0.0
        self.reuse_seconds = _REUSE_SECONDS
        self._pool = pool
        self._loop = loop
        self._call: EndpointCall | None = None
        self._up = False
        self._codec = h11.Connection(h11.CLIENT, max_incomplete_event_size=_LARGEST_HEADER_BYTES)
        host, _, port = address.rpartition(":")
        sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        sock.setblocking(False)
        code = sock.connect_ex((host, int(port)))
        self.failed = code not in (0, errno.EINPROGRESS)
        if self.failed:
            sock.close()
            return
        self._timer: Timer | None = loop.call_later(_CONNECT_SECONDS, self._connect_late)
        self._transport = Transport(loop, sock, self, connecting=True)

    @property
    def closed(self) -> bool:
        """Return whether the connection is closed."""
        return self._transport.closed

    def bound_acknowledgement(self) -> None:
        """Break off soon when the endpoint's host does not acknowledge the request."""
        self._transport.bound_acknowledgement(_UNACKNOWLEDGED_SECONDS)

    def send(self, call: EndpointCall) -> None:
        """Begin a call as soon as the connection is up."""
        self._call = call
        if self._up:
            self._write()

    def close(self) -> None:
        """Close, telling the call nothing."""
        self._call = None
        self._stop_timer()
        self._transport.close()

    def connected(self) -> None:
        """Send what waits for the connection."""
        self._stop_timer()
        self._up = True
        if self._call is not None:
            self._write()

    def received(self, data: bytes) -> None:
        """Take bytes of the endpoint."""
        if self._call is None:
            # Bytes or an end on an idle connection belong to no request.
            self._pool.discard(self)
            return
        try:
            self._codec.receive_data(data)
            self._advance()
        except h11.RemoteProtocolError as error:
            self._fail(str(error))

    def lost(self, error: OSError) -> None:
        """Learn that the connection broke."""
        self._stop_timer()
        if self._call is None:
            self._pool.discard(self)
            return
        self._fail(str(error))

    def _write(self) -> None:
        call = self._call
        assert call is not None
        request = call.request
        call.sent = True
        self._transport.write(
            self._codec.send(
                h11.Request(method=request.method, target=request.target, headers=request.headers)
            )
        )
        if request.body:
            self._transport.write(self._codec.send(h11.Data(data=request.body)))
        self._transport.write(self._codec.send(h11.EndOfMessage()))

    def _advance(self) -> None:
        while self._call is not None:
            event = self._codec.next_event()
            if event is h11.NEED_DATA or event is h11.PAUSED:
                return
            if isinstance(event, h11.Response):
                self._note_keep_alive(event)
                self._call.began = True
                self._call.owner.began(event.status_code, event.headers.raw_items())
            elif isinstance(event, h11.Data):
                self._call.owner.data(bytes(event.data))
            elif isinstance(event, h11.EndOfMessage):
                self._finish()
            elif isinstance(event, h11.ConnectionClosed):
                self._fail("the endpoint closed the connection")

    def _finish(self) -> None:
        call, self._call = self._call, None
        assert call is not None
        clean = self._codec.our_state is h11.DONE and self._codec.their_state is h11.DONE
        # Bytes after a whole answer belong to no request; an answer ahead of the request's end
        # leaves the endpoint waiting for the rest of the body.
        reusable = clean and not self._codec.trailing_data[0] and not self._transport.backlog
        if reusable:
            self._codec.start_next_cycle()
            self._pool.give_back(self)
        else:
            self._transport.close()
        call.owner.answered()

    def _note_keep_alive(self, response: h11.Response) -> None:
        for name, value in response.headers:
            if name != b"keep-alive":
                continue
            for part in value.split(b","):
                key, _, seconds = part.strip().partition(b"=")
                if key.lower() == b"timeout" and seconds.isdigit():
                    self.reuse_seconds = int(seconds) - _KEEP_ALIVE_MARGIN_SECONDS

    def _connect_late(self) -> None:
        self._transport.close()
        self._fail("no connection within the time")

    def _fail(self, detail: str) -> None:
        self._stop_timer()
        self._transport.close()
        call, self._call = self._call, None
        if call is None:
            return
        if not call.sent:
            call.owner.broken(Break.NOT_SENT, detail)
        elif call.began:
            call.owner.broken(Break.ANSWER_CUT, detail)
        else:
            call.owner.broken(Break.MAY_HAVE_RUN, detail)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None


class EndpointCall:
    """Stand for one request at one endpoint until it ends or is cancelled."""

    def __init__(self, owner: CallOwner, request: OutgoingRequest) -> None:
        self.owner = owner
        self.request = request
        self.sent = False
        self.began = False
        self.reused = False
        self.connection: EndpointConnection | None = None

    def cancel(self) -> None:
        """Close the connection, so that the endpoint stops its work; the owner hears no more."""
        if self.connection is not None:
            self.connection.close()


class EndpointPool:
    """Open, keep and reuse connections by address."""

    def __init__(self, loop: EventLoop) -> None:
        self._loop = loop
        self._idle_by_address: dict[str, deque[EndpointConnection]] = defaultdict(deque)
        self.opened = 0

    def call(
        self, address: str, owner: CallOwner, request: OutgoingRequest, *, fresh: bool = False
    ) -> EndpointCall:
        """Send a request; ``fresh`` opens a connection that no earlier answer can disturb."""
        call = EndpointCall(owner, request)
        connection = None if fresh else self._take(address)
        call.reused = connection is not None
        if connection is None:
            connection = EndpointConnection(self, self._loop, address)
            self.opened += 1
        if connection.failed:
            self._loop.post(lambda: owner.broken(Break.NOT_SENT, "connect refused"))
            return call
        call.connection = connection
        if not fresh:
            connection.bound_acknowledgement()
        connection.send(call)
        return call

    def give_back(self, connection: EndpointConnection) -> None:
        """Keep a connection whose answer was whole."""
        idle = self._idle_by_address[connection.address]
        if len(idle) >= _MOST_IDLE or connection.reuse_seconds <= 0:
            connection.close()
            return
        connection.idle_since = self._loop.now()
        idle.append(connection)

    def discard(self, connection: EndpointConnection) -> None:
        """Forget an idle connection that ended."""
        connection.close()
        try:
            self._idle_by_address[connection.address].remove(connection)
        except ValueError:
            return  # It was taken out already.

    def forget(self, address: str) -> None:
        """Close the idle connections to an address that changed hands."""
        for connection in self._idle_by_address.pop(address, ()):
            connection.close()

    def _take(self, address: str) -> EndpointConnection | None:
        idle = self._idle_by_address[address]
        now = self._loop.now()
        while idle:
            connection = idle.pop()
            if now - connection.idle_since < connection.reuse_seconds and not connection.closed:
                return connection
            connection.close()
        return None
