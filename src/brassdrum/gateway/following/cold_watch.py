"""Follow which endpoints are cold, and log when that changes."""

from __future__ import annotations

import logging
from collections.abc import Iterable, Mapping
from typing import Protocol

from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.net.loop import Timer, Timers
from brassdrum.gateway.placing.load import LoadTable, endpoint_key
from brassdrum.gateway.throttling.cold import ColdNotice, ColdTable
from brassdrum.telemetry import log_events

__all__ = ["ColdWatch"]

_logger = logging.getLogger(__name__)

# Endpoints count their requests in windows of this length, and take some beyond their rate.
_WINDOW_SECONDS = 1.0
_TOLERATED_REQUESTS = 5


class Announcer(Protocol):
    """Send the state of this daemon to its peers; implemented by them."""

    @property
    def is_aggregator(self) -> bool:
        """Return whether this daemon publishes what its group reports."""

    def announce(self) -> None:
        """Send the current state without delay."""


class ColdWatch:
    """Combine what the list, endpoints and peers say of cold endpoints."""

    def __init__(self, loop: Timers, routing_state: RoutingState) -> None:
        self.table = ColdTable()
        self._loop = loop
        self._routing_state = routing_state
        self._listed: set[str] = set()
        self._timer: Timer | None = None
        self._announcer: Announcer | None = None
        self._load_table: LoadTable | None = None

    def set_load_table(self, load_table: LoadTable) -> None:
        """Set the table of requests in flight, used when an endpoint turns cold."""
        self._load_table = load_table

    def set_announcer(self, announcer: Announcer) -> None:
        """Set what sends peers at once that an endpoint has become cold."""
        self._announcer = announcer

    @property
    def count(self) -> int:
        """Return the number of cold endpoints."""
        return len(self.table.seconds_left_by_endpoint(self._loop.now()))

    def rate(self, endpoint: str) -> float | None:
        """Return the requests per second that an endpoint takes while cold, None if unbounded."""
        entry = self._routing_state.endpoints_by_id.get(endpoint)
        configuration = self._routing_state.configuration
        if entry is None or configuration is None:
            return None
        service = configuration.services_by_name.get(entry.service)
        return None if service is None else service.cold_rate

    def seconds_left_by_endpoint(self) -> dict[str, float]:
        """Return for how long each cold endpoint stays cold."""
        return self.table.seconds_left_by_endpoint(self._loop.now())

    def list_read(self, seconds_by_endpoint: Mapping[str, float], read_at: float) -> None:
        """Record a list that shows for how long each endpoint stays cold."""
        now = self._loop.now()
        changed = False
        for endpoint, seconds in seconds_by_endpoint.items():
            joined = endpoint not in self._listed
            if self.table.record_list(endpoint, seconds, read_at, now, joined=joined):
                self._turned_cold(endpoint, "list", now)
                changed = changed or not joined
        self._listed = set(seconds_by_endpoint)
        self._schedule_warm()
        if changed:
            self._announce(found_here=True)

    def response_received(self, endpoint: str, seconds: float) -> None:
        """Record that an endpoint said for how long it stays cold."""
        now = self._loop.now()
        if self.table.record_response(endpoint, seconds, now):
            self._turned_cold(endpoint, "endpoint", now)
            self._announce(found_here=True)
        self._schedule_warm()

    def apply_notices(self, host: str, notices: Iterable[ColdNotice]) -> None:
        """Apply what a peer reported."""
        found = list(notices)
        if not found:
            return
        endpoint_by_key = {key: each for each, key in self._key_by_endpoint().items()}
        now = self._loop.now()
        changed = False
        for notice in found:
            endpoint = endpoint_by_key.get(notice.key)
            if endpoint is None:
                continue
            if self.table.apply_notice(endpoint, notice, now):
                self._turned_cold(endpoint, host, now)
                changed = True
        self._schedule_warm()
        if changed:
            self._announce(found_here=False)

    def notices(self) -> tuple[ColdNotice, ...]:
        """Return what is sent to peers."""
        if self.table.is_empty:
            return ()
        return tuple(self.table.notices(self._key_by_endpoint(), self._loop.now()))

    def _announce(self, *, found_here: bool) -> None:
        """Send peers what was found here, or as an aggregator what the group or others reported.

        The requests that are sent until all know are not bound: at 100 a second and 27 ms of delay
        at each of two aggregators, five at one engine.
        """
        announcer = self._announcer
        if announcer is not None and (found_here or announcer.is_aggregator):
            self._loop.call_later(0.0, announcer.announce)

    def _key_by_endpoint(self) -> dict[str, int]:
        return {each: endpoint_key(each) for each in self._routing_state.endpoints_by_id}

    def _schedule_warm(self) -> None:
        if self.table.is_empty:
            return
        end = self.table.next_end()
        if self._timer is not None:
            if self._timer.when <= end:
                return
            self._timer.cancel()
        self._timer = self._loop.call_later(max(0.0, end - self._loop.now()), self._log_warm)

    def _log_warm(self) -> None:
        self._timer = None
        for endpoint in self.table.take_warm(self._loop.now()):
            log_events.ENDPOINT_WARM.write(_logger, endpoint=endpoint)
        self._schedule_warm()

    def _turned_cold(self, endpoint: str, source: str, now: float) -> None:
        """Withhold an endpoint that was sent too many requests before it was known to be cold."""
        withheld = self._excess_seconds(endpoint)
        if withheld > 0:
            self.table.withhold(endpoint, now + withheld)
        log_events.ENDPOINT_COLD.write(
            _logger,
            endpoint=endpoint,
            seconds=round(self.table.seconds_left_by_endpoint(now)[endpoint], 3),
            limit=self.rate(endpoint),
            source=source,
        )

    def _excess_seconds(self, endpoint: str) -> float:
        """Return how long an endpoint's rate takes for what it has in flight beyond its tolerance.

        Answered requests do not count: their responses did not report a cold endpoint, so they were
        served before it turned cold.
        """
        rate = self.rate(endpoint)
        if rate is None or self._load_table is None:
            return 0.0
        excess = self._load_table.total(endpoint).requests - _TOLERATED_REQUESTS
        return min(_WINDOW_SECONDS, max(0, excess) / rate)
