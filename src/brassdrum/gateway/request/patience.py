"""Timeouts of callers, and the deadlines of queued requests that follow from them."""

from __future__ import annotations

import math
from dataclasses import dataclass

from brassdrum.gateway.model import DeclaredRequest, Headers, Route
from brassdrum.gateway.placing.placement import SLOT_WAIT_PATIENCE_SHARE, Placement

__all__ = [
    "WaitDeadlines",
    "caller_stall_timeout",
    "caller_timeout",
    "max_retry_after",
    "retry_after_header",
]

# The platform's rule: callers abandon a stream that stalls for the longest of these times.
_MIN_STALL_TIMEOUT_SECONDS = 2.0
_STALL_OBJECTIVES = 4.0
_STALL_PAUSES = 8.0
# Nine in ten first events arrive within about twice the predicted time, half of them within 1.4
# times.
_PREDICTION_FACTOR = 2.0
# Callers honour a Retry-After of up to a third of their remaining time.
_RETRY_AFTER_SHARE = 0.3


def caller_stall_timeout(route: Route) -> float:
    """Return the seconds without an event after which a caller abandons a stream."""
    return max(
        _MIN_STALL_TIMEOUT_SECONDS,
        _STALL_OBJECTIVES * route.objective,
        _STALL_PAUSES * route.pause_objective,
    )


def caller_timeout(route: Route, request: DeclaredRequest) -> float:
    """Return the seconds after which a caller abandons a request without a first event."""
    allowed = min(request.timeout, route.timeout)
    return min(allowed, caller_stall_timeout(route)) if route.streams else allowed


def max_retry_after(left: float) -> float:
    """Return the longest Retry-After, in seconds, that a caller honours."""
    return _RETRY_AFTER_SHARE * max(0.0, left)


def retry_after_header(seconds_wanted: float, left: float) -> Headers:
    """Return a Retry-After header; ``left`` is the remaining time of the caller, in seconds."""
    seconds = min(seconds_wanted, max_retry_after(left))
    return [(b"Retry-After", b"%.2f" % max(0.01, math.floor(seconds * 100) / 100))]


@dataclass(slots=True)
class WaitDeadlines:
    """When a queued request becomes late, and when it has to be sent or refused; in seconds.

    Before the first placement both deadlines equal the objective.
    """

    arrived: float
    objective: float
    caller_timeout: float
    prefill_seconds: float = 0.0
    timely_until: float = 0.0
    decide_by: float = 0.0

    def __post_init__(self) -> None:
        self.timely_until = self.decide_by = self.arrived + self.objective

    def update(self, placement: Placement, now: float) -> None:
        """Recompute the deadlines from the best placement now."""
        first_event_margin = placement.first_event_ms / 1000 * _PREDICTION_FACTOR
        self.prefill_seconds = placement.total_prefill_ms / 1000
        self.timely_until = self.decide_by = self.arrived + self.objective - first_event_margin
        if now > self.timely_until:
            self.decide_by = (
                self.arrived + self.caller_timeout * SLOT_WAIT_PATIENCE_SHARE - first_event_margin
            )
