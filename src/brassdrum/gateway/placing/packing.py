"""Pack short prompts on few engines to keep the others free for long ones."""

from __future__ import annotations

import heapq
import math
import random

from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placing.costs import decode_pass_ms, prefill_ms
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
_EQUIVALENCE_FIELDS = 5
# Engines to choose from for each prompt that others have placed but not reported yet. With one for
# each, three or more of these meet at an engine too often, and overrun its free slots.
_ENGINES_PER_UNREPORTED_PROMPT = 2.0
# Pending prefill beyond which an engine takes no further packed prompt.
_PACKED_PREFILL_LIMIT_MS = 110.0


def place_short_prompt(
    request: PlacementRequest, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement:
    """Place a short prompt with others where no stream exceeds its allowed pause."""
    assert request.max_pause_ms is not None
    cost = prefill_ms(engine, request.prompt_tokens)
    cap = max(1, math.floor(engine.slots * _PACKED_SLOT_SHARE))

    def rank(each: Candidate) -> tuple[bool, bool, bool, bool, float, float, float, float]:
        load = each.load
        full = would_queue(request, each, engine)
        pause = each.wait_ms(engine) + cost * each.slowdown
        packable = (
            not each.limited
            and load.streams < cap
            and each.pending_prefill_ms <= _PACKED_PREFILL_LIMIT_MS
        )
        # Prefers engines that already run short prompts, to keep the others free for split ones.
        packing_key = (
            -float(_short_prompt_streams(load, request.max_pause_ms))
            if packable
            # All daemons would ask the same engine for a permit, and most would be refused.
            else (load.requests if each.limited else each.pending_prefill_ms)
        )
        asked_at = each.asked_at if each.limited else 0.0
        stalls = pause > usable_pause_ms(load, request.max_pause_ms)
        return (
            full,
            stalls,
            not packable,
            each.limited,
            each.slowdown,
            packing_key,
            asked_at,
            rng.random(),
        )

    ranked = heapq.nsmallest(_choice_count(request, candidates, engine), candidates, key=rank)
    best = rank(ranked[0])[:_EQUIVALENCE_FIELDS]
    chosen = rng.choice([each for each in ranked if rank(each)[:_EQUIVALENCE_FIELDS] == best])
    full, stalls, *_ = rank(chosen)
    interference = float(request.total_tokens) if full or stalls else 0.0
    return place_on_one(request, chosen, engine, "packed", interference, full)


def _choice_count(
    request: PlacementRequest, candidates: list[Candidate], engine: EngineModel
) -> int:
    """Return the number of engines to choose from: more for each placement not yet reported.

    All daemons rank the same engine first. The number of prompts that others have placed but not
    reported yet is estimated from the streams in flight.
    """
    assert request.max_pause_ms is not None
    streams = sum(_short_prompt_streams(each.load, request.max_pause_ms) for each in candidates)
    passes = max(1.0, request.answer_tokens / engine.steps_per_pass)
    unreported = (
        streams * request.propagation_ms / (passes * decode_pass_ms(engine, engine.slots, 0))
    )
    return 1 + round(_ENGINES_PER_UNREPORTED_PROMPT * unreported)


def _short_prompt_streams(load: EndpointLoad, pause_ms: int) -> int:
    return sum(count for pause, count in load.streams_by_max_pause.items() if pause <= pause_ms)
