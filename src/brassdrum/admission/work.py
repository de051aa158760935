"""The properties of an admitted request that queueing and routing use."""

from __future__ import annotations

from dataclasses import dataclass
from enum import StrEnum

from brassdrum.contracts.documents import Urgency

__all__ = ["LengthBand", "Work", "is_service_target", "length_band", "service_target"]

_MEDIUM_MIN_TOKENS = 4_000
_MEDIUM_MAX_TOKENS = 100_000
_DECODE_TOKEN_COST = 4
_SERVICE_PREFIX = "service:"


class LengthBand(StrEnum):
    """Size class of a prompt; requests of different bands do not block each other."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"


def length_band(tokens: int) -> LengthBand:
    """Return the band of a prompt with the given number of tokens."""
    if tokens < _MEDIUM_MIN_TOKENS:
        return LengthBand.SHORT
    if tokens <= _MEDIUM_MAX_TOKENS:
        return LengthBand.MEDIUM
    return LengthBand.LONG


def service_target(service: str) -> str:
    """Return the queueing target of a plain service."""
    return f"{_SERVICE_PREFIX}{service}"


def is_service_target(target: str) -> bool:
    """Return whether a target is a plain service."""
    return target.startswith(_SERVICE_PREFIX)


@dataclass(frozen=True, slots=True)
class Work:
    """An admitted request; times are in seconds of the monotonic clock."""

    id: str
    organisation: str
    target: str
    prompt_tokens: int
    answer_tokens: int
    urgency: Urgency
    share: float
    arrived: float
    start_by: float
    deadline: float
    blocks: tuple[int, ...] = ()
    excluded_endpoints: frozenset[str] = frozenset()

    @property
    def band(self) -> LengthBand:
        """Length band of the prompt."""
        return length_band(self.prompt_tokens)

    @property
    def cost(self) -> int:
        """Cost in prefill tokens; a decoded token costs several of them."""
        return self.prompt_tokens + _DECODE_TOKEN_COST * self.answer_tokens

    @property
    def kv_tokens(self) -> int:
        """Maximum KV cache usage at an engine, in tokens."""
        return self.prompt_tokens + self.answer_tokens
