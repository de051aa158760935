"""Queue of requests that wait at this daemon for a better placement."""

from __future__ import annotations

from collections import Counter, deque
from collections.abc import Callable
from typing import Protocol

from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.placing.choosing import REVIEW_INTERVAL_SECONDS
from brassdrum.gateway.request.patience import WaitDeadlines
from brassdrum.gateway.sharing.demand import DemandKey
from brassdrum.gateway.sharing.fair_order import FairOrder

__all__ = ["WaitingRequest", "WaitQueue"]

# The queue admits as many late requests as were served within this window, plus some probes that
# detect that capacity is available again. Callers of short prompts wait no longer than the window.
_LATE_WINDOW_SECONDS = 1.5
_LATE_PROBES = 2
# An overload counts as over once the queue has been empty for this long.
_OVERLOAD_RESET_SECONDS = 0.5
_MIN_RETRY_AFTER_SECONDS = 0.5
_MAX_RETRY_AFTER_SECONDS = 8.0
# Names of organisations in one metric; further ones are summed up.
_MAX_NAMED_ORGANISATIONS = 32
_NO_NAME, _OTHER_NAMES = "none", "other"


class WaitingRequest(Protocol):
    """A request in the queue."""

    service: str
    organisation_name: str | None
    wait_deadlines: WaitDeadlines

    @property
    def priority(self) -> int:
        """Return the priority; 0 is the highest."""

    @property
    def demand_key(self) -> DemandKey:
        """Return the key under which the request is counted across daemons."""

    @property
    def waits_for_slot(self) -> bool:
        """Return whether the request waits because all slots are in use."""

    def retry_placement(self) -> bool:
        """Send the request if a placement suits now; return False while all slots are in use."""


class WaitQueue:
    """Order requests by priority, then timely before late, yielding ones last, then by prefill.

    Time in the queue is subtracted from the prefill, so that long prompts are not starved.

    A slot that this daemon frees is offered to its own queue before other daemons learn of it,
    which keeps them from all sending to the same slot.
    """

    def __init__(self, loop: EventLoop, jitter: Callable[[float], float], order: FairOrder) -> None:
        self._loop = loop
        self._order = order
        self._jitter = jitter
        # A dict keeps the order of arrival, which makes simulations reproducible.
        self._requests: dict[WaitingRequest, None] = {}
        self._review_timer: Timer | None = None
        self._review_scheduled = False
        self._late_served: deque[float] = deque()
        self._overloaded_since = 0.0
        self._overloaded_until = 0.0

    def add(self, request: WaitingRequest) -> None:
        """Add a request; it is reviewed until it is removed."""
        now = self._loop.now()
        if now - self._overloaded_until > _OVERLOAD_RESET_SECONDS:
            self._overloaded_since = now
        self._overloaded_until = now
        self._requests[request] = None
        self._count(request)
        if self._review_timer is None:
            self._start_review_timer()

    def remove(self, request: WaitingRequest, *, served: bool) -> None:
        """Remove a request."""
        self._requests.pop(request, None)
        self._order.ledger.stops_waiting(request)
        now = self._loop.now()
        if served and now > request.wait_deadlines.timely_until:
            self._late_served.append(now)

    def admits_late(self, request: WaitingRequest) -> bool:
        """Return whether a late request may wait.

        Late requests only get slots that timely ones leave free. If there were few of these
        recently, refusing the request lets its caller retry sooner. Those that yield do not count
        against one that does not.
        """
        now = self._loop.now()
        while self._late_served and self._late_served[0] < now - _LATE_WINDOW_SECONDS:
            self._late_served.popleft()
        yields = self._order.turn(request.demand_key).yields
        ahead = sum(
            1
            for each in self._requests
            if each is not request
            and each.wait_deadlines.timely_until < now
            and (yields or not self._order.turn(each.demand_key).yields)
        )
        return ahead < len(self._late_served) + _LATE_PROBES

    def retry_after_seconds(self) -> float:
        """Return the Retry-After in seconds, as long as the overload has lasted so far."""
        lasted = self._loop.now() - self._overloaded_since if self._requests else 0.0
        bounded = min(_MAX_RETRY_AFTER_SECONDS, max(_MIN_RETRY_AFTER_SECONDS, lasted))
        return self._jitter(bounded)

    def turn_fields(self, request: WaitingRequest) -> dict[str, object]:
        """Return what a log line says of the turn of a request."""
        return self._order.log_fields(request.demand_key)

    def waiting_by_organisation(self) -> dict[str, int]:
        """Return the requests that wait, by organisation; few are named, the rest are summed up."""
        counts = Counter(request.organisation_name or _NO_NAME for request in self._requests)
        named = dict(counts.most_common(_MAX_NAMED_ORGANISATIONS))
        rest = counts.total() - sum(named.values())
        return {**named, _OTHER_NAMES: rest} if rest else named

    @property
    def yielding(self) -> int:
        """Return the number of requests that leave freed slots to other daemons."""
        return self._order.yielding

    def __len__(self) -> int:
        return len(self._requests)

    def schedule_review(self) -> None:
        """Review the queue once the current event has been handled."""
        if self._requests and not self._review_scheduled:
            self._review_scheduled = True
            self._loop.call_later(0.0, self._review)

    def _start_review_timer(self) -> None:
        self._review_timer = self._loop.call_later(
            self._jitter(REVIEW_INTERVAL_SECONDS), self._review_timer_expired
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

        def sort_key(request: WaitingRequest) -> tuple[int, bool, bool, float]:
            waited_seconds = now - request.wait_deadlines.arrived
            return (
                request.priority,
                now > request.wait_deadlines.timely_until,
                self._order.turn(request.demand_key).yields,
                request.wait_deadlines.prefill_seconds - waited_seconds,
            )

        full: set[str] = set()
        for request in sorted(self._requests, key=sort_key):
            if request not in self._requests:
                continue
            # The service is full, so another placement would fail; it costs 0.2 ms.
            if request.service in full and now < request.wait_deadlines.decide_by:
                continue
            if not request.retry_placement():
                full.add(request.service)
            self._count(request)

    def _count(self, request: WaitingRequest) -> None:
        """Count a request as demand while it waits for a slot, not for a less loaded endpoint."""
        if request in self._requests and request.waits_for_slot:
            self._order.ledger.waits(request, request.demand_key)
        else:
            self._order.ledger.stops_waiting(request)
