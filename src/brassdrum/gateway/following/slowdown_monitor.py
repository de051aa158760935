"""Follow which endpoints are slow, and log when that changes."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.net.loop import Timers
from brassdrum.gateway.placing.load import endpoint_key
from brassdrum.gateway.placing.placement import Placement
from brassdrum.gateway.placing.slowdown import MIN_FACTOR, SlowdownReport, SlowdownTable
from brassdrum.telemetry import log_events

__all__ = ["SlowdownMonitor"]

_logger = logging.getLogger(__name__)
_CHECK_SECONDS = 0.5
# Factors between this one and the smallest change no log line, so that one that varies does not
# fill the log.
_SLOW_FACTOR = 1.5


class SlowdownMonitor:
    """Combine the first events of this daemon's requests with what peers report.

    ``enabled`` says whether this daemon observes endpoints and corrects by their factors; the
    gateway's option decides it. What others report is passed on in either case.
    """

    def __init__(
        self, loop: Timers, routing_state: RoutingState, is_suspect: Callable[[str], bool]
    ) -> None:
        self.enabled = False
        self.table = SlowdownTable(self._service_by_key)
        self._loop = loop
        self._routing_state = routing_state
        self._is_suspect = is_suspect
        self._slow: set[str] = set()
        self._checking = False

    @property
    def slow_count(self) -> int:
        """Return the number of endpoints that are logged as slow."""
        return len(self._slow)

    def factor(self, endpoint: str) -> float:
        """Return the slowdown factor of an endpoint, 1 while the correction is off."""
        if not self.enabled:
            return 1.0
        return self.table.factor(endpoint_key(endpoint), self._loop.now())

    def first_event_received(self, placement: Placement, sent_at: float) -> None:
        """Record the first event of a request that was sent at a time.

        With helpers, behind other requests, or while the endpoint is suspect, the time says little
        about its speed.
        """
        usual_ms = placement.first_event_ms / placement.slowdown
        if not self.enabled or placement.helpers or usual_ms <= 0:
            return
        if placement.endpoint_full or placement.queues:
            return
        if self._is_suspect(placement.entry.id):
            return
        now = self._loop.now()
        ratio = (now - sent_at) * 1000 / usual_ms
        self.table.record(endpoint_key(placement.entry.id), ratio, now)
        self._schedule_check()

    def apply_report(self, host: str, report: SlowdownReport | None) -> None:
        """Apply what the daemon on a host reported, None in messages without it."""
        if report is None:
            return
        self.table.merge(host, report.rows, self._loop.now(), covers_fleet=report.covers_fleet)
        self._schedule_check()

    def _service_by_key(self) -> dict[int, str]:
        entries = self._routing_state.endpoints_by_id.values()
        return {endpoint_key(entry.id): entry.service for entry in entries}

    def _schedule_check(self) -> None:
        if self.enabled and not self._checking:
            self._checking = True
            self._loop.call_later(_CHECK_SECONDS, self._check)

    def _check(self) -> None:
        """Log the endpoints that have become slow or are at their usual speed again."""
        self._checking = False
        now = self._loop.now()
        known = self._routing_state.endpoints_by_id
        slow_by_key = self.table.slow_by_key(now)
        for endpoint in [each for each in self._slow if each not in known]:
            self._slow.discard(endpoint)
        for endpoint in known:
            found = slow_by_key.get(endpoint_key(endpoint))
            factor = 1.0 if found is None else found.factor
            if found is not None and factor >= _SLOW_FACTOR and endpoint not in self._slow:
                self._slow.add(endpoint)
                log_events.ENDPOINT_SLOW.write(
                    _logger,
                    endpoint=endpoint,
                    factor=round(factor, 2),
                    observations=found.observations,
                    age=round(found.age, 3),
                )
            elif factor < MIN_FACTOR and endpoint in self._slow:
                self._slow.discard(endpoint)
                log_events.ENDPOINT_USUAL.write(_logger, endpoint=endpoint)
        if self._slow or not self.table.is_empty(now):
            self._schedule_check()
