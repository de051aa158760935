"""Let a response leave its thread: go on writing to a waitress channel from elsewhere.

A waitress thread serves one request to its end. With hundreds of open streams that means hundreds
of threads that wake for every token; this module lets the thread go after the first event. It uses
the places that waitress gives for it (``channel_class``, ``task_class``).
"""

from __future__ import annotations

import time

from waitress.channel import ClientDisconnected, HTTPChannel
from waitress.task import WSGITask

__all__ = ["DETACH", "ClientDisconnected", "DetachableChannel", "StreamWriter"]

DETACH = "brassdrum.detach"


class StreamWriter:
    """Write the rest of a detached response; any one thread at a time."""

    def __init__(self, task: DetachableTask) -> None:
        self._channel = task.channel
        self._chunked = task.chunked_response

    @property
    def backlog(self) -> int:
        """Return the bytes that the caller has not taken yet."""
        return self._channel.total_outbufs_len

    def write(self, data: bytes) -> None:
        """Send bytes as soon as possible, or raise ``ClientDisconnected``."""
        if self._chunked:
            data = b"%X\r\n%b\r\n" % (len(data), data)
        self._channel.last_activity = time.time()
        self._channel.write_soon(data)

    def end(self) -> None:
        """End the response and close the connection when all is sent."""
        try:
            if self._chunked:
                self._channel.write_soon(b"0\r\n\r\n")
        except ClientDisconnected:
            return
        self._channel.close_when_flushed = True
        self._channel.server.pull_trigger()


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

    def _detach(self) -> StreamWriter:
        self.detached = True
        self.channel.detached = True
        return StreamWriter(self)


class DetachableChannel(HTTPChannel):
    """Serve one connection; after a detached response it takes no further request."""

    task_class = DetachableTask
    detached = False

    def received(self, data: bytes) -> bool:
        """Take bytes from the caller; what follows a detached request is dropped."""
        if self.detached:
            return False
        return super().received(data)

    def handle_write(self) -> None:
        """Send what is left; take the lock, because a writer is at work elsewhere.

        The base class sends without the lock when no request runs in a thread.
        """
        if not self.detached:
            super().handle_write()
            return
        self._flush_exception(self._flush_some_if_lockable)
        if self.close_when_flushed and not self.total_outbufs_len:
            self.will_close = True
        if self.will_close:
            self.handle_close()
