"""Check each event of an engine's stream before a caller may see it."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

__all__ = ["EventVerdict", "StreamChecker", "StreamEvent"]


class EventVerdict(StrEnum):
    """Tell what to do with an event."""

    DELIVER = "deliver"
    REPEATED = "repeated"
    FOREIGN = "foreign"
    GAP = "gap"


@dataclass(frozen=True, slots=True)
class StreamEvent:
    """Hold one SSE event; ``name`` is its id ``STREAM/INDEX``, empty on the final mark."""

    name: str
    data: bytes

    @property
    def final(self) -> bool:
        """Return whether this marks the whole answer's end."""
        return self.data == b"[DONE]"


class StreamChecker:
    """Let through one stream's events in order, each once."""

    def __init__(self, stream: str, next_index: int = 0) -> None:
        self._prefix = f"{stream}/"
        self.next_index = next_index
        self.dropped = 0

    def check(self, name: str) -> EventVerdict:
        """Return the verdict on an event's id and count what is dropped."""
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
