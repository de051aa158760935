"""Choose the engines that together hold a prompt longer than one engine's memory."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from brassdrum.admission.work import Work
from brassdrum.routing.state import EndpointState

__all__ = ["GroupPart", "GroupPlan", "can_ever_fit", "plan_group"]

_USABLE_PART = 0.9
_LEAST_ENGINES = 2


@dataclass(frozen=True, slots=True)
class GroupPart:
    """Hold one engine of a group and the memory asked of it, in tokens."""

    endpoint: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """Hold the parts of a group, in the one order in which every daemon asks."""

    parts: tuple[GroupPart, ...]

    @property
    def lead(self) -> str:
        """Return the engine that runs the request."""
        return self.parts[0].endpoint


def _usable(state: EndpointState) -> int:
    return math.floor(state.endpoint.kv_tokens * _USABLE_PART)


def can_ever_fit(tokens: int, states: Sequence[EndpointState]) -> bool:
    """Return whether all engines together could hold a prompt and its answer."""
    return sum(_usable(state) for state in states) >= tokens


def plan_group(work: Work, states: Sequence[EndpointState], now: float) -> GroupPlan | None:
    """Return the smallest group of usable engines, those with the most free memory, or None.

    Every part is the same size, so that no engine is asked for all it has while others idle. The
    parts come in order of name: daemons that all ask in this order cannot wait for each other.
    """
    usable = [state for state in states if state.usable(now) and state.endpoint.kv_tokens > 0]
    usable.sort(key=lambda state: (-state.kv_free(now), state.endpoint.name))
    for count in range(_LEAST_ENGINES, len(usable) + 1):
        chosen = usable[:count]
        part = math.ceil(work.kv_tokens / count)
        if all(_usable(state) >= part for state in chosen):
            names = sorted(state.endpoint.name for state in chosen)
            return GroupPlan(tuple(GroupPart(name, part) for name in names))
    return None
