"""Let a response leave waitress: another thread goes on writing to the caller's socket.

A waitress thread serves one request to its end, and its main loop looks at every connection at
every wake. With hundreds of open streams both cost more than the streams themselves. This module
takes a connection out after its first event. It uses the places that waitress gives for it
(``channel_class``, ``task_class``, the trigger that runs a function in the main loop).
"""

from __future__ import annotations

import socket
import threading
from collections.abc import Callable

from waitress.channel import HTTPChannel
from waitress.task import WSGITask
from waitress.trigger import trigger as Trigger  # noqa: N812

__all__ = ["DETACH", "DetachableChannel", "LoopTrigger", "StreamWriter"]

DETACH = "brassdrum.detach"
_SEND_BYTES = 256 * 1024

OnDetached = Callable[["StreamWriter | None"], None]


class StreamWriter:
    """Write the rest of a response to its socket; used by one thread only."""

    def __init__(self, sock: socket.socket, leftover: bytes, *, chunked: bool) -> None:
        self.socket = sock
        self._chunked = chunked
        self._buffer = bytearray(leftover)
        self._ending = False

    @property
    def backlog(self) -> int:
        """Return the bytes that the caller has not taken yet."""
        return len(self._buffer)

    @property
    def ended(self) -> bool:
        """Return whether the response was ended and all of it was sent."""
        return self._ending and not self._buffer

    def write(self, data: bytes) -> None:
        """Send bytes now or when the caller takes them; raise ``OSError`` when it left."""
        if self._chunked:
            data = b"%X\r\n%b\r\n" % (len(data), data)
        if not self._buffer:
            data = data[self._send(data) :]
        self._buffer += data

    def flush(self) -> None:
        """Send what waits, as far as the caller takes it; raise ``OSError`` when it left."""
        if self._buffer:
            del self._buffer[: self._send(self._buffer[:_SEND_BYTES])]

    def end(self) -> None:
        """End the response; the rest is sent by ``flush``."""
        if self._chunked:
            self._buffer += b"0\r\n\r\n"
        self._ending = True
        self.flush()

    def close(self) -> None:
        """Close the connection."""
        try:
            self.socket.shutdown(socket.SHUT_WR)
        except OSError:
            pass
        self.socket.close()

    def _send(self, data: bytes | bytearray) -> int:
        try:
            return self.socket.send(data)
        except BlockingIOError:
            return 0


class LoopTrigger(Trigger):
    """Wake the server's main loop; write nothing once the server is closed.

    The library writes a byte to the number of a descriptor. Threads that end their requests after
    the server was closed wrote it to whichever connection of the process had that number by then:
    callers and engines got a byte before an answer or a request, 1 in 14 plays of a dying engine.
    """

    def __init__(self, channels: dict[int, object]) -> None:
        self._pulling = threading.Lock()
        super().__init__(channels)

    def pull_trigger(self, thunk: Callable[[], None] | None = None) -> None:
        """Run a function in the main loop, or here once the loop has closed the trigger."""
        if thunk is not None and not self._queue(thunk):
            thunk()
            return
        self._physical_pull()

    def _queue(self, thunk: Callable[[], None]) -> bool:
        with self.lock:
            if self._closed:
                return False
            self.thunks.append(thunk)
        return True

    def _close(self) -> None:
        with self._pulling:
            super()._close()

    def _physical_pull(self) -> None:
        with self._pulling:
            if self._fds:
                super()._physical_pull()


class DetachableTask(WSGITask):
    """Run the application; when it detaches, leave the response open."""

    detached = False

    def get_environment(self) -> dict[str, object]:
        """Return the WSGI environment with the function that detaches."""
        environ = super().get_environment()
        environ[DETACH] = self._detach
        return environ

    def service(self) -> None:
        """Run the request."""
        super().service()
        if self.detached:
            # The channel would close now; the writer does that at the stream's end.
            self.close_on_finish = False

    def finish(self) -> None:
        """End the response unless its writer will."""
        if not self.detached:
            super().finish()

    def _detach(self, on_detached: OnDetached) -> None:
        self.detached = True
        self.channel.detach(on_detached, chunked=self.chunked_response)


class DetachableChannel(HTTPChannel):
    """Serve one connection; after a detached response it takes no further request."""

    task_class = DetachableTask

    def __init__(self, *arguments: object, **named: object) -> None:
        self._on_detached: OnDetached | None = None
        self._chunked = False
        super().__init__(*arguments, **named)

    def detach(self, on_detached: OnDetached, *, chunked: bool) -> None:
        """Hand the socket over once the request's thread is done with it."""
        self._chunked = chunked
        self._on_detached = on_detached

    def received(self, data: bytes) -> bool:
        """Take bytes from the caller; what follows a detached request is dropped."""
        if self._on_detached is not None:
            return False
        return super().received(data)

    def service(self) -> None:
        """Run one request in a thread."""
        super().service()
        if self._on_detached is not None:
            # Only the main loop may change the table of connections.
            self.server.trigger.pull_trigger(self._hand_over)

    def _hand_over(self) -> None:
        assert self._on_detached is not None
        if not self.connected or self.will_close:
            self._on_detached(None)
            return
        leftover = b"".join(outbuf.get(len(outbuf), skip=True) for outbuf in self.outbufs)
        self.del_channel()
        self._on_detached(StreamWriter(self.socket, leftover, chunked=self._chunked))
