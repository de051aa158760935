"""Split long prompts between engines, by prefill time and, where needed, by memory."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass

from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placing.costs import decode_pass_ms, prefill_ms
from brassdrum.gateway.placing.harm import (
    blocked_tokens,
    delayed_prefill_tokens,
    lateness_tokens,
    stalled_stream_tokens,
)
from brassdrum.gateway.placing.load import EndpointLoad, LoadShare
from brassdrum.gateway.placing.placement import (
    Candidate,
    Helper,
    Placement,
    PlacementRequest,
    fits_memory,
    fleet_utilization,
    usable_memory,
    usable_pause_ms,
)

__all__ = ["MAX_GROUP_ENGINES", "place_long_prompt"]

# Target prefill time of a part; streams at the same engine stall for as long.
_TARGET_PART_MS = 60.0
# The engine that receives the request and the helpers that the platform allows beside it.
MAX_GROUP_ENGINES = 17
# The number of least loaded engines considered for groups: four times the largest group.
_MAX_CONSIDERED = 68
# Waiting is assumed to free half of the largest possible group, hence twice its prefill time.
_BUSY_FACTOR = 2.0
# Pending prefill that weighs as much as one stream when the decoding engine is chosen.
_STREAM_WEIGHT_MS = 100.0
# The largest share of an engine's memory for a stored part: each decode step costs the context of
# the largest part.
_STORED_MEMORY_SHARE = 0.35


def place_long_prompt(
    request: PlacementRequest, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement | None:
    """Place a long prompt on the group of engines with the smallest loss."""
    states = [_EngineState.of(each, request, engine, rng.random()) for each in candidates]
    if not any(state.fits for state in states):
        return _place_stored_parts(
            request, candidates, engine, {s.candidate.entry.id: s.tie_breaker for s in states}
        )
    if len(states) > _MAX_CONSIDERED:
        states = heapq.nsmallest(
            _MAX_CONSIDERED, states, key=lambda state: (not state.fits, state.load_rank)
        )
    fewest = max(1, math.ceil(prefill_ms(engine, request.prompt_tokens) / _TARGET_PART_MS))
    utilization = fleet_utilization(candidates, engine)
    best: _Group | None = None
    available = max(1, sum(1 for state in states if not state.candidate.limited))
    for count in range(1, min(MAX_GROUP_ENGINES, available) + 1):
        group = _group(request, states, count, engine, utilization)
        if best is None or (group.loss_tokens, abs(group.usual_parts - fewest)) < (
            best.loss_tokens,
            abs(best.usual_parts - fewest),
        ):
            best = group
    assert best is not None
    return _group_placement(request, best, {}, engine)


@dataclass(frozen=True, slots=True)
class _EngineState:
    """Values computed once per engine while groups of all sizes are compared."""

    candidate: Candidate
    fits: bool
    full: bool
    headroom_ms: float
    stall_tokens: float
    tighter_streams: int
    load_ms: float
    wait_ms: float
    tie_breaker: float

    @classmethod
    def of(
        cls, each: Candidate, request: PlacementRequest, engine: EngineModel, tie_breaker: float
    ) -> _EngineState:
        """Evaluate an engine; one with as many helper prefills as slots has no headroom."""
        load = each.load
        assert request.max_pause_ms is not None
        headroom_ms = _headroom_ms(each, engine, request.max_pause_ms)
        return cls(
            candidate=each,
            fits=fits_memory(request, each, engine),
            full=each.is_full(engine),
            headroom_ms=headroom_ms if load.helper_prefills < engine.slots else -math.inf,
            stall_tokens=stalled_stream_tokens(load) + 1.0,
            tighter_streams=_tighter_streams(load, request),
            load_ms=each.pending_prefill_ms + _STREAM_WEIGHT_MS * load.streams,
            wait_ms=each.wait_ms(engine),
            tie_breaker=tie_breaker,
        )

    @property
    def load_rank(self) -> tuple[float, float, float, float]:
        return self.stall_tokens, self.load_ms, self.candidate.slowdown, self.tie_breaker

    def part_ms(self, part: float) -> float:
        """Return how long a part that takes ``part`` ms at usual speed takes here."""
        return part * self.candidate.slowdown

    def extra_ms(self, part: float) -> float:
        """Return how much longer a part takes here than at usual speed."""
        return part * (self.candidate.slowdown - 1.0)

    def first_event_ms(self, part: float) -> float:
        """Return the time to the first event as far as this engine's part decides it."""
        return self.part_ms(part) + self.wait_ms

    def interference_tokens(self, part: float) -> float:
        """Return the loss of other requests here if a part is added."""
        part = self.part_ms(part)
        stalled = 0.0 if self.headroom_ms >= part else self.stall_tokens
        return stalled + delayed_prefill_tokens(self.candidate.load, part)


@dataclass(frozen=True, slots=True)
class _Group:
    """Engines that prefill one prompt together, with the loss of others and of the request."""

    head: Candidate
    helpers: list[Candidate]
    interference_tokens: float
    lateness_tokens: float

    @property
    def count(self) -> int:
        return len(self.helpers) + 1

    @property
    def usual_parts(self) -> float:
        """Return into how many parts engines of usual speed split the prompt in the same time.

        Of groups with the same loss, the one closest to the wanted number of parts is chosen.
        """
        return self.count / max(each.slowdown for each in [self.head, *self.helpers])

    @property
    def loss_tokens(self) -> float:
        return self.interference_tokens + self.lateness_tokens


def _group(
    request: PlacementRequest,
    states: list[_EngineState],
    count: int,
    engine: EngineModel,
    utilization: float,
) -> _Group:
    """Return the group of ``count`` engines with the least interference from equal parts.

    The value of a stream isn't declared; its memory serves as an estimate.
    """
    part = prefill_ms(engine, request.prompt_tokens) / count
    head = min(
        (state for state in states if state.fits),
        key=lambda state: (
            state.full,
            state.interference_tokens(part),
            state.tighter_streams,
            state.load_ms + state.extra_ms(part),
            state.tie_breaker,
        ),
    )
    helpers = heapq.nsmallest(
        count - 1,
        (state for state in states if state is not head and not state.candidate.limited),
        key=lambda state: (
            state.interference_tokens(part),
            state.candidate.pending_prefill_ms + state.extra_ms(part),
            state.tie_breaker,
        ),
    )
    members = [head, *helpers]
    first_event_ms = max(state.first_event_ms(part) for state in members)
    late = _request_lateness_tokens(request, first_event_ms)
    interference = sum(
        state.interference_tokens(part) + blocked_tokens(state.part_ms(part), utilization)
        for state in members
    )
    return _Group(head.candidate, [state.candidate for state in helpers], interference, late)


def _headroom_ms(candidate: Candidate, engine: EngineModel, own_max_pause_ms: int) -> float:
    """Return how long a part may last before a stream there exceeds its allowed pause."""
    return usable_pause_ms(candidate.load, own_max_pause_ms) - candidate.wait_ms(engine)


def _request_lateness_tokens(request: PlacementRequest, first_event_ms: float) -> float:
    """Return the loss of the request itself by a late first event."""
    return lateness_tokens(
        request.total_tokens, (request.waited_ms + first_event_ms) / request.objective_ms
    )


def _first_event_ms(engine: EngineModel, members: list[Candidate], part: float) -> float:
    return max(part * each.slowdown + each.wait_ms(engine) for each in members)


def _tighter_streams(load: EndpointLoad, request: PlacementRequest) -> int:
    assert request.max_pause_ms is not None
    return sum(n for pause, n in load.streams_by_max_pause.items() if pause < request.max_pause_ms)


def _group_placement(
    request: PlacementRequest, group: _Group, stored_by_id: dict[str, int], engine: EngineModel
) -> Placement:
    part = prefill_ms(engine, request.prompt_tokens) / group.count
    own = request.total_tokens - sum(stored_by_id.values())
    tokens = request.prompt_tokens // group.count
    shares = [
        LoadShare(group.head.entry.id, part, own, request.max_pause_ms, split_prefill_tokens=tokens)
    ]
    helpers = []
    for each in group.helpers:
        stored = stored_by_id.get(each.entry.id, 0)
        shares.append(
            LoadShare(each.entry.id, part, stored, is_helper=True, split_prefill_tokens=tokens)
        )
        helpers.append(Helper(each.entry, stored))
    first = _first_event_ms(engine, [group.head, *group.helpers], part)
    reason = f"{group.count} parts of {part:.0f} ms, {len(stored_by_id)} stored apart"
    best = prefill_ms(engine, request.prompt_tokens) / MAX_GROUP_ENGINES * _BUSY_FACTOR
    best += decode_pass_ms(engine, 1, request.prompt_tokens)
    return Placement(
        entry=group.head.entry,
        helpers=tuple(helpers),
        shares=tuple(shares),
        first_event_ms=first,
        reason=reason,
        interference_tokens=group.interference_tokens,
        lateness_tokens=group.lateness_tokens,
        best_first_event_ms=best,
        endpoint_full=group.head.is_full(engine),
        slowdown=group.head.slowdown,
    )


def _place_stored_parts(
    request: PlacementRequest,
    candidates: list[Candidate],
    engine: EngineModel,
    tie_breaker_by_id: dict[str, float],
) -> Placement | None:
    """Place a prompt that exceeds any engine's free memory in stored parts on several."""
    free_by_id = {each.entry.id: usable_memory(engine) - each.load.memory for each in candidates}
    by_load = sorted(
        candidates,
        key=lambda each: (
            each.is_full(engine),
            each.limited,
            # The slowest engine of the group decides its first event.
            each.slowdown,
            each.load.memory,
            each.pending_prefill_ms,
            tie_breaker_by_id[each.entry.id],
        ),
    )
    fewest = math.ceil(request.total_tokens / (engine.memory_tokens * _STORED_MEMORY_SHARE))
    most = min(len(by_load), MAX_GROUP_ENGINES)
    # Prefers many small parts; falls back to larger ones if too few engines have memory for them.
    for count in [*range(fewest, most + 1), *range(min(fewest - 1, most), 1, -1)]:
        part = math.ceil(request.total_tokens / count)
        with_memory = [each for each in by_load if free_by_id[each.entry.id] >= part]
        if len(with_memory) < count:
            continue
        stored = {each.entry.id: part for each in with_memory[1:count]}
        return _group_placement(
            request, _add_helpers(request, with_memory[:count], by_load, engine), stored, engine
        )
    return None


def _add_helpers(
    request: PlacementRequest,
    storing: list[Candidate],
    by_load: list[Candidate],
    engine: EngineModel,
) -> _Group:
    """Return the engines that store a prompt, with the further helpers that minimize the loss."""
    assert request.max_pause_ms is not None
    held = {each.entry.id for each in storing}
    others = [each for each in by_load if each.entry.id not in held and not each.limited]
    cost = prefill_ms(engine, request.prompt_tokens)
    utilization = fleet_utilization(by_load, engine)
    states = {each.entry.id: _EngineState.of(each, request, engine, 0.0) for each in by_load}
    best: _Group | None = None
    for count in range(len(storing), min(len(storing) + len(others), MAX_GROUP_ENGINES) + 1):
        members = [*storing, *others[: count - len(storing)]]
        part = cost / count
        interference = sum(
            states[each.entry.id].interference_tokens(part)
            + blocked_tokens(part * each.slowdown, utilization)
            for each in members
        )
        late = _request_lateness_tokens(request, _first_event_ms(engine, members, part))
        if best is None or interference + late <= best.loss_tokens:
            best = _Group(members[0], members[1:], interference, late)
    assert best is not None
    return best
