"""UDP transport for messages between daemons."""

from __future__ import annotations

import logging
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from brassdrum.gateway.net.loop import EventLoop

__all__ = ["DatagramSocket", "DatagramTransport"]

_logger = logging.getLogger(__name__)
_MAX_DATAGRAM_BYTES = 65536


class DatagramTransport(Protocol):
    """An unreliable datagram transport: datagrams may be lost, delayed or duplicated."""

    def listen(self, received: Callable[[bytes, str], None]) -> None:
        """Call ``received`` with the data and source host of each datagram."""

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram; errors are treated as packet loss."""

    def close(self) -> None:
        """Close the transport."""


class DatagramSocket:
    """A UDP socket; all hosts use the same port."""

    def __init__(self, loop: EventLoop, host: str, port: int) -> None:
        self._loop = loop
        self._port = port
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.setblocking(False)

    def listen(self, received: Callable[[bytes, str], None]) -> None:
        """Call ``received`` with the data and source host of each datagram."""
        self._loop.watch(self._socket, selectors.EVENT_READ, lambda _: self._receive(received))

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram; errors are treated as packet loss."""
        try:
            self._socket.sendto(data, (host, self._port))
        except OSError as error:
            # The peer keeps stale rows until they are published again.
            _logger.debug("failed to send datagram", extra={"error": str(error)})

    def close(self) -> None:
        """Close the socket."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _receive(self, received: Callable[[bytes, str], None]) -> None:
        while True:
            try:
                data, (host, _port) = self._socket.recvfrom(_MAX_DATAGRAM_BYTES)
            except BlockingIOError:
                return
            except OSError as error:
                _logger.debug("failed to receive datagram", extra={"error": str(error)})
                return
            received(data, host)
