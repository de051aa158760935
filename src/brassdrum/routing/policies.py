"""Choose the endpoint for a request; policies are registered by name."""

from __future__ import annotations

import random
from collections.abc import Mapping, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from brassdrum.admission.work import LengthBand, Work
from brassdrum.contracts.documents import Policy as PolicySettings
from brassdrum.registry import Registry
from brassdrum.routing.blocks import BLOCK_CHARACTERS
from brassdrum.routing.state import EndpointState

__all__ = ["POLICIES", "Policy", "RoutingContext"]

_CHARACTERS_PER_TOKEN = 4
_BLOCK_TOKENS = BLOCK_CHARACTERS // _CHARACTERS_PER_TOKEN
_SCAN_UP_TO = 16
_SAMPLES = 8
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
    long_share: float = 0.0
    prefill_rate: float = 20_000.0
    prefix_blocks: Mapping[str, float] = field(default_factory=dict)


class Policy(Protocol):
    """Choose one endpoint, or none while all that are fit are full."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint to send to; ``endpoints`` are those that serve the target."""


POLICIES: Registry[type[Policy]] = Registry("routing policy")


def _has_room(state: EndpointState, work: Work, now: float) -> bool:
    if not state.usable(now) or state.endpoint.name in work.avoid:
        return False
    if state.streams(now) >= max(1.0, state.endpoint.max_streams * state.weight(now)):
        return False
    return state.endpoint.kv_tokens == 0 or state.kv_free(now) >= work.kv_tokens


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
            if _has_room(state, work, context.now):
                return state
        return None


@POLICIES.register("least_outstanding")
class LeastOutstanding:
    """Take the endpoint with the fewest streams; a baseline."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with the fewest streams among those with room."""
        fit = [state for state in endpoints if _has_room(state, work, context.now)]
        return min(
            fit,
            key=lambda state: (state.streams(context.now), context.random.random()),
            default=None,
        )


@POLICIES.register("shortest_queue_by_tokens")
class ShortestQueueByTokens:
    """Take the endpoint with the fewest tokens waiting for prefill; a baseline."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with the shortest queue among those with room."""
        fit = [state for state in endpoints if _has_room(state, work, context.now)]
        return min(
            fit,
            key=lambda state: (state.queued_tokens(context.now), context.random.random()),
            default=None,
        )


@dataclass(frozen=True, slots=True)
class _Pools:
    short: Sequence[EndpointState]
    long: Sequence[EndpointState]


@POLICIES.register("length_aware")
class LengthAware:
    """Predict the first token's time; keep long prompts to a pool whose border follows load."""

    def choose(
        self, work: Work, endpoints: Sequence[EndpointState], context: RoutingContext
    ) -> EndpointState | None:
        """Return the endpoint with the least predicted cost, or None to wait."""
        pools = self._pools(endpoints, context)
        if work.band is LengthBand.LONG:
            return self._best(work, pools.long, context, self._long_fits)
        first = self._best(work, pools.short, context, self._short_fits)
        if first is not None:
            return first
        return self._best(work, pools.long, context, self._spill_fits)

    def _pools(self, endpoints: Sequence[EndpointState], context: RoutingContext) -> _Pools:
        count = len(endpoints)
        if count < 2:
            return _Pools(endpoints, endpoints)
        share = context.long_share * (0.75 + 0.5 * context.settings.short_weight)
        long = min(count - 1, max(1, round(share * count)))
        return _Pools(endpoints[: count - long], endpoints[count - long :])

    def _best(
        self, work: Work, pool: Sequence[EndpointState], context: RoutingContext, fits
    ) -> EndpointState | None:
        best = None
        best_seconds = 0.0
        for state in self._candidates(pool, context):
            if not _has_room(state, work, context.now) or not fits(state, work, context):
                continue
            seconds = self._seconds(state, work, context)
            if best is None or seconds < best_seconds:
                best, best_seconds = state, seconds
        return best

    def _candidates(
        self, pool: Sequence[EndpointState], context: RoutingContext
    ) -> Sequence[EndpointState]:
        if len(pool) <= _SCAN_UP_TO:
            return pool
        # Few random candidates, so that daemons with the same late picture do not herd.
        chosen = context.random.sample(range(len(pool)), _SAMPLES)
        candidates = [pool[index] for index in chosen]
        if context.prefix_blocks:
            names = set(context.prefix_blocks)
            candidates += [state for state in pool if state.endpoint.name in names]
        return candidates

    def _seconds(self, state: EndpointState, work: Work, context: RoutingContext) -> float:
        now = context.now
        cached = context.prefix_blocks.get(state.endpoint.name, 0.0) * _BLOCK_TOKENS
        prefill = max(1.0, work.prompt_tokens - cached)
        slowdown = 1.0 + work.prompt_tokens / (2 * _SLOWDOWN_TOKENS)
        seconds = prefill * slowdown / context.prefill_rate
        seconds += self._queued(state, work, now) / context.prefill_rate / state.weight(now)
        seconds += state.streams(now) * _DECODE_SECONDS_PER_STREAM
        if state.endpoint.zone != context.zone:
            seconds += _ZONE_SECONDS
        return seconds * (1.0 + 0.01 * context.random.random())

    @staticmethod
    def _queued(state: EndpointState, work: Work, now: float) -> float:
        return float(state.queued_tokens(now))

    @staticmethod
    def _long_fits(state: EndpointState, work: Work, context: RoutingContext) -> bool:
        return state.long_prefills(context.now) < context.settings.long_prefills_per_engine

    @staticmethod
    def _short_fits(state: EndpointState, work: Work, context: RoutingContext) -> bool:
        backlog = state.queued_tokens(context.now)
        return backlog == 0 or backlog < _BACKLOG_SECONDS * context.prefill_rate

    @staticmethod
    def _spill_fits(state: EndpointState, work: Work, context: RoutingContext) -> bool:
        return state.long_prefills(context.now) == 0 and LengthAware._short_fits(
            state, work, context
        )
