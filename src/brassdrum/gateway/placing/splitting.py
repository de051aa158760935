"""Split long prompts between engines, and store apart what no engine has memory for."""

from __future__ import annotations

import heapq
import math
import random
from dataclasses import dataclass

from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placing.costs import decode_pass_ms, next_decode_pass_ms, prefill_ms
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
from brassdrum.gateway.placing.token_loss import (
    blocked_tokens,
    delayed_prefill_tokens,
    lateness_tokens,
    stalled_stream_tokens,
)

__all__ = ["place_long_prompt"]

# A prompt is split until no part lasts longer: streams beside a part pause for as long.
_PART_MS = 60.0
# The platform takes this many helpers beside the engine that receives the request.
_MOST_HELPERS = 16
# Groups are chosen among this many engines: the calmest ones; four times the largest group.
_CONSIDERED = 68
# Waiting hopes for half of the most engines to be free, not for all of them.
_HOPED_FACTOR = 2.0
# How much reading ahead weighs like one stream, in ms, when the engine that writes is chosen.
_WRITER_MS = 100.0
# A part of a prompt that is stored apart fills at most this share of an engine's memory: each
# step of the answer costs the context of the largest part.
_STORED_SHARE = 0.35


def place_long_prompt(
    need: PlacementRequest, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement | None:
    """Place a long prompt on the group of engines that loses the fewest tokens."""
    views = [_EngineView.of(each, need, engine, rng.random()) for each in candidates]
    if not any(view.fits for view in views):
        return _place_apart(
            need, candidates, engine, {s.candidate.entry.id: s.order for s in views}
        )
    if len(views) > _CONSIDERED:
        views = heapq.nsmallest(_CONSIDERED, views, key=lambda view: (not view.fits, view.calm))
    fewest = max(1, math.ceil(prefill_ms(engine, need.prompt_tokens) / _PART_MS))
    pressure = fleet_utilization(candidates, engine)
    best: _Group | None = None
    for count in range(1, min(_MOST_HELPERS + 1, len(views)) + 1):
        group = _group(need, views, count, engine, pressure)
        distance = abs(count - fewest)
        if best is None or (group.loss, distance) < (best.loss, abs(best.count - fewest)):
            best = group
    assert best is not None
    return _together(need, best, {}, engine)


@dataclass(frozen=True, slots=True)
class _EngineView:
    """Hold what is worked out once for an engine while groups of all sizes are compared."""

    candidate: Candidate
    fits: bool
    full: bool
    room: float
    risk: float
    light: int
    crowd: float
    wait: float
    order: float

    @classmethod
    def of(
        cls, each: Candidate, need: PlacementRequest, engine: EngineModel, order: float
    ) -> _EngineView:
        """Look at an engine; one that helps too many has no room."""
        load = each.load
        assert need.max_pause_ms is not None
        room = _room_ms(each, engine, need.max_pause_ms)
        return cls(
            candidate=each,
            fits=fits_memory(need, each, engine),
            full=each.is_full(engine),
            room=room if load.helper_prefills < engine.slots else -math.inf,
            risk=stalled_stream_tokens(load) + 1.0,
            light=_tighter_writers(load, need),
            crowd=load.pending_prefill_ms + _WRITER_MS * load.streams,
            wait=next_decode_pass_ms(engine, load) + load.pending_prefill_ms,
            order=order,
        )

    @property
    def calm(self) -> tuple[float, float, float]:
        return self.risk, self.crowd, self.order

    def harm(self, part: float) -> float:
        """Return the tokens that a part of a length puts at risk here."""
        paused = 0.0 if self.room >= part else self.risk
        return paused + delayed_prefill_tokens(self.candidate.load, part)


@dataclass(frozen=True, slots=True)
class _Group:
    """Hold engines that read one prompt together, and the tokens that this puts at risk.

    ``harm`` counts other streams, ``late`` the request itself.
    """

    head: Candidate
    helpers: list[Candidate]
    harm: float
    late: float

    @property
    def count(self) -> int:
        return len(self.helpers) + 1

    @property
    def loss(self) -> float:
        return self.harm + self.late


def _group(
    need: PlacementRequest,
    views: list[_EngineView],
    count: int,
    engine: EngineModel,
    pressure: float,
) -> _Group:
    """Return the engines that are harmed least by one of a number of even parts.

    What a stream is worth is not declared, but its memory is known and grows with its worth.
    """
    part = prefill_ms(engine, need.prompt_tokens) / count
    head = min(
        (view for view in views if view.fits),
        key=lambda view: (view.full, view.harm(part), view.light, view.crowd, view.order),
    )
    helpers = heapq.nsmallest(
        count - 1,
        (view for view in views if view is not head),
        key=lambda view: (view.harm(part), view.candidate.load.pending_prefill_ms, view.order),
    )
    members = [head, *helpers]
    late = _lateness(need, part + max(view.wait for view in members))
    harmed = sum(view.harm(part) for view in members) + count * blocked_tokens(part, pressure)
    return _Group(head.candidate, [view.candidate for view in helpers], harmed, late)


def _room_ms(candidate: Candidate, engine: EngineModel, own_pause: int) -> float:
    """Return how long a part may last at an engine before a stream there pauses too long."""
    load = candidate.load
    return (
        usable_pause_ms(load, own_pause)
        - next_decode_pass_ms(engine, load)
        - load.pending_prefill_ms
    )


def _lateness(need: PlacementRequest, first_event_ms: float) -> float:
    """Return the tokens that the request itself loses by coming late."""
    return lateness_tokens(need.total_tokens, (need.waited_ms + first_event_ms) / need.objective_ms)


def _first_event_ms(engine: EngineModel, members: list[Candidate], part: float) -> float:
    return part + max(
        next_decode_pass_ms(engine, each.load) + each.load.pending_prefill_ms for each in members
    )


def _tighter_writers(load: EndpointLoad, need: PlacementRequest) -> int:
    assert need.max_pause_ms is not None
    return sum(n for pause, n in load.streams_by_max_pause.items() if pause < need.max_pause_ms)


def _together(
    need: PlacementRequest, group: _Group, stored_by_id: dict[str, int], engine: EngineModel
) -> Placement:
    part = prefill_ms(engine, need.prompt_tokens) / group.count
    own = need.total_tokens - sum(stored_by_id.values())
    tokens = need.prompt_tokens // group.count
    shares = [
        LoadShare(group.head.entry.id, part, own, need.max_pause_ms, split_prefill_tokens=tokens)
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
    best = prefill_ms(engine, need.prompt_tokens) / (_MOST_HELPERS + 1) * _HOPED_FACTOR
    best += decode_pass_ms(engine, 1, need.prompt_tokens)
    return Placement(
        group.head.entry,
        tuple(helpers),
        tuple(shares),
        first,
        reason,
        group.harm,
        group.late,
        best,
        group.head.is_full(engine),
    )


def _place_apart(
    need: PlacementRequest,
    candidates: list[Candidate],
    engine: EngineModel,
    order_by_id: dict[str, float],
) -> Placement | None:
    """Store a prompt that no engine has memory for in parts on several engines."""
    free_by_id = {each.entry.id: usable_memory(engine) - each.load.memory for each in candidates}
    by_calm = sorted(
        candidates,
        key=lambda each: (
            each.is_full(engine),
            each.load.memory,
            each.load.pending_prefill_ms,
            order_by_id[each.entry.id],
        ),
    )
    fewest = math.ceil(need.total_tokens / (engine.memory * _STORED_SHARE))
    most = min(len(by_calm), _MOST_HELPERS + 1)
    # Small parts first; larger ones where there are too few engines with memory for these.
    for count in [*range(fewest, most + 1), *range(min(fewest - 1, most), 1, -1)]:
        part = math.ceil(need.total_tokens / count)
        roomy = [each for each in by_calm if free_by_id[each.entry.id] >= part]
        if len(roomy) < count:
            continue
        stored = {each.entry.id: part for each in roomy[1:count]}
        return _together(need, _read_by_more(need, roomy[:count], by_calm, engine), stored, engine)
    return None


def _read_by_more(
    need: PlacementRequest, holders: list[Candidate], by_calm: list[Candidate], engine: EngineModel
) -> _Group:
    """Return the holders of a prompt with as many more readers as do least harm."""
    assert need.max_pause_ms is not None
    held = {each.entry.id for each in holders}
    readers = [each for each in by_calm if each.entry.id not in held]
    cost = prefill_ms(engine, need.prompt_tokens)
    pressure = fleet_utilization(by_calm, engine)
    views = {each.entry.id: _EngineView.of(each, need, engine, 0.0) for each in by_calm}
    best: _Group | None = None
    for count in range(len(holders), min(len(by_calm), _MOST_HELPERS + 1) + 1):
        members = [*holders, *readers[: count - len(holders)]]
        part = cost / count
        harm = sum(views[each.entry.id].harm(part) for each in members)
        harm += count * blocked_tokens(part, pressure)
        late = _lateness(need, _first_event_ms(engine, members, part))
        if best is None or harm + late <= best.loss:
            best = _Group(members[0], members[1:], harm, late)
    assert best is not None
    return best
