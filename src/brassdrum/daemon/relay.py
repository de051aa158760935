"""Relay the events of all open streams from one selector thread."""

from __future__ import annotations

import logging
import selectors
import socket
import threading
from collections import deque
from collections.abc import Callable
from concurrent.futures import ThreadPoolExecutor
from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.clock import Clock
from brassdrum.daemon.engine_run import EngineStreamReader
from brassdrum.errors import BrassdrumError, EndpointFailedError, NotReadyError, Ran
from brassdrum.outcomes.stream import CheckedEvent
from brassdrum.wsgi_stream import StreamWriter

__all__ = ["DONE", "Relay", "RelayedStream", "StreamListener"]

_logger = logging.getLogger(__name__)
_READ_BYTES = 65536
_MAX_BACKLOG_BYTES = 256 * 1024
_RECOVERY_THREADS = 8
_CLOSE_TIMEOUT_SECONDS = 30.0
_SELECT_TIMEOUT_SECONDS = 1.0
DONE = b"data: [DONE]\n\n"


class StreamListener:
    """Receive a stream's events and its end; the default implementation does nothing."""

    def delivered(self, event: CheckedEvent, chunk: bytes) -> None:
        """Handle an event that is being written to the caller."""

    def finished(self) -> None:
        """Handle the end of a complete answer."""

    def failed(self, error: BrassdrumError) -> None:
        """Handle an answer that ended early with an error."""

    def interrupted(self) -> None:
        """Handle a caller that disconnected."""


def event_chunk(event: CheckedEvent) -> bytes:
    """Encode one event as a server-sent event."""
    return b"id: %d\ndata: %b\n\n" % (event.index, event.data)


class RelayedStream:
    """Connect an engine stream reader to the caller's writer and a listener."""

    def __init__(
        self,
        reader: EngineStreamReader,
        listener: StreamListener,
        error_chunk: Callable[[BrassdrumError], bytes],
    ) -> None:
        self.reader = reader
        self.writer: StreamWriter | None = None
        self._listener = listener
        self._error_chunk = error_chunk
        self._closed = False

    @property
    def closed(self) -> bool:
        """Return whether the stream has ended for its caller."""
        return self._closed

    def attach(self, writer: StreamWriter) -> None:
        """Set the writer that sends events to the caller."""
        self.writer = writer

    def deliver(self, events: list[CheckedEvent]) -> None:
        """Write events to the caller; raise ``OSError`` if it disconnected."""
        assert self.writer is not None
        chunks = []
        for event in events:
            chunk = event_chunk(event)
            self._listener.delivered(event, chunk)
            chunks.append(chunk)
        self.writer.write(b"".join(chunks))

    def finish(self) -> None:
        """End a complete answer; raise ``OSError`` if the caller disconnected."""
        if self._close_once(self._listener.finished):
            self._write_last(DONE)

    def fail(self, error: BrassdrumError) -> None:
        """End a failed answer with an error event; raise ``OSError`` if the caller disconnected."""
        if self._close_once(lambda: self._listener.failed(error)):
            self._write_last(self._error_chunk(error))

    def interrupt(self) -> None:
        """End a stream whose caller disconnected."""
        self._close_once(self._listener.interrupted)

    def leave_running(self, error: BrassdrumError) -> None:
        """End a stream here that its caller may resume at another daemon."""
        if self._closed:
            return
        self._closed = True
        self.reader.leave_running()
        self._listener.failed(error)

    def _close_once(self, notify: Callable[[], None]) -> bool:
        if self._closed:
            return False
        self._closed = True
        self.reader.close()
        notify()
        return True

    def _write_last(self, chunk: bytes) -> None:
        assert self.writer is not None
        self.writer.write(chunk)
        self.writer.end()


class _Side(Enum):
    ENGINE = auto()
    CALLER = auto()


@dataclass(frozen=True, slots=True)
class _Registration:
    stream: RelayedStream
    side: _Side


class Relay:
    """Multiplex the engine and caller sockets of all streams; recover broken ones on threads.

    A slow caller delays its own stream only: when its backlog exceeds the limit, its engine is not
    read until the backlog is sent.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._pending_closes: deque[tuple[float, RelayedStream]] = deque()
        self._callbacks: deque[Callable[[], None]] = deque()
        self._executor = ThreadPoolExecutor(_RECOVERY_THREADS, thread_name_prefix="recover")
        self._stopping = False
        self._changed = threading.Condition()
        # Streams whose caller has not got its whole answer and has not left.
        self._undelivered: set[RelayedStream] = set()
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

    def start(self) -> None:
        """Start the selector thread."""
        self._thread.start()

    def wait_delivered(self, seconds: float) -> bool:
        """Wait until all callers have got their answers; return False on a time-out.

        A request counts as ended once its last event is queued for its caller.
        """
        with self._changed:
            return self._changed.wait_for(lambda: not self._undelivered, seconds)

    def close(self) -> None:
        """Stop the selector thread and drop all streams."""
        self._stopping = True
        self._wake()
        self._executor.shutdown(wait=False, cancel_futures=True)

    def add(self, stream: RelayedStream) -> None:
        """Add a stream whose writer is attached."""
        with self._changed:
            self._undelivered.add(stream)
        if self._stopping:
            self._leave_running(stream)
            return
        self._call_soon(lambda: self._call_or_drop(stream, self._register_stream))

    def _call_soon(self, callback: Callable[[], None]) -> None:
        self._callbacks.append(callback)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_write.send(b"x")
        except OSError:
            return

    def _run(self) -> None:
        while not self._stopping:
            self._close_expired()
            for key, mask in self._selector.select(_SELECT_TIMEOUT_SECONDS):
                if key.data is None:
                    self._run_callbacks()
                    continue
                registration: _Registration = key.data
                if registration.side is _Side.ENGINE:
                    self._call_or_drop(registration.stream, self._engine_readable)
                    continue
                if mask & selectors.EVENT_READ:
                    self._call_or_drop(registration.stream, self._caller_readable)
                if mask & selectors.EVENT_WRITE:
                    self._call_or_drop(registration.stream, self._caller_writable)
        self._leave_all_streams()

    def _leave_all_streams(self) -> None:
        """Close every connection, as the exit of the process would.

        The streams are not cancelled: their callers hold a token to resume them elsewhere.
        """
        self._run_callbacks()
        for key in list((self._selector.get_map() or {}).values()):
            if key.data is not None and key.data.side is _Side.CALLER:
                self._leave_running(key.data.stream)

    def _run_callbacks(self) -> None:
        try:
            self._wake_read.recv(_READ_BYTES)
        except BlockingIOError:
            pass
        while self._callbacks:
            self._callbacks.popleft()()

    def _call_or_drop(self, stream: RelayedStream, step: Callable[[RelayedStream], None]) -> None:
        try:
            step(stream)
        except OSError:
            self._drop_stream(stream)
        except Exception:
            _logger.exception("stream failed")
            self._drop_stream(stream)

    def _register_stream(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        stream.reader.on_aborted = lambda: self._call_soon(
            lambda: self._call_or_drop(stream, self._drop_if_blocked)
        )
        stream.writer.flush()
        self._selector.register(
            stream.writer.socket, self._caller_events(stream), _Registration(stream, _Side.CALLER)
        )
        self._start_reading(stream)

    def _start_reading(self, stream: RelayedStream) -> None:
        if stream.closed:
            # The caller left while the stream was resumed.
            stream.reader.leave_running()
            return
        events = stream.reader.take_over()
        if events:
            self._deliver(stream, events)
        if stream.reader.complete or stream.reader.broken:
            self._finish_or_recover(stream)
            return
        self._register_engine(stream)

    def _engine_readable(self, stream: RelayedStream) -> None:
        try:
            data = stream.reader.socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        events = stream.reader.feed(data)
        if events:
            self._deliver(stream, events)
        if stream.reader.complete or stream.reader.broken:
            self._unregister(stream.reader.socket)
            self._finish_or_recover(stream)

    @staticmethod
    def _drop_if_blocked(stream: RelayedStream) -> None:
        # The engine of a blocked caller is not read, so its abort would go unnoticed.
        if stream.writer is not None and stream.writer.backlog and not stream.reader.closed:
            raise ConnectionResetError("the caller took too long to read")

    def _caller_readable(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        try:
            data = stream.writer.socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        if not data:
            raise ConnectionResetError("the caller closed its connection")

    def _caller_writable(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        stream.writer.flush()
        if stream.writer.ended:
            self._close_caller(stream)
            return
        if stream.writer.backlog == 0:
            self._update_caller_events(stream)
            if not stream.reader.closed:
                stream.reader.restart_silence()
                self._register_engine(stream)

    def _deliver(self, stream: RelayedStream, events: list[CheckedEvent]) -> None:
        assert stream.writer is not None
        stream.deliver(events)
        if stream.writer.backlog:
            self._update_caller_events(stream)
        if stream.writer.backlog > _MAX_BACKLOG_BYTES:
            self._unregister(stream.reader.socket)
            stream.reader.pause_silence()

    def _finish_or_recover(self, stream: RelayedStream) -> None:
        if not stream.reader.complete:
            self._executor.submit(self._recover, stream)
            return
        stream.finish()
        self._finish_caller(stream)

    def _finish_caller(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        if stream.writer.ended:
            self._close_caller(stream)
            return
        self._update_caller_events(stream)
        self._pending_closes.append((self._clock.monotonic() + _CLOSE_TIMEOUT_SECONDS, stream))

    def _close_expired(self) -> None:
        """Close connections whose callers did not read the end of the answer in time."""
        now = self._clock.monotonic()
        while self._pending_closes and self._pending_closes[0][0] <= now:
            self._close_caller(self._pending_closes.popleft()[1])

    def _recover(self, stream: RelayedStream) -> None:
        """Resume the stream at its engine; blocks, so it runs on the executor."""
        try:
            stream.reader.recover()
        except BrassdrumError as error:
            self._call_soon(lambda error=error: self._fail_stream(stream, error))
            return
        except Exception:
            _logger.exception("stream could not be resumed")
            failure = EndpointFailedError("The stream could not be resumed.")
            self._call_soon(lambda: self._fail_stream(stream, failure))
            return
        self._call_soon(lambda: self._call_or_drop(stream, self._start_reading))

    def _fail_stream(self, stream: RelayedStream, error: BrassdrumError) -> None:
        def step(failed: RelayedStream) -> None:
            if failed.closed:
                # The caller left while the stream was resumed.
                return
            failed.fail(error)
            self._finish_caller(failed)

        self._call_or_drop(stream, step)

    def _drop_stream(self, stream: RelayedStream) -> None:
        self._unregister(stream.reader.socket)
        stream.interrupt()
        self._close_caller(stream)

    def _leave_running(self, stream: RelayedStream) -> None:
        self._unregister(stream.reader.socket)
        stream.leave_running(
            NotReadyError("The daemon stopped before the answer was complete.", ran=Ran.MAYBE)
        )
        self._close_caller(stream)

    def _close_caller(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        self._unregister(stream.writer.socket)
        stream.writer.close()
        with self._changed:
            self._undelivered.discard(stream)
            self._changed.notify_all()

    def _caller_events(self, stream: RelayedStream) -> int:
        assert stream.writer is not None
        if stream.writer.backlog:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def _update_caller_events(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        self._selector.modify(
            stream.writer.socket, self._caller_events(stream), _Registration(stream, _Side.CALLER)
        )

    def _register_engine(self, stream: RelayedStream) -> None:
        sock = stream.reader.socket
        if sock.fileno() >= 0 and sock.fileno() not in self._selector.get_map():
            self._selector.register(sock, selectors.EVENT_READ, _Registration(stream, _Side.ENGINE))

    def _unregister(self, sock: socket.socket) -> None:
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            return
