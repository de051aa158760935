"""Choose endpoints from the shared picture, each daemon at its own turn."""

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

# A place that a stream has freed is left to its own daemon first, then to the others in turns that
# differ by endpoint. Else all daemons with waiting requests send there in the same moment, and all
# but one of those requests wait inside the engine: 0.3 to 1 s at 8 places. A turn lasts until the
# datagrams of the turn before are there: a pause between them, and the way.
_TURNS = 8
_FLUSHES_PER_TURN = 2.0
# What another daemon sends is seen here after a pause, a relay in its zone and the handling.
_UNSEEN_FLUSHES = 2.0


class EndpointSelector:
    """Apply a policy to the endpoints that are left to this daemon now."""

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
        need: PlacementRequest,
        entries: Iterable[EndpointEntry],
        suspect: Callable[[str], bool],
        engine: EngineModel | None,
        now: float,
        *,
        late: bool,
    ) -> Placement | None:
        """Return where to send a request now; ``late`` ones leave freed places to timely ones."""
        self._table.refresh(now)
        pause = self._flush_seconds()
        candidates = [
            Candidate(
                entry,
                self._table.total(entry.id),
                suspect(entry.id),
                self._table.slots_freed_since(
                    entry.id, now - self._turn(entry.id, pause, late=late), own=late
                ),
            )
            for entry in entries
        ]
        unseen_ms = pause * _UNSEEN_FLUSHES * 1000
        return policy(replace(need, propagation_ms=unseen_ms), candidates, engine, self._random)

    def _turn(self, endpoint: str, pause: float, *, late: bool) -> float:
        """Return for how many seconds places that are freed at an endpoint are left to others."""
        turn = zlib.crc32(f"{self._name} {endpoint}".encode()) % _TURNS
        return pause * _FLUSHES_PER_TURN * (1 + (_TURNS if late else turn))
