"""Measure how daemons serve while one of them gets most new connections, in simulated time.

The gateway's own exchanges, peers and acceptance of connections run on simulated engines. A daemon
reads requests one after the other; what that takes is a parameter, measured elsewhere.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field

from brassdrum.bench.load.daemon import Fleet, SimulatedDaemon
from brassdrum.bench.load.play import FirstTry, play
from brassdrum.gateway.net.accept_gate import AcceptGate
from brassdrum.gateway.placing.policies import policies

__all__ = ["CrowdPlan", "CrowdResult", "play_crowd"]

_FEWEST_ENGINES = 21
_CALM_SECONDS = 5.0
# The platform's time from which on the crowded daemon has to serve.
_SETTLED_SECONDS = 3.0
_MAX_CONNECTIONS = 4000
# A caller whose connection is closed unread connects to another daemon.
_RECONNECT_SECONDS = 0.01


@dataclass(frozen=True, slots=True)
class CrowdPlan:
    """What to play.

    ``share`` of the new connections go to one daemon for ``turn_seconds``, then to the next one, in
    ``turns`` turns. ``read_ms`` is the processor time that a daemon needs for a request.
    With ``cut`` it loses the path to all engines when its turn begins. ``rate_limit`` is what each
    engine names as
    the requests a second that it takes.
    """

    daemons: int
    share: float = 0.9
    load: float = 1.0
    read_ms: float = 2.0
    turns: int = 2
    turn_seconds: float = 6.0
    seed: int = 1
    zones: int = 3
    cut: bool = False
    rate_limit: float | None = None


@dataclass(frozen=True, slots=True)
class CrowdResult:
    """First tries served by a daemon while it was crowded, and by any daemon before.

    ``first_tries`` counts those that it has read. Of ``closed_unread`` connections
    ``served_elsewhere`` were served by another daemon. ``median_ms`` are times to the first event.
    """

    first_tries: int
    served: float
    served_before: float
    closed_unread: int
    served_elsewhere: int
    longest_lag_ms: float


@dataclass(slots=True)
class _Door:
    """Read the requests of one daemon one after the other, and close what waits too long."""

    gate: AcceptGate = field(default_factory=lambda: AcceptGate(_MAX_CONNECTIONS))
    free_at: float = 0.0
    longest_lag: float = 0.0

    def take(self, now: float, read_seconds: float) -> float | None:
        """Return the time at which a request is read, or None if its connection is closed."""
        lag = max(0.0, self.free_at - now)
        if not self.gate.check(0, lag).admitted:
            return None
        self.longest_lag = max(self.longest_lag, lag)
        self.free_at = max(now, self.free_at) + read_seconds
        return self.free_at


class _Balancer:
    """Choose the daemon of each new connection and let it read the request."""

    def __init__(self, plan: CrowdPlan) -> None:
        self._plan = plan
        self._door_by_host: dict[str, _Door] = {}
        self._began_at: float | None = None
        self.closed_unread: set[str] = set()

    @property
    def longest_lag(self) -> float:
        return max((door.longest_lag for door in self._door_by_host.values()), default=0.0)

    def connect(
        self, fleet: Fleet, rng: random.Random, name: str, ready: Callable[[SimulatedDaemon], None]
    ) -> None:
        """Call ``ready`` with the daemon that has read the request."""
        now = fleet.loop.now()
        if self._began_at is None:
            self._began_at = now
        crowded = self.crowded(fleet, now)
        if crowded is None or rng.random() >= self._plan.share:
            crowded = rng.choice(fleet.daemons)
        elif self._plan.cut:
            crowded.pool.cut = True
        self._enter(fleet, rng, name, crowded, ready)

    def crowded(self, fleet: Fleet, now: float, settled: float = 0.0) -> SimulatedDaemon | None:
        """Return the daemon that has got most new connections for some seconds."""
        assert self._began_at is not None
        since = now - self._began_at - _CALM_SECONDS
        turn, within = divmod(since, self._plan.turn_seconds)
        if since < 0 or turn >= self._plan.turns or within < settled:
            return None
        return fleet.daemons[int(turn) % len(fleet.daemons)]

    def _enter(
        self,
        fleet: Fleet,
        rng: random.Random,
        name: str,
        daemon: SimulatedDaemon,
        ready: Callable[[SimulatedDaemon], None],
    ) -> None:
        now = fleet.loop.now()
        door = self._door_by_host.setdefault(daemon.own_host, _Door())
        read_at = door.take(now, self._plan.read_ms / 1000)
        if read_at is not None:
            fleet.loop.call_later(read_at - now, lambda: ready(daemon))
            return
        self.closed_unread.add(name)
        other = rng.choice([each for each in fleet.daemons if each is not daemon])
        fleet.loop.call_later(
            _RECONNECT_SECONDS, lambda: self._enter(fleet, rng, name, other, ready)
        )


def play_crowd(plan: CrowdPlan) -> CrowdResult:
    """Return how a crowded daemon served the first tries that it had read."""

    def begin(fleet: Fleet) -> None:
        for engine in fleet.engine_by_id.values():
            engine.rate_limit = plan.rate_limit

    balancer = _Balancer(plan)
    result = play(
        "steady",
        policies.get("least_harm"),
        load=plan.load,
        seed=plan.seed,
        seconds=_CALM_SECONDS + plan.turns * plan.turn_seconds,
        daemons=plan.daemons,
        engines=max(_FEWEST_ENGINES, plan.daemons),
        zones=plan.zones,
        begin=begin,
        connect=balancer.connect,
    )
    fleet = result.fleet
    before, crowded = [], []
    elsewhere = 0
    for tried in result.first_tries:
        host = balancer.crowded(fleet, tried.at, _SETTLED_SECONDS)
        if tried.request in balancer.closed_unread:
            elsewhere += tried.first_event is not None
        elif host is not None and host.own_host == tried.host:
            crowded.append(tried)
        elif balancer.crowded(fleet, tried.at) is None:
            before.append(tried)
    return CrowdResult(
        first_tries=len(crowded),
        served=_served(crowded),
        served_before=_served(before),
        closed_unread=len(balancer.closed_unread),
        served_elsewhere=elsewhere,
        longest_lag_ms=round(1000 * balancer.longest_lag),
    )


def _served(tries: list[FirstTry]) -> float:
    return sum(each.first_event is not None for each in tries) / max(1, len(tries))
