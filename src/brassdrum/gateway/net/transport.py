"""A non-blocking TCP connection driven by the event loop."""

from __future__ import annotations

import errno
import fcntl
import selectors
import socket
import struct
import termios
from collections.abc import Callable
from dataclasses import dataclass
from typing import Protocol

from brassdrum.gateway.net.flow_control import MAX_READ_BYTES
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.write_buffer import WriteBuffer
from brassdrum.network_address import split_address

__all__ = ["BegunConnection", "Dialer", "Transport", "TransportOwner", "dial"]

# The kernel's buffers of a socket grow to several MB by themselves, outside of the budget that
# connections share. This carries 100 Mbit/s over 20 ms.
_KERNEL_BUFFER_BYTES = 262144
# TCP states of a connection whose peer has closed it, as in the kernel's ``tcp_states.h``.
_PEER_CLOSED_STATES = (7, 8)
# The argument of an ``ioctl`` that returns an ``int``.
_NO_COUNT = struct.pack("i", 0)
# ``struct linger``: enabled, for 0 seconds.
_RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(frozen=True, slots=True)
class BegunConnection:
    """A connection in progress; ``error`` is the error number if it failed at once, or else 0.

    ``socket`` is None for what is no address.
    """

    socket: socket.socket | None
    error: int


Dialer = Callable[[str], BegunConnection]


def dial(address: str) -> BegunConnection:
    """Begin a TCP connection to an address of the form HOST:PORT.

    One that is no address of a host and a port fails at once, and no name is looked up.
    """
    try:
        target = split_address(address)
    except ValueError:
        return BegunConnection(None, errno.EINVAL)
    sock = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    sock.setblocking(False)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, _KERNEL_BUFFER_BYTES)
    code = sock.connect_ex(target)
    if code in (0, errno.EINPROGRESS):
        return BegunConnection(sock, 0)
    sock.close()
    return BegunConnection(sock, code)


class TransportOwner(Protocol):
    """Callbacks for the events of a connection."""

    def data_received(self, data: bytes) -> None:
        """Handle received data; empty data means that the peer has sent EOF."""

    def connection_lost(self, error: OSError) -> None:
        """Handle a connection error; the transport is already closed."""

    def connection_made(self) -> None:
        """Handle the establishment of an outgoing connection."""


class Transport:
    """A TCP socket with a write buffer that reports its events to an owner.

    ``read_gate`` returns how many bytes may be read now; 0 pauses reading. ``on_drain`` is called
    after buffered bytes were written.
    """

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
        self.read_gate: Callable[[], int] | None = None
        self.on_drain: Callable[[], None] | None = None
        self._write_buffer = WriteBuffer()
        self._reading_paused = False
        self._connecting = connecting
        self._close_when_sent = False
        self.closed = False
        sock.setblocking(False)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, _KERNEL_BUFFER_BYTES)
        self._update_events()

    def set_ack_timeout(self, seconds: float) -> None:
        """Set how long sent data may stay unacknowledged before the connection fails."""
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(seconds * 1000))

    @property
    def unacknowledged_bytes(self) -> int:
        """Return the bytes that were written and that the other host has not acknowledged yet."""
        if self.closed:
            return 0
        count = fcntl.ioctl(self._socket.fileno(), termios.TIOCOUTQ, _NO_COUNT)
        return int(struct.unpack("i", count)[0]) + len(self._write_buffer)

    @property
    def write_buffer_size(self) -> int:
        """Return the number of bytes waiting to be written to the socket."""
        return len(self._write_buffer)

    @property
    def reading_paused(self) -> bool:
        """Return whether nothing is read from the socket."""
        return self._reading_paused

    @property
    def peer_closed(self) -> bool:
        """Return whether the peer has closed the connection, also while reading is paused."""
        state = self._socket.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 1)[0]
        return state in _PEER_CLOSED_STATES

    def pause_reading(self) -> None:
        """Leave what arrives in the socket, so that the peer has to wait."""
        self._reading_paused = True
        if not self.closed:
            self._update_events()

    def resume_reading(self) -> None:
        """Read again what arrives."""
        if not self._reading_paused:
            return
        self._reading_paused = False
        if not self.closed:
            self._update_events()

    def write(self, data: bytes) -> None:
        """Write data, buffering what the socket does not accept yet."""
        if self.closed:
            return
        rest: bytes | memoryview = data
        if not self._write_buffer and not self._connecting:
            try:
                rest = memoryview(data)[self._socket.send(data) :]
            except BlockingIOError:
                pass  # All of it is buffered below.
            except OSError as error:
                # Reported from the loop because the owner is still in its call to write().
                connection_error = error
                self._loop.post(lambda: self._fail(connection_error))
                return
        if rest:
            self._write_buffer.append(rest)
            self._update_events()

    def close_when_sent(self) -> None:
        """Close the connection once the write buffer is empty."""
        self._close_when_sent = True
        if not self._write_buffer:
            self.close()

    def reset_on_close(self) -> None:
        """Make ``close`` reset the connection instead of ending it in an orderly way."""
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE)

    def close(self) -> None:
        """Close the connection immediately; buffered data is discarded."""
        if self.closed:
            return
        self.closed = True
        self._write_buffer = WriteBuffer()
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _update_events(self) -> None:
        events = 0 if self._reading_paused else selectors.EVENT_READ
        if self._connecting or self._write_buffer:
            events |= selectors.EVENT_WRITE
        if not events:
            self._loop.unwatch(self._socket)
            return
        self._loop.watch(self._socket, events, self._on_ready)

    def _on_ready(self, events: int) -> None:
        if self.closed:
            # Closed by the handler of an earlier event of the same round.
            return
        if self._connecting:
            self._finish_connect()
            return
        if events & selectors.EVENT_WRITE:
            self._flush()
        if events & selectors.EVENT_READ and not self.closed and not self._reading_paused:
            self._read()

    def _finish_connect(self) -> None:
        code = self._socket.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)
        if code:
            self._fail(OSError(code, "connect failed"))
            return
        self._connecting = False
        self._owner.connection_made()
        if not self.closed:
            self._flush()

    def _flush(self) -> None:
        if not self._write_buffer:
            self._update_events()
            return
        try:
            self._write_buffer.send(self._socket)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        if not self._write_buffer and self._close_when_sent:
            self.close()
        elif not self._write_buffer:
            self._update_events()
        if self.on_drain is not None:
            self.on_drain()

    def _read(self) -> None:
        size = MAX_READ_BYTES if self.read_gate is None else self.read_gate()
        if self.closed:
            return
        if size <= 0:
            self.pause_reading()
            return
        try:
            data = self._socket.recv(size)
        except BlockingIOError:
            return
        except OSError as error:
            self._fail(error)
            return
        self._owner.data_received(data)

    def _fail(self, error: OSError) -> None:
        if self.closed:
            return
        self.close()
        self._owner.connection_lost(error)
