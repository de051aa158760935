"""Select endpoints by fleet-wide load, with a back-off slot per daemon for freed slots."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Sequence
from dataclasses import replace

from brassdrum.gateway.model import EndpointEntry, EngineModel
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Candidate, Placement, PlacementRequest
from brassdrum.gateway.placing.policies import Policy
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.gateway.throttling.throttle import EndpointThrottle

__all__ = ["EndpointSelector"]

# A freed slot is reserved for the daemon whose stream freed it, then offered to the others in
# back-off slots that differ by endpoint, so that daemons with queued requests don't all send to it
# at once: all but one of those requests would queue inside the engine, for 0.3 to 1 s at 8 slots. A
# back-off slot covers a flush interval and the delivery of the reports.
_BACKOFF_SLOTS = 8
_FLUSHES_PER_BACKOFF_SLOT = 2.0
# Flush intervals until another daemon's placement is visible here, with the relay in its zone.
_PROPAGATION_FLUSHES = 2.0


class EndpointSelector:
    """Apply a placement policy to the endpoints that are available to this daemon."""

    def __init__(
        self,
        name: str,
        table: LoadTable,
        throttle: EndpointThrottle,
        rng: random.Random,
        flush_seconds: Callable[[], float],
    ) -> None:
        self._name = name
        self._table = table
        self._throttle = throttle
        self._random = rng
        self._flush_seconds = flush_seconds

    def select(
        self,
        policy: Policy,
        request: PlacementRequest,
        entries: Sequence[EndpointEntry],
        suspect: Callable[[str], bool],
        engine: EngineModel | None,
        now: float,
        *,
        permit: Permit | None,
        late: bool,
    ) -> Placement | None:
        """Return the placement of a request; ``late`` ones yield freed slots to those in time.

        Endpoints that have no room by what they ask for are left out, but for that of a ``permit``.
        """
        self._table.refresh(now)
        flush_seconds = self._flush_seconds()
        request = replace(request, propagation_ms=flush_seconds * _PROPAGATION_FLUSHES * 1000)

        def place(among: Sequence[EndpointEntry]) -> Placement | None:
            candidates = [
                self._candidate(
                    entry,
                    suspect,
                    now - self._backoff_seconds(entry.id, flush_seconds, late=late),
                    late=late,
                )
                for entry in among
            ]
            return policy(request, candidates, engine, self._random)

        placement = place(self._throttle.open_entries(entries, permit))
        if placement is None and permit is not None and permit.is_valid(now):
            # Too large for the permitted endpoint alone: others may store parts of the prompt.
            placement = place(self._throttle.unpaused_entries(entries))
        return placement

    def _candidate(
        self,
        entry: EndpointEntry,
        suspect: Callable[[str], bool],
        claimed_since: float,
        *,
        late: bool,
    ) -> Candidate:
        return Candidate(
            entry,
            self._table.total(entry.id),
            suspect(entry.id),
            self._table.slots_freed_since(entry.id, claimed_since, own=late),
            self._throttle.needs_permit(entry.id),
        )

    def _backoff_seconds(self, endpoint: str, flush_seconds: float, *, late: bool) -> float:
        """Return for how many seconds slots freed at an endpoint are left to other daemons."""
        slot = zlib.crc32(f"{self._name} {endpoint}".encode()) % _BACKOFF_SLOTS
        return flush_seconds * _FLUSHES_PER_BACKOFF_SLOT * (1 + (_BACKOFF_SLOTS if late else slot))
