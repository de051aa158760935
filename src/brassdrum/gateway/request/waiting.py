"""Keep the requests that wait at this daemon, and look at them again in a set order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.request.patience import WaitTimes

__all__ = ["Waiter", "WaitingLine"]

# All waiting requests are looked at again after this at the latest: a pass takes about 45 ms.
_REVIEW_SECONDS = 0.02
# As many late requests may wait as were served in this time, which is what callers of short
# prompts wait at most, and these more, to learn whether places have become free again.
_LATE_SPAN_SECONDS = 1.5
_LATE_PROBES = 2
# A line that was empty for this long is no longer the same overload.
_CALM_SECONDS = 0.5
# The shortest and longest times after which a refused caller is asked to come back.
_LEAST_RETRY_SECONDS = 0.5
_MOST_RETRY_SECONDS = 8.0


class Waiter(Protocol):
    """Wait for an endpoint."""

    service: str
    times: WaitTimes

    @property
    def priority(self) -> int:
        """Return how urgent the request is; 0 is first."""

    def look_again(self) -> bool:
        """Send the request if an endpoint suits now; return False while every place is taken."""


class WaitingLine:
    """Order waiting requests: urgent ones, then those that can be in time, the shortest work first.

    A request grows older as fast as work grows longer: after a second's wait it goes before one
    that has just come and asks for a second less.

    A place that this daemon's own work frees goes to this daemon's own line at once, before other
    daemons hear of it: they see no free place, and do not all send to the same one.
    """

    def __init__(self, loop: EventLoop, jitter: Callable[[float], float]) -> None:
        self._loop = loop
        self._jitter = jitter
        # In order of arrival, so that a seeded play repeats.
        self._waiters: dict[Waiter, None] = {}
        self._tick: Timer | None = None
        self._review_planned = False
        self._late_served: deque[float] = deque()
        self._busy_since = 0.0
        self._busy_until = 0.0

    def join(self, waiter: Waiter) -> None:
        """Look at a request again until it leaves."""
        now = self._loop.now()
        if now - self._busy_until > _CALM_SECONDS:
            self._busy_since = now
        self._busy_until = now
        self._waiters[waiter] = None
        if self._tick is None:
            self._plan_tick()

    def leave(self, waiter: Waiter, *, served: bool) -> None:
        """Look at a request no more."""
        self._waiters.pop(waiter, None)
        now = self._loop.now()
        if served and now > waiter.times.timely_until:
            self._late_served.append(now)

    def keeps_late(self, waiter: Waiter) -> bool:
        """Return whether a request that will be late has a chance that is worth its wait.

        Late requests get the places that timely ones leave. When there were none of late, the
        caller is better told at once to come back.
        """
        now = self._loop.now()
        while self._late_served and self._late_served[0] < now - _LATE_SPAN_SECONDS:
            self._late_served.popleft()
        ahead = sum(
            1 for each in self._waiters if each is not waiter and each.times.timely_until < now
        )
        return ahead < len(self._late_served) + _LATE_PROBES

    def retry_seconds(self) -> float:
        """Return when a refused caller shall come back: an overload lasts as long again."""
        lasted = self._loop.now() - self._busy_since if self._waiters else 0.0
        bounded = min(_MOST_RETRY_SECONDS, max(_LEAST_RETRY_SECONDS, lasted))
        return self._jitter(bounded)

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
        if self._waiters:
            self._busy_until = now

        def rank(waiter: Waiter) -> tuple[int, bool, float]:
            waited = now - waiter.times.arrived
            return waiter.priority, now > waiter.times.timely_until, waiter.times.work - waited

        full: set[str] = set()
        for waiter in sorted(self._waiters, key=rank):
            if waiter not in self._waiters:
                continue
            # Those behind one that finds no place would find none either: a look costs 0.2 ms.
            if waiter.service in full and now < waiter.times.due:
                continue
            if not waiter.look_again():
                full.add(waiter.service)
