"""Predict prefill and decode times from the cost model that a service declares."""

from __future__ import annotations

from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placing.load import EndpointLoad

__all__ = ["decode_pass_ms", "next_decode_pass_ms", "prefill_ms"]

_TOKEN_PAIRS_PER_UNIT = 1e6
_CONTEXT_TOKENS_PER_UNIT = 1000.0


def prefill_ms(engine: EngineModel, tokens: int) -> float:
    """Return the time that one engine takes to prefill a whole prompt."""
    pairs = tokens * tokens / 2 / _TOKEN_PAIRS_PER_UNIT
    return tokens / engine.prefill_tokens_per_ms + pairs * engine.ms_per_million_token_pairs


def decode_pass_ms(engine: EngineModel, streams: int, context_tokens: int) -> float:
    """Return the duration of a decode-only pass; ``context_tokens`` is the sum over its streams."""
    context_ms = engine.context_ms_per_1000_tokens * context_tokens / _CONTEXT_TOKENS_PER_UNIT
    return engine.steps_per_pass * (engine.step_ms + engine.per_stream_ms * streams + context_ms)


def next_decode_pass_ms(engine: EngineModel, load: EndpointLoad) -> float:
    """Return the duration of a decode-only pass after one more stream is added."""
    return decode_pass_ms(engine, load.streams + 1, load.memory)
