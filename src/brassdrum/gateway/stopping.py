"""Decide what a daemon still takes and when it ends during a planned stop; pure decisions."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, EngineModel, Route

__all__ = ["DurationEstimate", "PlannedStop", "estimate_duration"]

# The balancer asks each second and acts on the second miss; it may still send for this long.
_BALANCER_NOTICE_SECONDS = 3.2
# Until this part of the grace time callers could not know of the stop: a request is taken then
# also if it ends in time only on engines without other work.
_UNNOTICED_GRACE_RATIO = 0.35
# What still runs this long before the end of the grace time is broken off by this daemon itself.
_ABORT_MARGIN_SECONDS = 0.6
# Answers take up to this much longer than their tokens would on an idle engine.
_LOAD_FACTOR = 2.0
_MS_PER_SECOND = 1000.0


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Hold when a planned stop began and how many seconds it may take."""

    began_at: float
    grace: float

    @property
    def ends_at(self) -> float:
        """Return when the last requests are broken off."""
        return self.began_at + self.grace - _ABORT_MARGIN_SECONDS

    def balancer_noticed(self, now: float) -> bool:
        """Return whether the balancer sends no new connections any more."""
        return now - self.began_at >= _BALANCER_NOTICE_SECONDS

    def accepts(self, now: float, duration: DurationEstimate) -> bool:
        """Return whether a request is taken now."""
        unnoticed = now - self.began_at <= self.grace * _UNNOTICED_GRACE_RATIO
        return now + (duration.unloaded if unnoticed else duration.maximum) < self.ends_at

    def may_wait(self, now: float, duration: DurationEstimate) -> bool:
        """Return whether a request that was taken may wait for calmer engines."""
        return now + duration.maximum < self.ends_at


@dataclass(frozen=True, slots=True)
class DurationEstimate:
    """Hold how long an answer takes in seconds: on idle engines, and at most."""

    unloaded: float
    maximum: float


def estimate_duration(
    route: Route, request: DeclaredRequest, engine: EngineModel | None
) -> DurationEstimate:
    """Return how long an answer takes, by what the request and its engine declare."""
    if engine is None or not route.streams:
        maximum = min(route.timeout, _LOAD_FACTOR * route.objective)
        return DurationEstimate(min(maximum, route.objective), maximum)
    decode_seconds = request.answer_tokens * engine.step_ms / _MS_PER_SECOND
    return DurationEstimate(
        min(route.timeout, route.objective + decode_seconds),
        min(route.timeout, route.objective + _LOAD_FACTOR * decode_seconds),
    )
