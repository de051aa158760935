"""Estimates of prompt tokens and prefill time, corrected by what engines report."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassdrum.contracts.documents import Model

__all__ = ["ModelEstimate"]

_LEARNING_RATE = 0.05
_BYTES_PER_TOKEN_BOUNDS = (1.0, 12.0)
_RELATIVE_RATE_BOUNDS = (0.1, 10.0)  # relative to the configured rate
# Prompt length at which the marginal prefill cost of a token has doubled.
_COST_DOUBLING_TOKENS = 200_000


@dataclass(slots=True)
class ModelEstimate:
    """Estimates for one model, initialised from its document."""

    bytes_per_token: float
    prefill_rate: float
    _initial_rate: float

    @classmethod
    def from_model(cls, model: Model) -> ModelEstimate:
        """Return the initial estimate of a model."""
        return cls(
            model.bytes_per_token, model.prefill_tokens_per_second, model.prefill_tokens_per_second
        )

    def estimate_tokens(self, characters: int) -> int:
        """Return the estimated number of tokens in a prompt, at least 1."""
        return max(1, math.ceil(characters / self.bytes_per_token))

    def prefill_seconds(self, tokens: float) -> float:
        """Return the time of a prefill on an idle engine; superlinear in the prompt length."""
        return tokens * (1.0 + tokens / (2 * _COST_DOUBLING_TOKENS)) / self.prefill_rate

    def learn_bytes_per_token(self, characters: int, tokens: int) -> None:
        """Update the ratio from the ``usage`` field of an engine's answer."""
        if tokens <= 0 or characters <= 0:
            return
        low, high = _BYTES_PER_TOKEN_BOUNDS
        observed = min(high, max(low, characters / tokens))
        self.bytes_per_token += _LEARNING_RATE * (observed - self.bytes_per_token)

    def learn_prefill(self, tokens: float, seconds: float) -> None:
        """Update the prefill rate.

        Pass only prefills that started on an idle engine: other times include queueing.
        """
        if tokens < 1000 or seconds <= 0:
            return
        low, high = _RELATIVE_RATE_BOUNDS
        rate = tokens * (1.0 + tokens / (2 * _COST_DOUBLING_TOKENS)) / seconds
        rate = min(high * self._initial_rate, max(low * self._initial_rate, rate))
        self.prefill_rate += _LEARNING_RATE * (rate - self.prefill_rate)
