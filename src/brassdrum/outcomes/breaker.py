"""Circuit breaker for endpoints that fail; refusals for lack of capacity do not count."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.charts import load_chart

__all__ = ["CircuitBreaker"]

_FAILURES_TO_OPEN = 5
_FIRST_OPEN_SECONDS = 1.0
_MAX_OPEN_SECONDS = 30.0
_CHART = load_chart("breaker")


@dataclass(slots=True)
class CircuitBreaker:
    """Open after consecutive failures, with exponential backoff and single half-open probes."""

    state: str = _CHART.initial
    failures: int = 0
    open_until: float = 0.0
    _open_count: int = 0
    _probe_until: float = 0.0

    def allows(self, now: float) -> bool:
        """Return whether a request may be sent."""
        if self.state == _CHART.initial:
            return True
        return now >= self.open_until and now >= self._probe_until

    def record_sent(self, now: float) -> None:
        """Record that a request is sent; a probe blocks other requests until its result."""
        if self.state == _CHART.initial:
            return
        self.state = _CHART.next(self.state, "probe")
        self._probe_until = now + _FIRST_OPEN_SECONDS

    def record_success(self) -> None:
        """Record a response with any status, and close the breaker."""
        self.state = _CHART.next(self.state, "recover")
        self.failures = 0
        self._open_count = 0
        self._probe_until = 0.0

    def record_failure(self, now: float) -> None:
        """Record a refused connection, a truncated response or a timeout."""
        self.failures += 1
        if self.failures < _FAILURES_TO_OPEN:
            return
        self.state = _CHART.next(self.state, "trip")
        seconds = min(_MAX_OPEN_SECONDS, _FIRST_OPEN_SECONDS * 2**self._open_count)
        self._open_count = min(self._open_count + 1, 10)
        self.open_until = now + seconds
        self._probe_until = 0.0
