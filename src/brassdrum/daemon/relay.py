"""Pass the tokens of all open streams on from one thread, however many streams there are."""

from __future__ import annotations

import logging
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor

from brassdrum.daemon.engine_run import EngineRun
from brassdrum.errors import BrassdrumError, EndpointFailedError
from brassdrum.outcomes.stream import CheckedEvent
from brassdrum.wsgi_stream import ClientDisconnected, StreamWriter

__all__ = ["DONE", "Relay", "RelayedStream", "StreamEnd"]

_logger = logging.getLogger(__name__)
_READ_BYTES = 65536
_SELECT_SECONDS = 0.05
_LARGEST_BACKLOG = 256 * 1024
_RECOVERY_THREADS = 8
DONE = b"data: [DONE]\n\n"


class StreamEnd:
    """Be told of a stream's events and its end; the default does nothing."""

    def delivered(self, event: CheckedEvent, chunk: bytes) -> None:
        """Note an event that was handed to the caller."""

    def finished(self) -> None:
        """Note that the answer was whole."""

    def failed(self, error: BrassdrumError) -> None:
        """Note that the answer broke off."""

    def interrupted(self) -> None:
        """Note that the caller went away."""


def event_chunk(event: CheckedEvent) -> bytes:
    """Return the bytes of one event for the caller."""
    return b"id: %d\ndata: %b\n\n" % (event.index, event.data)


class RelayedStream:
    """Join a run, the caller's writer and who is told of the end."""

    def __init__(self, run: EngineRun, end: StreamEnd, error_chunk: Callable) -> None:
        self.run = run
        self.paused = False
        self._end = end
        self._error_chunk = error_chunk
        self._writer: StreamWriter | None = None
        self._ended = False

    def attach(self, writer: StreamWriter) -> None:
        """Set where the events go."""
        self._writer = writer

    @property
    def ended(self) -> bool:
        """Return whether the stream has ended, however it did."""
        return self._ended

    @property
    def full(self) -> bool:
        """Return whether the caller takes its events too slowly."""
        return self._writer is not None and self._writer.backlog > _LARGEST_BACKLOG

    def deliver(self, events: list[CheckedEvent]) -> None:
        """Write events to the caller, or raise ``ClientDisconnected``."""
        assert self._writer is not None
        chunks = []
        for event in events:
            chunk = event_chunk(event)
            self._end.delivered(event, chunk)
            chunks.append(chunk)
        self._writer.write(b"".join(chunks))

    def finish(self) -> None:
        """End a whole answer."""
        if self._begin_end():
            self._end.finished()
            self._close(DONE)

    def fail(self, error: BrassdrumError) -> None:
        """End an answer that broke off."""
        if self._begin_end():
            self._end.failed(error)
            self._close(self._error_chunk(error))

    def interrupt(self) -> None:
        """End a stream whose caller went away."""
        if self._begin_end():
            self._end.interrupted()

    def _begin_end(self) -> bool:
        if self._ended:
            return False
        self._ended = True
        self.run.close()
        return True

    def _close(self, chunk: bytes) -> None:
        assert self._writer is not None
        try:
            self._writer.write(chunk)
            self._writer.end()
        except ClientDisconnected:
            return


class Relay:
    """Wait on the sockets of all streams; recover broken ones on a few threads."""

    def __init__(self) -> None:
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._arrived: deque[RelayedStream] = deque()
        self._paused: list[RelayedStream] = []
        self._executor = ThreadPoolExecutor(_RECOVERY_THREADS, thread_name_prefix="recover")
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    def __len__(self) -> int:
        return len(self._selector.get_map() or ()) - 1

    def start(self) -> None:
        """Begin to relay."""
        self._thread.start()

    def close(self) -> None:
        """Stop relaying."""
        self._stopping = True
        self._wake()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def add(self, stream: RelayedStream) -> None:
        """Take over a stream whose writer is attached."""
        self._arrived.append(stream)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_write.send(b"x")
        except OSError:
            return

    def _run(self) -> None:
        while not self._stopping:
            for key, _ in self._selector.select(_SELECT_SECONDS):
                if key.data is None:
                    self._take_arrived()
                    continue
                self._guard(key.data, self._readable)
            self._unpause()

    def _guard(self, stream: RelayedStream, step: Callable[[RelayedStream], None]) -> None:
        try:
            step(stream)
        except ClientDisconnected:
            self._forget(stream)
            stream.interrupt()
        except Exception:
            _logger.exception("stream failed")
            self._forget(stream)
            stream.fail(EndpointFailedError("The daemon failed to pass the answer on."))

    def _take_arrived(self) -> None:
        try:
            self._wake_read.recv(_READ_BYTES)
        except BlockingIOError:
            pass
        while self._arrived:
            self._guard(self._arrived.popleft(), self._begin)

    def _begin(self, stream: RelayedStream) -> None:
        events = stream.run.take_over()
        if events:
            stream.deliver(events)
        if stream.run.whole or stream.run.broken:
            self._settle(stream)
            return
        self._selector.register(stream.run.socket, selectors.EVENT_READ, stream)

    def _readable(self, stream: RelayedStream) -> None:
        try:
            data = stream.run.socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        events = stream.run.feed(data)
        if events:
            stream.deliver(events)
        if stream.run.whole or stream.run.broken:
            self._forget(stream)
            self._settle(stream)
            return
        if stream.full:
            self._forget(stream)
            self._paused.append(stream)

    def _settle(self, stream: RelayedStream) -> None:
        if stream.run.whole:
            stream.finish()
            return
        self._executor.submit(self._recover, stream)

    def _recover(self, stream: RelayedStream) -> None:
        try:
            stream.run.recover()
        except BrassdrumError as error:
            stream.fail(error)
            return
        except Exception:
            _logger.exception("stream could not be resumed")
            stream.fail(EndpointFailedError("The stream could not be resumed."))
            return
        self.add(stream)

    def _forget(self, stream: RelayedStream) -> None:
        try:
            self._selector.unregister(stream.run.socket)
        except (KeyError, ValueError):
            return

    def _unpause(self) -> None:
        # A caller that reads slowly holds up its own stream only.
        for stream in list(self._paused):
            if stream.full and not stream.run.aborted:
                continue
            self._paused.remove(stream)
            self._guard(stream, self._begin)
