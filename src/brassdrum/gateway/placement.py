"""Choose the endpoints of a request; pure decisions, filed by name."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brassdrum.gateway.costs import pass_ms, prefill_ms
from brassdrum.gateway.load import EndpointLoad, Share
from brassdrum.gateway.model import EndpointEntry, EngineModel
from brassdrum.registry import Registry

__all__ = ["Candidate", "Helper", "Need", "Placement", "Policy", "policies"]

# A prompt is split until no part lasts longer: halving it further won 1% in trials, 120 ms lost 1%.
_PART_MS = 60.0
# Prompts that one engine reads within this are not split and share engines with their like.
_LIGHT_MS = 90.0
# The platform takes this many helpers beside the engine that receives the request.
_MOST_HELPERS = 16
# Streams of light prompts are packed up to this share of an engine's slots; 6 of 8 in trials.
_PACKED_SHARE = 0.75
# The part of the objective in which the reading of a prompt should be over.
_TIMELY_SHARE = 0.6
# The part of an allowed pause that predicted work may fill; the rest covers what is unseen.
_PAUSE_SHARE = 0.8
# The part of an engine's memory that predicted use may fill; answers outgrow their estimates.
_MEMORY_SHARE = 0.92
# A part of a prompt that is stored apart fills at most this share of an engine's memory: each
# step of the answer costs the context of the largest part.
_STORED_SHARE = 0.35
# Prompts read ahead of an own one, in ms; beyond it another engine is better than packing.
_PACKED_READING_MS = 110.0


@dataclass(frozen=True, slots=True)
class Need:
    """Hold what a request asks of an endpoint; times in ms, lengths in tokens."""

    prompt_tokens: int
    answer_tokens: int
    objective_ms: float
    pause_ms: int | None

    @property
    def tokens(self) -> int:
        """Return the memory that the request fills in the end."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold an endpoint that may take the request, with all daemons' work there."""

    entry: EndpointEntry
    load: EndpointLoad
    near: bool
    suspect: bool = False


@dataclass(frozen=True, slots=True)
class Helper:
    """Hold an engine that reads a part of a prompt and the tokens that it stores for it."""

    entry: EndpointEntry
    stored: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the chosen endpoint, its helpers and the predicted time to the first event."""

    entry: EndpointEntry
    helpers: tuple[Helper, ...]
    shares: tuple[Share, ...]
    first_event_ms: float
    reason: str


Policy = Callable[[Need, Sequence[Candidate], EngineModel | None, random.Random], Placement | None]
policies: Registry[Policy] = Registry("placement policy")


def _alone(need: Need, chosen: Candidate, engine: EngineModel | None, reason: str) -> Placement:
    cost = 0.0 if engine is None else prefill_ms(engine, need.prompt_tokens)
    wait = chosen.load.reading_ms + (_base_ms(engine, chosen.load) if engine is not None else 0.0)
    share = Share(chosen.entry.id, cost, need.tokens, need.pause_ms)
    return Placement(chosen.entry, (), (share,), wait + cost, reason)


def _base_ms(engine: EngineModel, load: EndpointLoad) -> float:
    return pass_ms(engine, load.writers + 1, load.memory)


@policies.register("round_robin")
def round_robin(
    need: Need,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Take any endpoint, whatever its load."""
    if not candidates:
        return None
    return _alone(need, rng.choice(list(candidates)), engine, "any")


@policies.register("least_outstanding")
def least_outstanding(
    need: Need,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Take the endpoint with the fewest requests in flight."""
    if not candidates:
        return None
    fewest = min(candidates, key=lambda each: (each.suspect, each.load.calls, rng.random()))
    return _alone(need, fewest, engine, "fewest calls")


@policies.register("least_harm")
def least_harm(
    need: Need,
    candidates: Sequence[Candidate],
    engine: EngineModel | None,
    rng: random.Random,
) -> Placement | None:
    """Split long prompts and pack short ones, so that no stream pauses longer than it may."""
    if engine is None or need.pause_ms is None:
        return least_outstanding(need, candidates, engine, rng)
    sound = [each for each in candidates if not each.suspect] or list(candidates)
    if not sound:
        return None
    if prefill_ms(engine, need.prompt_tokens) <= _LIGHT_MS:
        return _place_light(need, sound, engine, rng)
    return _place_heavy(need, sound, engine, rng)


def _fits(need: Need, candidate: Candidate, engine: EngineModel) -> bool:
    return candidate.load.memory + need.tokens <= engine.memory * _MEMORY_SHARE


def _place_light(
    need: Need, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement:
    cost = prefill_ms(engine, need.prompt_tokens)
    cap = max(1, math.floor(engine.slots * _PACKED_SHARE))

    def harm(each: Candidate) -> tuple[bool, bool, bool, float, float]:
        load = each.load
        full = load.writers >= engine.slots or not _fits(need, each, engine)
        pause = _base_ms(engine, load) + load.reading_ms + cost
        allowed = min(load.tightest_pause() or need.pause_ms, need.pause_ms) * _PAUSE_SHARE
        packed = load.writers < cap and load.reading_ms <= _PACKED_READING_MS
        # Fill engines that light streams share already, so that the others stay free for parts.
        rank = -float(_light_writers(load, need.pause_ms)) if packed else load.reading_ms
        return full, pause > allowed, not packed, rank, rng.random()

    return _alone(need, min(candidates, key=harm), engine, "packed")


def _light_writers(load: EndpointLoad, pause_ms: int) -> int:
    return sum(count for pause, count in load.writers_by_pause.items() if pause <= pause_ms)


def _room_ms(candidate: Candidate, engine: EngineModel, own_pause: int) -> float:
    """Return how long a part may last at an engine before a stream there pauses too long."""
    load = candidate.load
    pause = load.tightest_pause()
    allowed = own_pause if pause is None else min(pause, own_pause)
    return allowed * _PAUSE_SHARE - _base_ms(engine, load) - load.reading_ms


def _place_heavy(
    need: Need, candidates: list[Candidate], engine: EngineModel, rng: random.Random
) -> Placement | None:
    cost = prefill_ms(engine, need.prompt_tokens)
    order_by_id = {each.entry.id: rng.random() for each in candidates}
    heads = [each for each in candidates if _fits(need, each, engine)]
    if not heads:
        return _place_apart(need, candidates, engine, order_by_id)

    def spared(each: Candidate) -> tuple[bool, int, float, float]:
        load = each.load
        full = load.writers + 1 > engine.slots
        light = _tighter_writers(load, need)
        return full, light, load.reading_ms + 100.0 * load.writers, order_by_id[each.entry.id]

    head = min(heads, key=spared)
    others = [each for each in candidates if each is not head]
    helpers = _choose_helpers(cost, head, others, engine, need, order_by_id)
    return _together(need, head, helpers, {}, engine)


def _tighter_writers(load: EndpointLoad, need: Need) -> int:
    assert need.pause_ms is not None
    return sum(n for pause, n in load.writers_by_pause.items() if pause < need.pause_ms)


def _together(
    need: Need,
    head: Candidate,
    helpers: list[Candidate],
    stored_by_id: dict[str, int],
    engine: EngineModel,
) -> Placement:
    part = prefill_ms(engine, need.prompt_tokens) / (len(helpers) + 1)
    own = need.tokens - sum(stored_by_id.values())
    shares = [Share(head.entry.id, part, own, need.pause_ms)]
    for each in helpers:
        stored = stored_by_id.get(each.entry.id, 0)
        shares.append(Share(each.entry.id, part, stored, helper=True))
    wait = max(_base_ms(engine, each.load) + each.load.reading_ms for each in [head, *helpers])
    entries = tuple(Helper(each.entry, stored_by_id.get(each.entry.id, 0)) for each in helpers)
    reason = f"{len(helpers) + 1} parts of {part:.0f} ms, {len(stored_by_id)} stored apart"
    return Placement(head.entry, entries, tuple(shares), wait + part, reason)


def _choose_helpers(
    cost: float,
    head: Candidate,
    others: list[Candidate],
    engine: EngineModel,
    need: Need,
    order_by_id: dict[str, float],
) -> list[Candidate]:
    """Return engines that read their parts without making a stream there pause too long.

    The wanted number of parts comes first, then more and smaller ones, then fewer on engines
    that are idle. Where no number fits, the engines with the fewest streams in the way are taken.
    """
    assert need.pause_ms is not None
    free = [each for each in others if each.load.helping < engine.slots]
    room_by_id = {each.entry.id: _room_ms(each, engine, need.pause_ms) for each in free}
    room_by_id[head.entry.id] = _room_ms(head, engine, need.pause_ms)
    most = min(_MOST_HELPERS, len(free))
    wanted = min(most, max(1, math.ceil(cost / _PART_MS) - 1))
    for count in [*range(wanted, most + 1), *range(wanted - 1, -1, -1)]:
        part = cost / (count + 1)
        if part > need.objective_ms:
            break
        if room_by_id[head.entry.id] < part:
            continue
        fitting = [each for each in free if room_by_id[each.entry.id] >= part]
        if len(fitting) >= count:
            fitting.sort(key=lambda each: (each.load.reading_ms, order_by_id[each.entry.id]))
            return fitting[:count]
    free.sort(key=lambda each: (_tighter_writers(each.load, need), -room_by_id[each.entry.id]))
    untouched = sum(1 for each in free if not _tighter_writers(each.load, need))
    timely = math.ceil(cost / (need.objective_ms * _TIMELY_SHARE)) - 1
    return free[: min(most, max(untouched, timely))]


def _place_apart(
    need: Need,
    candidates: list[Candidate],
    engine: EngineModel,
    order_by_id: dict[str, float],
) -> Placement | None:
    """Store a prompt that no engine has memory for in parts on several engines."""
    free_by_id = {
        each.entry.id: int(engine.memory * _MEMORY_SHARE) - each.load.memory for each in candidates
    }
    by_calm = sorted(
        candidates,
        key=lambda each: (
            each.load.writers >= engine.slots,
            _tighter_writers(each.load, need),
            -free_by_id[each.entry.id],
            order_by_id[each.entry.id],
        ),
    )
    fewest = math.ceil(need.tokens / (engine.memory * _STORED_SHARE))
    for count in range(fewest, min(len(by_calm), _MOST_HELPERS + 1) + 1):
        part = math.ceil(need.tokens / count)
        roomy = [each for each in by_calm if free_by_id[each.entry.id] >= part]
        if len(roomy) < count:
            continue
        head, holders = roomy[0], roomy[1:count]
        stored = {each.entry.id: part for each in holders}
        held = {head.entry.id, *stored}
        readers = [each for each in by_calm if each.entry.id not in held]
        calm = [each for each in readers if not _tighter_writers(each.load, need)]
        helpers = [*holders, *calm[: max(0, _MOST_HELPERS - len(holders))]]
        return _together(need, head, helpers, stored, engine)
    return None
