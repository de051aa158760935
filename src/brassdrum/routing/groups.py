"""Selection of a group of engines for a prompt that exceeds the memory of one."""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass

from brassdrum.admission.work import Work
from brassdrum.routing.state import EndpointState

__all__ = ["GroupPart", "GroupPlan", "can_ever_fit", "plan_group"]

_USABLE_MEMORY_FRACTION = 0.9
_MIN_ENGINES = 2


@dataclass(frozen=True, slots=True)
class GroupPart:
    """One engine of a group and the memory to reserve on it, in tokens."""

    endpoint: str
    tokens: int


@dataclass(frozen=True, slots=True)
class GroupPlan:
    """The parts of a group, in the order in which their memory is reserved."""

    parts: tuple[GroupPart, ...]

    @property
    def lead(self) -> str:
        """The endpoint that runs the request."""
        return self.parts[0].endpoint


def _usable_kv_tokens(state: EndpointState) -> int:
    return math.floor(state.endpoint.kv_tokens * _USABLE_MEMORY_FRACTION)


def can_ever_fit(tokens: int, states: Sequence[EndpointState]) -> bool:
    """Return whether the engines, if all were empty, could hold a prompt and its answer."""
    return sum(_usable_kv_tokens(state) for state in states) >= tokens


def plan_group(work: Work, states: Sequence[EndpointState], now: float) -> GroupPlan | None:
    """Return the smallest group that fits, of the engines with most free memory, or None.

    All parts have the same size, which spreads the load evenly. The parts are sorted by endpoint
    name: a common reservation order prevents deadlock between daemons.
    """
    usable = [state for state in states if state.usable(now) and state.endpoint.kv_tokens > 0]
    usable.sort(key=lambda state: (-state.kv_free(now), state.endpoint.name))
    for count in range(_MIN_ENGINES, len(usable) + 1):
        chosen = usable[:count]
        part = math.ceil(work.kv_tokens / count)
        if all(_usable_kv_tokens(state) >= part for state in chosen):
            names = sorted(state.endpoint.name for state in chosen)
            return GroupPlan(tuple(GroupPart(name, part) for name in names))
    return None
