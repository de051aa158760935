"""Append to and read from the platform's log service.

Assumed of the platform: append and read-from-offset only, no conditional append; offsets of a
stream start at 0 and go back only when the log returns from a copy, which its era tells; each
record gets the log's own time.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from brassdrum.errors import PlatformUnavailableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool

__all__ = ["HttpLog", "Log", "LogPage", "LogRecord"]

_PAGE_RECORDS = 1000
# The log does not have the offset that was asked for; the answer says what it has.
_GONE = 410


@dataclass(frozen=True, slots=True)
class LogRecord:
    """Hold one record with its offset and the log's time in seconds since the epoch."""

    offset: int
    time: float
    value: object


@dataclass(frozen=True, slots=True)
class LogPage:
    """Hold some records, the earliest offset retained and the next to read.

    ``era`` counts how often the log came back from a copy that may lack its last seconds.
    """

    earliest: int
    next_offset: int
    end: int
    records: tuple[LogRecord, ...]
    era: int = 0


class Log(Protocol):
    """Append records to streams and read them back."""

    def append(self, stream: str, values: Sequence[object]) -> int:
        """Append records together and return the first one's offset.

        Raises ``PlatformUnavailableError``; the records may then be in the log, or arrive later.
        """

    def read(self, stream: str, start: int, wait: float = 0.0) -> LogPage:
        """Return records from an offset on, waiting a while for the first.

        Beyond the end, where a copy left off, it returns an empty page with the present era.
        """


class HttpLog:
    """Reach the log service by HTTP."""

    def __init__(
        self, url: str, timeout: float, on_call: Callable[[int], None] | None = None
    ) -> None:
        self._pool = HttpPool(url, timeout, on_call)
        self._timeout = timeout

    def append(self, stream: str, values: Sequence[object]) -> int:
        """Append records together and return the first one's offset."""
        body = json.dumps({"records": list(values)}, separators=(",", ":")).encode()
        content = self._call("POST", f"/v1/streams/{stream}/records", body, self._timeout)
        return int(content["first_offset"])

    def read(self, stream: str, start: int, wait: float = 0.0) -> LogPage:
        """Return records from an offset on, waiting a while for the first."""
        path = f"/v1/streams/{stream}/records?from={start}&limit={_PAGE_RECORDS}&wait={wait}"
        content = self._call("GET", path, None, self._timeout + wait)
        records = tuple(
            LogRecord(item["offset"], item["time"], item["value"]) for item in content["records"]
        )
        era = content.get("era", 0)
        return LogPage(content["earliest"], content["next"], content["end"], records, era)

    def _call(self, method: str, path: str, body: bytes | None, timeout: float) -> dict:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            status, answer = self._pool.call(method, path, body, headers, timeout=timeout)
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise PlatformUnavailableError(f"The log service did not answer: {error}.") from error
        if status not in (200, _GONE):
            raise PlatformUnavailableError(f"The log service answered with status {status}.")
        try:
            return json.loads(answer)
        except ValueError as error:
            raise PlatformUnavailableError("The log service sent no JSON.") from error
