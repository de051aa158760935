"""Bytes that wait for a socket; large pieces are kept without a copy."""

from __future__ import annotations

import socket
from collections import deque
from itertools import islice

__all__ = ["WriteBuffer"]

# Smaller pieces, such as events of a stream, are joined: each piece costs some 100 bytes.
_JOINED_BYTES = 16384
_MAX_PIECES_PER_SEND = 16


class WriteBuffer:
    """A queue of bytes; its length is the number of bytes that wait."""

    def __init__(self) -> None:
        self._pieces: deque[bytearray | memoryview] = deque()
        self._size = 0

    def __len__(self) -> int:
        """Return the number of bytes that wait."""
        return self._size

    def append(self, data: bytes | memoryview) -> None:
        """Add bytes, which must not change afterwards."""
        self._size += len(data)
        if len(data) >= _JOINED_BYTES:
            self._pieces.append(memoryview(data))
            return
        last = self._pieces[-1] if self._pieces else None
        if isinstance(last, bytearray) and len(last) < _JOINED_BYTES:
            last += data
            return
        self._pieces.append(bytearray(data))

    def send(self, sock: socket.socket) -> None:
        """Send what the socket accepts; raise ``BlockingIOError`` if it accepts nothing."""
        sent = sock.sendmsg(list(islice(self._pieces, _MAX_PIECES_PER_SEND)))
        self._size -= sent
        while sent:
            piece = self._pieces.popleft()
            if sent < len(piece):
                self._pieces.appendleft(memoryview(piece)[sent:])
                return
            sent -= len(piece)
