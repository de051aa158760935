"""Count the calls to the store of a simulated fleet, by what the daemons go through.

The gateway's own followers and peers run in simulated time before a store in memory: all daemons
start, all restart at once, the store is away, and daemons are replaced one after the other.
"""

from __future__ import annotations

import random
from collections import Counter
from collections.abc import Callable
from concurrent.futures import Future
from dataclasses import dataclass, field
from statistics import median

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.clock import ManualClock
from brassdrum.errors import BrassdrumError, PlatformUnavailableError
from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.follower import KNOWLEDGE_PATH, Follower
from brassdrum.gateway.following.registration import Registration
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.start_page import DAEMONS_PATH, START_PATH
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import (
    Bounds,
    DaemonAddress,
    EndpointEntry,
    EndpointRecords,
    FleetConfiguration,
    OperatorRecords,
    StoreRecord,
)
from brassdrum.gateway.net.loop import Timer
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.http_pool import ConnectFailedError

__all__ = ["CountedStore", "FleetPlan", "PhaseCalls", "SimulatedFleet", "play_day"]

_CALL_SECONDS = 0.004
_FETCH_SECONDS = 0.004
_UNANSWERED_SECONDS = 1.0
_START_SPREAD_SECONDS = 0.3
_ENDPOINTS = 60
_ZONES = 3
_SEEDS = 3
_ROLLING_INTERVAL_SECONDS = 0.3


class CountedStore:
    """A store in memory that counts its calls by kind and can be silent."""

    def __init__(self) -> None:
        self.calls = 0
        self.era: int | None = 1
        self.silent = False
        # The host whose call is running, and those whose calls the store does not answer.
        self.caller = ""
        self.unanswered_hosts: set[str] = set()
        self.calls_by_kind: Counter[str] = Counter()
        self.addresses_by_name: dict[str, DaemonAddress] = {}
        self.version = 1
        self._entries_by_id = {
            f"e-{n}": EndpointEntry(
                f"e-{n}", "pool", f"10.9.0.{n}:80", f"zone-{n % _ZONES}", 8, False
            )
            for n in range(_ENDPOINTS)
        }

    def operator_records(self) -> OperatorRecords:
        """Return the configuration; no zone is evacuated."""
        self._count("configuration")
        configuration = StoreRecord("config", str(self.version).encode())
        return OperatorRecords(configuration, frozenset(), self.version, self.era)

    def endpoints(self) -> EndpointRecords:
        """Return the list of endpoints."""
        self._count("endpoints")
        return EndpointRecords(
            tuple(StoreRecord(name, name.encode()) for name in self._entries_by_id)
        )

    def daemons(self) -> dict[str, DaemonAddress]:
        """Return the addresses of daemons by name."""
        self._count("daemons")
        return dict(self.addresses_by_name)

    def announce(self, name: str, address: DaemonAddress) -> None:
        """Keep the address of a daemon."""
        self._count("announce")
        self.addresses_by_name[name] = address

    def quarantines(self) -> list[StoreRecord]:
        """Return no record."""
        self._count("quarantines")
        return []

    def save_quarantine(self, record: StoreRecord) -> None:
        """Keep nothing."""
        self._count("quarantine")

    def decode_configuration(self, record: StoreRecord) -> FleetConfiguration:
        """Return a configuration without routes."""
        return FleetConfiguration(int(record.value), (), {}, ())

    def decode_endpoint(self, record: StoreRecord) -> EndpointEntry:
        """Return an entry."""
        return self._entries_by_id[record.key]

    def _count(self, kind: str) -> None:
        self.calls += 1
        self.calls_by_kind[kind] += 1
        if self.silent or self.caller in self.unanswered_hosts:
            raise PlatformUnavailableError("The store does not answer.")


class _OwnTimers:
    """The timers of one daemon; none fires after the daemon has stopped."""

    def __init__(self, loop: SimulatedLoop) -> None:
        self._loop = loop
        self.clock = ManualClock()
        self.stopped = False

    def now(self) -> float:
        """Return simulated seconds."""
        return self._loop.now()

    def call_later(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Call a function after a number of seconds, unless the daemon has stopped."""
        timer = self._loop.call_later(seconds, lambda: None if self.stopped else callback())
        return timer

    def call_at(self, when: float, callback: Callable[[], None]) -> Timer:
        """Call a function at a time, unless the daemon has stopped."""
        return self.call_later(when - self.now(), callback)

    def post(self, callback: Callable[[], None]) -> None:
        """Call a function in the next round."""
        self.call_later(0.0, callback)


class _SimulatedFollower(Follower):
    """Run blocking calls in simulated time and fetch pages of other daemons in memory."""

    fleet: SimulatedFleet
    own_host: str

    def submit(self, work: Callable, done: Callable[[Future], None]) -> None:
        """Run the work now and hand out its result after the time that its calls take."""
        store = self.fleet.store
        store.caller = self.own_host
        before = store.calls
        future: Future = Future()
        try:
            future.set_result(work())
        except (BrassdrumError, ConnectFailedError, ValueError) as error:
            future.set_exception(error)
        calls = store.calls - before
        unanswered = isinstance(future.exception(), PlatformUnavailableError)
        seconds = _UNANSWERED_SECONDS if unanswered else calls * _CALL_SECONDS
        self._loop.call_later(seconds or _FETCH_SECONDS, lambda: done(future))

    def fetch(self, host: str, path: str) -> bytes:
        """Return a page of another daemon."""
        daemon = self.fleet.daemons_by_host.get(host)
        if daemon is None or host in self.fleet.network.cut:
            raise ConnectFailedError(f"no daemon runs on {host}")
        page = daemon.page(path)
        if page is None:
            raise ValueError("the peer responded with status 404")
        return page


@dataclass(frozen=True, slots=True)
class FleetPlan:
    """The size of a fleet, how its store is away, and the seed of all chance."""

    daemons: int = 82
    seconds_away: float = 6.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class PhaseCalls:
    """The calls to the store in one phase of a day, and how late configurations came."""

    phase: str
    calls: int
    announce: int
    daemons: int
    reads: int
    median_configured_ms: float
    last_configured_ms: float


class SimulatedDaemon:
    """The part of a daemon that follows the store and talks to its peers."""

    def __init__(self, fleet: SimulatedFleet, name: str, address: DaemonAddress) -> None:
        self.name = name
        self.address = address
        self._fleet = fleet
        self._timers = _OwnTimers(fleet.loop)
        self.started_at = fleet.loop.now()
        self.has_held_requests = False
        self.configured_at: float | None = None
        # Pages that a daemon of the previous release does not have.
        self.missing_pages: frozenset[str] = frozenset()
        self.routing_state = RoutingState()
        table = LoadTable()
        self.guard = CrashGuard(self._timers, table)
        self.monitor = EndpointMonitor(
            self._timers, self.routing_state, _NoPool(), self._changed, self.guard
        )
        self.follower = _SimulatedFollower(
            self._timers,
            fleet.store,
            self.routing_state,
            Bounds(),
            1,
            self.monitor.observers(on_restored=self._rewrite),
        )
        self.follower.fleet = fleet
        self.follower.own_host = address.host
        self.monitor.set_follower(self.follower)
        self.peers = Peers(
            self._timers,
            fleet.network.join(address.host),
            name,
            address,
            round(fleet.loop.now() * 1000),
            table,
            self.monitor.build_peer_update,
            self.monitor.compare_with_peer,
            self.monitor.apply_peer_update,
            fleet.rng,
        )
        for host in fleet.seed_hosts:
            self.peers.add_seed(host)
        self.registration = Registration(
            self._timers,
            fleet.store,
            name,
            address,
            fleet.rng,
            self.follower.submit,
            self.follower.fetch,
            self.follower.store_failing,
        )
        self._start()
        self.guard.start(fleet.store, self.follower.submit, lambda: self.peers.rank == 0)

    def _start(self) -> None:
        seeds = [host for host in self._fleet.seed_hosts if host != self.address.host]
        self.follower.start(
            self.peers,
            self._fleet.rng,
            has_seeds=any(host < self.address.host for host in seeds),
            is_urgent=lambda: self.has_held_requests,
        )
        self.registration.start(self.peers, has_seeds=bool(seeds))

    def page(self, path: str) -> bytes | None:
        """Return a page that daemons serve each other, or None if this one has no such page."""
        if path in self.missing_pages:
            return None
        page_by_path = {
            KNOWLEDGE_PATH: self.follower.snapshot,
            START_PATH: self.follower.start_page,
            DAEMONS_PATH: self.registration.page,
        }
        return page_by_path[path]()

    def leave(self) -> None:
        """End with a notice to peers, as at a planned stop."""
        self.peers.close()
        self._timers.stopped = True

    def stop(self) -> None:
        """End without notice, as a crash does."""
        self._timers.stopped = True
        self._fleet.network.leave(self.address.host)

    def _rewrite(self) -> None:
        self.registration.look_again()

    def _changed(self) -> None:
        if self.routing_state.configuration is not None and self.configured_at is None:
            self.configured_at = self._fleet.loop.now()
            self._fleet.configured_after.append(self.configured_at - self.started_at)


class _NoPool:
    """Stand in for connections to endpoints, of which there are none."""

    def close_idle(self, address: str) -> None:
        """Close nothing."""


@dataclass(slots=True)
class SimulatedFleet:
    """The daemons of a run by host, their network and their store."""

    plan: FleetPlan
    loop: SimulatedLoop = field(default_factory=SimulatedLoop)
    store: CountedStore = field(default_factory=CountedStore)
    daemons_by_host: dict[str, SimulatedDaemon] = field(default_factory=dict)
    configured_after: list[float] = field(default_factory=list)
    seed_hosts: tuple[str, ...] = ()
    rng: random.Random = field(init=False)
    network: SimulatedNetwork = field(init=False)

    def __post_init__(self) -> None:
        """Choose the seeds."""
        self.rng = random.Random(self.plan.seed)
        self.network = SimulatedNetwork(self.loop, random.Random(self.plan.seed + 1))
        self.seed_hosts = self.seed_hosts or tuple(self.host(n) for n in range(_SEEDS))

    def host(self, number: int) -> str:
        """Return the host of a daemon by its number."""
        return f"10.0.{number // 200}.{number % 200 + 1}"

    def start(
        self, number: int, host: str | None = None, name: str | None = None
    ) -> SimulatedDaemon:
        """Start a daemon, in place of the one that runs on its host."""
        address = DaemonAddress(host or self.host(number), f"zone-{number % _ZONES}", 5)
        if address.host in self.daemons_by_host:
            self.stop(address.host)
        daemon = SimulatedDaemon(self, name or f"daemon-{number}", address)
        self.daemons_by_host[address.host] = daemon
        return daemon

    def stop(self, host: str) -> None:
        """End a daemon without notice."""
        self.daemons_by_host.pop(host).stop()

    def start_all(self, spread: float = _START_SPREAD_SECONDS) -> None:
        """Start all daemons within a time, as after a loss of power."""
        for host in list(self.daemons_by_host):
            self.stop(host)
        for number in range(self.plan.daemons):
            delay = self.rng.uniform(0.0, spread)
            self.loop.call_later(delay, lambda n=number: self.start(n))

    def roll(self, count: int) -> None:
        """Replace daemons one after the other, each by one on its host."""
        for number in range(count):
            self.loop.call_later(
                number * _ROLLING_INTERVAL_SECONDS,
                lambda n=number % self.plan.daemons: self._replace(n),
            )

    def _replace(self, number: int) -> None:
        self.daemons_by_host.pop(self.host(number)).leave()
        self.start(number)

    def count(self, phase: str, seconds: float) -> PhaseCalls:
        """Let time go by and return the calls meanwhile."""
        self.configured_after.clear()
        before = Counter(self.store.calls_by_kind)
        self.loop.advance(seconds)
        made = Counter(self.store.calls_by_kind)
        made.subtract(before)
        delays = sorted(1000 * each for each in self.configured_after) or [0.0]
        return PhaseCalls(
            phase,
            made.total(),
            made["announce"],
            made["daemons"],
            made["endpoints"] + made["configuration"],
            round(median(delays), 1),
            round(delays[-1], 1),
        )


def play_day(plan: FleetPlan) -> list[PhaseCalls]:
    """Play a day of 50 s and return the calls of each phase, and their sum."""
    fleet = SimulatedFleet(plan)
    phases = []
    fleet.start_all()
    phases.append(fleet.count("all start", 5.0))
    phases.append(fleet.count("nothing happens", 5.0))
    fleet.start_all()
    phases.append(fleet.count("all restart", 5.0))
    fleet.store.silent = True
    phases.append(fleet.count("store away", plan.seconds_away))
    fleet.store.silent = False
    phases.append(fleet.count("store back", 10.0 - plan.seconds_away))
    fleet.roll(plan.daemons)
    phases.append(fleet.count("daemons are replaced", 25.0))
    delays = [each.last_configured_ms for each in phases]
    total = PhaseCalls(
        "sum",
        sum(each.calls for each in phases),
        sum(each.announce for each in phases),
        sum(each.daemons for each in phases),
        sum(each.reads for each in phases),
        0.0,
        max(delays),
    )
    return [*phases, total]
