"""Aggregators of other groups, ordered by their digests; performs no I/O."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, replace

from brassdrum.gateway.following.evacuations import Evacuations, newest_evacuations
from brassdrum.gateway.following.suspicion import FailureNotice, unexpired_notices
from brassdrum.gateway.peering.carried_status import completed_status
from brassdrum.gateway.peering.peer_messages import Digest, Sender
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.sharing.demand import DemandRow
from brassdrum.gateway.throttling.ownership import Member
from brassdrum.gateway.throttling.signals import SignalNotice, aged_notices

__all__ = ["Aggregators", "AppliedDigest"]


@dataclass(frozen=True, slots=True)
class AppliedDigest:
    """Result of applying a digest.

    ``first`` means that the aggregator is new, ``restarted`` that its incarnation is.
    """

    first: bool
    restarted: bool


@dataclass(slots=True)
class _Aggregator:
    sender: Sender
    status: PeerStatus
    daemon_count: int
    heard_at: float


class Aggregators:
    """Track the latest digest of each aggregator; outdated digests are ignored."""

    def __init__(self) -> None:
        self._aggregator_by_host: dict[str, _Aggregator] = {}

    @property
    def hosts(self) -> list[str]:
        """Return the hosts of the aggregators."""
        return list(self._aggregator_by_host)

    @property
    def daemon_count(self) -> int:
        """Return the number of live daemons in all their groups."""
        return sum(each.daemon_count for each in self._aggregator_by_host.values())

    def apply_digest(self, digest: Digest, now: float) -> AppliedDigest | None:
        """Record a digest; return None if it is outdated."""
        sender = digest.sender
        host = sender.address.host
        known = self._aggregator_by_host.get(host)
        if known is not None:
            earlier = (known.sender.incarnation, known.sender.sequence)
            if (sender.incarnation, sender.sequence) <= earlier:
                return None
        restarted = known is not None and sender.incarnation > known.sender.incarnation
        earlier = None if known is None else known.status
        if restarted:
            # The requests of the process before have ended.
            earlier = replace(earlier, demand=())
        age = 0.0 if known is None else now - known.heard_at
        status = completed_status(digest.status, earlier, age)
        self._aggregator_by_host[host] = _Aggregator(sender, status, digest.daemon_count, now)
        return AppliedDigest(known is None, restarted)

    def failing(self, now: float) -> list[FailureNotice]:
        """Return the endpoints that other groups avoid because of failures they observed."""
        others = self._aggregator_by_host.values()
        return [
            notice
            for each in others
            for notice in unexpired_notices(each.status.failing, now - each.heard_at)
        ]

    def signals(self, now: float) -> list[SignalNotice]:
        """Return what endpoints said to daemons of other groups."""
        return [
            notice
            for each in self._aggregator_by_host.values()
            for notice in aged_notices(each.status.signals or (), now - each.heard_at)
        ]

    def evacuations(self) -> Evacuations | None:
        """Return the newest evacuations that other groups reported, or None."""
        others = self._aggregator_by_host.values()
        return newest_evacuations(each.status.evacuations for each in others)

    def demand(self) -> list[DemandRow]:
        """Return the demand of the other groups."""
        others = self._aggregator_by_host.values()
        return [row for each in others for row in each.status.demand or ()]

    def keep_demand(self, hosts: Iterable[str]) -> bool:
        """Return whether the daemons on all hosts take digests that leave the demand as it was.

        A daemon that has not been heard yet may be of a release that does not.
        """
        known = self._aggregator_by_host
        return all(host in known and known[host].status.keeps_demand for host in hosts)

    def live_members(self, *, with_leaving: bool = False) -> frozenset[Member]:
        """Return the aggregators, those that are leaving only if asked for."""
        return frozenset(
            Member(host, each.sender.incarnation)
            for host, each in self._aggregator_by_host.items()
            if with_leaving or not each.sender.leaving
        )

    def name(self, host: str) -> str | None:
        """Return the name of the aggregator on a host, or None if there is none."""
        known = self._aggregator_by_host.get(host)
        return None if known is None else known.sender.name

    def zones(self) -> set[str]:
        """Return the zones that have a known aggregator."""
        return {each.sender.address.zone for each in self._aggregator_by_host.values()}

    def count_before(self, name: str) -> int:
        """Return how many aggregators that are not leaving sort before ``name``."""
        return sum(
            1
            for each in self._aggregator_by_host.values()
            if each.sender.name < name and not each.sender.leaving
        )

    def live_count(self) -> int:
        """Return the number of aggregators that are not leaving."""
        return len(self.live_members())

    def remove(self, host: str) -> Sender | None:
        """Remove an aggregator; return its last sender information."""
        known = self._aggregator_by_host.pop(host, None)
        return None if known is None else known.sender

    def expire(self, now: float, silence: float) -> list[Sender]:
        """Remove and return the aggregators not heard from for ``silence`` seconds."""
        silent = [
            h for h, each in self._aggregator_by_host.items() if now - each.heard_at > silence
        ]
        return [self._aggregator_by_host.pop(host).sender for host in silent]
