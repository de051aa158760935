"""Choose the endpoints of a request; pure decisions, filed by name."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence

from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placing.costs import prefill_ms
from brassdrum.gateway.placing.packing import place_short_prompt
from brassdrum.gateway.placing.placement import Candidate, Placement, PlacementRequest, place_on_one
from brassdrum.gateway.placing.splitting import place_long_prompt
from brassdrum.registry import Registry

__all__ = ["Policy", "policies"]

# Prompts that one engine reads within this are not split and share engines with their like.
_LIGHT_MS = 90.0

Policy = Callable[
    [PlacementRequest, Sequence[Candidate], EngineModel | None, random.Random], Placement | None
]
policies: Registry[Policy] = Registry("placement policy")


@policies.register("round_robin")
def round_robin(
    need: PlacementRequest,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Take any endpoint, whatever its load."""
    if not candidates:
        return None
    return place_on_one(need, rng.choice(list(candidates)), engine, "any")


@policies.register("least_outstanding")
def least_outstanding(
    need: PlacementRequest,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Take the endpoint with the fewest requests in flight."""
    if not candidates:
        return None
    fewest = min(candidates, key=lambda each: (each.suspect, each.load.requests, rng.random()))
    return place_on_one(need, fewest, engine, "fewest calls")


@policies.register("least_harm")
def least_harm(
    need: PlacementRequest,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Split long prompts and pack short ones, so that no stream pauses longer than it may."""
    if engine is None or need.max_pause_ms is None:
        return least_outstanding(need, candidates, engine, rng)
    sound = [each for each in candidates if not each.suspect] or list(candidates)
    if not sound:
        return None
    if prefill_ms(engine, need.prompt_tokens) <= _LIGHT_MS:
        return place_short_prompt(need, sound, engine, rng)
    return place_long_prompt(need, sound, engine, rng)
