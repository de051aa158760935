"""Merge the status of a daemon with those of its group and of the fleet."""

from __future__ import annotations

import math
from collections.abc import Callable, Iterable
from dataclasses import replace

from brassdrum.gateway.following.suspicion import longest_notices
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.publishers import Aggregators
from brassdrum.gateway.throttling.signals import SignalNotice, newest_notices

__all__ = ["MergedStatus"]

# Limit for each list of endpoints in a message.
_MAX_ENDPOINTS_PER_KIND = 64
# What endpoints said is repeated for this long after a change; else heartbeats carry it.
_REPEAT_SIGNALS_SECONDS = 0.5


class MergedStatus:
    """Build the status that a daemon sends for itself, its group or the whole fleet."""

    def __init__(
        self, local_status: Callable[[], PeerStatus], group: Group, aggregators: Aggregators
    ) -> None:
        self._local_status = local_status
        self._group = group
        self._aggregators = aggregators
        self._group_changes = _SignalChanges()
        self._fleet_changes = _SignalChanges()

    def build(self, now: float, *, fleet: bool = False, heartbeat: bool = False) -> PeerStatus:
        """Return the status of this daemon and its group, or of the whole ``fleet``.

        What endpoints said is left out unless it has just changed or a ``heartbeat`` is due.
        """
        status = self._local_status()
        signals = self._signals(status, now, fleet=fleet)
        changes = self._fleet_changes if fleet else self._group_changes
        changed = changes.is_recent(signals, now)
        others = self._aggregators.failing(now) if fleet else []
        failing = longest_notices([*status.failing, *self._group.failing(now), *others])
        return replace(
            status,
            failing=failing[:_MAX_ENDPOINTS_PER_KIND],
            # Members would take their own failures for those of another daemon.
            recent_failures=() if fleet else self._recent_failures(status, now),
            draining=status.draining[:_MAX_ENDPOINTS_PER_KIND],
            signals=signals if heartbeat or changed else None,
        )

    def _signals(self, status: PeerStatus, now: float, *, fleet: bool) -> tuple[SignalNotice, ...]:
        others = self._aggregators.signals(now) if fleet else []
        found = newest_notices([*(status.signals or ()), *self._group.signals(now), *others])
        return found[:_MAX_ENDPOINTS_PER_KIND]

    def _recent_failures(self, status: PeerStatus, now: float) -> tuple[str, ...]:
        failures = {*status.recent_failures, *self._group.recent_failures(now)}
        return tuple(sorted(failures))[:_MAX_ENDPOINTS_PER_KIND]


class _SignalChanges:
    """Track when what peers are told of endpoints last changed."""

    def __init__(self) -> None:
        self._signals: frozenset[tuple[str, float | None, bool]] = frozenset()
        self._changed_at = -math.inf

    def is_recent(self, notices: Iterable[SignalNotice], now: float) -> bool:
        """Return whether the notices changed just now or a short time ago."""
        signals = frozenset((each.endpoint, each.rate_limit, each.draining) for each in notices)
        if signals != self._signals:
            self._signals = signals
            self._changed_at = now
        return now - self._changed_at < _REPEAT_SIGNALS_SECONDS
