"""Placement policies, registered by name."""

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

# Prompts that one engine prefills within this time are not split, and are packed.
_SHORT_PROMPT_MS = 90.0

Policy = Callable[
    [PlacementRequest, Sequence[Candidate], EngineModel | None, random.Random], Placement | None
]
policies: Registry[Policy] = Registry("placement policy")


@policies.register("round_robin")
def round_robin(
    request: PlacementRequest,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Place on a random endpoint, regardless of load."""
    if not candidates:
        return None
    return place_on_one(request, rng.choice(list(candidates)), engine, "any")


@policies.register("least_outstanding")
def least_outstanding(
    request: PlacementRequest,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Place on the endpoint with the fewest requests in flight."""
    if not candidates:
        return None
    fewest = min(candidates, key=lambda each: (each.suspect, each.load.requests, rng.random()))
    return place_on_one(request, fewest, engine, "fewest calls")


@policies.register("least_harm")
def least_harm(
    request: PlacementRequest,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Split long prompts and pack short ones to keep streams within their allowed pauses."""
    if engine is None or request.max_pause_ms is None:
        return least_outstanding(request, candidates, engine, rng)
    healthy = [each for each in candidates if not each.suspect] or list(candidates)
    if not healthy:
        return None
    if prefill_ms(engine, request.prompt_tokens) <= _SHORT_PROMPT_MS:
        return place_short_prompt(request, healthy, engine, rng)
    return place_long_prompt(request, healthy, engine, rng)
