"""Split a stream of server-sent events into events and check the sequence of their IDs."""

from __future__ import annotations

import re

__all__ = ["EventOrderError", "EventStreamReader"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)


class EventOrderError(Exception):
    """Raised when an event is missing, repeated or belongs to another stream."""


class EventStreamReader:
    """Buffer a stream and return its complete events."""

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self._buffer = b""

    @property
    def incomplete(self) -> bytes:
        """Return the bytes after the last complete event."""
        return self._buffer

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all complete events, or raise ``EventOrderError``."""
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer):
            self._check_order(self._buffer[end : match.end()])
            end = match.end()
        complete, self._buffer = self._buffer[:end], self._buffer[end:]
        return complete

    def _check_order(self, event: bytes) -> None:
        match = _EVENT_ID.search(event)
        if match is None:
            return
        number = int(match.group(1))
        if self.last_id is not None and number != self.last_id + 1:
            raise EventOrderError(
                f"event ID {number} is out of order after event ID {self.last_id}"
            )
        self.last_id = number
