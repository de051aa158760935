"""Sample the load of each service's engines, for requests that consider waiting."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

from brassdrum.gateway.model import EndpointEntry
from brassdrum.gateway.net.loop import Timers
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Placement, PlacementRequest
from brassdrum.gateway.placing.room import SAMPLE_INTERVAL_SECONDS, RoomHistory

__all__ = ["RoomSampler"]


class RoomSampler:
    """Keep a history of the room at the engines of each service.

    ``refusals`` counts the requests for which waiting would have been in vain.
    """

    def __init__(
        self,
        loop: Timers,
        table: LoadTable,
        engine_services: Callable[[], Iterable[str]],
        usable: Callable[[str], list[EndpointEntry]],
    ) -> None:
        self.refusals = 0
        self._loop = loop
        self._table = table
        self._engine_services = engine_services
        self._usable = usable
        self._history_by_service: defaultdict[str, RoomHistory] = defaultdict(RoomHistory)
        self._sample()

    def seconds_without_room(
        self, service: str, request: PlacementRequest, placement: Placement
    ) -> float | None:
        """Return for how long there has been no room, or None if waiting may find some."""
        history = self._history_by_service[service]
        seconds = history.seconds_without_room(request, placement, self._loop.now())
        self.refusals += seconds is not None
        return seconds

    def _sample(self) -> None:
        now = self._loop.now()
        for service in self._engine_services():
            loads = (self._table.total(entry.id) for entry in self._usable(service))
            self._history_by_service[service].record(loads, now)
        self._loop.call_later(SAMPLE_INTERVAL_SECONDS, self._sample)
