"""Run timers in simulated time."""

from __future__ import annotations

import heapq
import itertools
from collections.abc import Callable

from brassdrum.gateway.net.loop import Timer

__all__ = ["SimulatedLoop"]


class SimulatedLoop:
    """Stand in for the event loop where nothing waits for sockets."""

    def __init__(self, start: float = 100.0) -> None:
        self._now = start
        self._numbers = itertools.count()
        self._timers: list[tuple[float, int, Timer]] = []

    def now(self) -> float:
        """Return simulated seconds."""
        return self._now

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call a function at a time."""
        timer = Timer(when, callback)
        heapq.heappush(self._timers, (when, next(self._numbers), timer))
        return timer

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Call a function after a number of seconds."""
        return self.call_at(self._now + seconds, callback)

    def advance(self, seconds: float) -> None:
        """Let time go by."""
        end = self._now + seconds
        while self._timers and self._timers[0][0] <= end:
            self._now, _, timer = heapq.heappop(self._timers)
            if timer.callback is not None:
                timer.callback()
        self._now = end
