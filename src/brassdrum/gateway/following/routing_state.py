"""Hold the current configuration and endpoints, merged from the store and peers; does no I/O."""

from __future__ import annotations

import hashlib
import math
import random
from collections.abc import Iterable
from dataclasses import dataclass, replace

from brassdrum.gateway.following.evacuations import EvacuationState
from brassdrum.gateway.following.restored_list import RestoredListFilter
from brassdrum.gateway.model import (
    EndpointEntry,
    EngineModel,
    FleetConfiguration,
    Organisation,
    Route,
)

__all__ = ["EndpointChange", "RoutingState"]

# Entries that expired during an outage of the store reappear within this time after it.
_RECOVERY_SECONDS = 2.2
# Draining endpoints are announced to peers until all have read the list themselves.
_DRAIN_NOTICE_SECONDS = 4.0
# Ages received from peers exclude network delay, so closer times have no known order.
_AGE_TOLERANCE_SECONDS = 0.25
# The store counts as unavailable after this long without a successful read: three times the
# longest read interval.
_STORE_UNAVAILABLE_SECONDS = 4.0


@dataclass(frozen=True, slots=True)
class EndpointChange:
    """Describe a change of an endpoint.

    ``change`` is ``joined``, ``draining``, ``back`` (no longer draining), ``gone`` or
    ``restarted``; the new incarnation of a restarted endpoint has ``joined``.
    """

    endpoint: str
    service: str
    change: str
    address: str | None = None


class RoutingState:
    """Look up routes, organisations and endpoints in the current state."""

    def __init__(self) -> None:
        self.configuration: FleetConfiguration | None = None
        self.endpoints_by_id: dict[str, EndpointEntry] = {}
        self.read_at: float | None = None
        # Sequence number of the store read, by any daemon, that this state is based on.
        self.reads = 0
        # That of the list in the store, None where the store or the peer told none.
        self.revision: int | None = None
        self.digest = ""
        self._routes_by_host: dict[str, list[Route]] = {}
        self._organisation_by_key: dict[str, Organisation] = {}
        self._entries_by_service: dict[str, list[EndpointEntry]] = {}
        self._said_draining: set[str] = set()
        self._store_unavailable = False
        self._store_recovered_at: float | None = None
        self._left_at_by_id: dict[str, float] = {}
        self._restored_list_filter = RestoredListFilter()
        self.evacuation = EvacuationState()

    @property
    def era(self) -> int | None:
        """Return the era of the store that this state is based on, None if the store has none."""
        return self._restored_list_filter.era

    @property
    def version(self) -> int:
        """Return the configuration version, -1 before the first configuration."""
        return -1 if self.configuration is None else self.configuration.version

    def apply_configuration(self, configuration: FleetConfiguration) -> bool:
        """Apply a configuration if it is newer than the current one; return whether it was."""
        if configuration.version <= self.version:
            return False
        self.configuration = configuration
        self._routes_by_host = {}
        for route in sorted(configuration.routes, key=lambda each: -len(each.prefix)):
            self._routes_by_host.setdefault(route.host, []).append(route)
        self._organisation_by_key = {
            key: organisation
            for organisation in configuration.organisations
            for key in organisation.keys
        }
        return True

    def route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix."""
        for route in self._routes_by_host.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None

    def organisation(self, key: str | None) -> Organisation | None:
        """Return the organisation that a key belongs to."""
        return None if key is None else self._organisation_by_key.get(key)

    def organisation_names(self) -> list[str]:
        """Return the names of the organisations."""
        if self.configuration is None:
            return []
        return [each.name for each in self.configuration.organisations]

    def choose_service(self, route: Route, rng: random.Random) -> str:
        """Return a service of the route, chosen at random by weight."""
        if len(route.targets) == 1:
            return route.targets[0].service
        weights = [target.weight for target in route.targets]
        return rng.choices(route.targets, weights)[0].service

    def engine_services(self) -> list[str]:
        """Return the services whose endpoints are inference engines."""
        if self.configuration is None:
            return []
        services = self.configuration.services_by_name.values()
        return [each.name for each in services if each.engine is not None]

    def engine_model(self, service: str) -> EngineModel | None:
        """Return the cost model of a service, or None if its endpoints are no engines."""
        assert self.configuration is not None
        entry = self.configuration.services_by_name.get(service)
        return None if entry is None else entry.engine

    def usable(self, service: str) -> list[EndpointEntry]:
        """Return the endpoints of a service that accept new requests."""
        return self._entries_by_service.get(service, [])

    @property
    def evacuated_zones(self) -> frozenset[str]:
        """Return the zones whose endpoints get no new requests."""
        return self.evacuation.zones

    def evacuated_zones_of(self, service: str) -> set[str]:
        """Return the evacuated zones that have endpoints of a service."""
        if not self.evacuation.zones:
            return set()
        entries = self.endpoints_by_id.values()
        return {each.zone for each in entries if each.service == service} & self.evacuation.zones

    def evacuations_changed(self) -> None:
        """Update the usable endpoints after the evacuated zones have changed."""
        self._index_usable()

    def find_endpoint(self, name: str) -> str | None:
        """Return the id of the endpoint with the given name or address."""
        for entry in self.endpoints_by_id.values():
            if name in (entry.name, entry.address):
                return entry.id
        return None

    def store_failed(self, now: float) -> None:
        """Record a failed read; after an outage, missing entries are kept for a while."""
        if self.read_at is None or now - self.read_at > _STORE_UNAVAILABLE_SECONDS:
            self._store_unavailable = True

    def update_era(self, era: int | None, now: float) -> bool:
        """Set the era of the store; return whether the store was restored from a backup."""
        earlier = self.era
        restored = self._restored_list_filter.update_era(era, now)
        if self.era != earlier:
            # Revisions of one era say nothing of another.
            self.revision = None
        return restored

    def apply_store_list(
        self,
        entries: Iterable[EndpointEntry],
        now: float,
        era: int | None = None,
        revision: int | None = None,
    ) -> list[EndpointChange]:
        """Apply the full list read from the store at the given time; return the changes.

        What the store answers holds, also where its revisions begin anew.
        """
        if self._is_read_before(now) or self._restored_list_filter.is_older_era(era):
            return []
        self.update_era(era, now)
        if self._store_unavailable or (
            self.read_at is not None and now - self.read_at > _STORE_UNAVAILABLE_SECONDS
        ):
            self._store_unavailable = False
            self._store_recovered_at = now
        self.reads += 1
        recovering = (
            self._store_recovered_at is not None
            and now - self._store_recovered_at < _RECOVERY_SECONDS
        )
        self.revision = revision
        return self._replace({entry.id: entry for entry in entries}, now, recovering=recovering)

    def apply_peer_list(
        self,
        entries: Iterable[EndpointEntry],
        read_at: float,
        reads: int,
        era: int | None = None,
        revision: int | None = None,
    ) -> list[EndpointChange]:
        """Apply a peer's list, which the peer has already filtered, if it is newer."""
        if self.is_outdated(read_at, era, revision):
            return []
        self.update_era(era, read_at)
        self.reads = max(self.reads, reads)
        self.revision = revision
        if self.read_at is not None:
            # A list of a higher revision was read later, whatever its age says.
            read_at = max(self.read_at, read_at)
        return self._replace({entry.id: entry for entry in entries}, read_at, recovering=False)

    def is_outdated(self, read_at: float, era: int | None, revision: int | None) -> bool:
        """Return whether a peer's list is not newer than the current one.

        The store's revision orders the lists of an era, since a list's age is only as true as the
        clocks and the path by which it came.
        """
        if self._restored_list_filter.is_older_era(era):
            return True
        ordered = era == self.era and None not in (revision, self.revision)
        if ordered and revision != self.revision:
            return revision < self.revision
        return self._is_read_before(read_at)

    def _is_read_before(self, read_at: float) -> bool:
        return self.read_at is not None and read_at <= self.read_at

    def confirm_read(
        self, digest: str, read_at: float, reads: int, revision: int | None = None
    ) -> None:
        """Advance the read time when a peer has read the same list later.

        Each read counts once: network delay makes a list look newer at every hop, so a list's age
        would never grow if peers kept confirming each other's copies.
        """
        if digest != self.digest or self.read_at is None or reads <= self.reads:
            return
        self.reads = reads
        self.read_at = max(self.read_at, read_at)
        if None not in (revision, self.revision):
            self.revision = max(self.revision, revision)

    def recently_left(self, now: float) -> dict[str, float]:
        """Return the seconds since each recently departed endpoint began to leave."""
        for name, left_at in list(self._left_at_by_id.items()):
            if now - left_at > _DRAIN_NOTICE_SECONDS:
                del self._left_at_by_id[name]
        return {name: now - left_at for name, left_at in self._left_at_by_id.items()}

    def mark_draining(self, endpoint: str, known_at: float) -> bool:
        """Mark an endpoint as draining on a peer's report; return whether that is new.

        A report older than the current list is ignored. Otherwise peers that repeat each other's
        reports would exclude an endpoint that has stopped draining.
        """
        entry = self.endpoints_by_id.get(endpoint)
        if entry is None or entry.draining:
            return False
        if self.read_at is not None and known_at < self.read_at - _AGE_TOLERANCE_SECONDS:
            return False
        self.endpoints_by_id[endpoint] = replace(entry, draining=True)
        self._left_at_by_id[endpoint] = known_at
        self._index()
        return True

    def set_said_draining(self, endpoints: set[str]) -> None:
        """Set the endpoints that said themselves that they are draining.

        They get no new requests whatever the list shows: what they say is newer.
        """
        if endpoints != self._said_draining:
            self._said_draining = endpoints
            self._index_usable()

    def address_reused(self, endpoint: str) -> None:
        """Remove an endpoint whose address now belongs to another one."""
        if self.endpoints_by_id.pop(endpoint, None) is not None:
            self._index()

    def _replace(
        self, entries_by_id: dict[str, EndpointEntry], read_at: float, *, recovering: bool
    ) -> list[EndpointChange]:
        changes = []
        shown = entries_by_id
        entries_by_id = self._restored_list_filter.correct(shown, self.endpoints_by_id, read_at)
        for entry in entries_by_id.values():
            if entry.draining and entry.id in shown and not shown[entry.id].draining:
                # Daemons started since the restore know only the stale list.
                self._left_at_by_id[entry.id] = read_at
        for entry in list(entries_by_id.values()):
            earlier = self.endpoints_by_id.get(entry.id)
            if not entry.draining and read_at <= self._left_at_by_id.get(entry.id, -math.inf):
                # The peer's report is newer than this list.
                entries_by_id[entry.id] = replace(entry, draining=True)
                continue
            if earlier is None:
                changes.append(EndpointChange(entry.id, entry.service, "joined"))
            elif entry.draining and not earlier.draining:
                changes.append(EndpointChange(entry.id, entry.service, "draining"))
                self._left_at_by_id[entry.id] = read_at
            elif earlier.draining and not entry.draining:
                changes.append(EndpointChange(entry.id, entry.service, "back"))
                self._left_at_by_id.pop(entry.id, None)
        names = {entry.name for entry in entries_by_id.values()}
        for entry in self.endpoints_by_id.values():
            if entry.id in entries_by_id:
                continue
            if entry.name in names:
                changes.append(EndpointChange(entry.id, entry.service, "restarted", entry.address))
                self._restored_list_filter.mark_gone(entry.id, read_at)
                continue
            if recovering or self._restored_list_filter.may_be_missing(read_at):
                entries_by_id[entry.id] = entry
                continue
            changes.append(EndpointChange(entry.id, entry.service, "gone"))
            self._left_at_by_id[entry.id] = read_at
            self._restored_list_filter.mark_gone(entry.id, read_at)
        turned = _cold_endpoints(entries_by_id) != _cold_endpoints(self.endpoints_by_id)
        self.endpoints_by_id = entries_by_id
        self.read_at = read_at
        if changes or turned or not self.digest:
            self._index()
        return changes

    def _index(self) -> None:
        self._index_usable()
        entries = sorted(self.endpoints_by_id.values(), key=lambda each: each.id)
        text = "\n".join(f"{each.id} {each.address} {each.draining:d}" for each in entries)
        # Daemons of the previous release compute the same digest while no endpoint is cold.
        text += "".join(f"\ncold {each}" for each in sorted(_cold_endpoints(self.endpoints_by_id)))
        self.digest = hashlib.blake2b(text.encode(), digest_size=6).hexdigest()

    def _index_usable(self) -> None:
        self._entries_by_service = {}
        for entry in sorted(self.endpoints_by_id.values(), key=lambda each: each.id):
            if entry.draining or entry.id in self._said_draining:
                continue
            if entry.zone in self.evacuation.zones:
                continue
            self._entries_by_service.setdefault(entry.service, []).append(entry)


def _cold_endpoints(entries_by_id: dict[str, EndpointEntry]) -> set[str]:
    """Return the endpoints that the list shows as cold."""
    return {each.id for each in entries_by_id.values() if each.cold_seconds > 0}
