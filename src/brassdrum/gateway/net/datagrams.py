"""Send and receive datagrams between daemons."""

from __future__ import annotations

import logging
import selectors
import socket
from collections.abc import Callable
from typing import Protocol

from brassdrum.gateway.net.loop import EventLoop

__all__ = ["DatagramSocket", "Datagrams"]

_logger = logging.getLogger(__name__)
_LARGEST_DATAGRAM = 65536


class Datagrams(Protocol):
    """Carry datagrams to other hosts; they may be lost, late or doubled."""

    def listen(self, received: Callable[[bytes, str], None]) -> None:
        """Hand each datagram and the host that it comes from to a function."""

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram; a failure is as good as a loss."""

    def close(self) -> None:
        """Send and receive no more."""


class DatagramSocket:
    """Use the same UDP port on every host."""

    def __init__(self, loop: EventLoop, host: str, port: int) -> None:
        self._loop = loop
        self._port = port
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self._socket.bind((host, port))
        self._socket.setblocking(False)

    def listen(self, received: Callable[[bytes, str], None]) -> None:
        """Hand each datagram and the host that it comes from to a function."""
        self._loop.watch(self._socket, selectors.EVENT_READ, lambda _: self._read(received))

    def send(self, host: str, data: bytes) -> None:
        """Send a datagram; a failure is as good as a loss."""
        try:
            self._socket.sendto(data, (host, self._port))
        except OSError as error:
            # A lost datagram costs a stale view until its rows are told again.
            _logger.debug("datagram not sent", extra={"error": str(error)})

    def close(self) -> None:
        """Send and receive no more."""
        self._loop.unwatch(self._socket)
        self._socket.close()

    def _read(self, received: Callable[[bytes, str], None]) -> None:
        while True:
            try:
                data, (host, _port) = self._socket.recvfrom(_LARGEST_DATAGRAM)
            except BlockingIOError:
                return
            except OSError as error:
                _logger.debug("datagram not read", extra={"error": str(error)})
                return
            received(data, host)
