"""What a request asks for, the endpoints that may take it, and whether to wait for others."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.costs import next_pass_ms, prefill_ms
from brassdrum.gateway.load import EndpointLoad, Share
from brassdrum.gateway.model import EndpointEntry, EngineModel

__all__ = [
    "Candidate",
    "Helper",
    "Need",
    "Placement",
    "allowed_pause_ms",
    "better_later",
    "fits",
    "placed_alone",
    "usable_memory",
    "worth_serving",
]

# A prompt is refused when it puts this many times its own tokens at risk: one of 920,000 tokens
# that stopped 11 engines for 6.4 s came to 1.8 times, one of 640,000 that was worth it to 1.1.
_REFUSED_RATIO = 1.75
# A request waits while its first event could come within this part of its objective if half of the
# engines were free, and once it is late, within this many objectives: callers wait for four.
_WAIT_SHARE = 0.8
_LATE_WAIT_SHARE = 2.0
# The part of an allowed pause that predicted work may fill; the rest covers what is unseen.
_PAUSE_SHARE = 0.8
# The part of an engine's memory that predicted use may fill; answers outgrow their estimates.
_MEMORY_SHARE = 0.92


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


def usable_memory(engine: EngineModel) -> int:
    """Return the tokens that predicted use may fill at one engine."""
    return int(engine.memory * _MEMORY_SHARE)


def fits(need: Need, candidate: Candidate, engine: EngineModel) -> bool:
    """Return whether an engine has memory for the whole request."""
    return candidate.load.memory + need.tokens <= usable_memory(engine)


def allowed_pause_ms(load: EndpointLoad, own_pause_ms: int) -> float:
    """Return how long a pass may last at an engine, with the streams there and a further one."""
    tightest = load.tightest_pause()
    pause = own_pause_ms if tightest is None else min(tightest, own_pause_ms)
    return pause * _PAUSE_SHARE


def placed_alone(
    need: Need,
    chosen: Candidate,
    engine: EngineModel | None,
    reason: str,
    harm: float = 0.0,
) -> Placement:
    """Return the placement of a request at one endpoint without helpers."""
    cost = 0.0 if engine is None else prefill_ms(engine, need.prompt_tokens)
    wait = chosen.load.reading_ms + (
        next_pass_ms(engine, chosen.load) if engine is not None else 0.0
    )
    share = Share(chosen.entry.id, cost, need.tokens, need.pause_ms)
    return Placement(chosen.entry, (), (share,), wait + cost, reason, harm, 0.0, wait + cost)
