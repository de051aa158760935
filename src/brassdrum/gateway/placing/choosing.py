"""Select endpoints by fleet-wide load, with a back-off slot per daemon for freed slots."""

from __future__ import annotations

import random
import zlib
from collections.abc import Callable, Iterable
from dataclasses import replace

from brassdrum.gateway.model import EndpointEntry, EngineModel
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Candidate, Placement, PlacementRequest
from brassdrum.gateway.placing.policies import Policy

__all__ = ["EndpointSelector"]

# A freed slot is reserved for the daemon whose stream freed it, then offered to the others in
# back-off slots that differ by endpoint, so that daemons with queued requests don't all send to it
# at once. A back-off slot covers a flush interval and the delivery of the reports.
_BACKOFF_SLOTS = 8
_FLUSHES_PER_BACKOFF_SLOT = 2.0
# Flush intervals until another daemon's placement is visible here, with the relay in its zone.
_PROPAGATION_FLUSHES = 2.0


class EndpointSelector:
    """Apply a placement policy to the endpoints that are available to this daemon."""

    def __init__(
        self, name: str, table: LoadTable, rng: random.Random, flush_seconds: Callable[[], float]
    ) -> None:
        self._name = name
        self._table = table
        self._random = rng
        self._flush_seconds = flush_seconds

    def select(
        self,
        policy: Policy,
        request: PlacementRequest,
        entries: Iterable[EndpointEntry],
        suspect: Callable[[str], bool],
        engine: EngineModel | None,
        now: float,
        *,
        late: bool,
    ) -> Placement | None:
        """Return the placement of a request; ``late`` ones yield freed slots to those in time."""
        self._table.refresh(now)
        flush_seconds = self._flush_seconds()
        candidates = [
            Candidate(
                entry,
                self._table.total(entry.id),
                suspect(entry.id),
                self._table.slots_freed_since(
                    entry.id,
                    now - self._backoff_seconds(entry.id, flush_seconds, late=late),
                    own=late,
                ),
            )
            for entry in entries
        ]
        propagation_ms = flush_seconds * _PROPAGATION_FLUSHES * 1000
        return policy(
            replace(request, propagation_ms=propagation_ms), candidates, engine, self._random
        )

    def _backoff_seconds(self, endpoint: str, flush_seconds: float, *, late: bool) -> float:
        """Return for how many seconds slots freed at an endpoint are left to other daemons."""
        slot = zlib.crc32(f"{self._name} {endpoint}".encode()) % _BACKOFF_SLOTS
        return flush_seconds * _FLUSHES_PER_BACKOFF_SLOT * (1 + (_BACKOFF_SLOTS if late else slot))
