"""Placement requests, candidate endpoints and the decision to send, wait or refuse."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.gateway.model import EndpointEntry, EngineModel
from brassdrum.gateway.placing.costs import next_decode_pass_ms, prefill_ms
from brassdrum.gateway.placing.load import EndpointLoad, LoadShare

__all__ = [
    "SLOT_WAIT_PATIENCE_SHARE",
    "Candidate",
    "Decision",
    "Helper",
    "Placement",
    "PlacementRequest",
    "decide",
    "fits_memory",
    "fleet_utilization",
    "is_worth_serving",
    "place_on_one",
    "should_wait",
    "usable_memory",
    "usable_pause_ms",
    "wait_limit_ms",
    "would_queue",
]

# A request waits while its best possible first event is within this multiple of its objective; the
# second bound holds once it is late, and is below the four objectives after which callers leave.
_WAIT_OBJECTIVES = 0.8
_LATE_WAIT_OBJECTIVES = 2.0
# The loss that a request accepts rather than wait, as a share of its own tokens; it rises from zero
# to this value as the objective approaches.
_ACCEPTED_LOSS_SHARE = 0.5
# A request waits for a free slot while its first event is expected within this share of the time
# after which its caller gives up.
SLOT_WAIT_PATIENCE_SHARE = 0.75
# Pending prefill at which an engine counts as fully used: a further part would stall even the
# streams of long prompts for longer than they allow.
_FULL_PREFILL_MS = 700.0
# The share of an allowed pause that predicted work may use; the rest covers unreported work.
_USABLE_PAUSE_SHARE = 0.8
# The share of an engine's memory that predicted use may fill; answers may exceed their estimates.
_USABLE_MEMORY_SHARE = 0.92


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """What a request requires of an endpoint; times in ms, lengths in tokens.

    ``propagation_ms`` is the delay after which other daemons' placements are visible here.
    """

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    max_pause_ms: int | None
    waited_ms: float = 0.0
    patience_ms: float = math.inf
    propagation_ms: float = 0.0

    @property
    def total_tokens(self) -> int:
        """Return the memory in use when the answer is complete."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class Candidate:
    """An endpoint that may serve the request, with the load of all daemons there.

    ``claimed_slots`` are free but left for now to other daemons. A ``limited`` endpoint asks for
    fewer requests, so it does no work for the prompts of others; ``asked_at`` is when this daemon
    last asked for a permit there. ``slowdown`` is how many times as long its passes take as those
    of the service's cost model.
    """

    entry: EndpointEntry
    load: EndpointLoad
    suspect: bool = False
    claimed_slots: int = 0
    limited: bool = False
    asked_at: float = -math.inf
    slowdown: float = 1.0

    def is_full(self, engine: EngineModel) -> bool:
        """Return whether every slot is in use or claimed."""
        return self.load.streams + self.claimed_slots >= engine.slots

    @property
    def pending_prefill_ms(self) -> float:
        """Return how long the pending prefill takes at the endpoint's speed."""
        return self.load.pending_prefill_ms * self.slowdown

    def wait_ms(self, engine: EngineModel) -> float:
        """Return how long the pending prefill and the next pass of its streams take."""
        pass_ms = next_decode_pass_ms(engine, self.load) + self.load.pending_prefill_ms
        return pass_ms * self.slowdown


@dataclass(frozen=True, slots=True)
class Helper:
    """An engine that prefills a part of a prompt and the tokens that it stores of it."""

    entry: EndpointEntry
    stored_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """The selected endpoint, its helpers and the predicted outcome.

    ``first_event_ms`` is the time to the first event, ``best_first_event_ms`` what it would be if
    half of the largest group of engines were idle. ``interference_tokens`` is the loss of other
    streams that stall or come late, ``lateness_tokens`` the loss of this request. ``slowdown`` is
    the factor of the endpoint by which ``first_event_ms`` was multiplied. A request that ``queues``
    waits inside the endpoint for the slot that is freed next, for a time that isn't predicted.
    """

    entry: EndpointEntry
    helpers: tuple[Helper, ...]
    shares: tuple[LoadShare, ...]
    first_event_ms: float
    reason: str
    interference_tokens: float = 0.0
    lateness_tokens: float = 0.0
    best_first_event_ms: float = 0.0
    endpoint_full: bool = False
    slowdown: float = 1.0
    queues: bool = False

    @property
    def total_prefill_ms(self) -> float:
        """Return the prefill time summed over all endpoints."""
        return sum(share.prefill_ms for share in self.shares)


class Decision(Enum):
    """What to do with a request, given its best placement."""

    SEND = auto()
    WAIT = auto()
    REFUSE = auto()


def decide(request: PlacementRequest, placement: Placement) -> Decision:
    """Return whether a request is sent, waits for less loaded engines, or is refused."""
    if placement.endpoint_full:
        return _decide_when_full(request, placement)
    if should_wait(request, placement):
        return Decision.WAIT
    return Decision.SEND if is_worth_serving(request, placement) else Decision.REFUSE


def _decide_when_full(request: PlacementRequest, placement: Placement) -> Decision:
    """Return whether a request waits for a free slot.

    It waits here because a request queued inside an engine can't be moved, reordered or refused.
    """
    if (
        request.waited_ms + placement.best_first_event_ms
        < request.patience_ms * SLOT_WAIT_PATIENCE_SHARE
    ):
        return Decision.WAIT
    return Decision.REFUSE


def should_wait(request: PlacementRequest, placement: Placement) -> bool:
    """Return whether a request should wait for less loaded engines."""
    loss_tokens = placement.interference_tokens + placement.lateness_tokens
    if not loss_tokens:
        return False
    best = (request.waited_ms + placement.best_first_event_ms) / request.objective_ms
    timely = request.waited_ms + placement.first_event_ms < request.objective_ms
    if best < _WAIT_OBJECTIVES or (timely and best < _LATE_WAIT_OBJECTIVES):
        return loss_tokens > request.total_tokens * _ACCEPTED_LOSS_SHARE * min(
            1.0, best / _WAIT_OBJECTIVES
        )
    # A request that is late in any case doesn't interfere with streams that can still be in time.
    return placement.interference_tokens > 0 and best < _LATE_WAIT_OBJECTIVES


def wait_limit_ms(request: PlacementRequest, placement: Placement) -> float:
    """Return how long a request may still wait for less loaded engines, 0 if it may not."""
    best = request.waited_ms + placement.best_first_event_ms
    return max(0.0, request.objective_ms * _WAIT_OBJECTIVES - best)


def is_worth_serving(request: PlacementRequest, placement: Placement) -> bool:
    """Return whether a request gains more than it costs others before its caller gives up."""
    if request.waited_ms + placement.first_event_ms >= request.patience_ms:
        return False
    return placement.interference_tokens <= request.total_tokens - placement.lateness_tokens


def fleet_utilization(candidates: Sequence[Candidate], engine: EngineModel) -> float:
    """Return the share of the engines in use by streams or pending prefill, from 0 to 1."""
    used = 0.0
    for each in candidates:
        prefill = each.pending_prefill_ms / _FULL_PREFILL_MS
        used += min(1.0, each.load.streams / engine.slots + prefill)
    return used / len(candidates)


def usable_memory(engine: EngineModel) -> int:
    """Return the tokens that predicted use may fill at one engine."""
    return int(engine.memory_tokens * _USABLE_MEMORY_SHARE)


def fits_memory(request: PlacementRequest, candidate: Candidate, engine: EngineModel) -> bool:
    """Return whether an engine has memory for the whole request."""
    return candidate.load.memory + request.total_tokens <= usable_memory(engine)


def would_queue(request: PlacementRequest, candidate: Candidate, engine: EngineModel) -> bool:
    """Return whether a request would queue at an engine for a slot or memory."""
    return candidate.is_full(engine) or not fits_memory(request, candidate, engine)


def usable_pause_ms(load: EndpointLoad, own_pause_ms: int) -> float:
    """Return how long a pass may last without stalling the streams there or a new one."""
    shortest = load.shortest_max_pause()
    pause = own_pause_ms if shortest is None else min(shortest, own_pause_ms)
    return pause * _USABLE_PAUSE_SHARE


def place_on_one(
    request: PlacementRequest,
    chosen: Candidate,
    engine: EngineModel | None,
    reason: str,
    interference_tokens: float = 0.0,
    full: bool = False,
) -> Placement:
    """Return the placement of a request at one endpoint without helpers."""
    cost = 0.0 if engine is None else prefill_ms(engine, request.prompt_tokens)
    wait = chosen.pending_prefill_ms if engine is None else chosen.wait_ms(engine)
    share = LoadShare(chosen.entry.id, cost, request.total_tokens, request.max_pause_ms)
    first = wait + cost * chosen.slowdown
    return Placement(
        entry=chosen.entry,
        helpers=(),
        shares=(share,),
        first_event_ms=first,
        reason=reason,
        interference_tokens=interference_tokens,
        # Waiting may lead to an endpoint of usual speed.
        best_first_event_ms=first / chosen.slowdown,
        endpoint_full=full,
        slowdown=chosen.slowdown,
    )
