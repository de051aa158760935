"""Decide which requests are accepted during a planned stop, and when it ends; no side effects."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, EngineModel, Route

__all__ = ["DurationEstimate", "PlannedStop", "estimate_duration"]

# The balancer probes readiness every second and reacts to the second failure, so new connections
# may arrive for this long.
_BALANCER_NOTICE_SECONDS = 3.2
# Share of the grace time in which callers are not yet aware of the stop. Requests are accepted then
# even if only an unloaded engine could finish them in time.
_UNNOTICED_GRACE_RATIO = 0.35
# Remaining requests are aborted this long before the end of the grace time.
_ABORT_MARGIN_SECONDS = 0.6
# Maximum response time under load, relative to that on an unloaded engine.
_LOAD_FACTOR = 2.0
_MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """A planned stop; ``grace`` is its maximum duration in seconds."""

    began_at: float
    grace: float

    @property
    def ends_at(self) -> float:
        """Return the time when remaining requests are aborted."""
        return self.began_at + self.grace - _ABORT_MARGIN_SECONDS

    def balancer_noticed(self, now: float) -> bool:
        """Return whether the balancer has stopped sending new connections."""
        return now - self.began_at >= _BALANCER_NOTICE_SECONDS

    def accepts(self, now: float, duration: DurationEstimate) -> bool:
        """Return whether a request that arrives now is accepted."""
        unnoticed = now - self.began_at <= self.grace * _UNNOTICED_GRACE_RATIO
        return now + (duration.unloaded if unnoticed else duration.maximum) < self.ends_at

    def may_wait(self, now: float, duration: DurationEstimate) -> bool:
        """Return whether an accepted request may wait for less loaded engines."""
        return now + duration.maximum < self.ends_at


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """Estimated duration of a response in seconds, on unloaded engines and at most."""

    unloaded: float
    maximum: float


def estimate_duration(
    route: Route, request: DeclaredRequest, engine: EngineModel | None
) -> DurationEstimate:
    """Estimate the duration of a response from the request, its route and the cost model."""
    if engine is None or not route.streams:
        maximum = min(route.timeout, _LOAD_FACTOR * route.objective)
        return DurationEstimate(min(maximum, route.objective), maximum)
    decode_seconds = request.answer_tokens * engine.step_ms / _MS_PER_SECOND
    return DurationEstimate(
        min(route.timeout, route.objective + decode_seconds),
        min(route.timeout, route.objective + _LOAD_FACTOR * decode_seconds),
    )
