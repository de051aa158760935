"""Pass the tokens of all open streams on from one thread, however many streams there are."""

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
from brassdrum.daemon.engine_run import EngineRun
from brassdrum.errors import BrassdrumError, EndpointFailedError
from brassdrum.outcomes.stream import CheckedEvent
from brassdrum.wsgi_stream import StreamWriter

__all__ = ["DONE", "Relay", "RelayedStream", "StreamListener"]

_logger = logging.getLogger(__name__)
_READ_BYTES = 65536
_LARGEST_BACKLOG = 256 * 1024
_RECOVERY_THREADS = 8
_CLOSING_SECONDS = 30.0
_SWEEP_SECONDS = 1.0
DONE = b"data: [DONE]\n\n"


class StreamListener:
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

    def __init__(
        self, run: EngineRun, end: StreamListener, error_chunk: Callable[[BrassdrumError], bytes]
    ) -> None:
        self.run = run
        self.writer: StreamWriter | None = None
        self._end = end
        self._error_chunk = error_chunk
        self._told = False

    def attach(self, writer: StreamWriter) -> None:
        """Set where the events go."""
        self.writer = writer

    def deliver(self, events: list[CheckedEvent]) -> None:
        """Write events to the caller, or raise ``OSError`` when it left."""
        assert self.writer is not None
        chunks = []
        for event in events:
            chunk = event_chunk(event)
            self._end.delivered(event, chunk)
            chunks.append(chunk)
        self.writer.write(b"".join(chunks))

    def finish(self) -> None:
        """End a whole answer, or raise ``OSError``."""
        if self._tell(self._end.finished):
            self._close(DONE)

    def fail(self, error: BrassdrumError) -> None:
        """End an answer that broke off, or raise ``OSError``."""
        if self._tell(lambda: self._end.failed(error)):
            self._close(self._error_chunk(error))

    def interrupt(self) -> None:
        """End a stream whose caller went away."""
        self._tell(self._end.interrupted)

    def _tell(self, tell: Callable[[], None]) -> bool:
        if self._told:
            return False
        self._told = True
        self.run.close()
        tell()
        return True

    def _close(self, chunk: bytes) -> None:
        assert self.writer is not None
        self.writer.write(chunk)
        self.writer.end()


class _Side(Enum):
    ENGINE = auto()
    CALLER = auto()


@dataclass(frozen=True, slots=True)
class _Watched:
    stream: RelayedStream
    side: _Side


class Relay:
    """Wait on the sockets of all streams, engines' and callers'; recover broken ones on threads.

    A caller that reads slowly holds up its own stream only: its engine is not read until it has
    taken what waits.
    """

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._selector = selectors.DefaultSelector()
        self._wake_read, self._wake_write = socket.socketpair()
        self._wake_read.setblocking(False)
        self._selector.register(self._wake_read, selectors.EVENT_READ, None)
        self._closing: deque[tuple[float, RelayedStream]] = deque()
        self._commands: deque[Callable[[], None]] = deque()
        self._executor = ThreadPoolExecutor(_RECOVERY_THREADS, thread_name_prefix="recover")
        self._stopping = False
        self._thread = threading.Thread(target=self._run, name="relay", daemon=True)

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
        if self._stopping:
            self._drop(stream)
            return
        self._command(lambda: self._guard(stream, self._adopt))

    def _command(self, command: Callable[[], None]) -> None:
        self._commands.append(command)
        self._wake()

    def _wake(self) -> None:
        try:
            self._wake_write.send(b"x")
        except OSError:
            return

    def _run(self) -> None:
        while not self._stopping:
            self._sweep()
            for key, mask in self._selector.select(_SWEEP_SECONDS):
                if key.data is None:
                    self._run_commands()
                    continue
                watched: _Watched = key.data
                if watched.side is _Side.ENGINE:
                    self._guard(watched.stream, self._engine_readable)
                    continue
                if mask & selectors.EVENT_READ:
                    self._guard(watched.stream, self._caller_readable)
                if mask & selectors.EVENT_WRITE:
                    self._guard(watched.stream, self._caller_writable)
        self._drop_all()

    def _drop_all(self) -> None:
        """Close every caller's connection, as the end of the process would."""
        self._run_commands()
        for key in list((self._selector.get_map() or {}).values()):
            if key.data is not None and key.data.side is _Side.CALLER:
                self._drop(key.data.stream)

    def _run_commands(self) -> None:
        try:
            self._wake_read.recv(_READ_BYTES)
        except BlockingIOError:
            pass
        while self._commands:
            self._commands.popleft()()

    def _guard(self, stream: RelayedStream, step: Callable[[RelayedStream], None]) -> None:
        try:
            step(stream)
        except OSError:
            self._drop(stream)
        except Exception:
            _logger.exception("stream failed")
            self._drop(stream)

    def _adopt(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        stream.run.on_aborted = lambda: self._command(lambda: self._guard(stream, self._aborted))
        stream.writer.flush()
        self._selector.register(
            stream.writer.socket, self._caller_mask(stream), _Watched(stream, _Side.CALLER)
        )
        self._begin(stream)

    def _begin(self, stream: RelayedStream) -> None:
        events = stream.run.take_over()
        if events:
            self._deliver(stream, events)
        if stream.run.complete or stream.run.broken:
            self._settle(stream)
            return
        self._watch_engine(stream)

    def _engine_readable(self, stream: RelayedStream) -> None:
        try:
            data = stream.run.socket.recv(_READ_BYTES)
        except BlockingIOError:
            return
        except OSError:
            data = b""
        events = stream.run.feed(data)
        if events:
            self._deliver(stream, events)
        if stream.run.complete or stream.run.broken:
            self._unwatch(stream.run.socket)
            self._settle(stream)

    @staticmethod
    def _aborted(stream: RelayedStream) -> None:
        # While a caller takes nothing, its engine is not read and its end would not be seen.
        if stream.writer is not None and stream.writer.backlog and not stream.run.closed:
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
            self._watch_caller(stream)
            if not stream.run.closed:
                self._watch_engine(stream)

    def _deliver(self, stream: RelayedStream, events: list[CheckedEvent]) -> None:
        assert stream.writer is not None
        stream.deliver(events)
        if stream.writer.backlog:
            self._watch_caller(stream)
        if stream.writer.backlog > _LARGEST_BACKLOG:
            self._unwatch(stream.run.socket)

    def _settle(self, stream: RelayedStream) -> None:
        if not stream.run.complete:
            self._executor.submit(self._recover, stream)
            return
        stream.finish()
        self._finish_caller(stream)

    def _finish_caller(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        if stream.writer.ended:
            self._close_caller(stream)
            return
        self._watch_caller(stream)
        self._closing.append((self._clock.monotonic() + _CLOSING_SECONDS, stream))

    def _sweep(self) -> None:
        """Close connections whose callers do not take the end of their answers."""
        now = self._clock.monotonic()
        while self._closing and self._closing[0][0] <= now:
            self._close_caller(self._closing.popleft()[1])

    def _recover(self, stream: RelayedStream) -> None:
        """Resume at the engine; runs on a thread of its own, because it blocks."""
        try:
            stream.run.recover()
        except BrassdrumError as error:
            self._command(lambda error=error: self._fail(stream, error))
            return
        except Exception:
            _logger.exception("stream could not be resumed")
            failure = EndpointFailedError("The stream could not be resumed.")
            self._command(lambda: self._fail(stream, failure))
            return
        self._command(lambda: self._guard(stream, self._begin))

    def _fail(self, stream: RelayedStream, error: BrassdrumError) -> None:
        def step(failed: RelayedStream) -> None:
            failed.fail(error)
            self._finish_caller(failed)

        self._guard(stream, step)

    def _drop(self, stream: RelayedStream) -> None:
        self._unwatch(stream.run.socket)
        stream.interrupt()
        self._close_caller(stream)

    def _close_caller(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        self._unwatch(stream.writer.socket)
        stream.writer.close()

    def _caller_mask(self, stream: RelayedStream) -> int:
        assert stream.writer is not None
        if stream.writer.backlog:
            return selectors.EVENT_READ | selectors.EVENT_WRITE
        return selectors.EVENT_READ

    def _watch_caller(self, stream: RelayedStream) -> None:
        assert stream.writer is not None
        self._selector.modify(
            stream.writer.socket, self._caller_mask(stream), _Watched(stream, _Side.CALLER)
        )

    def _watch_engine(self, stream: RelayedStream) -> None:
        sock = stream.run.socket
        if sock.fileno() >= 0 and sock.fileno() not in self._selector.get_map():
            self._selector.register(sock, selectors.EVENT_READ, _Watched(stream, _Side.ENGINE))

    def _unwatch(self, sock: socket.socket) -> None:
        try:
            self._selector.unregister(sock)
        except (KeyError, ValueError):
            return
