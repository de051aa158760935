"""Decide what a daemon still takes and when it ends during a planned stop; pure decisions."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, EngineModel, Route

__all__ = ["PlannedStop", "longest_seconds"]

# The balancer asks each second and acts on the second miss; it may still send for this long.
_NOTICE_SECONDS = 3.2
# Until this part of the grace time every request is taken: its caller could not know of the stop.
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

    def takes(self, now: float, longest: float) -> bool:
        """Return whether a request that lasts for a number of seconds at most is taken now."""
        if now - self.began_at <= self.grace * _TAKEN_SHARE:
            return True
        return now + longest < self.ends_at


def longest_seconds(route: Route, request: DeclaredRequest, engine: EngineModel | None) -> float:
    """Return how long an answer may take, by what the request and its engine declare."""
    if engine is None or not route.streams:
        return min(route.timeout, _LOAD_FACTOR * route.objective)
    writing = request.answer_tokens * engine.step_ms / _MS
    return min(route.timeout, route.objective + _LOAD_FACTOR * writing)
