"""Decide which digests carry the rows of demand; performs no I/O."""

from __future__ import annotations

import math
from collections.abc import Iterable

from brassdrum.gateway.sharing.demand import DemandKey, DemandRow

__all__ = ["DemandPacing"]

# Without rows, counts get older by this at most: about as long as a change takes to reach other
# zones anyway.
_REPEAT_SECONDS = 0.1
# Digests that carry a change of the waiting keys, to tolerate datagram loss.
_COPIES = 2


class DemandPacing:
    """Leave the rows out of digests while the keys that wait are the same.

    Which keys wait decides who yields and is sent at once; counts are sent every
    ``_REPEAT_SECONDS``.
    """

    def __init__(self) -> None:
        self._waiting: frozenset[DemandKey] = frozenset()
        self._copies_left = 0
        self._sent_at = -math.inf

    def is_due(self, rows: Iterable[DemandRow], now: float) -> bool:
        """Return whether the next digest carries the rows, which counts as sending them."""
        waiting = frozenset(row.key for row in rows if row.waiting)
        if waiting != self._waiting:
            self._waiting = waiting
            self._copies_left = _COPIES
        if not self._copies_left and now - self._sent_at < _REPEAT_SECONDS:
            return False
        self._copies_left = max(0, self._copies_left - 1)
        self._sent_at = now
        return True
