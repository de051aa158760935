"""Choose the daemon that a request is forwarded to; performs no I/O."""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable, Collection

from brassdrum.gateway.model import DaemonAddress

__all__ = ["ForwardTargets"]

# A daemon that refused a request is not asked again for this long, if others are there.
_REFUSED_SECONDS = 1.0
# The same for one that could not be reached.
_UNREACHED_SECONDS = 8.0
# Two random candidates are compared: enough to spread load without knowing it.
_COMPARED = 2


class ForwardTargets:
    """Spread forwarded requests over the daemons that may reach the endpoints."""

    def __init__(
        self, own: DaemonAddress, addresses: Callable[[], list[DaemonAddress]], rng: random.Random
    ) -> None:
        self.forwarded_count = 0
        self._own = own
        self._addresses = addresses
        self._random = rng
        self._in_flight_by_host: Counter[str] = Counter()
        self._avoided_until_by_host: dict[str, float] = {}
        self._doubted_until_by_zone: dict[str, float] = {}

    def choose(self, excluded: Collection[str], now: float) -> DaemonAddress | None:
        """Return a daemon that is not excluded, or None if there is none."""
        found = [each for each in self._addresses() if each.host not in excluded]
        sound = [each for each in found if now >= self._avoided_until_by_host.get(each.host, 0.0)]
        elsewhere = [each for each in sound if now >= self._doubted_until(each.zone)]
        candidates = elsewhere or sound or found
        if not candidates:
            return None
        drawn = self._random.sample(candidates, min(_COMPARED, len(candidates)))
        return min(drawn, key=self._burden)

    def has_other(self, host: str) -> bool:
        """Return whether a request may go to another daemon than one."""
        return any(each.host != host for each in self._addresses())

    def started(self, host: str) -> None:
        """Count a request at a daemon."""
        self.forwarded_count += 1
        self._in_flight_by_host[host] += 1

    def ended(self, host: str) -> None:
        """Count the end of a request at a daemon."""
        self._in_flight_by_host[host] -= 1
        if self._in_flight_by_host[host] <= 0:
            del self._in_flight_by_host[host]

    def refused(self, peer: DaemonAddress, now: float) -> None:
        """Avoid a daemon that refused a request or did not finish it, and its zone if possible."""
        self._doubted_until_by_zone[peer.zone] = now + _REFUSED_SECONDS
        self._avoid(peer.host, now, now + _REFUSED_SECONDS)

    def unreached(self, peer: DaemonAddress, now: float) -> None:
        """Avoid a daemon that could not be reached."""
        self._avoid(peer.host, now, now + _UNREACHED_SECONDS)

    def _doubted_until(self, zone: str) -> float:
        """Return until when daemons of a zone are asked last: all of it may be cut off."""
        return self._doubted_until_by_zone.get(zone, 0.0)

    def _avoid(self, host: str, now: float, until: float) -> None:
        self._avoided_until_by_host = {
            each: end for each, end in self._avoided_until_by_host.items() if end > now
        }
        self._avoided_until_by_host[host] = until

    def _burden(self, address: DaemonAddress) -> tuple[float, bool]:
        in_flight = self._in_flight_by_host[address.host]
        return in_flight / max(1, address.capacity), address.zone != self._own.zone
