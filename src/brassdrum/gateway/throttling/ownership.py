"""Select the daemon that schedules the requests to an endpoint; does no I/O."""

from __future__ import annotations

import zlib
from collections import deque
from dataclasses import dataclass
from itertools import pairwise

__all__ = ["OwnerSelector"]

# Daemons learn of a member that came or went within this time of each other. A new owner grants
# nothing meanwhile, since others may still ask the one before.
_SETTLE_SECONDS = 1.0


@dataclass(frozen=True, slots=True)
class _Membership:
    since: float
    hosts: frozenset[str]


class OwnerSelector:
    """Select one owner for each endpoint by rendezvous hashing over the member daemons.

    Daemons that know the same members select the same owner. A member that comes or goes moves
    only the endpoints that it owns.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._history: deque[_Membership] = deque()

    def set_members(self, hosts: frozenset[str], now: float) -> None:
        """Set the hosts of the members, without this daemon where it owns nothing."""
        if not self._history or self._history[-1].hosts != hosts:
            self._history.append(_Membership(now, hosts))
        while len(self._history) > 1 and self._history[1].since <= now - _SETTLE_SECONDS:
            self._history.popleft()

    def owner(self, endpoint: str) -> str:
        """Return the host of the daemon that schedules an endpoint."""
        return _rendezvous(endpoint, self._history[-1].hosts) or self._own_host

    def seconds_until_settled(self, endpoint: str, now: float) -> float:
        """Return for how long this daemon, the owner, has to wait until no other can be."""
        left = self._history[0].since + _SETTLE_SECONDS - now
        for earlier, later in pairwise(self._history):
            if _rendezvous(endpoint, earlier.hosts) != self._own_host:
                left = max(left, later.since + _SETTLE_SECONDS - now)
        return max(0.0, left)


def _rendezvous(endpoint: str, hosts: frozenset[str]) -> str | None:
    def weight(host: str) -> tuple[int, str]:
        return zlib.crc32(f"{endpoint} {host}".encode()), host

    return max(hosts, key=weight, default=None)
