"""Split a stream of server-sent events into events; check their IDs and how the stream ends."""

from __future__ import annotations

import re

from brassdrum.gateway.request.completeness import ContentEnd

__all__ = ["CommentLimitError", "EventOrderError", "EventStreamReader", "StreamError"]

_EVENT_END = re.compile(rb"\r?\n\r?\n")
# The longest part of an event's end that may have been fed before its rest.
_MAX_SPLIT_END_BYTES = 3
# Comments and empty lines between two events; a keep-alive comment takes some 15 bytes, so that
# one each second fits for an hour.
_MAX_COMMENT_BYTES = 65536
_EVENT_ID = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)


class StreamError(Exception):
    """Raised when a stream cannot go on at its endpoint."""


class EventOrderError(StreamError):
    """Raised when an event is missing, repeated or belongs to another stream."""


class CommentLimitError(StreamError):
    """Raised when comments go on without an event."""


class EventStreamReader:
    """Buffer a stream and return its complete events.

    ``event_count`` leaves out blocks that hold comments alone, of which a caller can use nothing.
    """

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self.event_count = 0
        self._buffer = bytearray()
        self._comment_bytes = 0

    @property
    def incomplete(self) -> bytes | bytearray:
        """Return the bytes after the last complete event, valid until more are fed."""
        return self._buffer

    @property
    def content_end(self) -> ContentEnd:
        """Return where the stream stands if it ends now."""
        *lines, unfinished = self._buffer.split(b"\n")
        if unfinished or not all(_is_comment(line) for line in lines):
            return ContentEnd.INSIDE_EVENT
        return ContentEnd.AFTER_EVENT if self.event_count else ContentEnd.BEFORE_FIRST_EVENT

    def feed(self, data: bytes) -> bytes:
        """Return the bytes of all complete events, or raise ``StreamError``."""
        # What was fed before holds no whole end; searching all of it again for each small piece of
        # a long event would take minutes.
        searched = max(0, len(self._buffer) - _MAX_SPLIT_END_BYTES)
        self._buffer += data
        end = 0
        for match in _EVENT_END.finditer(self._buffer, searched):
            self._check_order(bytes(self._buffer[end : match.end()]))
            end = match.end()
        if not end:
            return b""
        complete = bytes(self._buffer[:end])
        del self._buffer[:end]
        return complete

    def _check_order(self, event: bytes) -> None:
        match = _EVENT_ID.search(event)
        if match is None and all(map(_is_comment, event.split(b"\n"))):
            self._count_comment(len(event))
            return
        self._comment_bytes = 0
        self.event_count += 1
        if match is None:
            return
        number = int(match.group(1))
        if self.last_id is not None and number != self.last_id + 1:
            raise EventOrderError(
                f"event ID {number} is out of order after event ID {self.last_id}"
            )
        self.last_id = number

    def _count_comment(self, count: int) -> None:
        """Count bytes of comments since the last event."""
        self._comment_bytes += count
        if self._comment_bytes > _MAX_COMMENT_BYTES:
            raise CommentLimitError(
                f"the comments without an event exceed {_MAX_COMMENT_BYTES} bytes"
            )


def _is_comment(line: bytes | bytearray) -> bool:
    """Return whether a line without its end is empty or a comment."""
    return line.startswith(b":") or not line.rstrip(b"\r")
