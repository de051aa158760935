"""Delay split prompts at a daemon that has just started and does not know the fleet's load yet."""

from __future__ import annotations

import random
from collections.abc import Callable

from brassdrum.gateway.net.loop import Timers
from brassdrum.gateway.placing.placement import Placement, PlacementRequest

__all__ = ["UnknownLoad"]

# Daemons that start together know each other's load after 0.5 s as a rule.
_MAX_UNKNOWN_SECONDS = 0.8
# Daemons that learn of the load together send their delayed prompts at times spread over this, some
# reports long, so that each sees most of those sent before.
_RELEASE_SPREAD_SECONDS = 0.4
_CHECK_SECONDS = 0.02


class UnknownLoad:
    """Tell which requests wait until the load is known; times in seconds.

    When all daemons have restarted, their callers come back at once. To each daemon all engines
    look idle then, so that every long prompt would be split over as many as it may, and stall the
    short prompts of other daemons there.
    """

    def __init__(self, loop: Timers, is_known: Callable[[], bool], rng: random.Random) -> None:
        self._loop = loop
        self._is_known = is_known
        self._release_delay = rng.uniform(0.0, _RELEASE_SPREAD_SECONDS)
        self._ends_at = loop.now() + _MAX_UNKNOWN_SECONDS + self._release_delay
        self._check()

    def delays(self, request: PlacementRequest, placement: Placement) -> bool:
        """Return whether a request waits; one that would be late then does not."""
        left_ms = (self._ends_at - self._loop.now()) * 1000
        if left_ms <= 0 or not placement.helpers:
            return False
        return request.waited_ms + left_ms + placement.first_event_ms <= request.objective_ms

    def _check(self) -> None:
        """Look whether the load is known, until it is or the time is over."""
        now = self._loop.now()
        if self._is_known():
            self._ends_at = min(self._ends_at, now + self._release_delay)
        elif now < self._ends_at:
            self._loop.call_later(_CHECK_SECONDS, self._check)
