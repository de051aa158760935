"""Stop sending to an endpoint that fails; an endpoint that is merely full does not count."""

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
    """Count failures in a row; open for a growing time, then let single probes through."""

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
        """Note that a request is sent; while it probes, others wait for its result."""
        if self.state == _CHART.initial:
            return
        self.state = _CHART.next(self.state, "probe")
        self._probe_until = now + _FIRST_OPEN_SECONDS

    def record_success(self) -> None:
        """Note an answer of any kind."""
        self.state = _CHART.next(self.state, "recover")
        self.failures = 0
        self._open_count = 0
        self._probe_until = 0.0

    def record_failure(self, now: float) -> None:
        """Note a refused connection, a broken answer or silence."""
        self.failures += 1
        if self.failures < _FAILURES_TO_OPEN:
            return
        self.state = _CHART.next(self.state, "trip")
        seconds = min(_MAX_OPEN_SECONDS, _FIRST_OPEN_SECONDS * 2**self._open_count)
        self._open_count = min(self._open_count + 1, 10)
        self.open_until = now + seconds
        self._probe_until = 0.0
