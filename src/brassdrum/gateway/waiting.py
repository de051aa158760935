"""Keep the requests that wait at this daemon, and look at them again in a set order."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from brassdrum.gateway.loop import EventLoop, Timer

__all__ = ["Waiter", "WaitingLine"]

# All waiting requests are looked at again after this at the latest: a pass takes about 45 ms.
_REVIEW_SECONDS = 0.02


class Waiter(Protocol):
    """Wait for an endpoint; times are monotonic seconds."""

    service: str
    timely_until: float
    waits_until: float

    @property
    def priority(self) -> int:
        """Return how urgent the request is; 0 is first."""

    def look_again(self) -> bool:
        """Send the request if an endpoint suits now; return False while every place is taken."""


class WaitingLine:
    """Order waiting requests: urgent ones, then those that can be in time, by their objective.

    A place that this daemon's own work frees goes to this daemon's own line at once, before other
    daemons hear of it: they see no free place, and do not all send to the same one.
    """

    def __init__(self, loop: EventLoop, jitter: Callable[[float], float]) -> None:
        self._loop = loop
        self._jitter = jitter
        self._waiters: set[Waiter] = set()
        self._tick: Timer | None = None
        self._review_planned = False

    def __len__(self) -> int:
        return len(self._waiters)

    def join(self, waiter: Waiter) -> None:
        """Look at a request again until it leaves."""
        self._waiters.add(waiter)
        if self._tick is None:
            self._plan_tick()

    def leave(self, waiter: Waiter) -> None:
        """Look at a request no more."""
        self._waiters.discard(waiter)

    def place_freed(self) -> None:
        """Look at the line as soon as the present event is handled."""
        if self._waiters and not self._review_planned:
            self._review_planned = True
            self._loop.call_later(0.0, self._review)

    def _plan_tick(self) -> None:
        self._tick = self._loop.call_later(self._jitter(_REVIEW_SECONDS), self._ticked)

    def _ticked(self) -> None:
        self._tick = None
        self._review()
        if self._waiters:
            self._plan_tick()

    def _review(self) -> None:
        self._review_planned = False
        now = self._loop.now()

        def rank(waiter: Waiter) -> tuple[int, bool, float]:
            return waiter.priority, now > waiter.timely_until, waiter.timely_until

        full: set[str] = set()
        for waiter in sorted(self._waiters, key=rank):
            if waiter not in self._waiters:
                continue
            # Those behind one that finds no place would find none either: a look costs 0.2 ms.
            if waiter.service in full and now < waiter.waits_until:
                continue
            if not waiter.look_again():
                full.add(waiter.service)
