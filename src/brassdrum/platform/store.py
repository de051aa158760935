"""Read and write the platform's store over its log calls."""

from __future__ import annotations

import base64
import json
import logging
import threading
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from urllib.parse import quote

from brassdrum.deferred_http import ConnectFailedError, DeferredHttpPool, ExchangeFailedError
from brassdrum.errors import PlatformUnavailableError
from brassdrum.gateway.model import (
    DaemonAddress,
    EndpointEntry,
    EndpointRecords,
    FleetConfiguration,
    OperatorRecords,
    StoreRecord,
)
from brassdrum.platform.documents import decode_configuration, decode_endpoint

__all__ = ["PlatformStore"]

_OPERATOR_TOPIC = "keyed.op"
_CONFIGURATION_KEY = "config"
_EVACUATION_PREFIX = "evacuate/"
# Messages to peers carry names of at most 255 bytes, up to 4 a character.
_MAX_ZONE_LENGTH = 63
_ENDPOINT_TOPIC = "keyed.servers"
_DAEMON_TOPIC = "keyed.brassdrum-daemons"
_QUARANTINE_TOPIC = "keyed.brassdrum-quarantine"
# An answer takes 4 ms, and 60 times that on a slow day.
_CALL_SECONDS = 1.0
# A page of 1 MB may come slowly, but not for longer than this.
_ANSWER_SECONDS = 5.0
# A page holds 1 MB or 500 records, which base64 and their keys make longer.
_MAX_PAGE_BYTES = 8 << 20
# Pages of a topic, each with 500 records or 1 MB. 100,000 records are 20 times the endpoints that
# are planned for.
_MAX_PAGES = 200
# Rises by one each time the store comes back from a copy that may lack the last seconds.
_ERA_HEADER = "Store-Era"
_logger = logging.getLogger(__name__)
_HTTP_OK = 200
_HTTP_NOT_FOUND = 404


@dataclass(frozen=True, slots=True)
class _Answer:
    """An answer of the store; ``content`` is None where it does not know the topic."""

    content: bytes | None
    era: int | None


@dataclass(frozen=True, slots=True)
class _Page:
    """Newest records of a topic; ``revision`` rises with each record that is appended."""

    items: list[dict]
    more: bool
    revision: int
    era: int | None


class PlatformStore:
    """Use the newest record of each key in the platform's topics."""

    def __init__(self, address: str) -> None:
        self._pool = DeferredHttpPool(f"http://{address}", _CALL_SECONDS)
        self._lock = threading.Lock()
        self.calls = 0
        self.era: int | None = None

    def operator_records(self) -> OperatorRecords:
        """Return the newest configuration as it was written, and the evacuated zones."""
        pages = list(self._pages(_OPERATOR_TOPIC))
        items = [item for page in pages for item in page.items if isinstance(item, dict)]
        named = [
            record
            for item in items
            if item.get("key") == _CONFIGURATION_KEY
            if (record := _record(item)) is not None
        ]
        # The first page's era and revision: later pages may hold newer records, never older ones.
        return OperatorRecords(
            named[0] if named else None,
            frozenset(zone for zone in map(_evacuated_zone, items) if zone is not None),
            pages[0].revision,
            pages[0].era,
        )

    def endpoints(self) -> EndpointRecords:
        """Return the whole list of endpoints."""
        pages = list(self._pages(_ENDPOINT_TOPIC))
        # The first page's revision: later pages may hold newer records, never older ones.
        return EndpointRecords(tuple(_records(pages)), pages[0].revision or None)

    def daemons(self) -> dict[str, DaemonAddress]:
        """Return the addresses of daemons that announced themselves, by name."""
        found = {record.key: _address(record) for record in self._newest(_DAEMON_TOPIC)}
        return {name: address for name, address in found.items() if address is not None}

    def announce(self, name: str, address: DaemonAddress) -> None:
        """Tell other daemons where this one is."""
        self._append(_DAEMON_TOPIC, StoreRecord(name, address.encode()))

    def quarantines(self) -> list[StoreRecord]:
        """Return the records of quarantined contents that daemons have kept."""
        return self._newest(_QUARANTINE_TOPIC)

    def save_quarantine(self, record: StoreRecord) -> None:
        """Keep a record of a quarantined content, or drop it where the value is empty."""
        self._append(_QUARANTINE_TOPIC, record)

    def decode_configuration(self, record: StoreRecord) -> FleetConfiguration:
        """Return a configuration, or raise ``InvalidDocumentError``."""
        return decode_configuration(record.value)

    def decode_endpoint(self, record: StoreRecord) -> EndpointEntry:
        """Return an entry of the list, or raise ``InvalidDocumentError``."""
        return decode_endpoint(record.key, record.value)

    def _append(self, topic: str, record: StoreRecord) -> None:
        key = record.key.encode()
        content = bytes([len(key)]) + key + record.value
        framed = len(content).to_bytes(4, "big") + content
        self._call("POST", f"/log-append?topic={topic}&part=0", framed)

    def _newest(self, topic: str) -> list[StoreRecord]:
        return _records(self._pages(topic))

    def _pages(self, topic: str) -> Iterator[_Page]:
        after = ""
        for _ in range(_MAX_PAGES):
            page = self._page(topic, after)
            yield page
            if not page.more or not page.items:
                return
            following = f"&after={quote(str(page.items[-1].get('key')), safe='')}"
            if following == after:
                raise PlatformUnavailableError(f"The store repeats a page of {topic}.")
            after = following
        raise PlatformUnavailableError(f"The store has more than {_MAX_PAGES} pages of {topic}.")

    def _page(self, topic: str, after: str) -> _Page:
        answer = self._call("GET", f"/log-newest?topic={topic}&part=0{after}")
        if answer.content is None:
            return _Page([], False, 0, answer.era)
        try:
            page = json.loads(answer.content)
        except ValueError as error:
            raise PlatformUnavailableError(f"The store sent no JSON: {error}.") from error
        if not isinstance(page, dict) or not isinstance(page.get("items"), list):
            # An answer that broke off must not look like a topic without records.
            raise PlatformUnavailableError("The store sent a page without its records.")
        revision = page.get("end_offset")
        return _Page(
            page["items"],
            bool(page.get("has_more")),
            revision if isinstance(revision, int) and revision > 0 else 0,
            answer.era,
        )

    def _call(self, method: str, path: str, body: bytes | None = None) -> _Answer:
        """Return an answer of the store, or raise ``PlatformUnavailableError``."""
        self.calls += 1
        try:
            exchange = self._pool.request(method, path, body, time_limit=_ANSWER_SECONDS)
            status, answer = exchange.status, exchange.read(_MAX_PAGE_BYTES)
        except (ConnectFailedError, ExchangeFailedError) as error:
            raise PlatformUnavailableError(f"The store does not answer: {error}.") from error
        era = self._note_era(exchange.header(_ERA_HEADER))
        if status == _HTTP_NOT_FOUND:
            return _Answer(None, era)
        if status != _HTTP_OK:
            raise PlatformUnavailableError(f"The store answered {status} to {method} {path}.")
        return _Answer(answer, era)

    def _note_era(self, text: str | None) -> int | None:
        """Return the era of an answer; keep the newest, since answers may overtake each other."""
        if text is None:
            return None
        try:
            era = int(text)
        except ValueError:
            _logger.warning("era not readable", extra={"era": text[:40]})
            return None
        with self._lock:
            if self.era is None or era > self.era:
                self.era = era
        return era


def _records(pages: Iterable[_Page]) -> list[StoreRecord]:
    """Return the records of pages, without those that cannot be read."""
    items = (item for page in pages for item in page.items)
    return [record for record in map(_record, items) if record is not None]


def _record(item: dict) -> StoreRecord | None:
    """Return one record of a page, or None where it cannot be read; the others hold."""
    try:
        return StoreRecord(item["key"], base64.b64decode(item["value"], validate=True))
    except (KeyError, TypeError, ValueError) as error:
        _logger.warning(
            "record not readable", extra={"record": str(item)[:80], "error": str(error)}
        )
        return None


def _evacuated_zone(item: dict) -> str | None:
    """Return the zone that a record evacuates, or None; an empty value deletes the record."""
    key = item.get("key")
    if not isinstance(key, str) or not key.startswith(_EVACUATION_PREFIX) or not item.get("value"):
        return None
    zone = key.removeprefix(_EVACUATION_PREFIX)
    if not zone or len(zone) > _MAX_ZONE_LENGTH or not zone.isprintable():
        _logger.warning("record not readable", extra={"record": key[:80], "error": "no zone name"})
        return None
    return zone


def _address(record: StoreRecord) -> DaemonAddress | None:
    """Return where a daemon is, or None where the record cannot be read; the others hold."""
    try:
        return DaemonAddress.decode(record.value)
    except ValueError as error:
        _logger.warning("daemon not readable", extra={"key": record.key, "error": str(error)})
        return None
