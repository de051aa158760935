"""Read one stream from its engine, whole and in order, through broken connections."""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.daemon.cancels import Cancels
from brassdrum.daemon.watch import AbortReason, Watch, Watched
from brassdrum.endpoints.engine import EngineClient, EventSource
from brassdrum.errors import CallerDisconnectedError, DeadlineExceededError, EndpointFailedError
from brassdrum.http_pool import Connected, ExchangeFailedError
from brassdrum.outcomes.stream import EventVerdict, StreamChecker

__all__ = ["CheckedEvent", "EngineRun", "StreamIdentity"]

_RESUMES_WITHOUT_PROGRESS = 10
_RESUME_PAUSE_SECONDS = 0.05
_LONGEST_RESUME_PAUSE_SECONDS = 1.0
_UNFINISHED = b'"finish_reason":null'


@dataclass(frozen=True, slots=True)
class StreamIdentity:
    """Name a stream and how to read it again."""

    stream: str
    model: str
    chat: bool


@dataclass(frozen=True, slots=True)
class CheckedEvent:
    """Hold one event that the caller may see."""

    index: int
    data: bytes


class EngineRun:
    """Yield a stream's events once each; resume it at its engine when its connection breaks."""

    def __init__(
        self,
        engine: EngineClient,
        identity: StreamIdentity,
        connect: Callable[[Callable[[Connected], None]], EventSource],
        *,
        clock: Clock,
        watch: Watch,
        cancels: Cancels,
        deadline: float,
        first_event_by: float,
        idle_seconds: float,
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
        self._deadline = deadline
        self._idle_seconds = idle_seconds
        self._on_dropped = on_dropped
        self._checker = StreamChecker(identity.stream, next_index)
        self._source: EventSource | None = None
        self._connected: Connected | None = None
        self._watched = Watched(deadline, first_event_by, disconnected, self._abort)
        self._whole = False
        self._closed = False
        self._may_run = False
        self._resumes = 0
        self._last_data = b""

    @property
    def whole(self) -> bool:
        """Return whether the answer arrived whole."""
        return self._whole

    def events(self) -> Iterator[CheckedEvent]:
        """Yield events to the end of the answer.

        Raises ``EndpointFailedError``, ``DeadlineExceededError`` or ``CallerDisconnectedError``;
        the engine is told to stop then, again and again until it has answered.
        """
        self._watch.add(self._watched)
        try:
            self._source = self._first_connection()
            while True:
                yield from self._read()
                if self._whole:
                    return
                self._recover()
        finally:
            self.close()

    def close(self) -> None:
        """End the exchange; cancel the stream unless it arrived whole."""
        if self._closed:
            return
        self._closed = True
        self._watch.remove(self._watched)
        if self._whole and self._source is not None:
            self._source.finish()
            return
        if self._source is not None:
            self._source.close()
        if self._may_run:
            self._cancels.add(self._engine, self._identity.stream)

    def _first_connection(self) -> EventSource:
        try:
            source = self._connect(self._note_connected)
        except EndpointFailedError:
            self._may_run = True
            self._raise_abort()
            raise
        self._may_run = True
        return source

    def _read(self) -> Iterator[CheckedEvent]:
        assert self._source is not None
        try:
            for event in self._source.events():
                self._watched.silent_after = self._clock.monotonic() + self._idle_seconds
                if event.final:
                    self._whole = bool(self._last_data) and _UNFINISHED not in self._last_data
                    return
                verdict = self._checker.check(event.name)
                if verdict is EventVerdict.DELIVER:
                    self._resumes = 0
                    self._last_data = event.data
                    yield CheckedEvent(self._checker.next_index - 1, event.data)
                    continue
                self._on_dropped(verdict)
                if verdict is EventVerdict.GAP:
                    return
        except ExchangeFailedError:
            return

    def _recover(self) -> None:
        assert self._source is not None
        self._source.close()
        self._raise_abort()
        if self._resumes >= _RESUMES_WITHOUT_PROGRESS:
            raise EndpointFailedError(f"Endpoint {self._engine.name} breaks every connection.")
        if self._resumes:
            pause = _RESUME_PAUSE_SECONDS * 2**self._resumes
            self._clock.sleep(min(_LONGEST_RESUME_PAUSE_SECONDS, pause))
        self._resumes += 1
        self._source = self._engine.resume(
            self._identity.stream,
            self._checker.next_index,
            self._note_connected,
            model=self._identity.model,
            chat=self._identity.chat,
            seconds=max(0.05, self._deadline - self._clock.monotonic()),
        )

    def _raise_abort(self) -> None:
        reason = self._watched.reason
        if reason is AbortReason.DEADLINE or self._clock.monotonic() >= self._deadline:
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
