"""Pack short prompts on few engines to keep the others free for long ones."""

from __future__ import annotations

import heapq
import math
import random

from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placing.costs import decode_pass_ms, next_decode_pass_ms, prefill_ms
from brassdrum.gateway.placing.load import EndpointLoad
from brassdrum.gateway.placing.placement import (
    Candidate,
    Placement,
    PlacementRequest,
    place_on_one,
    usable_pause_ms,
    would_queue,
)

__all__ = ["place_short_prompt"]

# The share of an engine's slots up to which short prompts are packed.
_PACKED_SLOT_SHARE = 0.75
# The leading fields of a rank that must be equal for engines to count as equivalent.
_EQUIVALENCE_FIELDS = 3
# Pending prefill beyond which an engine takes no further packed prompt.
_PACKED_PREFILL_LIMIT_MS = 110.0


def place_short_prompt(
    request: PlacementRequest, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement:
    """Place a short prompt with others where no stream exceeds its allowed pause."""
    assert request.max_pause_ms is not None
    cost = prefill_ms(engine, request.prompt_tokens)
    cap = max(1, math.floor(engine.slots * _PACKED_SLOT_SHARE))

    def rank(each: Candidate) -> tuple[bool, bool, bool, float, float]:
        load = each.load
        full = would_queue(request, each, engine)
        pause = next_decode_pass_ms(engine, load) + load.pending_prefill_ms + cost
        packable = load.streams < cap and load.pending_prefill_ms <= _PACKED_PREFILL_LIMIT_MS
        # Prefers engines that already run short prompts, to keep the others free for split ones.
        packing_key = (
            -float(_short_prompt_streams(load, request.max_pause_ms))
            if packable
            else load.pending_prefill_ms
        )
        stalls = pause > usable_pause_ms(load, request.max_pause_ms)
        return full, stalls, not packable, packing_key, rng.random()

    ranked = heapq.nsmallest(_choice_count(request, candidates, engine), candidates, key=rank)
    best = rank(ranked[0])[:_EQUIVALENCE_FIELDS]
    chosen = rng.choice([each for each in ranked if rank(each)[:_EQUIVALENCE_FIELDS] == best])
    full, stalls, *_ = rank(chosen)
    interference = float(request.total_tokens) if full or stalls else 0.0
    return place_on_one(request, chosen, engine, "packed", interference, full)


def _choice_count(
    request: PlacementRequest, candidates: list[Candidate], engine: EngineModel
) -> int:
    """Return the number of engines to choose from: one more per placement not yet visible.

    All daemons rank the same engine first, so the choice is spread over one engine more for each
    prompt that others placed but haven't reported yet, estimated from the streams in flight.
    """
    assert request.max_pause_ms is not None
    streams = sum(_short_prompt_streams(each.load, request.max_pause_ms) for each in candidates)
    passes = max(1.0, request.answer_tokens / engine.steps_per_pass)
    invisible = (
        streams * request.propagation_ms / (passes * decode_pass_ms(engine, engine.slots, 0))
    )
    return 1 + round(invisible)


def _short_prompt_streams(load: EndpointLoad, pause_ms: int) -> int:
    return sum(count for pause, count in load.streams_by_max_pause.items() if pause <= pause_ms)
