"""Client of the platform's log service.

The service supports append and read from an offset, but no conditional append. Offsets of a stream
start at 0 and decrease only when the log is restored from a backup, which increments its era. The
service sets the time of each record.
"""

from __future__ import annotations

import json
from collections.abc import Callable, Sequence
from dataclasses import dataclass
from typing import Protocol

from brassdrum.errors import PlatformUnavailableError
from brassdrum.http_pool import ConnectFailedError, ExchangeFailedError, HttpPool

__all__ = ["HttpLog", "Log", "LogPage", "LogRecord"]

_MAX_RECORDS_PER_PAGE = 1000
# The requested offset is not in the log; the body has the same form as for status 200.
_HTTP_GONE = 410


@dataclass(frozen=True, slots=True)
class LogRecord:
    """A record with its offset and the service's time in seconds since the epoch."""

    offset: int
    time: float
    value: object


@dataclass(frozen=True, slots=True)
class LogPage:
    """Result of a read: records, the retained range of offsets and the next offset to read.

    ``era`` counts restores of the log from a backup, which may lack the latest records.
    """

    earliest_offset: int
    next_offset: int
    end_offset: int
    records: tuple[LogRecord, ...]
    era: int = 0


class Log(Protocol):
    """Interface of the log service."""

    def append(self, stream: str, values: Sequence[object]) -> int:
        """Append records in one request and return the offset of the first.

        After ``PlatformUnavailableError`` the records may be in the log, or be added later.
        """

    def read(self, stream: str, start: int, wait: float = 0.0) -> LogPage:
        """Return records from ``start`` on, waiting up to ``wait`` seconds for the first.

        If ``start`` is beyond the end, as after a restore, the page is empty and has the current
        era.
        """


class HttpLog:
    """Accesses the log service over HTTP."""

    def __init__(
        self, url: str, timeout: float, on_call: Callable[[int], None] | None = None
    ) -> None:
        self._pool = HttpPool(url, timeout, on_call)
        self._timeout = timeout

    def append(self, stream: str, values: Sequence[object]) -> int:
        """Append records in one request and return the offset of the first."""
        body = json.dumps({"records": list(values)}, separators=(",", ":")).encode()
        content = self._call("POST", f"/v1/streams/{stream}/records", body, self._timeout)
        return int(content["first_offset"])

    def read(self, stream: str, start: int, wait: float = 0.0) -> LogPage:
        """Return records from ``start`` on, waiting up to ``wait`` seconds for the first."""
        path = (
            f"/v1/streams/{stream}/records?from={start}&limit={_MAX_RECORDS_PER_PAGE}&wait={wait}"
        )
        content = self._call("GET", path, None, self._timeout + wait)
        records = tuple(
            LogRecord(item["offset"], item["time"], item["value"]) for item in content["records"]
        )
        era = content.get("era", 0)
        return LogPage(content["earliest"], content["next"], content["end"], records, era)

    def _call(self, method: str, path: str, body: bytes | None, timeout: float) -> dict:
        headers = {"Content-Type": "application/json"} if body is not None else {}
        try:
            status, response_body = self._pool.call(method, path, body, headers, timeout=timeout)
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise PlatformUnavailableError(
                f"Request to the log service failed: {error}."
            ) from error
        if status not in (200, _HTTP_GONE):
            raise PlatformUnavailableError(f"The log service returned status {status}.")
        try:
            return json.loads(response_body)
        except ValueError as error:
            raise PlatformUnavailableError("The log service returned invalid JSON.") from error
