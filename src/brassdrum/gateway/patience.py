"""Say for how long a caller awaits the next event of a stream; a pure decision."""

from __future__ import annotations

from brassdrum.gateway.model import DeclaredRequest, Route

__all__ = ["caller_patience", "silence_patience"]

# Callers give a stream up when it is silent for the longest of these: the platform's own rule.
_LEAST_SECONDS = 2.0
_OBJECTIVES = 4.0
_PAUSES = 8.0


def silence_patience(route: Route) -> float:
    """Return the seconds of silence after which a caller gives a stream up."""
    return max(_LEAST_SECONDS, _OBJECTIVES * route.objective, _PAUSES * route.longest_pause)


def caller_patience(route: Route, request: DeclaredRequest) -> float:
    """Return the seconds after which a caller without any event of its answer gives up."""
    allowed = min(request.patience, route.timeout)
    return min(allowed, silence_patience(route)) if route.streams else allowed
