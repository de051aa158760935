"""What a request asks for, the endpoints that may take it, and whether to wait for others."""

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
    "would_queue",
]

# A request waits while its first event could come within this part of its objective if half of the
# engines were free, and once it is late, within this many objectives: callers wait for four.
_WAIT_SHARE = 0.8
_LATE_WAIT_SHARE = 2.0
# The loss to others that a request accepts, as a part of its own tokens: none at first, since
# waiting costs nothing yet, this part when its objective is near.
_ACCEPTED_SHARE = 0.5
# A request waits for a free place while its first event would come within this part of the time
# after which its caller gives up.
SLOT_WAIT_PATIENCE_SHARE = 0.75
# An engine with this much to read takes no further part without stopping its streams for longer
# than those of long prompts allow.
_FULL_READING_MS = 700.0
# The part of an allowed pause that predicted work may fill; the rest covers what is unseen.
_PAUSE_SHARE = 0.8
# The part of an engine's memory that predicted use may fill; answers outgrow their estimates.
_MEMORY_SHARE = 0.92


@dataclass(frozen=True, slots=True)
class PlacementRequest:
    """Hold what a request asks of an endpoint; times in ms, lengths in tokens.

    ``unseen_ms`` is for how long what other daemons send is not yet seen here.
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
        """Return the memory that the request fills in the end."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold an endpoint that may take the request, with all daemons' work there.

    ``claimed`` places are free, and left to the daemons whose streams have just freed them.
    """

    entry: EndpointEntry
    load: EndpointLoad
    suspect: bool = False
    claimed_slots: int = 0

    def is_full(self, engine: EngineModel) -> bool:
        """Return whether every place is taken or claimed."""
        return self.load.streams + self.claimed_slots >= engine.slots


@dataclass(frozen=True, slots=True)
class Helper:
    """Hold an engine that reads a part of a prompt and the tokens that it stores for it."""

    entry: EndpointEntry
    stored_tokens: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the chosen endpoint, its helpers and what is predicted of it.

    ``first_event_ms`` is the time to the first event, ``best_ms`` what it would be with half of
    the most engines idle. ``harm`` counts the tokens of others' streams that will pause too long
    or come late, ``late`` those of this request; 0 where there are none.
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

    @property
    def total_prefill_ms(self) -> float:
        """Return how long all endpoints together read."""
        return sum(share.prefill_ms for share in self.shares)


class Decision(Enum):
    """Say what becomes of a request, given its best placement now."""

    SEND = auto()
    WAIT = auto()
    REFUSE = auto()


def decide(need: PlacementRequest, placement: Placement) -> Decision:
    """Return whether a request is sent now, waits for calmer engines, or is refused at once."""
    if placement.endpoint_full:
        return _judge_full(need, placement)
    if should_wait(need, placement):
        return Decision.WAIT
    return Decision.SEND if is_worth_serving(need, placement) else Decision.REFUSE


def _judge_full(need: PlacementRequest, placement: Placement) -> Decision:
    """Return whether a request waits for a free place.

    A request that queues inside an engine cannot be moved, ordered or refused any more.
    """
    if need.waited_ms + placement.best_first_event_ms < need.patience_ms * SLOT_WAIT_PATIENCE_SHARE:
        return Decision.WAIT
    return Decision.REFUSE


def should_wait(need: PlacementRequest, placement: Placement) -> bool:
    """Return whether a request should wait for other engines instead of taking this placement."""
    loss = placement.interference_tokens + placement.lateness_tokens
    if not loss:
        return False
    best = (need.waited_ms + placement.best_first_event_ms) / need.objective_ms
    timely = need.waited_ms + placement.first_event_ms < need.objective_ms
    if best < _WAIT_SHARE or (timely and best < _LATE_WAIT_SHARE):
        return loss > need.total_tokens * _ACCEPTED_SHARE * min(1.0, best / _WAIT_SHARE)
    # One that comes late in any case leaves those alone that can still come in time.
    return placement.interference_tokens > 0 and best < _LATE_WAIT_SHARE


def is_worth_serving(need: PlacementRequest, placement: Placement) -> bool:
    """Return whether a request earns more than it costs others, and its caller still awaits it."""
    if need.waited_ms + placement.first_event_ms >= need.patience_ms:
        return False
    return placement.interference_tokens <= need.total_tokens - placement.lateness_tokens


def fleet_utilization(candidates: Sequence[Candidate], engine: EngineModel) -> float:
    """Return how much of all engines is taken by streams or by prompts to read, from 0 to 1."""
    taken = 0.0
    for each in candidates:
        reading = each.load.pending_prefill_ms / _FULL_READING_MS
        taken += min(1.0, each.load.streams / engine.slots + reading)
    return taken / len(candidates)


def usable_memory(engine: EngineModel) -> int:
    """Return the tokens that predicted use may fill at one engine."""
    return int(engine.memory * _MEMORY_SHARE)


def fits_memory(need: PlacementRequest, candidate: Candidate, engine: EngineModel) -> bool:
    """Return whether an engine has memory for the whole request."""
    return candidate.load.memory + need.total_tokens <= usable_memory(engine)


def would_queue(need: PlacementRequest, candidate: Candidate, engine: EngineModel) -> bool:
    """Return whether a request would queue at an engine until other work there has ended."""
    return candidate.is_full(engine) or not fits_memory(need, candidate, engine)


def usable_pause_ms(load: EndpointLoad, own_pause_ms: int) -> float:
    """Return how long a pass may last at an engine, with the streams there and a further one."""
    tightest = load.shortest_max_pause()
    pause = own_pause_ms if tightest is None else min(tightest, own_pause_ms)
    return pause * _PAUSE_SHARE


def place_on_one(
    need: PlacementRequest,
    chosen: Candidate,
    engine: EngineModel | None,
    reason: str,
    harm: float = 0.0,
    full: bool = False,
) -> Placement:
    """Return the placement of a request at one endpoint without helpers."""
    cost = 0.0 if engine is None else prefill_ms(engine, need.prompt_tokens)
    wait = chosen.load.pending_prefill_ms + (
        next_decode_pass_ms(engine, chosen.load) if engine is not None else 0.0
    )
    share = LoadShare(chosen.entry.id, cost, need.total_tokens, need.max_pause_ms)
    first = wait + cost
    return Placement(chosen.entry, (), (share,), first, reason, harm, 0.0, first, full)
