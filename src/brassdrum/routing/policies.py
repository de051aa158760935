"""Choose the endpoint for a request; policies are registered by name."""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from brassdrum.admission.work import LengthBand, Work
from brassdrum.contracts.documents import Policy as PolicySettings
from brassdrum.registry import Registry
from brassdrum.routing.blocks import BLOCK_CHARACTERS
from brassdrum.routing.state import EndpointLoad, EndpointState

__all__ = ["POLICIES", "Policy", "RoutingContext"]

_CHARACTERS_PER_TOKEN = 4
_BLOCK_TOKENS = BLOCK_CHARACTERS // _CHARACTERS_PER_TOKEN
_SCAN_UP_TO = 16
_SAMPLES = 6
_LONG_HEADROOM = 0.5
_ZONE_SECONDS = 0.003
_BACKLOG_SECONDS = 1.0
_DECODE_SECONDS_PER_STREAM = 0.002
_SLOWDOWN_TOKENS = 200_000


@dataclass(slots=True)
class RoutingContext:
    """Hold what a choice may use besides the endpoints."""

    now: float
    zone: str
    random: random.Random
    settings: PolicySettings
    long_load: float = 0.0
    prefill_rate: float = 20_000.0
    prefix_blocks: Mapping[str, float] = field(default_factory=dict)


class Policy(Protocol):
    """Choose one endpoint, or none while all that are fit are full."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint to send to; ``endpoints`` are those that serve the target."""


POLICIES: Registry[type[Policy]] = Registry("routing policy")


def _room(state: EndpointState, work: Work, now: float) -> EndpointLoad | None:
    """Return the load of an endpoint that has room for work, else None."""
    if not state.usable(now) or state.endpoint.name in work.excluded_endpoints:
        return None
    load = state.load(now)
    if load.streams >= max(1.0, state.endpoint.max_streams * state.weight(now)):
        return None
    if state.endpoint.kv_tokens and load.kv_free < work.kv_tokens:
        return None
    return load


@POLICIES.register("round_robin")
class RoundRobin:
    """Take the endpoints in turn; a baseline."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the next endpoint that has room."""
        for _ in range(len(endpoints)):
            self._turn += 1
            state = endpoints[self._turn % len(endpoints)]
            if _room(state, work, context.now) is not None:
                return state
        return None


def _least(
    work: Work,
    endpoints: Sequence[EndpointState],
    context: RoutingContext,
    measure: Callable[[EndpointLoad], int],
) -> EndpointState | None:
    best = None
    best_rank = (0.0, 0.0)
    for state in endpoints:
        load = _room(state, work, context.now)
        if load is None:
            continue
        rank = (float(measure(load)), context.random.random())
        if best is None or rank < best_rank:
            best, best_rank = state, rank
    return best


@POLICIES.register("least_outstanding")
class LeastOutstanding:
    """Take the endpoint with the fewest streams; a baseline."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with the fewest streams among those with room."""
        return _least(work, endpoints, context, lambda load: load.streams)


@POLICIES.register("shortest_queue_by_tokens")
class ShortestQueueByTokens:
    """Take the endpoint with the fewest tokens waiting for prefill; a baseline."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with the shortest queue among those with room."""
        return _least(work, endpoints, context, lambda load: load.queued_tokens)


@dataclass(frozen=True, slots=True)
class _Pool:
    """Hold a range of the endpoints, without copying them."""

    endpoints: Sequence[EndpointState]
    start: int
    stop: int

    def candidates(self, context: RoutingContext) -> Iterator[EndpointState]:
        """Yield all of a small pool, a few random ones of a large one.

        Few random candidates keep daemons with the same late picture from herding.
        """
        if self.stop - self.start <= _SCAN_UP_TO:
            for index in range(self.start, self.stop):
                yield self.endpoints[index]
            return
        for index in context.random.sample(range(self.start, self.stop), _SAMPLES):
            yield self.endpoints[index]
        for name in context.prefix_blocks:
            index = bisect.bisect_left(
                self.endpoints, name, self.start, self.stop, key=lambda s: s.endpoint.name
            )
            if index < self.stop and self.endpoints[index].endpoint.name == name:
                yield self.endpoints[index]


Fits = Callable[[EndpointLoad, RoutingContext], bool]


def _long_fits(load: EndpointLoad, context: RoutingContext) -> bool:
    return load.long_prefills < context.settings.long_prefills_per_engine


def _short_fits(load: EndpointLoad, context: RoutingContext) -> bool:
    return load.queued_tokens < max(1.0, _BACKLOG_SECONDS * context.prefill_rate)


def _spill_fits(load: EndpointLoad, context: RoutingContext) -> bool:
    return load.long_prefills == 0 and _short_fits(load, context)


@POLICIES.register("length_aware")
class LengthAware:
    """Predict the first token's time; keep long prompts to a pool whose border follows load."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with the least predicted cost, or None to wait."""
        border = self._border(len(endpoints), context)
        long = _Pool(endpoints, border, len(endpoints))
        if work.band is LengthBand.LONG:
            return self._best(work, long, context, _long_fits)
        short = _Pool(endpoints, 0, border or len(endpoints))
        first = self._best(work, short, context, _short_fits)
        if first is not None:
            return first
        return self._best(work, long, context, _spill_fits)

    @staticmethod
    def _border(count: int, context: RoutingContext) -> int:
        """Return the index where the pool for long prompts begins.

        The pool holds as many engines as long prompts keep busy, with headroom that is smaller the
        more short requests weigh: what does not fit waits, and leaves the other engines to them.
        """
        if count < 2:
            return 0
        headroom = 1.0 + _LONG_HEADROOM * (1.0 - context.settings.short_weight)
        long = math.ceil(context.long_load * headroom)
        return count - min(count - 1, max(1, long))

    def _best(
        self, work: Work, pool: _Pool, context: RoutingContext, fits: Fits
    ) -> EndpointState | None:
        best = None
        best_seconds = 0.0
        for state in pool.candidates(context):
            load = _room(state, work, context.now)
            if load is None or not fits(load, context):
                continue
            seconds = self._seconds(state, load, work, context)
            if best is None or seconds < best_seconds:
                best, best_seconds = state, seconds
        return best

    @staticmethod
    def _seconds(
        state: EndpointState, load: EndpointLoad, work: Work, context: RoutingContext
    ) -> float:
        cached = context.prefix_blocks.get(state.endpoint.name, 0.0) * _BLOCK_TOKENS
        prefill = max(1.0, work.prompt_tokens - cached)
        slowdown = 1.0 + work.prompt_tokens / (2 * _SLOWDOWN_TOKENS)
        seconds = prefill * slowdown / context.prefill_rate
        seconds += load.queued_tokens / context.prefill_rate / state.weight(context.now)
        seconds += load.streams * _DECODE_SECONDS_PER_STREAM
        if state.endpoint.zone != context.zone:
            seconds += _ZONE_SECONDS
        return seconds * (1.0 + 0.01 * context.random.random())
