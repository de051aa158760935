"""Merge the status of a daemon with those of its group and of the fleet."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import replace

from brassdrum.gateway.following.evacuations import Evacuations, newest_evacuations
from brassdrum.gateway.following.suspicion import longest_notices
from brassdrum.gateway.peering.fleet_demand import FleetDemand
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.publishers import Aggregators
from brassdrum.gateway.placing.slowdown import SlowdownReport, SlowdownTable
from brassdrum.gateway.throttling.cold import notices_to_send
from brassdrum.gateway.throttling.signals import SignalNotice, newest_notices

__all__ = ["MergedStatus"]

# Limit for each list of endpoints in a message.
_MAX_ENDPOINTS_PER_KIND = 64
# What endpoints said, and evacuations, are repeated for this long after a change; else heartbeats
# carry them.
_REPEAT_SECONDS = 0.5


class MergedStatus:
    """Build the status that a daemon sends for itself, its group or the whole fleet."""

    def __init__(
        self,
        local_status: Callable[[], PeerStatus],
        group: Group,
        aggregators: Aggregators,
        demand: FleetDemand,
        slowdowns: SlowdownTable | None = None,
    ) -> None:
        self._local_status = local_status
        self._group = group
        self._aggregators = aggregators
        self._demand = demand
        self._slowdowns = slowdowns
        self._group_changes = _SignalChanges()
        self._fleet_changes = _SignalChanges()
        self._group_evacuations = _RecentChange()
        self._fleet_evacuations = _RecentChange()
        self._group_lists = _RecentChange()
        self._fleet_lists = _RecentChange()

    def build(self, now: float, *, fleet: bool = False, heartbeat: bool = False) -> PeerStatus:
        """Return the status of this daemon and its group, or of the whole ``fleet``.

        What endpoints said, evacuations and the revision of the list are left out unless they, or
        the list, have just changed or a ``heartbeat`` is due.
        """
        status = self._local_status()
        signals = self._signals(status, now, fleet=fleet)
        changes = self._fleet_changes if fleet else self._group_changes
        changed = changes.is_recent(signals, now)
        lists = self._fleet_lists if fleet else self._group_lists
        listed = lists.is_recent(status.digest, now)
        others = self._aggregators.failing(now) if fleet else []
        failing = longest_notices([*status.failing, *self._group.failing(now), *others])
        return replace(
            status,
            failing=failing[:_MAX_ENDPOINTS_PER_KIND],
            # Members would take their own failures for those of another daemon.
            recent_failures=() if fleet else self._recent_failures(status, now),
            draining=status.draining[:_MAX_ENDPOINTS_PER_KIND],
            signals=signals if heartbeat or changed else None,
            evacuations=self._evacuations(status, now, fleet=fleet, heartbeat=heartbeat),
            cold=notices_to_send(status.cold, heartbeat=heartbeat),
            demand=self._demand.rows_to_send(now, fleet=fleet),
            slowdown=self._slowdown(now, fleet=fleet) if heartbeat else None,
            # Members only receive from their aggregator, so fleet digests need not say it.
            keeps_demand=not fleet,
            sent_at=now,
            revision=status.revision if heartbeat or listed else None,
        )

    def _slowdown(self, now: float, *, fleet: bool) -> SlowdownReport | None:
        """Return how slow endpoints are, by this daemon and its group or by the ``fleet``."""
        if self._slowdowns is None:
            return None
        # A host that has just changed its role may be in both lists.
        hosts = dict.fromkeys([*self._group.hosts, *(self._aggregators.hosts if fleet else ())])
        return self._slowdowns.report(hosts, now, covers_fleet=fleet)

    def _evacuations(
        self, status: PeerStatus, now: float, *, fleet: bool, heartbeat: bool
    ) -> Evacuations | None:
        """Return the newest evacuations, or None in messages that need not repeat them."""
        newest = newest_evacuations(
            [status.evacuations, self._group.evacuations(), self._aggregators.evacuations()]
        )
        change = self._fleet_evacuations if fleet else self._group_evacuations
        return newest if change.is_recent(newest, now) or heartbeat else None

    def _signals(self, status: PeerStatus, now: float, *, fleet: bool) -> tuple[SignalNotice, ...]:
        others = self._aggregators.signals(now) if fleet else []
        found = newest_notices([*(status.signals or ()), *self._group.signals(now), *others])
        return found[:_MAX_ENDPOINTS_PER_KIND]

    def _recent_failures(self, status: PeerStatus, now: float) -> tuple[str, ...]:
        failures = {*status.recent_failures, *self._group.recent_failures(now)}
        return tuple(sorted(failures))[:_MAX_ENDPOINTS_PER_KIND]


class _RecentChange:
    """Track when a value that is sent to peers last changed."""

    def __init__(self, initial: object = None) -> None:
        self._value = initial
        self._changed_at = -math.inf

    def is_recent(self, value: object, now: float) -> bool:
        """Return whether the value changed just now or a short time ago."""
        if value != self._value:
            self._value = value
            self._changed_at = now
        return now - self._changed_at < _REPEAT_SECONDS


class _SignalChanges:
    """Track when what peers are told of endpoints last changed."""

    def __init__(self) -> None:
        self._change = _RecentChange(frozenset())

    def is_recent(self, notices: Iterable[SignalNotice], now: float) -> bool:
        """Return whether the notices changed just now or a short time ago."""
        signals = frozenset((each.endpoint, each.rate_limit, each.draining) for each in notices)
        return self._change.is_recent(signals, now)
