"""Keep the requests that wait at this daemon, and look at them again in a set order."""

from __future__ import annotations

from collections import deque
from collections.abc import Callable
from typing import Protocol

from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.request.caller_timeouts import WaitDeadlines

__all__ = ["WaitingRequest", "WaitQueue"]

# All waiting requests are looked at again after this at the latest: a pass takes about 45 ms.
_REVIEW_INTERVAL_SECONDS = 0.02
# As many late requests may wait as were served in this time, which is what callers of short
# prompts wait at most, and these more, to learn whether places have become free again.
_LATE_WINDOW_SECONDS = 1.5
_LATE_PROBES = 2
# A line that was empty for this long is no longer the same overload.
_OVERLOAD_RESET_SECONDS = 0.5
# The shortest and longest times after which a refused caller is asked to come back.
_MIN_RETRY_AFTER_SECONDS = 0.5
_MAX_RETRY_AFTER_SECONDS = 8.0


class WaitingRequest(Protocol):
    """Wait for an endpoint."""

    service: str
    wait_deadlines: WaitDeadlines

    @property
    def priority(self) -> int:
        """Return how urgent the request is; 0 is first."""

    def retry_placement(self) -> bool:
        """Send the request if an endpoint suits now; return False while every place is taken."""


class WaitQueue:
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
        self._requests: dict[WaitingRequest, None] = {}
        self._review_timer: Timer | None = None
        self._review_scheduled = False
        self._late_served: deque[float] = deque()
        self._overloaded_since = 0.0
        self._overloaded_until = 0.0

    def add(self, request: WaitingRequest) -> None:
        """Look at a request again until it leaves."""
        now = self._loop.now()
        if now - self._overloaded_until > _OVERLOAD_RESET_SECONDS:
            self._overloaded_since = now
        self._overloaded_until = now
        self._requests[request] = None
        if self._review_timer is None:
            self._start_review_timer()

    def remove(self, request: WaitingRequest, *, served: bool) -> None:
        """Look at a request no more."""
        self._requests.pop(request, None)
        now = self._loop.now()
        if served and now > request.wait_deadlines.timely_until:
            self._late_served.append(now)

    def admits_late(self, request: WaitingRequest) -> bool:
        """Return whether a request that will be late has a chance that is worth its wait.

        Late requests get the places that timely ones leave. When there were none of late, the
        caller is better told at once to come back.
        """
        now = self._loop.now()
        while self._late_served and self._late_served[0] < now - _LATE_WINDOW_SECONDS:
            self._late_served.popleft()
        ahead = sum(
            1
            for each in self._requests
            if each is not request and each.wait_deadlines.timely_until < now
        )
        return ahead < len(self._late_served) + _LATE_PROBES

    def retry_after_seconds(self) -> float:
        """Return when a refused caller shall come back: an overload lasts as long again."""
        lasted = self._loop.now() - self._overloaded_since if self._requests else 0.0
        bounded = min(_MAX_RETRY_AFTER_SECONDS, max(_MIN_RETRY_AFTER_SECONDS, lasted))
        return self._jitter(bounded)

    def schedule_review(self) -> None:
        """Look at the line as soon as the present event is handled."""
        if self._requests and not self._review_scheduled:
            self._review_scheduled = True
            self._loop.call_later(0.0, self._review)

    def _start_review_timer(self) -> None:
        self._review_timer = self._loop.call_later(
            self._jitter(_REVIEW_INTERVAL_SECONDS), self._review_timer_expired
        )

    def _review_timer_expired(self) -> None:
        self._review_timer = None
        self._review()
        if self._requests:
            self._start_review_timer()

    def _review(self) -> None:
        self._review_scheduled = False
        now = self._loop.now()
        if self._requests:
            self._overloaded_until = now

        def sort_key(request: WaitingRequest) -> tuple[int, bool, float]:
            waited_seconds = now - request.wait_deadlines.arrived
            return (
                request.priority,
                now > request.wait_deadlines.timely_until,
                request.wait_deadlines.prefill_seconds - waited_seconds,
            )

        full: set[str] = set()
        for request in sorted(self._requests, key=sort_key):
            if request not in self._requests:
                continue
            # Those behind one that finds no place would find none either: a look costs 0.2 ms.
            if request.service in full and now < request.wait_deadlines.decide_by:
                continue
            if not request.retry_placement():
                full.add(request.service)
