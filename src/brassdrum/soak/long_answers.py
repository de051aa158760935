"""Write answers that are long enough for slow readers, and tell their digest."""

from __future__ import annotations

import hashlib
import socket

__all__ = ["LONG_BYTES", "LONG_KIND", "long_digest", "send_long"]

# Kind and route of the answers that are read slowly.
LONG_KIND = "long"
_PIECE_BYTES = 65536
# 12 MB in all: the sockets of daemon and caller hold a few MB of an answer, and a daemon may buffer
# 8 to 46 MB for all of them.
_PIECES = 192
LONG_BYTES = _PIECES * _PIECE_BYTES
# A replica cuts off an answer of which nothing is taken for this long.
_UNREAD_SECONDS = 4.0


def send_long(connection: socket.socket, request: str, *, broken: bool) -> None:
    """Send the body of a long answer, or half of it; raise ``TimeoutError`` if it stays unread."""
    piece = _piece(request)
    connection.settimeout(_UNREAD_SECONDS)
    for _ in range(_PIECES // 2 if broken else _PIECES):
        rest = memoryview(piece)
        while rest:
            rest = rest[connection.send(rest) :]
    connection.settimeout(None)


def long_digest(request: str) -> bytes:
    """Return the digest of the body of a long answer."""
    return hashlib.sha256(_piece(request) * _PIECES).digest()


def _piece(request: str) -> bytes:
    """Return one of the equal pieces of a long answer."""
    text = f"{request} ".encode()
    return (text * (_PIECE_BYTES // len(text) + 1))[:_PIECE_BYTES]
