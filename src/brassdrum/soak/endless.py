"""Send bytes that are no answer until the connection is closed, of a replica that misbehaves."""

from __future__ import annotations

import os
import socket
import threading
import time
from dataclasses import dataclass

from brassdrum.platform.standin import open_head

__all__ = ["ENDLESS_KINDS", "FAILURE_KIND", "STREAM_KINDS", "EndlessLimit", "send_endless"]

# Up to 0.8 MB/s, a failure's body 3.3 MB/s: a daemon keeps up with it, and until its deadline a
# request gets more than daemons may pass on.
_PIECE_BYTES = 16384
_FAILURE_PIECE_BYTES = 65536
_PIECE_SECONDS = 0.02
# Longer than a caller waits (6 s) and the time in which a daemon has to close the connection.
_LONGEST_SECONDS = 8.5
_LINE_BYTES = 1024
FAILURE_KIND = "failure"


@dataclass(frozen=True, slots=True)
class _Endless:
    """What is sent without end, and what precedes it: a head with a status, if any, and bytes."""

    piece: bytes
    status: int | None = None
    beginning: bytes = b""


def _repeated(unit: bytes, size: int = _PIECE_BYTES) -> bytes:
    return unit * (size // len(unit))


def _chunk(data: bytes) -> bytes:
    return b"%x\r\n%b\r\n" % (len(data), data)


def _endless_by_kind() -> dict[str, _Endless]:
    """Return what is sent of each kind."""
    filler = b"x" * _LINE_BYTES
    chunked = b"Transfer-Encoding: chunked\r\n\r\n"
    return {
        "head": _Endless(_repeated(b"X-Filler: " + filler + b"\r\n"), 200),
        "informational": _Endless(
            _repeated(b"HTTP/1.1 103 X\r\nX-Filler: " + filler + b"\r\n\r\n")
        ),
        "slow_heads": _Endless(b"HTTP/1.1 103 X\r\n\r\n"),
        FAILURE_KIND: _Endless(_chunk(_repeated(filler, _FAILURE_PIECE_BYTES)), 500, chunked),
        "garbage": _Endless(os.urandom(_PIECE_BYTES)),
        "event": _Endless(_chunk(_repeated(filler)), 200, chunked + _chunk(b"id: 1\ndata: ")),
        "comments": _Endless(_chunk(_repeated(b": " + filler + b"\n\n")), 200, chunked),
        "slow_comments": _Endless(_chunk(b":\n\n"), 200, chunked),
    }


_ENDLESS_BY_KIND = _endless_by_kind()
ENDLESS_KINDS = tuple(_ENDLESS_BY_KIND)
# Those that only a stream can have.
STREAM_KINDS = ("event", "comments", "slow_comments")


class EndlessLimit:
    """Bound how many endless answers are sent at once and in all."""

    def __init__(self, at_once: int, in_all: int) -> None:
        self._lock = threading.Lock()
        self._at_once = at_once
        self._in_all = in_all

    def take(self) -> bool:
        """Return whether another one may begin."""
        with self._lock:
            if not self._at_once or not self._in_all:
                return False
            self._at_once -= 1
            self._in_all -= 1
            return True

    def give_back(self) -> None:
        """Note the end of one."""
        with self._lock:
            self._at_once += 1


def send_endless(connection: socket.socket, request: str, kind: str) -> None:
    """Send bytes of a kind until the connection is closed or the longest time is over."""
    endless = _ENDLESS_BY_KIND[kind]
    head = b"" if endless.status is None else open_head(request, endless.status)
    until = time.monotonic() + _LONGEST_SECONDS
    connection.settimeout(_LONGEST_SECONDS)
    try:
        connection.sendall(head + endless.beginning)
        while time.monotonic() < until:
            connection.sendall(endless.piece)
            time.sleep(_PIECE_SECONDS)
    except OSError:
        return  # The daemon has closed the connection.
