"""How a request ended, and how long it took against what its route asks for."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.gateway.model import Route

__all__ = ["Outcome", "Report", "Timing"]

_MS = 1000.0


class Outcome(Enum):
    """Say how a request ended, for logs and metrics."""

    SERVED = auto()
    REFUSED = auto()
    FAILED = auto()
    BROKEN_OFF = auto()
    CALLER_LEFT = auto()


@dataclass(frozen=True, slots=True)
class Report:
    """Hold how long a request took, in ms, and whether that is over its route's objective.

    ``prediction_ratio`` is the first event's time over what was predicted at its last send.
    """

    ms: int
    first_ms: int | None
    pause_ms: int
    late: bool
    prediction_ratio: float | None = None


@dataclass(slots=True)
class Timing:
    """Note when the events of one answer reach its caller; times in seconds."""

    arrived: float
    first_event_at: float | None = None
    longest_pause: float = 0.0
    prediction_ratio: float | None = None
    _last_event_at: float = 0.0
    _sent_at: float = 0.0
    _predicted: float = 0.0

    def expect(self, now: float, predicted_ms: float) -> None:
        """Note when the request is sent and what is predicted of its first event."""
        self._sent_at = now
        self._predicted = predicted_ms / _MS

    def event(self, now: float) -> None:
        """Note an event."""
        if self.first_event_at is None:
            self.first_event_at = now
            if self._predicted:
                self.prediction_ratio = (now - self._sent_at) / self._predicted
        else:
            self.longest_pause = max(self.longest_pause, now - self._last_event_at)
        self._last_event_at = now

    def report(self, route: Route, now: float) -> Report:
        """Return how long the request took."""
        first = self.first_event_at
        first_ms = None if first is None else round((first - self.arrived) * 1000)
        took = round((now - self.arrived) * 1000)
        pause_ms = round(self.longest_pause * 1000)
        late = (took if first_ms is None else first_ms) > route.objective * 1000
        if route.longest_pause:
            late = late or pause_ms > route.longest_pause * 1000
        return Report(took, first_ms, pause_ms, late, self.prediction_ratio)
