"""Estimate tokens from text and seconds from tokens, learned from what engines did."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassdrum.contracts.documents import Model

__all__ = ["ModelEstimate"]

_LEARNING_RATE = 0.05
_RATIO_BOUNDS = (1.0, 12.0)
_RATE_BOUNDS = (0.1, 10.0)
_SLOWDOWN_TOKENS = 200_000


@dataclass(slots=True)
class ModelEstimate:
    """Hold one model's learned figures; the model's document gives where they start."""

    bytes_per_token: float
    prefill_rate: float
    _initial_rate: float

    @classmethod
    def from_model(cls, model: Model) -> ModelEstimate:
        """Return the estimate before anything was learned."""
        return cls(
            model.bytes_per_token, model.prefill_tokens_per_second, model.prefill_tokens_per_second
        )

    def estimate_tokens(self, characters: int) -> int:
        """Return the estimated tokens of a prompt, at least 1."""
        return max(1, math.ceil(characters / self.bytes_per_token))

    def prefill_seconds(self, tokens: float) -> float:
        """Return the time of a prefill alone on an engine; it grows faster than the length."""
        return tokens * (1.0 + tokens / (2 * _SLOWDOWN_TOKENS)) / self.prefill_rate

    def learn_bytes_per_token(self, characters: int, tokens: int) -> None:
        """Learn from an engine's ``usage``."""
        if tokens <= 0 or characters <= 0:
            return
        low, high = _RATIO_BOUNDS
        seen = min(high, max(low, characters / tokens))
        self.bytes_per_token += _LEARNING_RATE * (seen - self.bytes_per_token)

    def learn_prefill(self, tokens: float, seconds: float) -> None:
        """Learn from a prefill that found an idle engine; others tell of queues, not of speed."""
        if tokens < 1000 or seconds <= 0:
            return
        low, high = _RATE_BOUNDS
        rate = tokens * (1.0 + tokens / (2 * _SLOWDOWN_TOKENS)) / seconds
        rate = min(high * self._initial_rate, max(low * self._initial_rate, rate))
        self.prefill_rate += _LEARNING_RATE * (rate - self.prefill_rate)
