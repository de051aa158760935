"""Say for how long callers wait, and when a waiting request must be decided; pure decisions."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, Headers, Route
from brassdrum.gateway.placing.placement import SLOT_WAIT_PATIENCE_SHARE, Placement

__all__ = [
    "WaitTimes",
    "caller_patience",
    "longest_retry",
    "retry_after",
    "silence_patience",
]

# Callers give a stream up when it is silent for the longest of these: the platform's own rule.
_LEAST_SECONDS = 2.0
_OBJECTIVES = 4.0
_PAUSES = 8.0
# A waiting request counts as timely while this many times its prediction is left: at nine in ten
# the first event comes within 1.9 to 2.2 times, at half of them within 1.4.
_PREDICTION_MARGIN = 2.0
# A refusal names at most this part of the time left, or the caller would not wait for it.
_RETRY_AFTER_SHARE = 0.3


def silence_patience(route: Route) -> float:
    """Return the seconds of silence after which a caller gives a stream up."""
    return max(_LEAST_SECONDS, _OBJECTIVES * route.objective, _PAUSES * route.longest_pause)


def caller_patience(route: Route, request: DeclaredRequest) -> float:
    """Return the seconds after which a caller without any event of its answer gives up."""
    allowed = min(request.patience, route.timeout)
    return min(allowed, silence_patience(route)) if route.streams else allowed


def longest_retry(left: float) -> float:
    """Return after how many seconds a caller comes back at the latest."""
    return _RETRY_AFTER_SHARE * max(0.0, left)


def retry_after(wanted: float, left: float) -> Headers:
    """Return the header that tells a caller when to come back; ``left`` is its time, in seconds."""
    seconds = min(wanted, longest_retry(left))
    return [(b"Retry-After", b"%.2f" % max(0.01, math.floor(seconds * 100) / 100))]


@dataclass(slots=True)
class WaitTimes:
    """Hold when a waiting request becomes late and when it must be decided; seconds.

    ``work`` is the reading that it asks for. Until a first look at engines both moments are those
    of its objective.
    """

    arrived: float
    objective: float
    patience: float
    work: float = 0.0
    timely_until: float = 0.0
    due: float = 0.0

    def __post_init__(self) -> None:
        self.timely_until = self.due = self.arrived + self.objective

    def expect(self, placement: Placement, now: float) -> None:
        """Take what is predicted for the best endpoints now."""
        to_come = placement.first_event_ms / 1000 * _PREDICTION_MARGIN
        self.work = placement.total_prefill_ms / 1000
        self.timely_until = self.due = self.arrived + self.objective - to_come
        if now > self.timely_until:
            self.due = self.arrived + self.patience * SLOT_WAIT_PATIENCE_SHARE - to_come
