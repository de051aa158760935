"""Cut a stream of server-sent events into whole events and check their order."""

from __future__ import annotations

import re

__all__ = ["EventOrderError", "EventReader"]

_END = re.compile(rb"\r?\n\r?\n")
_ID = re.compile(rb"^id:[ ]?(\d+)\s*$", re.MULTILINE)


class EventOrderError(Exception):
    """Tell that an event is missing, repeated or belongs to another stream."""


class EventReader:
    """Return whole events; hold back a part of one until the rest comes."""

    def __init__(self, last_id: int | None) -> None:
        self.last_id = last_id
        self._rest = b""

    @property
    def rest(self) -> bytes:
        """Return the bytes after the last whole event."""
        return self._rest

    def feed(self, data: bytes) -> bytes:
        """Return the whole events as they came, or raise ``EventOrderError``."""
        self._rest += data
        end = 0
        for match in _END.finditer(self._rest):
            self._check(self._rest[end : match.end()])
            end = match.end()
        whole, self._rest = self._rest[:end], self._rest[end:]
        return whole

    def _check(self, event: bytes) -> None:
        match = _ID.search(event)
        if match is None:
            return
        number = int(match.group(1))
        if self.last_id is not None and number != self.last_id + 1:
            raise EventOrderError(f"event {number} follows event {self.last_id}")
        self.last_id = number
