"""Choose which daemons are told directly, and which tell the rest of their zone; pure decisions."""

from __future__ import annotations

import zlib
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

__all__ = ["Recipient", "recipients"]

# Other zones with this many daemons are told through one of them, which sends it on: with 3 zones
# of 20 daemons that is 2 datagrams between zones in place of 40.
_RELAYED_ZONE_DAEMONS = 4


@dataclass(frozen=True, slots=True)
class Recipient:
    """Name a host to send to; with ``relay`` it sends on to all others of its zone."""

    host: str
    relay: bool = False


def recipients(
    sender: str, zone: str, zone_by_host: Mapping[str, str], beat: int
) -> Iterable[Recipient]:
    """Return whom a daemon tells, so that every other daemon hears it.

    Relays change with each beat: one that is dead or cut off costs a single beat, and what it lost
    is told again with the next one.
    """
    hosts_by_zone: dict[str, list[str]] = {}
    for host, other in zone_by_host.items():
        hosts_by_zone.setdefault(other, []).append(host)
    for other, hosts in hosts_by_zone.items():
        if other == zone or len(hosts) < _RELAYED_ZONE_DAEMONS:
            yield from (Recipient(host) for host in hosts)
            continue
        chosen = max(hosts, key=lambda host: zlib.crc32(f"{sender} {beat} {host}".encode()))
        yield Recipient(chosen, relay=True)
