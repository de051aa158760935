"""Know other daemons by host, and choose who speaks for the group of a zone; pure decisions."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass

from brassdrum.gateway.model import DaemonAddress

__all__ = ["PeerDirectory"]

# An address without a sign of life is kept for this long: a daemon starts within a second or two.
_UNHEARD_TTL_SECONDS = 20.0
# Who was heard, or is on the roll of its group, is kept for this long after the last time: as long
# as a group keeps a silent member.
_HEARD_TTL_SECONDS = 4.0
# A daemon that was chosen and stayed silent, or does not hear this one, is left for this long.
_EXCLUSION_SECONDS = 10.0


@dataclass(slots=True)
class _Entry:
    address: DaemonAddress
    expires_at: float
    heard: bool = False
    leaving: bool = False
    excluded_until: float = 0.0


class PeerDirectory:
    """Keep the daemons that may live; other zones are left to their own ones."""

    def __init__(self, own: DaemonAddress) -> None:
        self.own = own
        self._entry_by_host: dict[str, _Entry] = {}

    def add(self, addresses: Iterable[DaemonAddress], now: float) -> None:
        """Take addresses that others name."""
        for address in addresses:
            if address.host == self.own.host or address.host in self._entry_by_host:
                continue
            self._entry_by_host[address.host] = _Entry(address, now + _UNHEARD_TTL_SECONDS)

    def add_live(self, addresses: Iterable[DaemonAddress], now: float) -> None:
        """Take addresses of daemons that another one has just heard."""
        self.add(addresses, now)
        self.mark_listed((each.host for each in addresses), now)

    def mark_heard(self, address: DaemonAddress, now: float, *, leaving: bool = False) -> bool:
        """Note a sign of life of a daemon; return whether it is the first one."""
        if address.host == self.own.host:
            return False
        entry = self._entry_by_host.get(address.host)
        first = entry is None or not entry.heard
        excluded_until = 0.0 if entry is None else entry.excluded_until
        expires_at = now + _HEARD_TTL_SECONDS
        self._entry_by_host[address.host] = _Entry(
            address, expires_at, True, leaving, excluded_until
        )
        return first

    def mark_listed(self, hosts: Iterable[str], now: float) -> None:
        """Note that another daemon has heard of hosts lately, as on the roll of a group."""
        for host in hosts:
            entry = self._entry_by_host.get(host)
            if entry is None:
                continue
            entry.heard = True
            entry.expires_at = max(entry.expires_at, now + _HEARD_TTL_SECONDS)

    def exclude(self, host: str, now: float) -> None:
        """Do not choose a daemon that stays silent."""
        entry = self._entry_by_host.get(host)
        if entry is not None:
            entry.excluded_until = now + _EXCLUSION_SECONDS

    def remove(self, host: str) -> None:
        """Drop a daemon that has ended."""
        self._entry_by_host.pop(host, None)

    def expire(self, now: float) -> list[DaemonAddress]:
        """Drop and return daemons that gave no sign of life for too long."""
        silent = [host for host, entry in self._entry_by_host.items() if now > entry.expires_at]
        return [self._entry_by_host.pop(host).address for host in silent]

    def address(self, host: str) -> DaemonAddress | None:
        """Return where a daemon is, if it is known."""
        entry = self._entry_by_host.get(host)
        return None if entry is None else entry.address

    def addresses(self, zone: str | None = None) -> list[DaemonAddress]:
        """Return all other daemons, or those of one zone."""
        entries = self._entry_by_host.values()
        return [each.address for each in entries if zone is None or each.address.zone == zone]

    def zones(self) -> set[str]:
        """Return the zones of other daemons."""
        return {entry.address.zone for entry in self._entry_by_host.values()}

    def candidates(self, zone: str, now: float, *, own: bool) -> list[DaemonAddress]:
        """Return who may speak for a zone, the one to choose first.

        All daemons that know the same others choose the same one: the one that can carry most, by
        host among equals. Those that nobody has heard are left out: lists name daemons that are
        gone. ``own`` says whether this daemon may be chosen.
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
        """Return the hosts of a zone that nobody heard yet, the likeliest speakers first."""
        entries = self._entry_by_host.values()
        found = [e.address for e in entries if e.address.zone == zone and not e.heard]
        return [each.host for each in sorted(found, key=_candidate_order, reverse=True)]

    def __len__(self) -> int:
        """Return the number of other daemons."""
        return len(self._entry_by_host)


def _candidate_order(address: DaemonAddress) -> tuple[int, int, str]:
    tie_breaker = zlib.crc32(f"{address.zone} {address.host}".encode())
    return address.capacity, tie_breaker, address.host
