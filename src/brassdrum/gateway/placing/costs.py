"""Predict what a prompt costs an engine from the cost model that its service declares."""

from __future__ import annotations

from brassdrum.gateway.model import EngineModel
from brassdrum.gateway.placing.load import EndpointLoad

__all__ = ["decode_pass_ms", "next_decode_pass_ms", "prefill_ms"]

_PAIRS_PER_UNIT = 1e6
_TOKENS_PER_UNIT = 1000.0


def prefill_ms(engine: EngineModel, tokens: int) -> float:
    """Return the time that one engine takes to read a whole prompt."""
    pairs = tokens * tokens / 2 / _PAIRS_PER_UNIT
    return tokens / engine.read_per_ms + pairs * engine.pairs_ms_per_million


def decode_pass_ms(engine: EngineModel, writers: int, context: int) -> float:
    """Return the length of a pass that only writes; ``context`` sums the writers' tokens."""
    context_ms = engine.context_ms_per_1000 * context / _TOKENS_PER_UNIT
    return engine.stride * (engine.step_ms + engine.per_writer_ms * writers + context_ms)


def next_decode_pass_ms(engine: EngineModel, load: EndpointLoad) -> float:
    """Return the length of a pass that only writes once one more stream is there."""
    return decode_pass_ms(engine, load.streams + 1, load.memory)
