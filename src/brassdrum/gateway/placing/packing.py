"""Pack short prompts on few engines, so that the others stay free for long ones."""

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

# Streams of light prompts are packed up to this share of an engine's slots; 6 of 8 in trials.
_PACKED_SHARE = 0.75
# Engines that differ only in how much is packed there are as good as each other.
_SPREAD_FIELDS = 3
# Prompts read ahead of an own one, in ms; beyond it another engine is better than packing.
_PACKED_READING_MS = 110.0


def place_short_prompt(
    need: PlacementRequest, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement:
    """Place a short prompt beside its like, where no stream there pauses too long."""
    assert need.max_pause_ms is not None
    cost = prefill_ms(engine, need.prompt_tokens)
    cap = max(1, math.floor(engine.slots * _PACKED_SHARE))

    def rank(each: Candidate) -> tuple[bool, bool, bool, float, float]:
        load = each.load
        full = would_queue(need, each, engine)
        pause = next_decode_pass_ms(engine, load) + load.pending_prefill_ms + cost
        packed = load.streams < cap and load.pending_prefill_ms <= _PACKED_READING_MS
        # Fill engines that light streams share already, so that the others stay free for parts.
        crowd = (
            -float(_light_writers(load, need.max_pause_ms)) if packed else load.pending_prefill_ms
        )
        crowded = pause > usable_pause_ms(load, need.max_pause_ms)
        return full, crowded, not packed, crowd, rng.random()

    ranked = heapq.nsmallest(_choices(need, candidates, engine), candidates, key=rank)
    best = rank(ranked[0])[:_SPREAD_FIELDS]
    chosen = rng.choice([each for each in ranked if rank(each)[:_SPREAD_FIELDS] == best])
    full, pauses, *_ = rank(chosen)
    harm = float(need.total_tokens) if full or pauses else 0.0
    return place_on_one(need, chosen, engine, "packed", harm, full)


def _choices(need: PlacementRequest, candidates: list[Candidate], engine: EngineModel) -> int:
    """Return among how many engines to choose: one more for each prompt that is not seen yet.

    All daemons fill the same engine first; with many daemons several prompts are on their way to it
    before the first of them is known. Their rate follows from the streams in flight.
    """
    assert need.max_pause_ms is not None
    streams = sum(_light_writers(each.load, need.max_pause_ms) for each in candidates)
    passes = max(1.0, need.answer_tokens / engine.stride)
    unseen = streams * need.propagation_ms / (passes * decode_pass_ms(engine, engine.slots, 0))
    return 1 + round(unseen)


def _light_writers(load: EndpointLoad, pause_ms: int) -> int:
    return sum(count for pause, count in load.streams_by_max_pause.items() if pause <= pause_ms)
