"""Checks on the events of an engine's stream before they are sent to the caller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

__all__ = ["CheckedEvent", "EventVerdict", "StreamAssembler", "StreamChecker", "StreamEvent"]

# As in the gateway; an event holds one token or a few, an event with tool calls some kilobytes.
_MAX_EVENT_BYTES = 1 << 20
_NULL_FINISH_REASON = b'"finish_reason":null'


class EventVerdict(StrEnum):
    """Result of checking an event; all but ``DELIVER`` are dropped."""

    DELIVER = "deliver"
    REPEATED = "repeated"
    FOREIGN = "foreign"
    GAP = "gap"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """A server-sent event; ``event_id`` is ``STREAM/INDEX``, or empty for the ``[DONE]`` event."""

    event_id: str
    data: bytes

    @property
    def is_done(self) -> bool:
        """Return whether this is the ``[DONE]`` event that ends the response."""
        return self.data == b"[DONE]"


@dataclass(frozen=True, slots=True)
class CheckedEvent:
    """An event to deliver to the caller."""

    index: int
    data: bytes


class StreamChecker:
    """Accept the events of one stream in order, each exactly once."""

    def __init__(self, stream: str, next_index: int = 0) -> None:
        self._prefix = f"{stream}/"
        self.next_index = next_index
        self.dropped = 0

    def check(self, name: str) -> EventVerdict:
        """Return the verdict on an event id; count dropped events."""
        if name == f"{self._prefix}{self.next_index}":
            self.next_index += 1
            return EventVerdict.DELIVER
        self.dropped += 1
        index = name.removeprefix(self._prefix)
        if not name.startswith(self._prefix) or not index.isdecimal():
            return EventVerdict.FOREIGN
        if int(index) < self.next_index:
            return EventVerdict.REPEATED
        return EventVerdict.GAP


class StreamAssembler:
    """Assemble the events of a stream, each once, from consecutive connections."""

    def __init__(
        self, stream: str, next_index: int, on_dropped: Callable[[EventVerdict], None]
    ) -> None:
        self._checker = StreamChecker(stream, next_index)
        self._on_dropped = on_dropped
        self._buffer = b""
        self._last_data = b""
        self.complete = False
        self.broken = False
        # Why no further connection can bring the rest, None while one can.
        self.failure: str | None = None

    @property
    def next_index(self) -> int:
        """Return the index of the next expected event."""
        return self._checker.next_index

    def restart(self) -> None:
        """Continue on a new connection, which starts at ``next_index``."""
        self._buffer = b""
        self.broken = False

    def feed(self, data: bytes) -> list[CheckedEvent]:
        """Return newly completed events; set ``complete`` or ``broken`` when the stream ends."""
        *blocks, self._buffer = (self._buffer + data).split(b"\n\n")
        events = []
        for block in blocks:
            if self.complete or self.broken:
                break
            event = self._accept(_parse(block))
            if event is not None:
                events.append(event)
        if len(self._buffer) > _MAX_EVENT_BYTES and not self.complete:
            self._buffer = b""
            self.broken = True
            self.failure = f"sent an event of more than {_MAX_EVENT_BYTES} bytes"
        return events

    def _accept(self, event: StreamEvent) -> CheckedEvent | None:
        if event.is_done:
            self.complete = bool(self._last_data) and _NULL_FINISH_REASON not in self._last_data
            self.broken = not self.complete
            return None
        if not event.event_id and not event.data:
            # A comment: engines send it to keep a connection open while they work.
            return None
        verdict = self._checker.check(event.event_id)
        if verdict is EventVerdict.DELIVER:
            self._last_data = event.data
            return CheckedEvent(self._checker.next_index - 1, event.data)
        self._on_dropped(verdict)
        self.broken = verdict is EventVerdict.GAP
        return None


def _parse(block: bytes) -> StreamEvent:
    name = ""
    data = b""
    for line in block.split(b"\n"):
        if line.startswith(b"data: "):
            data = line[6:]
            continue
        if line.startswith(b"id: "):
            name = line[4:].decode("ascii", "replace")
    return StreamEvent(name, data)
