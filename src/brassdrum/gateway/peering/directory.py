"""Directory of known peers and selection of aggregator candidates; performs no I/O."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering.peer_messages import Sender

__all__ = ["PeerDirectory"]

# How long an address is kept before the first message; daemons start within two seconds.
_UNHEARD_TTL_SECONDS = 20.0
# How long a peer is kept after its last message or listing; at least the member timeout.
_HEARD_TTL_SECONDS = 4.0
# How long an unresponsive aggregator is not selected again.
_EXCLUSION_SECONDS = 10.0


@dataclass(slots=True)
class _Entry:
    address: DaemonAddress
    expires_at: float
    heard: bool = False
    leaving: bool = False
    excluded_until: float = 0.0
    path_lost: bool = False


class PeerDirectory:
    """Track the peers that may be alive, by host."""

    def __init__(self, own: DaemonAddress) -> None:
        self.own = own
        self._entry_by_host: dict[str, _Entry] = {}

    def add(self, addresses: Iterable[DaemonAddress], now: float) -> None:
        """Add addresses of unconfirmed peers; known peers are unchanged."""
        for address in addresses:
            if address.host == self.own.host or address.host in self._entry_by_host:
                continue
            self._entry_by_host[address.host] = _Entry(address, now + _UNHEARD_TTL_SECONDS)

    def add_live(self, addresses: Iterable[DaemonAddress], now: float) -> None:
        """Add addresses of peers that another daemon reports as alive."""
        self.add(addresses, now)
        self.mark_listed((each.host for each in addresses), now)

    def mark_heard(self, sender: Sender, now: float) -> bool:
        """Record a message from a peer; return whether it is the first one."""
        address = sender.address
        if address.host == self.own.host:
            return False
        entry = self._entry_by_host.get(address.host)
        first = entry is None or not entry.heard
        excluded_until = 0.0 if entry is None else entry.excluded_until
        expires_at = now + _HEARD_TTL_SECONDS
        self._entry_by_host[address.host] = _Entry(
            address, expires_at, True, sender.leaving, excluded_until, sender.path_lost
        )
        return first

    def mark_listed(self, hosts: Iterable[str], now: float) -> None:
        """Extend the lifetime of known hosts that another daemon lists as alive."""
        for host in hosts:
            entry = self._entry_by_host.get(host)
            if entry is None:
                continue
            entry.heard = True
            entry.expires_at = max(entry.expires_at, now + _HEARD_TTL_SECONDS)

    def exclude(self, host: str, now: float) -> None:
        """Exclude an unresponsive peer from selection for a while."""
        entry = self._entry_by_host.get(host)
        if entry is not None:
            entry.excluded_until = now + _EXCLUSION_SECONDS

    def remove(self, host: str) -> None:
        """Remove a peer that has stopped."""
        self._entry_by_host.pop(host, None)

    def expire(self, now: float) -> list[DaemonAddress]:
        """Remove and return the peers whose lifetime has expired."""
        silent = [host for host, entry in self._entry_by_host.items() if now > entry.expires_at]
        return [self._entry_by_host.pop(host).address for host in silent]

    def address(self, host: str) -> DaemonAddress | None:
        """Return the address of the peer on a host, or None if it is unknown."""
        entry = self._entry_by_host.get(host)
        return None if entry is None else entry.address

    def addresses(self, zone: str | None = None) -> list[DaemonAddress]:
        """Return the addresses of all peers, or of those in one zone."""
        entries = self._entry_by_host.values()
        return [each.address for each in entries if zone is None or each.address.zone == zone]

    def forward_targets(self) -> list[DaemonAddress]:
        """Return the peers that take requests of others as far as is known."""
        entries = self._entry_by_host.values()
        return [e.address for e in entries if e.heard and not e.leaving and not e.path_lost]

    def zones(self) -> set[str]:
        """Return the zones that have known peers."""
        return {entry.address.zone for entry in self._entry_by_host.values()}

    def candidates(self, zone: str, now: float, *, own: bool) -> list[DaemonAddress]:
        """Return the aggregator candidates of a zone, most preferred first.

        The order is deterministic, so daemons with the same directory select the same one. Peers
        that nobody has heard from are left out, since address lists can be stale. ``own`` says
        whether this daemon is eligible.
        """
        candidates = [
            entry.address
            for entry in self._entry_by_host.values()
            if entry.address.zone == zone
            and entry.heard
            and not entry.leaving
            and now >= entry.excluded_until
        ]
        if own and zone == self.own.zone:
            candidates.append(self.own)
        return sorted(candidates, key=_candidate_order, reverse=True)

    def unheard_hosts(self, zone: str) -> list[str]:
        """Return the unconfirmed hosts of a zone, most preferred aggregator first."""
        entries = self._entry_by_host.values()
        found = [e.address for e in entries if e.address.zone == zone and not e.heard]
        return [each.host for each in sorted(found, key=_candidate_order, reverse=True)]

    def __len__(self) -> int:
        """Return the number of known peers."""
        return len(self._entry_by_host)


def _candidate_order(address: DaemonAddress) -> tuple[int, int, str]:
    tie_breaker = zlib.crc32(f"{address.zone} {address.host}".encode())
    return address.capacity, tie_breaker, address.host
