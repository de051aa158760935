"""Combine the limits that bind requests to an endpoint: its own, and that while it is cold."""

from __future__ import annotations

from collections.abc import Callable

from brassdrum.gateway.throttling.cold import ColdTable
from brassdrum.gateway.throttling.signals import EndpointSignalTable

__all__ = ["MAX_WAIT_SECONDS", "EndpointRates"]

# The longest wait that is granted. What a former owner granted ahead adds to what the next one
# grants, so it must be well below the window in which an endpoint counts its requests.
MAX_WAIT_SECONDS = 1.5
# A cold endpoint counts in windows of 1 s. A new owner grants nothing for 1 s, by when all that the
# one before has booked is over, with the validity of its permits.
_MAX_COLD_WAIT_SECONDS = 0.75
# What cut-off parts of a fleet grant adds up, so each grants its share and a bit more, and small
# ones nothing: at most four parts grant, 1.25 times the rate together. Permits that are used up to
# 0.2 s late make it 1.5 times in the worst second.
_PART_FACTOR = 1.25
_SMALLEST_PART = 0.25
# Pause before an endpoint that such a part withholds is considered again; peers that come back are
# heard within about a heartbeat.
_WITHHELD_SECONDS = 0.5


class EndpointRates:
    """Return the requests per second that endpoints take from all daemons together."""

    def __init__(
        self,
        now: Callable[[], float],
        signals: EndpointSignalTable,
        cold: ColdTable | None = None,
        cold_rate: Callable[[str], float | None] = lambda _: None,
    ) -> None:
        self._now = now
        self._signals = signals
        self._cold = cold or ColdTable()
        self._cold_rate = cold_rate
        self._fleet_share: Callable[[], float] = lambda: 1.0
        self._settled_share: Callable[[], float] = lambda: 1.0

    def set_fleet_share(
        self, fleet_share: Callable[[], float], settled_share: Callable[[], float]
    ) -> None:
        """Set the functions that tell with which share of the fleet this daemon is in touch.

        The settled one rises only once the daemons that came back have heard of each other.
        """
        self._fleet_share = fleet_share
        self._settled_share = settled_share

    @property
    def is_empty(self) -> bool:
        """Return whether no endpoint asks for anything or is cold."""
        return self._signals.is_empty and self._cold.is_empty

    def limit(self, endpoint: str) -> float | None:
        """Return the lower of the limits of an endpoint, or None without one."""
        named = self._signals.rate_limit(endpoint)
        while_cold = self._limit_while_cold(endpoint)
        if named is None or while_cold is None:
            return while_cold if named is None else named
        return min(named, while_cold)

    def scheduled_rate(self, endpoint: str) -> float | None:
        """Return the rate at which this daemon may schedule requests to an endpoint."""
        named, while_cold = self._signals.rate_limit(endpoint), self._limit_while_cold(endpoint)
        if while_cold is None:
            return named
        while_cold *= min(1.0, _PART_FACTOR * self._settled_share())
        return while_cold if named is None else min(named, while_cold)

    def max_wait(self, endpoint: str) -> float:
        """Return how many seconds ahead a send to an endpoint may be booked."""
        cold = self._limit_while_cold(endpoint) is not None
        return _MAX_COLD_WAIT_SECONDS if cold else MAX_WAIT_SECONDS

    def withheld_seconds(self, endpoint: str) -> float:
        """Return for how long this daemon does not use an endpoint, as it is cold.

        It got too many requests before it was known to be cold, or this daemon hears too few others
        to share the bound with.
        """
        if self._limit_while_cold(endpoint) is None:
            return 0.0
        if self._fleet_share() < _SMALLEST_PART:
            return _WITHHELD_SECONDS
        return self._cold.withheld_seconds(endpoint, self._now())

    def _limit_while_cold(self, endpoint: str) -> float | None:
        if not self._cold.is_cold(endpoint, self._now()):
            return None
        return self._cold_rate(endpoint)
