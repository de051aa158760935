"""Estimate how long messages were on the way; performs no I/O.

An age in a message is true when the message is sent. A message that waits in the receive buffer of
a suspended process, or in a queue of the network, is older than it says when it is read.
"""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["TransitTimes"]

# The least offset between two clocks is that of this time and the time before it, so that a lasting
# change of the path or of a clock is followed.
_PERIOD_SECONDS = 10.0
# Variations of the usual delay, which ages leave out.
_USUAL_VARIATION_SECONDS = 0.05
# Two fleets of the size that is planned for.
_MAX_SENDERS = 640


@dataclass(slots=True)
class _Offsets:
    """The least differences between the own clock and that of one sender."""

    incarnation: int
    began_at: float
    least: float
    least_before: float


class TransitTimes:
    """The time that messages of each sender take beyond the usual.

    Clocks of two daemons have no common origin, so that only differences between the messages of a
    sender tell. The first message of a sender counts as one that took the usual time.
    """

    def __init__(self, cycle: float) -> None:
        self._cycle = cycle
        self._offsets_by_host: dict[str, _Offsets] = {}

    def excess(self, host: str, incarnation: int, sent_at: float, now: float) -> float:
        """Return how many seconds more than usual a message took that is read now.

        ``sent_at`` is the time of sending by the sender's clock, which begins anew after each
        ``cycle``. Usual variations return 0.
        """
        offset = now - sent_at
        known = self._offsets_by_host.pop(host, None)
        if known is None or known.incarnation != incarnation:
            known = _Offsets(incarnation, now, offset, offset)
        elif now - known.began_at >= _PERIOD_SECONDS:
            known = _Offsets(incarnation, now, math.inf, known.least)
        # The value of the cycle that is nearest to the offsets before.
        offset -= self._cycle * round((offset - known.least_before) / self._cycle)
        known.least = min(known.least, offset)
        # The sender that was heard last stands last.
        self._offsets_by_host[host] = known
        while len(self._offsets_by_host) > _MAX_SENDERS:
            del self._offsets_by_host[next(iter(self._offsets_by_host))]
        excess = offset - min(known.least, known.least_before)
        return excess if excess > _USUAL_VARIATION_SECONDS else 0.0
