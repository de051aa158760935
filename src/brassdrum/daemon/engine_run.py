"""Read one stream from its engine, whole and in order, through broken connections."""

from __future__ import annotations

import socket
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.daemon.cancels import Cancels
from brassdrum.daemon.watch import AbortReason, ExchangeWatchdog, WatchedExchange
from brassdrum.endpoints.engine import EngineClient, EngineConnection
from brassdrum.errors import CallerDisconnectedError, DeadlineExceededError, EndpointFailedError
from brassdrum.http_pool import Connected, ExchangeFailedError
from brassdrum.outcomes.stream import CheckedEvent, EventVerdict, StreamAssembler

__all__ = ["EngineRun", "RunTimes", "StreamIdentity"]

_RESUMES_WITHOUT_PROGRESS = 10
_RESUME_PAUSE_SECONDS = 0.05
_LONGEST_RESUME_PAUSE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class StreamIdentity:
    """Name a stream and how to read it again."""

    stream: str
    model: str
    chat: bool


@dataclass(frozen=True, slots=True)
class RunTimes:
    """Bound a run: monotonic times of its end and first event, seconds between events."""

    deadline: float
    first_event_by: float
    idle_seconds: float


class EngineRun:
    """Yield a stream's events once each; resume it at its engine when its connection breaks.

    ``start`` and ``next_events`` block. After ``take_over`` the socket is watched elsewhere, which
    feeds what arrives and calls ``recover``, which blocks, when the connection ends early.
    """

    def __init__(
        self,
        engine: EngineClient,
        identity: StreamIdentity,
        connect: Callable[[Callable[[Connected], None]], EngineConnection],
        *,
        clock: Clock,
        watch: ExchangeWatchdog,
        cancels: Cancels,
        times: RunTimes,
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
        self._may_run = False
        self._taken_over = False
        self._resumes = 0

    @property
    def whole(self) -> bool:
        """Return whether the answer arrived whole."""
        return self._assembler.complete

    @property
    def broken(self) -> bool:
        """Return whether the connection can give nothing more that is of use."""
        return self._assembler.broken

    @property
    def ended(self) -> bool:
        """Return whether the exchange was closed."""
        return self._closed

    @property
    def socket(self) -> socket.socket:
        """Return the socket of the present connection."""
        assert self._connection is not None
        return self._connection.socket

    def start(self) -> list[CheckedEvent]:
        """Connect and wait for the first events.

        Raises ``NoEndpointError``, ``EndpointFailedError``, ``DeadlineExceededError`` or
        ``CallerDisconnectedError``; the engine is told to stop then, until it has answered.
        """
        self._watch.add(self._watched)
        try:
            self._connection = self._first_connection()
            return self.next_events()
        except BaseException:
            self.close()
            raise

    def next_events(self) -> list[CheckedEvent]:
        """Wait for more events; none when the answer is whole. Raises as ``start`` does."""
        assert self._connection is not None
        try:
            while not self.whole:
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
        """Return the events that became complete; no data means that the connection ended."""
        if not data:
            self._assembler.broken = not self.whole
            return []
        events = self._assembler.feed(data)
        if events:
            self._resumes = 0
            self._watched.silence_deadline = self._clock.monotonic() + self._times.idle_seconds
        return events

    def take_over(self) -> list[CheckedEvent]:
        """Make the socket non-blocking and return events that had arrived already."""
        assert self._connection is not None
        self._taken_over = True
        data = self._connection.take_over()
        return self.feed(data) if data else []

    def recover(self) -> None:
        """Connect again at the first missing event. Raises as ``start`` does."""
        assert self._connection is not None
        self._connection.close()
        self._raise_abort()
        if self._resumes >= _RESUMES_WITHOUT_PROGRESS:
            raise EndpointFailedError(f"Endpoint {self._engine.name} breaks every connection.")
        if self._resumes:
            pause = _RESUME_PAUSE_SECONDS * 2**self._resumes
            self._clock.sleep(min(_LONGEST_RESUME_PAUSE_SECONDS, pause))
        self._resumes += 1
        self._connection = self._engine.resume(
            self._identity.stream,
            self._assembler.next_index,
            self._note_connected,
            model=self._identity.model,
            chat=self._identity.chat,
            seconds=max(0.05, self._times.deadline - self._clock.monotonic()),
        )
        self._assembler.restart()

    def close(self) -> None:
        """End the exchange; cancel the stream unless it arrived whole."""
        if self._closed:
            return
        self._closed = True
        self._watch.remove(self._watched)
        if self._connection is not None:
            self._connection.close()
        if self._may_run and not self.whole:
            self._cancels.add(self._engine, self._identity.stream)

    def _first_connection(self) -> EngineConnection:
        try:
            connection = self._connect(self._note_connected)
        except EndpointFailedError:
            self._may_run = True
            self._raise_abort()
            raise
        self._may_run = True
        return connection

    def _read(self) -> bytes:
        assert self._connection is not None
        try:
            return self._connection.read()
        except ExchangeFailedError:
            return b""

    def _raise_abort(self) -> None:
        reason = self._watched.reason
        if reason is AbortReason.DEADLINE or self._clock.monotonic() >= self._times.deadline:
            raise DeadlineExceededError("The request's time passed before its answer was whole.")
        if reason is AbortReason.DISCONNECTED:
            raise CallerDisconnectedError("The caller closed its connection.")
        if reason is AbortReason.SILENT:
            raise EndpointFailedError(f"Endpoint {self._engine.name} stopped answering.")

    def _note_connected(self, connected: Connected) -> None:
        self._connected = connected

    def _abort(self) -> None:
        if self._connected is not None:
            self._connected.abort()
        if self.on_aborted is not None:
            self.on_aborted()
