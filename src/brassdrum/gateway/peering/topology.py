"""Whether the fleet is grouped, which daemons messages go to, and which ones they list."""

from __future__ import annotations

import random

from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering.directory import PeerDirectory
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.publishers import Aggregators

__all__ = ["Topology"]

# Larger fleets form groups: 12 ungrouped daemons send 11 datagrams a change. The hysteresis
# prevents switching at each restart of a daemon.
_MAX_UNGROUPED_DAEMONS = 12
_GROUPING_HYSTERESIS_DAEMONS = 2
# Larger fleets list only the daemons of one zone, and the aggregators.
_MAX_FULLY_LISTED_DAEMONS = 24
# Zones without a known aggregator are probed through this many random daemons per heartbeat.
_PROBES_PER_ZONE = 3


class Topology:
    """Derive the recipients and the listed daemons from what is known of the fleet."""

    def __init__(
        self,
        own: DaemonAddress,
        directory: PeerDirectory,
        aggregators: Aggregators,
        group: Group,
        rng: random.Random,
    ) -> None:
        self.grouped = False
        self._own = own
        self._directory = directory
        self._aggregators = aggregators
        self._group = group
        self._random = rng

    def update_grouping(self, live: int) -> None:
        """Form or dissolve groups for a number of live daemons."""
        known = max(live, 1 + len(self._directory))
        margin = _GROUPING_HYSTERESIS_DAEMONS if self.grouped else 0
        self.grouped = known > _MAX_UNGROUPED_DAEMONS - margin

    def publish_targets(self) -> list[str]:
        """Return the hosts that get the load of this daemon or its group."""
        if self.grouped:
            return self._aggregators.hosts
        members = set(self._group.hosts)
        return [each.host for each in self._directory.addresses() if each.host not in members]

    def discovery_targets(self) -> list[str]:
        """Return the hosts that may not know this aggregator."""
        if not self.grouped:
            return []
        known = {*self._group.hosts, *self._aggregators.hosts}
        zone = self._own.zone
        found = [each.host for each in self._directory.addresses(zone) if each.host not in known]
        for other in self._directory.zones() - self._aggregators.zones() - {zone}:
            hosts = [each.host for each in self._directory.addresses(other)]
            found.extend(self._random.sample(hosts, min(_PROBES_PER_ZONE, len(hosts))))
        return found

    def listed_daemons(self, zone: str) -> tuple[DaemonAddress, ...]:
        """Return the daemons that a daemon of a zone is told of; in small fleets all of them."""
        is_small = len(self._directory) <= _MAX_FULLY_LISTED_DAEMONS
        return tuple(self._directory.addresses(None if is_small else zone))

    def known_aggregators(self) -> tuple[DaemonAddress, ...]:
        """Return the aggregators of other groups."""
        found = (self._directory.address(host) for host in self._aggregators.hosts)
        return tuple(each for each in found if each is not None)

    def forward_targets(self) -> tuple[DaemonAddress, ...]:
        """Return the other daemons of this zone that may reach the endpoints."""
        targets = self._directory.forward_targets()
        return tuple(each for each in targets if each.zone == self._own.zone)

    def uncovered(self, addresses: tuple[DaemonAddress, ...]) -> list[DaemonAddress]:
        """Return those of the given daemons that no aggregator known here reports on.

        In a grouped fleet they are those of other zones without a known aggregator; else all.
        """
        if not self.grouped:
            return list(addresses)
        covered = {*self._aggregators.zones(), self._own.zone}
        return [each for each in addresses if each.zone not in covered]
