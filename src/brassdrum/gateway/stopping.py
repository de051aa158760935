"""Decide what a daemon still takes and when it ends during a planned stop; pure decisions."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, EngineModel, Route

__all__ = ["Duration", "PlannedStop", "declared_duration"]

# The balancer asks each second and acts on the second miss; it may still send for this long.
_NOTICE_SECONDS = 3.2
# Until this part of the grace time callers could not know of the stop: a request is taken then
# also if it ends in time only on engines without other work.
_TAKEN_SHARE = 0.35
# What still runs this long before the end of the grace time is broken off by this daemon itself.
_LAST_SECONDS = 0.6
# Answers take up to this much longer than their tokens would on an idle engine.
_LOAD_FACTOR = 2.0
_MS = 1000.0


@dataclass(frozen=True, slots=True)
class PlannedStop:
    """Hold when a planned stop began and how many seconds it may take."""

    began_at: float
    grace: float

    @property
    def ends_at(self) -> float:
        """Return when the last requests are broken off."""
        return self.began_at + self.grace - _LAST_SECONDS

    def noticed(self, now: float) -> bool:
        """Return whether the balancer sends no new connections any more."""
        return now - self.began_at >= _NOTICE_SECONDS

    def takes(self, now: float, duration: Duration) -> bool:
        """Return whether a request is taken now."""
        unknown = now - self.began_at <= self.grace * _TAKEN_SHARE
        return now + (duration.idle if unknown else duration.longest) < self.ends_at

    def may_wait(self, now: float, duration: Duration) -> bool:
        """Return whether a request that was taken may wait for calmer engines."""
        return now + duration.longest < self.ends_at


@dataclass(frozen=True, slots=True)
class Duration:
    """Hold how long an answer takes in seconds: on idle engines, and at most."""

    idle: float
    longest: float


def declared_duration(
    route: Route, request: DeclaredRequest, engine: EngineModel | None
) -> Duration:
    """Return how long an answer takes, by what the request and its engine declare."""
    if engine is None or not route.streams:
        longest = min(route.timeout, _LOAD_FACTOR * route.objective)
        return Duration(min(longest, route.objective), longest)
    writing = request.answer_tokens * engine.step_ms / _MS
    return Duration(
        min(route.timeout, route.objective + writing),
        min(route.timeout, route.objective + _LOAD_FACTOR * writing),
    )
