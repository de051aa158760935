"""Aggregators of other groups, ordered by their digests; performs no I/O."""

from __future__ import annotations

from dataclasses import dataclass

from brassdrum.gateway.following.suspicion import FailureNotice, unexpired_notices
from brassdrum.gateway.peering.peer_messages import Digest, Sender
from brassdrum.gateway.throttling.ownership import Member
from brassdrum.gateway.throttling.signals import (
    SignalNotice,
    aged_notices,
    current_notices,
)

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
    daemon_count: int
    failing: tuple[FailureNotice, ...]
    signals: tuple[SignalNotice, ...]
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
        began = known is not None and sender.incarnation > known.sender.incarnation
        signals = current_notices(
            digest.status.signals,
            None if known is None else known.signals,
            0.0 if known is None else now - known.heard_at,
        )
        self._aggregator_by_host[host] = _Aggregator(
            sender, digest.daemon_count, digest.status.failing, signals, now
        )
        return AppliedDigest(known is None, began)

    def failing(self, now: float) -> list[FailureNotice]:
        """Return the endpoints that other groups avoid because of failures they observed."""
        others = self._aggregator_by_host.values()
        return [
            word for each in others for word in unexpired_notices(each.failing, now - each.heard_at)
        ]

    def signals(self, now: float) -> list[SignalNotice]:
        """Return what endpoints said to daemons of other groups."""
        return [
            notice
            for each in self._aggregator_by_host.values()
            for notice in aged_notices(each.signals, now - each.heard_at)
        ]

    def live_members(self) -> frozenset[Member]:
        """Return the aggregators that are not leaving."""
        return frozenset(
            Member(host, each.sender.incarnation)
            for host, each in self._aggregator_by_host.items()
            if not each.sender.leaving
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
