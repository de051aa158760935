"""Decide whether this daemon has lost its path to the endpoints; performs no I/O."""

from __future__ import annotations

from collections.abc import Collection
from enum import StrEnum

from brassdrum.charts import load_chart

__all__ = ["PathState", "PathTracker"]

# Endpoints that fail in a row, none reached meanwhile, before the path counts as lost: all of a
# small fleet, since a few may have ended together. With less than three nobody can tell.
_LOST_AFTER_ENDPOINTS = 6
_MIN_ENDPOINTS = 3
# Endpoints that have to be reached before a lost path counts as open again.
_OPEN_AFTER_ENDPOINTS = 2
_CHART = load_chart("path")


class PathState(StrEnum):
    """States of the path; ``charts/path.json`` defines the transitions."""

    OPEN = "open"
    CHECKING = "checking"
    LOST = "lost"


class PathTracker:
    """Track which endpoints new connections reach.

    Connections that were open before a failure say nothing of the path: they may live on while new
    ones fail.
    """

    def __init__(self) -> None:
        self.state = PathState(_CHART.initial)
        self.since = 0.0
        # When the first failure of the present doubt came.
        self._doubted_since = 0.0
        self._failed: set[str] = set()
        self._reached: set[str] = set()

    @property
    def failed_count(self) -> int:
        """Return the number of endpoints that failed since one was reached."""
        return len(self._failed)

    def has_tried(self, address: str) -> bool:
        """Return whether an endpoint has failed or was reached in the present state."""
        return address in self._failed or address in self._reached

    def connection_failed(self, address: str, known: Collection[str], now: float) -> bool:
        """Record that an endpoint could not be reached; return whether the state changed.

        ``known`` are the addresses of all endpoints that are listed now.
        """
        if self.state is PathState.OPEN:
            self._failed = {address}
            self._doubted_since = now
            self._change("connection_failed", now)
            return True
        self._reached.discard(address)
        self._failed.add(address)
        self._failed &= set(known)
        needed = max(_MIN_ENDPOINTS, min(len(set(known)), _LOST_AFTER_ENDPOINTS))
        if self.state is PathState.LOST or len(self._failed) < needed:
            return False
        self._change("all_failed", now)
        return True

    def reached(self, address: str, opened_at: float, known: Collection[str], now: float) -> bool:
        """Record an answer on a connection opened at a time; return whether the state changed.

        It counts however late it comes: slow endpoints are no lost path.
        """
        if self.state is PathState.OPEN or opened_at < self._doubted_since:
            return False
        self._failed.discard(address)
        self._reached.add(address)
        needed = min(len(set(known)), _OPEN_AFTER_ENDPOINTS)
        if self.state is PathState.LOST and len(self._reached) < needed:
            return False
        self._failed = set()
        self._change("reached", now)
        return True

    def inconclusive(self, now: float) -> bool:
        """Give up a check in which too few endpoints failed; return whether the state changed."""
        if self.state is not PathState.CHECKING:
            return False
        self._change("inconclusive", now)
        return True

    def _change(self, trigger: str, now: float) -> None:
        self.state = PathState(_CHART.next(self.state, trigger))
        self.since = now
        self._reached = set()
