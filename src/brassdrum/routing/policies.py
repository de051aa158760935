"""Routing policies, registered by name, that choose the endpoint for a request."""

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
_FULL_SCAN_MAX_ENDPOINTS = 16
_SAMPLED_ENDPOINTS = 6
_MAX_LONG_HEADROOM = 0.5  # as a fraction of the long-prompt load
_CROSS_ZONE_SECONDS = 0.003
_MAX_BACKLOG_SECONDS = 1.0
_DECODE_SECONDS_PER_STREAM = 0.002
# Prompt length at which the marginal prefill cost of a token has doubled.
_COST_DOUBLING_TOKENS = 200_000


@dataclass(slots=True)
class RoutingContext:
    """Inputs of a routing decision other than the request and the endpoints."""

    now: float
    zone: str
    random: random.Random
    settings: PolicySettings
    long_load: float = 0.0
    prefill_rate: float = 20_000.0
    prefix_blocks: Mapping[str, float] = field(default_factory=dict)


class Policy(Protocol):
    """Interface of a routing policy."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return one of the endpoints that serve the target, or None if all are at capacity."""


POLICIES: Registry[type[Policy]] = Registry("routing policy")


def _load_if_available(state: EndpointState, work: Work, now: float) -> EndpointLoad | None:
    """Return the load of an endpoint with capacity for the request, else None."""
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
    """Baseline policy: cycle through the endpoints."""

    def __init__(self) -> None:
        self._turn = 0

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the next endpoint with capacity."""
        for _ in range(len(endpoints)):
            self._turn += 1
            state = endpoints[self._turn % len(endpoints)]
            if _load_if_available(state, work, context.now) is not None:
                return state
        return None


def _least_loaded(
    work: Work,
    endpoints: Sequence[EndpointState],
    context: RoutingContext,
    load_measure: Callable[[EndpointLoad], int],
) -> EndpointState | None:
    best = None
    best_rank = (0.0, 0.0)
    for state in endpoints:
        load = _load_if_available(state, work, context.now)
        if load is None:
            continue
        rank = (float(load_measure(load)), context.random.random())
        if best is None or rank < best_rank:
            best, best_rank = state, rank
    return best


@POLICIES.register("least_outstanding")
class LeastOutstanding:
    """Baseline policy: the endpoint with the fewest streams."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with capacity that has the fewest streams."""
        return _least_loaded(work, endpoints, context, lambda load: load.streams)


@POLICIES.register("shortest_queue_by_tokens")
class ShortestQueueByTokens:
    """Baseline policy: the endpoint with the fewest tokens waiting for prefill."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with capacity that has the shortest queue."""
        return _least_loaded(work, endpoints, context, lambda load: load.queued_tokens)


@dataclass(frozen=True, slots=True)
class _EndpointRange:
    """A contiguous range of the endpoints, without a copy."""

    endpoints: Sequence[EndpointState]
    start: int
    stop: int

    def candidates(self, context: RoutingContext) -> Iterator[EndpointState]:
        """Yield all endpoints of a small range, or a random sample of a large one.

        The sample is followed by endpoints that cache a prefix of the prompt. Sampling keeps
        daemons that share stale load data from all choosing the same endpoint.
        """
        if self.stop - self.start <= _FULL_SCAN_MAX_ENDPOINTS:
            for index in range(self.start, self.stop):
                yield self.endpoints[index]
            return
        for index in context.random.sample(range(self.start, self.stop), _SAMPLED_ENDPOINTS):
            yield self.endpoints[index]
        for name in context.prefix_blocks:
            index = bisect.bisect_left(
                self.endpoints, name, self.start, self.stop, key=lambda s: s.endpoint.name
            )
            if index < self.stop and self.endpoints[index].endpoint.name == name:
                yield self.endpoints[index]


Admits = Callable[[EndpointLoad, RoutingContext], bool]


def _admits_long(load: EndpointLoad, context: RoutingContext) -> bool:
    return load.long_prefills < context.settings.long_prefills_per_engine


def _admits_short(load: EndpointLoad, context: RoutingContext) -> bool:
    return load.queued_tokens < max(1.0, _MAX_BACKLOG_SECONDS * context.prefill_rate)


def _admits_short_spill(load: EndpointLoad, context: RoutingContext) -> bool:
    return load.long_prefills == 0 and _admits_short(load, context)


@POLICIES.register("length_aware")
class LengthAware:
    """Minimise the predicted time to first token; long prompts use a pool sized by their load."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with the lowest predicted time, or None if the request must wait."""
        long_start = self._long_pool_start(len(endpoints), context)
        long_pool = _EndpointRange(endpoints, long_start, len(endpoints))
        if work.band is LengthBand.LONG:
            return self._cheapest(work, long_pool, context, _admits_long)
        short_pool = _EndpointRange(endpoints, 0, long_start or len(endpoints))
        first = self._cheapest(work, short_pool, context, _admits_short)
        if first is not None:
            return first
        return self._cheapest(work, long_pool, context, _admits_short_spill)

    @staticmethod
    def _long_pool_start(count: int, context: RoutingContext) -> int:
        """Return the index of the first endpoint in the pool for long prompts.

        The pool covers the load of long prompts plus a headroom, which shrinks as the weight of
        short requests grows. Long prompts beyond it wait, so the rest stays free for short ones.
        """
        if count < 2:
            return 0
        headroom = 1.0 + _MAX_LONG_HEADROOM * (1.0 - context.settings.short_weight)
        long_engines = math.ceil(context.long_load * headroom)
        return count - min(count - 1, max(1, long_engines))

    def _cheapest(
        self, work: Work, pool: _EndpointRange, context: RoutingContext, admits: Admits
    ) -> EndpointState | None:
        best = None
        best_seconds = 0.0
        for state in pool.candidates(context):
            load = _load_if_available(state, work, context.now)
            if load is None or not admits(load, context):
                continue
            seconds = self._predicted_seconds(state, load, work, context)
            if best is None or seconds < best_seconds:
                best, best_seconds = state, seconds
        return best

    @staticmethod
    def _predicted_seconds(
        state: EndpointState, load: EndpointLoad, work: Work, context: RoutingContext
    ) -> float:
        cached = context.prefix_blocks.get(state.endpoint.name, 0.0) * _BLOCK_TOKENS
        prefill = max(1.0, work.prompt_tokens - cached)
        slowdown = 1.0 + work.prompt_tokens / (2 * _COST_DOUBLING_TOKENS)
        seconds = prefill * slowdown / context.prefill_rate
        seconds += load.queued_tokens / context.prefill_rate / state.weight(context.now)
        seconds += load.streams * _DECODE_SECONDS_PER_STREAM
        if state.endpoint.zone != context.zone:
            seconds += _CROSS_ZONE_SECONDS
        return seconds * (1.0 + 0.01 * context.random.random())
