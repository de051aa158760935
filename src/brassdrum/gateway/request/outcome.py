"""Outcomes of requests, and their latencies compared with the objectives of their routes."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.gateway.model import Route

__all__ = ["LatencyReport", "Outcome", "ResponseTiming"]

_MS = 1000.0


class Outcome(Enum):
    """The outcome of a request, as logs and metrics name it."""

    SERVED = auto()
    REFUSED = auto()
    FAILED = auto()
    BROKEN_OFF = auto()
    CALLER_LEFT = auto()


@dataclass(frozen=True, slots=True)
class LatencyReport:
    """Latencies of a request, and whether they exceed the limits of its route.

    ``prediction_ratio`` is the time from the last send to the first event over its prediction.
    """

    total_ms: int
    first_event_ms: int | None
    longest_pause_ms: int
    late: bool
    prediction_ratio: float | None = None


@dataclass(slots=True)
class ResponseTiming:
    """Record when events are forwarded to the caller; times are in seconds."""

    arrived: float
    first_event_at: float | None = None
    longest_pause: float = 0.0
    prediction_ratio: float | None = None
    _last_event_at: float = 0.0
    _sent_at: float = 0.0
    _predicted_seconds: float = 0.0

    def record_send(self, now: float, predicted_ms: float) -> None:
        """Record a send and the predicted time to the first event."""
        self._sent_at = now
        self._predicted_seconds = predicted_ms / _MS

    def record_event(self, now: float) -> None:
        """Record an event."""
        if self.first_event_at is None:
            self.first_event_at = now
            if self._predicted_seconds:
                self.prediction_ratio = (now - self._sent_at) / self._predicted_seconds
        else:
            self.longest_pause = max(self.longest_pause, now - self._last_event_at)
        self._last_event_at = now

    def report(self, route: Route, now: float) -> LatencyReport:
        """Return the latencies up to ``now``."""
        first_event_at = self.first_event_at
        first_event_ms = (
            None if first_event_at is None else round((first_event_at - self.arrived) * 1000)
        )
        total_ms = round((now - self.arrived) * 1000)
        longest_pause_ms = round(self.longest_pause * 1000)
        late = (total_ms if first_event_ms is None else first_event_ms) > route.objective * 1000
        if route.pause_objective:
            late = late or longest_pause_ms > route.pause_objective * 1000
        return LatencyReport(
            total_ms, first_event_ms, longest_pause_ms, late, self.prediction_ratio
        )
