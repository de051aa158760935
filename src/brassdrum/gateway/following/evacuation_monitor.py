"""Apply evacuations of zones that the store and peers report, and log the changes."""

from __future__ import annotations

import logging
from collections import Counter

from brassdrum.errors import UnknownZoneError
from brassdrum.gateway.following.evacuations import Evacuations, ZoneChange
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.net.loop import Timers
from brassdrum.telemetry import log_events

__all__ = ["EvacuationMonitor"]

_logger = logging.getLogger(__name__)
# Source of a change that follows from the time since the store was restored.
_RESTORED = "restored store"


class EvacuationMonitor:
    """Update the evacuated zones in the routing state."""

    def __init__(self, loop: Timers, routing_state: RoutingState) -> None:
        self._loop = loop
        self._routing_state = routing_state
        self._state = routing_state.evacuation

    def apply_read(self, record: Evacuations) -> None:
        """Apply what was read from the store."""
        self._changed(self._state.apply_read(record, self._loop.now()), "store")

    def apply_report(self, record: Evacuations | None, host: str) -> None:
        """Apply what the daemon on a host reported, None if it knows of no evacuation."""
        self._changed(self._state.apply_report(record, self._loop.now()), host)

    def refresh(self) -> None:
        """End what holds only for a time after the store was restored."""
        self._changed(self._state.refresh(self._loop.now()), _RESTORED)

    def log_unknown(self) -> None:
        """Log the evacuated zones that have no endpoints, once each."""
        listed = {entry.zone for entry in self._routing_state.endpoints_by_id.values()}
        for zone in self._state.find_unknown(listed):
            error = UnknownZoneError(f"No endpoint is in the evacuated zone {zone!r}.")
            log_events.ZONE_UNKNOWN.write(
                _logger,
                zone=zone,
                revision=self._state.record.revision,
                error=f"{error.message} {error.advice}",
            )

    def _changed(self, changes: list[ZoneChange], source: str) -> None:
        if not changes:
            return
        self._routing_state.evacuations_changed()
        endpoints = Counter(each.zone for each in self._routing_state.endpoints_by_id.values())
        for change in changes:
            event = log_events.ZONE_EVACUATED if change.evacuated else log_events.ZONE_TAKEN_BACK
            event.write(
                _logger,
                zone=change.zone,
                revision=self._state.record.revision,
                source=source,
                endpoints=endpoints[change.zone],
            )
