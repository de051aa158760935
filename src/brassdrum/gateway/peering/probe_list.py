"""Hosts that are probed until a daemon answers there; performs no I/O."""

from __future__ import annotations

import random

__all__ = ["ProbeList"]

# How long a seed that does not reply is probed; daemons start within two seconds.
_SEED_SECONDS = 20.0
# Aggregators keep probing lost hosts, so that groups reconnect after a long network partition.
_LOST_PER_ROUND = 2
_MAX_LOST_HOSTS = 64


class ProbeList:
    """Keep seeds that have not replied and hosts whose daemons fell silent."""

    def __init__(self, rng: random.Random) -> None:
        self._random = rng
        self._seed_until_by_host: dict[str, float] = {}
        self._lost_hosts: dict[str, None] = {}

    def add_seed(self, host: str, now: float) -> None:
        """Add a host that may run a daemon."""
        self.add_lost(host)
        self._seed_until_by_host.setdefault(host, now + _SEED_SECONDS)

    def add_lost(self, host: str) -> None:
        """Add a host whose daemon fell silent; the oldest are dropped beyond a bound."""
        self._lost_hosts[host] = None
        while len(self._lost_hosts) > _MAX_LOST_HOSTS:
            del self._lost_hosts[next(iter(self._lost_hosts))]

    def found(self, host: str) -> None:
        """Remove a host whose daemon was heard."""
        self._seed_until_by_host.pop(host, None)
        self._lost_hosts.pop(host, None)

    def due(self, now: float, *, lost_too: bool) -> list[str]:
        """Return the hosts to probe now: all seeds, and with ``lost_too`` some lost hosts."""
        expired = [host for host, until in self._seed_until_by_host.items() if now > until]
        for host in expired:
            del self._seed_until_by_host[host]
        hosts = list(self._seed_until_by_host)
        if lost_too:
            count = min(_LOST_PER_ROUND, len(self._lost_hosts))
            hosts += self._random.sample(list(self._lost_hosts), count)
        return hosts
