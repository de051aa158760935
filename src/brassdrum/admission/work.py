"""Describe one admitted request to the decisions that queue and route it."""

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
    """Sort requests by prompt length; bands never wait behind each other."""

    SHORT = "short"
    MEDIUM = "medium"
    LONG = "long"


def length_band(tokens: int) -> LengthBand:
    """Return the band of a prompt length in tokens."""
    if tokens < _MEDIUM_MIN_TOKENS:
        return LengthBand.SHORT
    if tokens <= _MEDIUM_MAX_TOKENS:
        return LengthBand.MEDIUM
    return LengthBand.LONG


def service_target(service: str) -> str:
    """Return the target name under which a plain service's work is queued."""
    return f"{_SERVICE_PREFIX}{service}"


def is_service_target(target: str) -> bool:
    """Return whether a target names a plain service."""
    return target.startswith(_SERVICE_PREFIX)


@dataclass(frozen=True, slots=True)
class Work:
    """Hold what the decisions need to know; times are monotonic seconds."""

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
        """Return the length band."""
        return length_band(self.prompt_tokens)

    @property
    def cost(self) -> int:
        """Return the work in prefill-token units; a decoded token weighs several prefilled."""
        return self.prompt_tokens + _DECODE_TOKEN_COST * self.answer_tokens

    @property
    def kv_tokens(self) -> int:
        """Return the most memory that the request takes at an engine."""
        return self.prompt_tokens + self.answer_tokens
