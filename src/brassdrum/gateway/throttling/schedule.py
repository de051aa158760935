"""Schedule the requests of all daemons to one endpoint at a limited rate; does no I/O."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["SendSchedule", "SendSlot"]

# Requests that may follow each other without delay after a pause.
_BURST_REQUESTS = 2.0
# An endpoint that takes fewer is still asked now and then whether its limit holds.
_MIN_REQUESTS_PER_SECOND = 0.05


@dataclass(frozen=True, slots=True)
class SendSlot:
    """The answer to a reservation.

    ``wait`` is in seconds: until the request may be sent, or else until a slot is free.
    """

    granted: bool
    wait: float


class SendSchedule:
    """Assign send times by the generic cell rate algorithm.

    At most the limit and ``_BURST_REQUESTS`` fall into any second.
    """

    def __init__(self, rate: float, now: float) -> None:
        self._rate = max(_MIN_REQUESTS_PER_SECOND, rate)
        # The burst is earned: requests that were sent before the limit was known are not counted.
        self._booked_until = now + (_BURST_REQUESTS - 1) / self._rate

    def reserve(self, rate: float, max_wait: float, now: float) -> SendSlot:
        """Reserve the next send time within ``max_wait`` seconds at a rate per second."""
        self._set_rate(max(_MIN_REQUESTS_PER_SECOND, rate), now)
        interval = 1 / self._rate
        earliest = self._booked_until - (_BURST_REQUESTS - 1) * interval
        wait = max(0.0, earliest - now)
        if wait > max_wait:
            return SendSlot(False, wait)
        self._booked_until = max(self._booked_until, now) + interval
        return SendSlot(True, wait)

    def is_idle(self, now: float) -> bool:
        """Return whether nothing is booked, so that a new schedule grants no more."""
        return now >= self._booked_until

    def _set_rate(self, rate: float, now: float) -> None:
        """Change the rate; what is booked takes as many requests as before."""
        booked = max(0.0, self._booked_until - now)
        self._booked_until = now + booked * self._rate / rate
        self._rate = rate
