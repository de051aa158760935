"""Read and write one non-blocking TCP connection from the event loop."""

from __future__ import annotations

import selectors
import socket
from typing import Protocol

from brassdrum.gateway.net.loop import EventLoop

__all__ = ["Transport", "TransportOwner"]

_READ_BYTES = 65536


class TransportOwner(Protocol):
    """Be told what happens on a connection."""

    def received(self, data: bytes) -> None:
        """Take bytes; none means that the other side ended its half."""

    def lost(self, error: OSError) -> None:
        """Learn that the connection broke; it is closed already."""

    def connected(self) -> None:
        """Learn that an outgoing connection is established."""


class Transport:
    """Buffer writes and report reads of one connection."""

    def __init__(
        self,
        loop: EventLoop,
        sock: socket.socket,
        owner: TransportOwner,
        *,
        connecting: bool = False,
    ) -> None:
        self._loop = loop
        self._socket = sock
        self._owner = owner
        self._buffer = bytearray()
        self._connecting = connecting
        self._close_when_sent = False
        self.closed = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        self._watch()

    def bound_acknowledgement(self, seconds: float) -> None:
        """Break the connection when bytes that were sent stay unacknowledged for this long."""
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))

    @property
    def backlog(self) -> int:
        """Return the bytes that the other side has not taken yet."""
        return len(self._buffer)

    def write(self, data: bytes) -> None:
        """Send bytes now or when the other side takes them."""
        if self.closed:
            return
        if not self._buffer and not self._connecting:
            try:
                data = data[self._socket.send(data) :]
            except BlockingIOError:
                pass  # All of it waits for the socket.
            except OSError as error:
                # Told later: the owner is in the middle of its own step now.
                broken = error
                self._loop.post(lambda: self._break(broken))
                return
        if data:
            self._buffer += data
            self._watch()

    def close_when_sent(self) -> None:
        """Close once all bytes are handed to the kernel."""
        self._close_when_sent = True
        if not self._buffer:
            self.close()

    def close(self) -> None:
        """Close now."""
        if self.closed:
            return
        self.closed = True
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _watch(self) -> None:
        events = selectors.EVENT_READ
        if self._connecting or self._buffer:
            events |= selectors.EVENT_WRITE
        self._loop.watch(self._socket, events, self._ready)

    def _ready(self, events: int) -> None:
        if self._connecting:
            self._finish_connecting()
            return
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and not self.closed:
            self._read()

    def _finish_connecting(self) -> None:
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._break(OSError(code, "connect failed"))
            return
        self._connecting = False
        self._owner.connected()
        if not self.closed:
            self._flush()

    def _flush(self) -> None:
        try:
            del self._buffer[: self._socket.send(self._buffer)]
        except BlockingIOError:
            return
        except OSError as error:
            self._break(error)
            return
        if self._buffer:
            return
        if self._close_when_sent:
            self.close()
            return
        self._watch()

    def _read(self) -> None:
        try:
            data = self._socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError as error:
            self._break(error)
            return
        self._owner.received(data)

    def _break(self, error: OSError) -> None:
        if self.closed:
            return
        self.close()
        self._owner.lost(error)
