"""Pack short prompts on few engines, so that the others stay free for long ones."""

from __future__ import annotations

import math
import random

from brassdrum.gateway.costs import next_pass_ms, prefill_ms
from brassdrum.gateway.load import EndpointLoad
from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placement import (
    Candidate,
    Need,
    Placement,
    allowed_pause_ms,
    no_place,
    placed_alone,
)

__all__ = ["place_light"]

# Streams of light prompts are packed up to this share of an engine's slots; 6 of 8 in trials.
_PACKED_SHARE = 0.75
# Prompts read ahead of an own one, in ms; beyond it another engine is better than packing.
_PACKED_READING_MS = 110.0


def place_light(
    need: Need, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement:
    """Place a short prompt beside its like, where no stream there pauses too long."""
    assert need.pause_ms is not None
    cost = prefill_ms(engine, need.prompt_tokens)
    cap = max(1, math.floor(engine.slots * _PACKED_SHARE))

    def rank(each: Candidate) -> tuple[bool, bool, bool, float, float]:
        load = each.load
        full = no_place(need, each, engine)
        pause = next_pass_ms(engine, load) + load.reading_ms + cost
        packed = load.writers < cap and load.reading_ms <= _PACKED_READING_MS
        # Fill engines that light streams share already, so that the others stay free for parts.
        crowd = -float(_light_writers(load, need.pause_ms)) if packed else load.reading_ms
        crowded = pause > allowed_pause_ms(load, need.pause_ms)
        return full, crowded, not packed, crowd, rng.random()

    chosen = min(candidates, key=rank)
    full, pauses, *_ = rank(chosen)
    harm = float(need.tokens) if full or pauses else 0.0
    return placed_alone(need, chosen, engine, "packed", harm, full)


def _light_writers(load: EndpointLoad, pause_ms: int) -> int:
    return sum(count for pause, count in load.writers_by_pause.items() if pause <= pause_ms)
