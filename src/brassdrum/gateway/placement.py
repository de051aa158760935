"""Choose the endpoints of a request; pure decisions, filed by name."""

from __future__ import annotations

import heapq
import math
import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass

from brassdrum.gateway.costs import pass_ms, prefill_ms
from brassdrum.gateway.load import EndpointLoad, Share
from brassdrum.gateway.model import EndpointEntry, EngineModel
from brassdrum.registry import Registry

__all__ = [
    "Candidate",
    "Helper",
    "Need",
    "Placement",
    "Policy",
    "better_later",
    "policies",
    "worth_serving",
]

# A prompt is split until no part lasts longer: halving it further won 1% in trials, 120 ms lost 1%.
_PART_MS = 60.0
# Prompts that one engine reads within this are not split and share engines with their like.
_LIGHT_MS = 90.0
# The platform takes this many helpers beside the engine that receives the request.
_MOST_HELPERS = 16
# Groups are chosen among this many engines: the calmest ones; four times the largest group.
_CONSIDERED = 68
# Streams of light prompts are packed up to this share of an engine's slots; 6 of 8 in trials.
_PACKED_SHARE = 0.75
# An answer after its objective earns about a quarter: the share of its worth that is lost.
_LATE_SHARE = 0.75
# A first event predicted before this share of the objective comes in time, after the other late.
_SURELY_TIMELY = 0.7
_SURELY_LATE = 1.1
# Callers give a stream up when its first event takes four times its objective.
_SURELY_AWAITED = 2.0
_SURELY_ABANDONED = 3.5
# What a prompt is worth, in tokens, that an engine reads a part of for another engine: its length
# is not told to peers, and 45,000 is the usual one of those that are split.
_HELPED_TOKENS = 45_000
# A stream counts for this many tokens more than it holds: a caller waits for it, however short.
_STREAM_TOKENS = 5_000
# Parts up to this length fit the pauses of long prompts; what a longer one keeps away from its
# engine in a second is about what one engine writes in it: 8 streams of 5,000 tokens in 1.7 s.
_BLOCKING_MS = 700.0
_BLOCKED_TOKENS_PER_SECOND = 25_000
# A prompt is refused when it puts this many times its own tokens at risk: one of 920,000 tokens
# that stopped 11 engines for 6.4 s came to 1.8 times, one of 640,000 that was worth it to 1.1.
_REFUSED_RATIO = 1.75
# Waiting hopes for half of the most engines to be free, not for all of them.
_HOPED_FACTOR = 2.0
# A request waits while its first event could come within this part of its objective if half of the
# engines were free, and once it is late, within this many objectives: callers wait for four.
_WAIT_SHARE = 0.8
_LATE_WAIT_SHARE = 2.0
# How much reading ahead weighs like one stream, in ms, when the engine that writes is chosen.
_WRITER_MS = 100.0
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
    waited_ms: float = 0.0

    @property
    def tokens(self) -> int:
        """Return the memory that the request fills in the end."""
        return self.prompt_tokens + self.answer_tokens


@dataclass(frozen=True, slots=True)
class Candidate:
    """Hold an endpoint that may take the request, with all daemons' work there."""

    entry: EndpointEntry
    load: EndpointLoad
    suspect: bool = False


@dataclass(frozen=True, slots=True)
class Helper:
    """Hold an engine that reads a part of a prompt and the tokens that it stores for it."""

    entry: EndpointEntry
    stored: int = 0


@dataclass(frozen=True, slots=True)
class Placement:
    """Hold the chosen endpoint, its helpers and what is predicted of it.

    ``first_event_ms`` is the time to the first event, ``best_ms`` what it would be with half of
    the most engines idle. ``harm`` counts the tokens of others' streams that will pause too long
    or come late, ``late`` those of this request; 0 where there are none.
    """

    entry: EndpointEntry
    helpers: tuple[Helper, ...]
    shares: tuple[Share, ...]
    first_event_ms: float
    reason: str
    harm: float = 0.0
    late: float = 0.0
    best_ms: float = 0.0


def better_later(need: Need, placement: Placement) -> bool:
    """Return whether a request should wait for other engines instead of taking this placement."""
    if not placement.harm and not placement.late:
        return False
    best = (need.waited_ms + placement.best_ms) / need.objective_ms
    if best < _WAIT_SHARE:
        return True
    if best >= _LATE_WAIT_SHARE:
        return False
    timely = need.waited_ms + placement.first_event_ms < need.objective_ms
    # One that comes late in any case leaves those alone that can still come in time.
    return placement.harm > 0 and not timely


def worth_serving(need: Need, placement: Placement) -> bool:
    """Return whether a request does not cost others far more than it can earn."""
    return not placement.late or placement.harm <= need.tokens * _REFUSED_RATIO


Policy = Callable[[Need, Sequence[Candidate], EngineModel | None, random.Random], Placement | None]
policies: Registry[Policy] = Registry("placement policy")


def _alone(
    need: Need,
    chosen: Candidate,
    engine: EngineModel | None,
    reason: str,
    harm: float = 0.0,
) -> Placement:
    cost = 0.0 if engine is None else prefill_ms(engine, need.prompt_tokens)
    wait = chosen.load.reading_ms + (_base_ms(engine, chosen.load) if engine is not None else 0.0)
    share = Share(chosen.entry.id, cost, need.tokens, need.pause_ms)
    return Placement(chosen.entry, (), (share,), wait + cost, reason, harm, 0.0, wait + cost)


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

    def rank(each: Candidate) -> tuple[bool, bool, bool, float, float]:
        load = each.load
        full = load.writers >= engine.slots or not _fits(need, each, engine)
        pause = _base_ms(engine, load) + load.reading_ms + cost
        allowed = min(load.tightest_pause() or need.pause_ms, need.pause_ms) * _PAUSE_SHARE
        packed = load.writers < cap and load.reading_ms <= _PACKED_READING_MS
        # Fill engines that light streams share already, so that the others stay free for parts.
        crowd = -float(_light_writers(load, need.pause_ms)) if packed else load.reading_ms
        return full, pause > allowed, not packed, crowd, rng.random()

    chosen = min(candidates, key=rank)
    full, pauses, *_ = rank(chosen)
    harm = float(need.tokens) if full or pauses else 0.0
    return _alone(need, chosen, engine, "packed", harm)


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
    views = [_EngineView.of(each, need, engine, rng.random()) for each in candidates]
    if not any(view.fits for view in views):
        return _place_apart(
            need, candidates, engine, {s.candidate.entry.id: s.order for s in views}
        )
    if len(views) > _CONSIDERED:
        views = heapq.nsmallest(_CONSIDERED, views, key=lambda view: (not view.fits, view.calm))
    fewest = max(1, math.ceil(prefill_ms(engine, need.prompt_tokens) / _PART_MS))
    best: _Group | None = None
    for count in range(1, min(_MOST_HELPERS + 1, len(views)) + 1):
        group = _group(need, views, count, engine)
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
    def of(cls, each: Candidate, need: Need, engine: EngineModel, order: float) -> _EngineView:
        """Look at an engine; one that helps too many has no room."""
        load = each.load
        assert need.pause_ms is not None
        room = _room_ms(each, engine, need.pause_ms)
        return cls(
            candidate=each,
            fits=_fits(need, each, engine),
            full=load.writers >= engine.slots,
            room=room if load.helping < engine.slots else -math.inf,
            risk=_tokens_at_risk(each) + 1.0,
            light=_tighter_writers(load, need),
            crowd=load.reading_ms + _WRITER_MS * load.writers,
            wait=_base_ms(engine, load) + load.reading_ms,
            order=order,
        )

    @property
    def calm(self) -> tuple[float, float, float]:
        return self.risk, self.crowd, self.order

    def harm(self, part: float) -> float:
        """Return the tokens that a part of a length puts at risk here."""
        return 0.0 if self.room >= part else self.risk


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


def _group(need: Need, views: list[_EngineView], count: int, engine: EngineModel) -> _Group:
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
        key=lambda view: (view.harm(part), view.candidate.load.reading_ms, view.order),
    )
    members = [head, *helpers]
    late = _lateness(need, part + max(view.wait for view in members))
    harmed = sum(view.harm(part) for view in members) + count * _blocked_tokens(part)
    return _Group(head.candidate, [view.candidate for view in helpers], harmed, late)


def _blocked_tokens(part_ms: float) -> float:
    """Return what a long part costs at its engine, which takes nothing else meanwhile."""
    return max(0.0, part_ms - _BLOCKING_MS) / 1000 * _BLOCKED_TOKENS_PER_SECOND


def _tokens_at_risk(candidate: Candidate) -> float:
    """Return what a pass that lasts too long delays: streams here, and prompts read for others."""
    load = candidate.load
    return float(load.streamed + _STREAM_TOKENS * load.writers + _HELPED_TOKENS * load.helping)


def _lateness(need: Need, first_event_ms: float) -> float:
    """Return the tokens lost to a late first event; predictions err, so it grows gradually."""
    share = (need.waited_ms + first_event_ms) / need.objective_ms
    late = _ramp(share, _SURELY_TIMELY, _SURELY_LATE)
    abandoned = _ramp(share, _SURELY_AWAITED, _SURELY_ABANDONED)
    return need.tokens * (_LATE_SHARE * late + (1 - _LATE_SHARE) * abandoned)


def _ramp(value: float, start: float, end: float) -> float:
    return min(1.0, max(0.0, (value - start) / (end - start)))


def _first_event_ms(engine: EngineModel, members: list[Candidate], part: float) -> float:
    return part + max(_base_ms(engine, each.load) + each.load.reading_ms for each in members)


def _tighter_writers(load: EndpointLoad, need: Need) -> int:
    assert need.pause_ms is not None
    return sum(n for pause, n in load.writers_by_pause.items() if pause < need.pause_ms)


def _together(
    need: Need, group: _Group, stored_by_id: dict[str, int], engine: EngineModel
) -> Placement:
    part = prefill_ms(engine, need.prompt_tokens) / group.count
    own = need.tokens - sum(stored_by_id.values())
    shares = [Share(group.head.entry.id, part, own, need.pause_ms)]
    helpers = []
    for each in group.helpers:
        stored = stored_by_id.get(each.entry.id, 0)
        shares.append(Share(each.entry.id, part, stored, helper=True))
        helpers.append(Helper(each.entry, stored))
    first = _first_event_ms(engine, [group.head, *group.helpers], part)
    reason = f"{group.count} parts of {part:.0f} ms, {len(stored_by_id)} stored apart"
    best = prefill_ms(engine, need.prompt_tokens) / (_MOST_HELPERS + 1) * _HOPED_FACTOR
    best += pass_ms(engine, 1, need.prompt_tokens)
    return Placement(
        group.head.entry,
        tuple(helpers),
        tuple(shares),
        first,
        reason,
        group.harm,
        group.late,
        best,
    )


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
            each.load.memory,
            each.load.reading_ms,
            order_by_id[each.entry.id],
        ),
    )
    fewest = math.ceil(need.tokens / (engine.memory * _STORED_SHARE))
    most = min(len(by_calm), _MOST_HELPERS + 1)
    # Small parts first; larger ones where there are too few engines with memory for these.
    for count in [*range(fewest, most + 1), *range(min(fewest - 1, most), 1, -1)]:
        part = math.ceil(need.tokens / count)
        roomy = [each for each in by_calm if free_by_id[each.entry.id] >= part]
        if len(roomy) < count:
            continue
        stored = {each.entry.id: part for each in roomy[1:count]}
        return _together(need, _read_by_more(need, roomy[:count], by_calm, engine), stored, engine)
    return None


def _read_by_more(
    need: Need, holders: list[Candidate], by_calm: list[Candidate], engine: EngineModel
) -> _Group:
    """Return the holders of a prompt with as many more readers as do least harm."""
    assert need.pause_ms is not None
    held = {each.entry.id for each in holders}
    readers = [each for each in by_calm if each.entry.id not in held]
    cost = prefill_ms(engine, need.prompt_tokens)
    best: _Group | None = None
    for count in range(len(holders), min(len(by_calm), _MOST_HELPERS + 1) + 1):
        members = [*holders, *readers[: count - len(holders)]]
        part = cost / count
        harm = sum(
            each.load.memory for each in members if _room_ms(each, engine, need.pause_ms) < part
        )
        harm += count * _blocked_tokens(part)
        late = _lateness(need, _first_event_ms(engine, members, part))
        if best is None or harm + late <= best.loss:
            best = _Group(members[0], members[1:], harm, late)
    assert best is not None
    return best
