"""Play a load shape against a fleet and count what its callers got."""

from __future__ import annotations

import random
from collections.abc import Callable, Sequence
from dataclasses import dataclass, field
from typing import Protocol

from brassdrum.bench.load.daemon import SERVICE, Fleet, SimulatedDaemon
from brassdrum.bench.load.endpoint_monitor import FailureModel
from brassdrum.bench.load.engine import SimulatedEngine
from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.bench.load.shapes import Arrival, Kind, Shape, shapes
from brassdrum.gateway.model import (
    DaemonAddress,
    DeclaredRequest,
    EngineModel,
    Headers,
    Organisation,
    Route,
    RouteKind,
    RouteTarget,
)
from brassdrum.gateway.placing.policies import Policy
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.request.patience import caller_stall_timeout

__all__ = ["ENGINE", "FirstTry", "LoadResult", "play"]

# An engine that reads 256 tokens a ms and writes 46 of each of 8 streams in a pass of 45 ms.
ENGINE = EngineModel(8, 450_000, 0.925, 0.00483, 0.00254, 256.0, 0.0917, 2048, 46, 0.1)
# Callers come back once, and honour a time of up to a third of what they have left.
_RETRIES = 1
_HONOURED_SHARE = 1 / 3
_LATE_WORTH = 0.25
# A long answer that began at the end of a run needs this much longer.
_AFTERWARDS_SECONDS = 16.0
_LOOK_SECONDS = 0.5
_HOSTS_PER_NET = 250
# The first daemon introduces the others to each other, which takes them less than this.
_SEED_HOST = "10.0.0.0"
_ACQUAINTED_SECONDS = 2.5


@dataclass(slots=True)
class Count:
    """Count what callers of one kind got; ``held`` are seconds waited for nothing.

    ``broken`` counts the streams among ``left`` that a daemon broke off, ``failed`` the answers
    among ``refused`` that did not say that the request has not run. ``turned_away`` counts all
    answers that did.
    """

    asked: int = 0
    timely: int = 0
    late: int = 0
    refused: int = 0
    left: int = 0
    broken: int = 0
    failed: int = 0
    turned_away: int = 0
    earned: float = 0.0
    owed: float = 0.0
    held: list[float] = field(default_factory=list)

    @property
    def share(self) -> float:
        """Return the share of requests that were served in time."""
        return self.timely / max(1, self.asked)


@dataclass(frozen=True, slots=True)
class FirstTry:
    """What became of a caller's first try; ``first_event`` in seconds, None if not served."""

    host: str
    at: float
    first_event: float | None
    request: str = ""
    kind: str = ""
    in_time: bool = False


@dataclass(slots=True)
class LoadResult:
    """Hold the figures of one run, and its ``fleet`` as it was left.

    ``ratios`` are first events over their predictions, ``queued`` counts requests that found no
    free place at their engine, ``served_at`` holds when answers were complete, and ``seconds`` how
    long the daemons ran.
    """

    fleet: Fleet
    by_kind: dict[str, Count] = field(default_factory=dict)
    repeats: int = 0
    queued: int = 0
    ratios: list[float] = field(default_factory=list)
    first_tries: list[FirstTry] = field(default_factory=list)
    served_at: list[float] = field(default_factory=list)
    seconds: float = 0.0

    @property
    def worth(self) -> float:
        """Return what was earned of what all answers in time would earn."""
        owed = sum(count.owed for count in self.by_kind.values())
        return sum(count.earned for count in self.by_kind.values()) / owed

    def predicted_share(self) -> float:
        """Return the share of first events within a factor of two of their prediction."""
        close = sum(1 for ratio in self.ratios if 0.5 <= ratio <= 2.0)
        return close / max(1, len(self.ratios))


class Connect(Protocol):
    """Bring a caller's request to a daemon."""

    def __call__(
        self, fleet: Fleet, rng: random.Random, name: str, ready: Callable[[SimulatedDaemon], None]
    ) -> None:
        """Call ``ready`` with the daemon that has read the request."""


def _any_daemon(
    fleet: Fleet, rng: random.Random, _name: str, ready: Callable[[SimulatedDaemon], None]
) -> None:
    """Draw a daemon, which reads the request at once."""
    ready(rng.choice(fleet.daemons))


def play(
    shape: str | Shape,
    policy: Policy,
    *,
    load: float,
    seed: int,
    seconds: float,
    daemons: int = 7,
    engines: int = 21,
    zones: int = 1,
    adjust: Callable[[SimulatedDaemon], None] = lambda _: None,
    begin: Callable[[Fleet], None] = lambda _: None,
    connect: Connect | None = None,
    cold_rate: float | None = None,
    acquainted_seconds: float = _ACQUAINTED_SECONDS,
    slowdowns: Sequence[float] = (),
    model: EngineModel = ENGINE,
    failures: FailureModel | None = None,
) -> LoadResult:
    """Return what callers got; rates are per 21 engines and scale with their number.

    ``adjust`` may switch a decision of a daemon off, to show what it is worth. ``begin`` is called
    before the first request, and may schedule faults. ``connect`` chooses the daemon of each
    request. Engines that are cold take ``cold_rate`` requests per second. Requests begin
    ``acquainted_seconds`` after the start of the daemons. The passes of the first engines take
    ``slowdowns`` times as long as those of their ``model``. With ``failures`` engines that are full
    refuse requests, and daemons avoid those that fail.
    """
    rng = random.Random(seed)
    loop = SimulatedLoop()
    started_at = loop.now()
    names = [f"engine-{number}" for number in range(engines)]
    network = SimulatedNetwork(loop, random.Random(seed))
    queue_limit = None if failures is None else failures.queue_limit
    engine_by_id = {name: SimulatedEngine(loop, name, model, queue_limit) for name in names}
    for engine, slowdown in zip(engine_by_id.values(), slowdowns, strict=False):
        engine.slowdown = slowdown
    fleet = Fleet(
        loop, network, model, engine_by_id, policy, [], cold_rate=cold_rate, failures=failures
    )
    for number in range(daemons):
        address = DaemonAddress(_host(number, zones), f"zone-{number % zones}")
        daemon_rng = random.Random(seed * 100 + number)
        daemon = SimulatedDaemon(f"daemon-{number}", address, fleet, daemon_rng)
        daemon.peers.add_seed(_SEED_HOST)
        adjust(daemon)
        fleet.daemons.append(daemon)
    loop.advance(acquainted_seconds)
    begin(fleet)
    result = LoadResult(fleet)
    callers = []
    draw = shapes.get(shape) if isinstance(shape, str) else shape
    for arrival in draw(rng, load * engines / 21, seconds):
        caller = _Caller(fleet, rng, arrival, result, connect or _any_daemon)
        loop.call_later(arrival.at, caller.call)
        callers.append(caller)
    loop.advance(seconds)
    latest = loop.now() + _AFTERWARDS_SECONDS
    while loop.now() < latest and not all(caller.over for caller in callers):
        loop.advance(_LOOK_SECONDS)
    result.seconds = loop.now() - started_at
    result.repeats = sum(len(daemon.retries.times) for daemon in fleet.daemons)
    result.queued = sum(engine.queued for engine in fleet.engine_by_id.values())
    return result


class _Caller:
    """Ask once, come back once if told to, and judge what came."""

    def __init__(
        self,
        fleet: Fleet,
        rng: random.Random,
        arrival: Arrival,
        result: LoadResult,
        connect: Connect,
    ) -> None:
        self._fleet = fleet
        self._connect = connect
        self._random = rng
        self._arrival = arrival
        self._result = result
        self._count = result.by_kind.setdefault(arrival.kind.name, Count())
        kind = arrival.kind
        self._worth = kind.worth * (0.3 + 0.7 * arrival.prompt / kind.prompt)
        self._route = _route(kind)
        self._tries = 0
        self._name = ""
        self._first_at: float | None = None
        self._last_at = 0.0
        self._pause = 0.0
        self.over = False
        self._away = False
        self._exchange: Exchange | None = None
        self._daemon: SimulatedDaemon | None = None

    def call(self) -> None:
        """Connect to a daemon and ask it."""
        now = self._fleet.loop.now()
        if self._tries == 0:
            self._asked_at = now
            self._count.asked += 1
            self._count.owed += self._worth
        self._tries += 1
        self._away = False
        self._called_at = self._last_at = now
        self._name = f"{id(self)}-{self._tries}"
        self._connect(self._fleet, self._random, self._name, self._ask)

    def _ask(self, daemon: SimulatedDaemon) -> None:
        """Hand the request to a daemon that has read it."""
        name, self._daemon = self._name, daemon
        left = self._arrival.kind.deadline - (self._fleet.loop.now() - self._asked_at)
        self._daemon.events_by_request[name] = self._arrival.events
        self._daemon.route_by_request[name] = self._route
        tokens = self._arrival.events * ENGINE.steps_per_pass
        request = DeclaredRequest(
            name, b"POST", b"/", "host", [], left, None, self._arrival.prompt, tokens
        )
        name = self._arrival.kind.organisation
        organisation = Organisation(name, frozenset()) if name else None
        self._exchange = Exchange(
            self._daemon, self, request, b"", self._route, organisation, self._daemon.loop.now()
        )
        self._exchange.service = SERVICE
        self._daemon.retries.record_request()
        self._exchange.start()
        self._watch()

    # What an exchange tells its caller's connection.

    def start_response(self, _status: int, _headers: Headers) -> None:
        """Take the start of an answer."""

    def send_data(self, _content: bytes) -> None:
        """Note when events come."""
        now = self._fleet.loop.now()
        if self._first_at is None:
            self._first_at = now
            self._note_prediction(now)
        else:
            self._pause = max(self._pause, now - self._last_at)
        self._last_at = now

    def end_response(self) -> None:
        """Judge a whole answer."""
        self.over = True
        assert self._first_at is not None
        self._result.served_at.append(self._fleet.loop.now())
        kind = self._arrival.kind
        in_time = self._first_at - self._asked_at <= kind.objective and self._pause <= kind.pause
        self._note_first_try(self._first_at - self._called_at, in_time=in_time)
        self._count.timely += in_time
        self._count.late += not in_time
        self._count.earned += self._worth * (1.0 if in_time else _LATE_WORTH)

    def send_response(self, status: int, headers: Headers, _body: bytes) -> None:
        """Come back after a refusal, once."""
        self._note_first_try(None)
        now = self._fleet.loop.now()
        left = self._arrival.kind.deadline - (now - self._asked_at)
        self._count.held.append(now - self._called_at)
        self._count.turned_away += status == 503
        if status == 503 and self._tries <= _RETRIES:
            self._away = True
            wanted = float(dict(headers).get(b"Retry-After", b"0"))
            self._fleet.loop.call_later(min(wanted, left * _HONOURED_SHARE), self.call)
            return
        self.over = True
        self._count.refused += 1
        self._count.failed += status != 503

    def abort(self) -> None:
        """Count an answer that was broken off."""
        self.over = True
        self._note_first_try(None)
        self._count.left += 1
        self._count.broken += 1

    def _watch(self) -> None:
        tries = self._tries
        patience = caller_stall_timeout(self._route)

        def look() -> None:
            if self.over or self._away or tries != self._tries:
                return
            silent = self._fleet.loop.now() - self._last_at
            if silent < patience - 1e-6:
                self._fleet.loop.call_later(patience - silent, look)
                return
            self.over = True
            self._note_first_try(None)
            self._count.left += 1
            self._count.held.append(silent)
            assert self._exchange is not None and self._daemon is not None
            self._daemon.caller_left(self._exchange)

        self._fleet.loop.call_later(patience, look)

    def _note_first_try(self, first_event: float | None, *, in_time: bool = False) -> None:
        assert self._daemon is not None
        if self._tries != 1:
            return
        kind = self._arrival.kind.name
        self._result.first_tries.append(
            FirstTry(self._daemon.own_host, self._called_at, first_event, self._name, kind, in_time)
        )

    def _note_prediction(self, now: float) -> None:
        assert self._daemon is not None and self._exchange is not None
        for prediction in reversed(self._daemon.predictions):
            if prediction.request != self._exchange.request.id:
                continue
            took = (now - self._called_at) * 1000 - prediction.waited_ms
            self._result.ratios.append(took / max(1.0, prediction.first_event_ms))
            return


def _host(number: int, zones: int) -> str:
    return f"10.{number % zones}.{number // _HOSTS_PER_NET}.{number % _HOSTS_PER_NET}"


def _route(kind: Kind) -> Route:
    return Route(
        kind.name,
        "host",
        "/",
        RouteKind.STREAM,
        (RouteTarget(SERVICE, 1.0),),
        timeout=kind.deadline,
        objective=kind.objective,
        priority=kind.priority,
        max_attempts=2,
        resumable=True,
        pause_objective=kind.pause,
    )
