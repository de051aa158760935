"""Select endpoints by fleet-wide load, with a back-off slot per daemon for freed slots."""

from __future__ import annotations

import math
import random
import zlib
from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass, field, replace

from brassdrum.gateway.model import EndpointEntry, EngineModel
from brassdrum.gateway.placing.gradual_return import RECOVERY_SECONDS, Recoveries, withheld_slots
from brassdrum.gateway.placing.load import MAX_BACKOFF_SECONDS, LoadTable
from brassdrum.gateway.placing.placement import (
    Candidate,
    Decision,
    Placement,
    PlacementRequest,
    decide,
)
from brassdrum.gateway.placing.policies import Policy
from brassdrum.gateway.sharing.turns import PLAIN_TURN, Turn
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.gateway.throttling.throttle import EndpointThrottle

__all__ = ["REVIEW_INTERVAL_SECONDS", "EndpointSelector", "Selection"]

# A freed slot is reserved for the daemon whose stream freed it, then offered to the others in
# back-off slots that differ by endpoint, so that daemons with queued requests don't all send to it
# at once: all but one of those requests would queue inside the engine, for 0.3 to 1 s at 8 slots. A
# back-off slot covers a flush interval and the delivery of the reports.
_BACKOFF_SLOTS = 8
_FLUSHES_PER_BACKOFF_SLOT = 2.0
# Share of the requests that are not kept from endpoints with a limit: a limit that was lifted shows
# in the answer to a request alone.
_LIMIT_PROBE_SHARE = 0.05
# Flush intervals until another daemon's placement is visible here, with the relay in its zone.
_PROPAGATION_FLUSHES = 2.0
# How often daemons review their waiting requests: well below the duration of one engine pass, about
# 45 ms. Where placements of others are known sooner, a recovered endpoint offers all its slots.
REVIEW_INTERVAL_SECONDS = 0.02
# No slot is left to others for longer while the requests that wait are of one kind. While those of
# several organisations or priorities wait, back-offs last up to MAX_BACKOFF_SECONDS and their slots
# grow with the fleet: daemons that share one collide, and their requests queue inside an engine.
_MAX_PLAIN_BACKOFF_SECONDS = 0.6
# Fewer daemons a slot collide less often, but leave a slot unused for longer.
_DAEMONS_PER_CROWDED_SLOT = 2
# Yielding requests leave a slot to others for this long at most, before they take turns.
_MAX_YIELDED_SECONDS = 0.3
# A request that goes first waits here for this share of its objective. Then it queues at an
# endpoint for the next slot: beyond 60 daemons, freed slots are known too late to be used in turns.
_RESERVE_OBJECTIVES = 0.25
_QUEUED_PER_ENDPOINT = 1


@dataclass(frozen=True, slots=True)
class Selection:
    """A request, the endpoints that it may be sent to, and what the choice depends on.

    ``suspect`` tells whether an endpoint should be avoided, ``engine`` is the cost model of the
    service, and ``permit`` the one that the request holds for an endpoint that limits its rate.
    ``last_suspect_at`` names the endpoints that were suspect until recently.
    """

    policy: Policy
    request: PlacementRequest
    entries: Sequence[EndpointEntry]
    suspect: Callable[[str], bool]
    engine: EngineModel | None
    now: float
    permit: Permit | None = None
    last_suspect_at: Mapping[str, float] = field(default_factory=dict)


class EndpointSelector:
    """Apply a placement policy to the endpoints that are available to this daemon."""

    def __init__(
        self,
        name: str,
        table: LoadTable,
        throttle: EndpointThrottle,
        rng: random.Random,
        flush_seconds: Callable[[], float],
        live: Callable[[], int] = lambda: 1,
        taken_back_at: Callable[[str], float | None] = lambda _: None,
        slowdown: Callable[[str], float] = lambda _: 1.0,
    ) -> None:
        self._name = name
        self._table = table
        self._throttle = throttle
        self._random = rng
        self._flush_seconds = flush_seconds
        self._live = live
        # When the zone with a name was taken back after an evacuation.
        self._taken_back_at = taken_back_at
        self._slowdown = slowdown
        self._recoveries = Recoveries()

    def select(
        self, selection: Selection, *, late: bool, turn: Turn = PLAIN_TURN
    ) -> Placement | None:
        """Return the placement of a request.

        ``late`` ones leave freed slots to those in time, and the ``turn`` says whether a request
        in time leaves them to those of other organisations, or goes first and takes them early.
        Endpoints that have no room by what they ask for are left out, but for that of a ``permit``.
        """
        now, permit, entries = selection.now, selection.permit, selection.entries
        self._table.refresh(now)
        flush_seconds = self._flush_seconds()
        last = turn.yields or late
        if late and turn.goes_first:
            # Late requests would keep those of other organisations from being in time.
            turn = replace(turn, goes_first=False)
        propagation_ms = flush_seconds * _PROPAGATION_FLUSHES * 1000
        request = replace(selection.request, propagation_ms=propagation_ms)
        suspects = {each.id for each in entries if selection.suspect(each.id)}
        last_suspect_at = self._recoveries.update([each.id for each in entries], suspects, now)
        if propagation_ms <= REVIEW_INTERVAL_SECONDS * 1000:
            last_suspect_at = {}
        selection = replace(selection, request=request, last_suspect_at=last_suspect_at)

        def place(among: Sequence[EndpointEntry]) -> Placement | None:
            candidates = [
                self._candidate(
                    selection,
                    entry,
                    now - self._backoff_seconds(entry.id, flush_seconds, turn, last=last),
                    last=last,
                )
                for entry in among
            ]
            return selection.policy(request, candidates, selection.engine, self._random)

        open_entries = self._throttle.open_entries(entries, permit)
        if permit is None:
            preferred = self._preferred_entries(open_entries, selection.engine)
            placement = place(preferred) if preferred else None
            if placement is not None and _is_timely(request, placement):
                return placement
        placement = place(open_entries)
        if (
            placement is not None
            and placement.endpoint_full
            and _may_reserve(request, turn, len(entries))
        ):
            reserved = self._reserve_next_slot(selection)
            placement = placement if reserved is None else reserved
        if placement is None and permit is not None and permit.is_valid(now):
            # Too large for the permitted endpoint alone: others may store parts of the prompt.
            placement = place(self._throttle.unpaused_entries(entries))
        return placement

    def _preferred_entries(
        self, open_entries: Sequence[EndpointEntry], engine: EngineModel | None
    ) -> list[EndpointEntry]:
        """Return the endpoints without a limit, or none if there is nothing to choose from."""
        unlimited = [each for each in open_entries if not self._throttle.limits_rate(each.id)]
        if not unlimited or len(unlimited) == len(open_entries):
            return []
        if self._random.random() < _LIMIT_PROBE_SHARE:
            return []
        if engine is not None:
            return unlimited
        # Without a model nothing predicts the time, so the slots tell whether there is room.
        return [each for each in unlimited if self._table.total(each.id).requests < each.slots]

    def _reserve_next_slot(self, selection: Selection) -> Placement | None:
        """Return a placement at an endpoint where one request may queue for the next slot.

        Other daemons count it as a stream, so that they leave the slot that is freed next.
        """
        engine = selection.engine
        if engine is None:
            return None
        candidates = [
            self._candidate(selection, entry, math.inf, last=False)
            for entry in self._throttle.open_entries(selection.entries, selection.permit)
        ]
        roomier = replace(engine, slots=engine.slots + _QUEUED_PER_ENDPOINT)
        placement = selection.policy(selection.request, candidates, roomier, self._random)
        if placement is None or placement.endpoint_full:
            return None
        streams = self._table.total(placement.entry.id).streams
        return replace(placement, queues=streams >= engine.slots)

    def _candidate(
        self, selection: Selection, entry: EndpointEntry, claimed_since: float, *, last: bool
    ) -> Candidate:
        withheld = self._withheld_slots(selection, entry, claimed_since)
        return Candidate(
            entry,
            self._table.total(entry.id),
            selection.suspect(entry.id),
            withheld + self._table.slots_freed_since(entry.id, claimed_since, own=last),
            self._throttle.limits_rate(entry.id),
            self._throttle.asked_at(entry.id),
            self._slowdown(entry.id),
        )

    def _withheld_slots(
        self, selection: Selection, entry: EndpointEntry, claimed_since: float
    ) -> int:
        """Return how many slots an endpoint does not offer yet.

        Its zone was taken back after an evacuation, or it was suspect until recently. The latter
        counts from one back-off later, so that daemons begin at different times.
        """
        slots = entry.slots if selection.engine is None else selection.engine.slots
        now = selection.now
        withheld = withheld_slots(slots, self._taken_back_at(entry.zone), now)
        suspect_at = selection.last_suspect_at.get(entry.id)
        if suspect_at is None:
            return withheld
        if suspect_at > claimed_since:
            return slots
        # Without a back-off ``claimed_since`` is infinite.
        begun = min(claimed_since, now)
        return max(withheld, withheld_slots(slots, suspect_at, begun, RECOVERY_SECONDS))

    def _backoff_seconds(
        self, endpoint: str, flush_seconds: float, turn: Turn, *, last: bool
    ) -> float:
        """Return for how many seconds slots freed at an endpoint are left to other daemons.

        Requests that go first back off only as far as there are others that go first.
        """
        draw = zlib.crc32(f"{self._name} {endpoint}".encode())
        unit = flush_seconds * _FLUSHES_PER_BACKOFF_SLOT
        window = _BACKOFF_SLOTS
        if turn.waiting > _BACKOFF_SLOTS * _DAEMONS_PER_CROWDED_SLOT:
            # At most one daemon for each waiting request competes for freed slots.
            daemons = min(turn.waiting, self._live())
            window = max(_BACKOFF_SLOTS, daemons // _DAEMONS_PER_CROWDED_SLOT)
        crowded = window > _BACKOFF_SLOTS
        longest = MAX_BACKOFF_SECONDS if crowded else _MAX_PLAIN_BACKOFF_SECONDS
        if turn.goes_first:
            return unit * (draw % max(1, min(_BACKOFF_SLOTS, turn.ahead)))
        if turn.yields or (last and crowded):
            left = min(unit * (1 + _BACKOFF_SLOTS), _MAX_YIELDED_SECONDS)
            return min(longest, left + unit * (draw % window))
        slot = _BACKOFF_SLOTS if last else draw % window
        return min(longest, unit * (1 + slot))


def _is_timely(request: PlacementRequest, placement: Placement) -> bool:
    """Return whether a request is sent at once and is expected in time."""
    if request.waited_ms + placement.first_event_ms > request.objective_ms:
        return False
    return decide(request, placement) is Decision.SEND


def _may_reserve(request: PlacementRequest, turn: Turn, endpoint_count: int) -> bool:
    """Return whether a request may queue at an endpoint for the next slot that is freed there.

    More of these than endpoints would queue behind each other inside the engines.
    """
    if not turn.goes_first or turn.ahead > endpoint_count:
        return False
    return request.waited_ms >= request.objective_ms * _RESERVE_OBJECTIVES
