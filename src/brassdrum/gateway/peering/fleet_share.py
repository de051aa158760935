"""Compare the daemons that are heard with those of the last minutes; does no I/O."""

from __future__ import annotations

from collections import deque

__all__ = ["FleetShare"]

# A fleet that is split for longer counts as two, and one that was made smaller as whole again.
_MEMORY_SECONDS = 300.0
# Parts that hear each other again still grant for themselves until all have noticed.
_SETTLE_SECONDS = 1.5


class FleetShare:
    """Track the share of the fleet that a daemon is in touch with.

    Daemons that are silent may be cut off and still reach the endpoints.
    """

    def __init__(self) -> None:
        # Decreasing counts, each the most since the one before was last seen.
        self._maxima: deque[tuple[float, int]] = deque()
        self._recent: deque[tuple[float, int]] = deque()
        self._live = 1
        self._known = 1

    def update(self, live: int, known: int, now: float) -> None:
        """Record the live daemons, and those that are known but may never have been heard."""
        self._live, self._known = live, known
        self._recent.append((now, live))
        while self._recent[0][0] < now - _SETTLE_SECONDS:
            self._recent.popleft()
        while self._maxima and self._maxima[-1][1] <= live:
            self._maxima.pop()
        self._maxima.append((now, live))
        while self._maxima[0][0] < now - _MEMORY_SECONDS:
            self._maxima.popleft()

    @property
    def value(self) -> float:
        """Return the share that is heard now, from above 0 to 1."""
        return self._live / self._most

    @property
    def settled(self) -> float:
        """Return the smallest share of the last moments."""
        return min((live for _, live in self._recent), default=1) / self._most

    @property
    def _most(self) -> int:
        most = self._maxima[0][1] if self._maxima else 1
        return max(most, self._known, self._live)
