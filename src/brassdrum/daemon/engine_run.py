"""Read one stream from its engine, complete and in order, across reconnections."""

from __future__ import annotations

import logging
import socket
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.daemon.cancels import CancelQueue
from brassdrum.daemon.watch import AbortReason, ExchangeWatchdog, WatchedExchange
from brassdrum.endpoints.engine import EngineClient, EngineConnection
from brassdrum.errors import (
    CallerDisconnectedError,
    DeadlineExceededError,
    EndpointEndedError,
    EndpointFailedError,
    StreamGoneError,
)
from brassdrum.http_pool import Connected, ExchangeFailedError
from brassdrum.outcomes.stream import CheckedEvent, EventVerdict, StreamAssembler

__all__ = ["EngineStreamReader", "StreamIdentity", "StreamTimeouts"]

_logger = logging.getLogger(__name__)
_MAX_RESUMES_WITHOUT_PROGRESS = 10
_RESUME_DELAY_SECONDS = 0.05
_MAX_RESUME_DELAY_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StreamIdentity:
    """Identify a stream and what is needed to resume it."""

    stream: str
    model: str
    chat: bool


@dataclass(frozen=True, slots=True)
class StreamTimeouts:
    """Hold a stream's deadline and first-event limit in monotonic time, and its idle timeout."""

    deadline: float
    first_event_by: float
    idle_seconds: float


class EngineStreamReader:
    """Return each event of a stream once; resume at the engine when the connection breaks.

    ``connect`` starts the stream; without it, the reader resumes one at ``next_index``.
    ``start``, ``next_events`` and ``recover`` block. After ``take_over`` the caller polls the
    socket, passes received data to ``feed`` and calls ``recover`` when the connection ends early.
    """

    def __init__(
        self,
        engine: EngineClient,
        identity: StreamIdentity,
        connect: Callable[[Callable[[Connected], None]], EngineConnection] | None,
        *,
        clock: Clock,
        watch: ExchangeWatchdog,
        cancels: CancelQueue,
        times: StreamTimeouts,
        disconnected: Callable[[], bool],
        on_dropped: Callable[[EventVerdict], None],
        next_index: int = 0,
    ) -> None:
        self._engine = engine
        self._identity = identity
        self._connect = connect
        self._clock = clock
        self._watch = watch
        self._cancels = cancels
        self._times = times
        self._assembler = StreamAssembler(identity.stream, next_index, on_dropped)
        self._connection: EngineConnection | None = None
        self._connected: Connected | None = None
        self._watched = WatchedExchange(
            times.deadline, times.first_event_by, disconnected, self._abort
        )
        self.on_aborted: Callable[[], None] | None = None
        self._closed = False
        self._may_be_running = False
        self._taken_over = False
        self._resumes_without_progress = 0

    @property
    def complete(self) -> bool:
        """Return whether the complete answer was received."""
        return self._assembler.complete

    @property
    def broken(self) -> bool:
        """Return whether the connection can deliver no further valid events."""
        return self._assembler.broken

    @property
    def closed(self) -> bool:
        """Return whether the exchange was closed."""
        return self._closed

    @property
    def socket(self) -> socket.socket:
        """Return the socket of the current connection."""
        assert self._connection is not None
        return self._connection.socket

    def start(self) -> list[CheckedEvent]:
        """Connect and wait for the first events.

        Raises ``NoEndpointError``, ``EndpointFailedError``, ``DeadlineExceededError`` or
        ``CallerDisconnectedError``; the stream is then cancelled if it may be running.
        """
        self._watch.add(self._watched)
        try:
            if self._connect is None:
                self._resume()
            else:
                self._connection = self._open_connection(self._connect)
            return self.next_events()
        except BaseException:
            self.close()
            raise

    def next_events(self) -> list[CheckedEvent]:
        """Wait for more events; none when the answer is complete. Raises as ``start`` does."""
        assert self._connection is not None
        try:
            while not self.complete:
                events = self.feed(self._read())
                if events:
                    return events
                if self.broken:
                    self.recover()
        except BaseException:
            self.close()
            raise
        return []

    def feed(self, data: bytes) -> list[CheckedEvent]:
        """Return the events that ``data`` completes; empty data means that the connection ended."""
        if not data:
            self._assembler.broken = not self.complete
            return []
        events = self._assembler.feed(data)
        if events:
            self._resumes_without_progress = 0
            self.restart_silence()
        return events

    def restart_silence(self) -> None:
        """Count the engine's silence from now on."""
        self._watched.restart_silence(self._clock.monotonic(), self._times.idle_seconds)

    def pause_silence(self) -> None:
        """Count no silence while the caller of ``feed`` does not read the socket."""
        self._watched.pause_silence()

    def take_over(self) -> list[CheckedEvent]:
        """Make the socket non-blocking and return the events already received."""
        assert self._connection is not None
        self._taken_over = True
        data = self._connection.set_nonblocking()
        return self.feed(data) if data else []

    def recover(self) -> None:
        """Reconnect and resume at the first missing event. Raises as ``start`` does."""
        assert self._connection is not None
        self._connection.close()
        if self._assembler.failure is not None:
            self._raise_if_aborted()
            raise EndpointFailedError(f"Endpoint {self._engine.name} {self._assembler.failure}.")
        self._resume()

    def close(self) -> None:
        """Close the exchange; cancel the stream unless it was completely received."""
        if self._closed:
            return
        self.leave_running()
        if self._may_be_running and not self.complete:
            self._cancels.add(self._engine, self._identity.stream)

    def leave_running(self) -> None:
        """Close the exchange; the stream can be resumed as long as its engine holds it."""
        self._closed = True
        self._watch.remove(self._watched)
        if self._connection is not None:
            self._connection.close()

    def _resume(self) -> None:
        """Connect at the first missing event; try again while the engine may hold the stream."""
        failure = f"Endpoint {self._engine.name} closed every connection early."
        while True:
            self._raise_if_aborted()
            if self._closed:
                raise CallerDisconnectedError("The caller left while its stream was resumed.")
            if self._resumes_without_progress >= _MAX_RESUMES_WITHOUT_PROGRESS:
                raise EndpointFailedError(failure)
            if self._resumes_without_progress:
                delay = _RESUME_DELAY_SECONDS * 2**self._resumes_without_progress
                self._clock.sleep(min(_MAX_RESUME_DELAY_SECONDS, delay))
            self._resumes_without_progress += 1
            try:
                self._connection = self._open_resumption()
            except (EndpointEndedError, StreamGoneError):
                raise
            except EndpointFailedError as error:
                failure = error.message
                _logger.info(
                    "stream not resumed",
                    extra={
                        "endpoint": self._engine.name,
                        "stream": self._identity.stream,
                        "try": self._resumes_without_progress,
                        "reason": error.summary,
                    },
                )
                continue
            self._may_be_running = True
            self._assembler.restart()
            return

    def _open_resumption(self) -> EngineConnection:
        return self._engine.resume(
            self._identity.stream,
            self._assembler.next_index,
            self._set_connected,
            model=self._identity.model,
            chat=self._identity.chat,
            timeout_seconds=max(0.05, self._times.deadline - self._clock.monotonic()),
        )

    def _open_connection(
        self, connect: Callable[[Callable[[Connected], None]], EngineConnection]
    ) -> EngineConnection:
        try:
            connection = connect(self._set_connected)
        except EndpointFailedError:
            self._may_be_running = True
            self._raise_if_aborted()
            raise
        self._may_be_running = True
        return connection

    def _read(self) -> bytes:
        assert self._connection is not None
        try:
            return self._connection.read()
        except ExchangeFailedError:
            return b""

    def _raise_if_aborted(self) -> None:
        reason = self._watched.reason
        if reason is AbortReason.DEADLINE or self._clock.monotonic() >= self._times.deadline:
            raise DeadlineExceededError(
                "The request's deadline passed before its answer was complete."
            )
        if reason is AbortReason.DISCONNECTED:
            raise CallerDisconnectedError("The caller closed its connection.")
        if reason is AbortReason.SILENT:
            raise EndpointFailedError(f"Endpoint {self._engine.name} stopped answering.")

    def _set_connected(self, connected: Connected) -> None:
        self._connected = connected

    def _abort(self) -> None:
        if self._connected is not None:
            self._connected.abort()
        if self.on_aborted is not None:
            self.on_aborted()
