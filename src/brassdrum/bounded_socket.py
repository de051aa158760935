"""A socket whose reads end at a time and after a number of bytes."""

from __future__ import annotations

import socket

from brassdrum.clock import Clock, SystemClock

__all__ = ["BoundedSocket", "ResponseTooLongError"]


class ResponseTooLongError(OSError):
    """Tell that the other side has sent more than is read of one response."""


class BoundedSocket(socket.socket):
    """Limit the time and the bytes of what ``recv_into`` reads, by which ``makefile`` reads.

    A time-out of a socket limits each read alone: a side that sends a byte now and then is read
    for ever.
    """

    _clock: Clock = SystemClock()
    _read_until: float | None = None
    _silence_seconds = 0.0
    _bytes_left = 0

    @classmethod
    def take_over(cls, sock: socket.socket, clock: Clock) -> BoundedSocket:
        """Return a socket for an open connection; the one given can no longer be used."""
        taken = cls(sock.family, sock.type, sock.proto, fileno=sock.detach())
        taken._clock = clock
        return taken

    def bound_reads(self, silence_seconds: float, until: float, max_bytes: int) -> None:
        """Limit each wait, the monotonic time of the last read, and the bytes of all reads."""
        self._silence_seconds = silence_seconds
        self._read_until = until
        self._bytes_left = max_bytes
        self.settimeout(silence_seconds)

    def lift_bounds(self) -> None:
        """Limit each wait only."""
        self._read_until = None
        self.settimeout(self._silence_seconds)

    def recv_into(self, *arguments: object) -> int:  # type: ignore[override]
        """Read as ``socket.recv_into`` does.

        Raises ``TimeoutError`` or ``ResponseTooLongError`` at a limit.
        """
        if self._read_until is None:
            return super().recv_into(*arguments)  # type: ignore[arg-type]
        if self._bytes_left <= 0:
            raise ResponseTooLongError("the response is longer than what is read of one")
        left = self._read_until - self._clock.monotonic()
        if left <= 0:
            raise TimeoutError("the response was not complete in time")
        self.settimeout(min(left, self._silence_seconds))
        count = super().recv_into(*arguments)  # type: ignore[arg-type]
        self._bytes_left -= count
        return count
