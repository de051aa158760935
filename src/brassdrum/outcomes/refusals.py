"""Endpoints that refuse requests without saying for how long, such as full ones."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["RefusalBackoff"]

_FIRST_SECONDS = 1.0
# A refused request costs a retry and ten requests earn one: one request in 3 s pays for it.
_MAX_SECONDS = 30.0


@dataclass(slots=True)
class RefusalBackoff:
    """Say until when others are preferred to an endpoint; twice as long after each refusal.

    An endpoint that refuses has no requests in flight, so that it looks like the best choice.
    """

    until: float = 0.0
    _next_seconds: float = _FIRST_SECONDS

    def is_active(self, now: float) -> bool:
        """Return whether others are preferred."""
        return now < self.until

    def record_refusal(self, now: float) -> bool:
        """Record a refusal; return False for one of a request sent before the last was known."""
        if self.is_active(now):
            return False
        self.until = now + self._next_seconds
        self._next_seconds = min(_MAX_SECONDS, 2.0 * self._next_seconds)
        return True

    def record_success(self) -> None:
        """Record that the endpoint has served a request."""
        self.until = 0.0
        self._next_seconds = _FIRST_SECONDS
