"""Clocks passed in as an interface, so that tests decide what time it is."""

from __future__ import annotations

import threading
import time
from datetime import UTC, datetime, timedelta
from typing import Protocol

__all__ = ["Clock", "SystemClock", "ManualClock"]

# The clock since boot counts the time in which a host is suspended; the steady one does not. By the
# steady one a host that was suspended for 5 s tells others a list of endpoints 5 s too young, and
# acts under a lease that lapsed. Systems without it count suspensions in their steady clock.
_STEADY_CLOCK = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)


class Clock(Protocol):
    """Tell the time and wait."""

    def monotonic(self) -> float:
        """Return seconds that never go back and go on while the host is suspended."""

    def now(self) -> datetime:
        """Return the time of day in UTC."""

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""


class SystemClock:
    """Read the clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds that never go back."""
        return time.clock_gettime(_STEADY_CLOCK)

    def now(self) -> datetime:
        """Return the time of day in UTC."""
        return datetime.now(UTC)

    def sleep(self, seconds: float) -> None:
        """Wait for a number of seconds."""
        time.sleep(max(0.0, seconds))


class ManualClock:
    """Stand still until a test advances it."""

    def __init__(self, start: datetime | None = None) -> None:
        self._start = start or datetime(2026, 1, 1, tzinfo=UTC)
        self._elapsed = 0.0
        self._lock = threading.Lock()

    def monotonic(self) -> float:
        """Return the seconds advanced so far."""
        with self._lock:
            return self._elapsed

    def now(self) -> datetime:
        """Return the start advanced by the seconds so far."""
        return self._start + timedelta(seconds=self.monotonic())

    def sleep(self, seconds: float) -> None:
        """Advance instead of waiting."""
        self.advance(seconds)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        with self._lock:
            self._elapsed += max(0.0, seconds)
