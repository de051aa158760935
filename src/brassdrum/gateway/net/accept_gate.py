"""Decide whether a new connection of a caller is taken or closed before its request is read."""

from __future__ import annotations

import resource
from dataclasses import dataclass

__all__ = ["MAX_LAG_SECONDS", "AcceptGate", "Admission", "max_caller_connections"]

# Callers give up on a daemon that has not read their request after a third of the time they have,
# which is 0.2 s for the shortest; another daemon reads it sooner.
MAX_LAG_SECONDS = 0.2
# The other descriptors are for connections to endpoints, other daemons and the store.
_CALLER_DESCRIPTOR_RATIO = 0.6
# Bounds the memory that open connections take.
_MAX_CALLER_CONNECTIONS = 4000


@dataclass(frozen=True, slots=True)
class Admission:
    """Whether a connection is taken, and the reason if it is not."""

    admitted: bool
    reason: str = ""


class AcceptGate:
    """Keep a daemon that gets more connections than it can serve responsive.

    A connection that is closed unread is safe to retry at another daemon, whatever its request.
    ``max_connections`` bounds the open connections of callers, ``max_lag_seconds`` the time for
    which events may wait.
    """

    def __init__(self, max_connections: int, max_lag_seconds: float = MAX_LAG_SECONDS) -> None:
        self._max_connections = max_connections
        self._max_lag_seconds = max_lag_seconds

    def check(self, open_connections: int, lag: float) -> Admission:
        """Return whether to take a connection, while events wait for ``lag`` seconds."""
        if open_connections >= self._max_connections:
            return Admission(False, "too many open connections")
        if lag > self._max_lag_seconds:
            return Admission(False, "the event loop is behind")
        return Admission(True)


def max_caller_connections() -> int:
    """Return how many connections of callers fit into the descriptors of this process."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return _MAX_CALLER_CONNECTIONS
    return min(_MAX_CALLER_CONNECTIONS, round(descriptors * _CALLER_DESCRIPTOR_RATIO))
