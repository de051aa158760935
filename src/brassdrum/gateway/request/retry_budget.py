"""Keep repeated sends of all daemons within the operator's budget."""

from __future__ import annotations

from collections import deque

__all__ = ["SharedRetryBudget"]

# The part of the allowance that is used; the rest covers daemons that join or count late.
_SAFE_SHARE = 0.7


class SharedRetryBudget:
    """Count own requests and repeats of one service over a sliding window."""

    def __init__(self, ratio: float, slack: float, window: float) -> None:
        self._ratio = ratio
        self._slack = slack
        self._window = window
        self._requests: deque[float] = deque()
        self._repeats: deque[float] = deque()

    def request(self, now: float) -> None:
        """Count a first send."""
        self._requests.append(now)

    def left(self, now: float, daemons: int) -> float:
        """Return how many repeats this daemon may still send in the window."""
        for times in (self._requests, self._repeats):
            while times and times[0] <= now - self._window:
                times.popleft()
        allowed = self._ratio * len(self._requests) + self._slack / max(1, daemons)
        return allowed * _SAFE_SHARE - len(self._repeats)

    def spend(self, now: float, daemons: int) -> bool:
        """Count a repeat, or return False when none is left."""
        if self.left(now, daemons) < 1.0:
            return False
        self._repeats.append(now)
        return True
