"""Select the daemon that schedules the requests to an endpoint; does no I/O."""

from __future__ import annotations

import math
import zlib
from collections import deque
from collections.abc import Iterable
from dataclasses import dataclass
from itertools import pairwise

__all__ = ["Member", "OwnerSelector"]

# Daemons learn of a member that came or went within this time of each other. A new owner grants
# nothing meanwhile, since others may still ask the one before.
_SETTLE_SECONDS = 1.0
# The same for a daemon that has just become a member, which has yet to find the others.
_JOIN_SETTLE_SECONDS = 1.5
# Pause of both sides when daemons that had lost each other hear each other again.
_REJOIN_SECONDS = 0.5
# A member that was silent for longer has settled elsewhere long ago.
_LOST_SECONDS = 60.0


@dataclass(frozen=True, slots=True)
class Member:
    """One process of a daemon; ``incarnation`` is its start time in ms."""

    host: str
    incarnation: int


@dataclass(frozen=True, slots=True)
class _Membership:
    since: float
    members: frozenset[Member]

    def includes(self, host: str) -> bool:
        return any(each.host == host for each in self.members)

    def owner(self, endpoint: str) -> str | None:
        def weight(host: str) -> tuple[int, str]:
            return zlib.crc32(f"{endpoint} {host}".encode()), host

        return max((each.host for each in self.members), key=weight, default=None)


class OwnerSelector:
    """Select one owner for each endpoint by rendezvous hashing over the member daemons.

    Daemons that know the same members select the same owner. A member that comes or goes moves
    only the endpoints that it owns.
    """

    def __init__(self, own_host: str) -> None:
        self._own_host = own_host
        self._history: deque[_Membership] = deque()
        self._lost_at_by_member: dict[Member, float] = {}
        self._rejoined_at = -math.inf

    def set_members(self, members: frozenset[Member], now: float) -> None:
        """Set the members, without this daemon where it owns nothing."""
        before = self._history[-1].members if self._history else frozenset()
        if not self._history or before != members:
            self._history.append(_Membership(now, members))
            self._track_lost(before - members, members - before, now)
        while len(self._history) > 1 and self._history[1].since <= now - _JOIN_SETTLE_SECONDS:
            self._history.popleft()

    def owner(self, endpoint: str) -> str:
        """Return the host of the daemon that schedules an endpoint."""
        return self._history[-1].owner(endpoint) or self._own_host

    def seconds_until_settled(self, endpoint: str, now: float) -> float:
        """Return for how long this daemon, the owner, has to wait until no other can be."""
        settled_at = max(
            self._history[0].since + _JOIN_SETTLE_SECONDS, self._rejoined_at + _REJOIN_SECONDS
        )
        for earlier, later in pairwise(self._history):
            if not earlier.includes(self._own_host):
                settled_at = max(settled_at, later.since + _JOIN_SETTLE_SECONDS)
            elif earlier.owner(endpoint) != self._own_host:
                settled_at = max(settled_at, later.since + _SETTLE_SECONDS)
        return max(0.0, settled_at - now)

    def _track_lost(self, gone: Iterable[Member], come: Iterable[Member], now: float) -> None:
        """Notice members that lost this daemon and come back as the same process.

        Each side may have scheduled what the other owns meanwhile.
        """
        for member in come:
            if now - self._lost_at_by_member.pop(member, -math.inf) < _LOST_SECONDS:
                self._rejoined_at = now
        for member in gone:
            self._lost_at_by_member[member] = now
        for member, lost_at in list(self._lost_at_by_member.items()):
            if now - lost_at > _LOST_SECONDS:
                del self._lost_at_by_member[member]
