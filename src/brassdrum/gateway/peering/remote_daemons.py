"""Daemons that reach endpoints, which a daemon asks for while it reaches none; no I/O."""

from __future__ import annotations

from collections.abc import Iterable

from brassdrum.gateway.model import DaemonAddress

__all__ = ["RemoteDaemons"]


class RemoteDaemons:
    """Keep what daemons of each zone answered last, apart from the directory of live peers."""

    def __init__(self) -> None:
        self._addresses_by_zone: dict[str, tuple[DaemonAddress, ...]] = {}

    def clear(self) -> None:
        """Forget all."""
        self._addresses_by_zone = {}

    def put(self, zone: str, addresses: Iterable[DaemonAddress]) -> None:
        """Keep the daemons of a zone."""
        self._addresses_by_zone[zone] = tuple(each for each in addresses if each.zone == zone)

    def merged(self, known: Iterable[DaemonAddress]) -> list[DaemonAddress]:
        """Return the daemons of all zones; what a zone has answered replaces what is known."""
        found = [each for zone in self._addresses_by_zone.values() for each in zone]
        found += [each for each in known if each.zone not in self._addresses_by_zone]
        return found
