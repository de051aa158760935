"""Measure how daemons keep to the bound of cold endpoints, in simulated time."""

from __future__ import annotations

import bisect
import random
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.bench.load.daemon import Fleet, SimulatedDaemon
from brassdrum.bench.load.engine import SimulatedEngine
from brassdrum.bench.load.play import play
from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.placing.policies import policies
from brassdrum.registry import Registry

__all__ = ["ColdPlan", "ColdResult", "allowed_in_a_second", "cold_troubles", "play_cold"]

# The platform's rule for the requests in any second at a cold endpoint.
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
_WINDOW_SECONDS = 1.0
_READ_SECONDS = 0.56
# One daemon reads a changed list first; the others copy it within about this time.
_COPY_SECONDS = 0.3
_COLD_AT_SECONDS = 2.0
_TROUBLE_AT_SECONDS = 4.0
_OUTAGE_SECONDS = 4.0
_LOSS_SHARE = 0.1
_RESTARTED_SHARE = 0.25


@dataclass(frozen=True, slots=True)
class ColdPlan:
    """What to play: ``cold`` of the engines take ``cold_rate`` requests a second while cold.

    ``requests`` a second come to the fleet. The engines are cold for ``cold_seconds`` from 2 s on,
    and daemons learn it first from the list or, with ``listed`` off, from a response.
    """

    daemons: int
    cold_rate: float | None
    requests: float
    engines: int = 6
    cold: int = 6
    cold_seconds: float = 8.0
    listed: bool = True
    trouble: str = "none"
    seconds: float = 12.0
    seed: int = 1
    zones: int = 3


@dataclass(frozen=True, slots=True)
class ColdResult:
    """The most requests in any second at one cold engine, and what callers got."""

    most: int
    allowed: float
    cold_share: float
    asked: int
    served: int
    refused: int
    median_ms: float


Trouble = Callable[[Fleet, random.Random], None]
cold_troubles: Registry[Trouble] = Registry("trouble of a fleet with cold endpoints")


@cold_troubles.register("none")
def _none(_fleet: Fleet, _rng: random.Random) -> None:
    """Let all go well."""


@cold_troubles.register("lost messages")
def _lose(fleet: Fleet, _rng: random.Random) -> None:
    """Lose one in ten messages between daemons."""
    fleet.network.loss = _LOSS_SHARE


@cold_troubles.register("late messages")
def _delay(fleet: Fleet, _rng: random.Random) -> None:
    """Let one in ten messages between daemons come late, after later ones."""
    fleet.network.late = _LOSS_SHARE


@cold_troubles.register("halves")
def _halve(fleet: Fleet, _rng: random.Random) -> None:
    """Let two halves of the daemons lose each other; both get requests and reach the engines."""
    _split(fleet, 2)


@cold_troubles.register("thirds")
def _third(fleet: Fleet, _rng: random.Random) -> None:
    """Let three parts of the daemons lose each other."""
    _split(fleet, 3)


@cold_troubles.register("single daemons")
def _cut_some(fleet: Fleet, rng: random.Random) -> None:
    """Cut off a quarter of the daemons, each from all others; they get requests still."""
    hosts = {each.own_host for each in _some(fleet, rng)}
    loop, network = fleet.loop, fleet.network
    loop.call_later(_TROUBLE_AT_SECONDS, lambda: network.cut.update(hosts))
    end = _TROUBLE_AT_SECONDS + _OUTAGE_SECONDS
    loop.call_later(end, lambda: network.cut.difference_update(hosts))


@cold_troubles.register("restarts")
def _restart(fleet: Fleet, rng: random.Random) -> None:
    """Replace a quarter of the daemons and all aggregators by new processes, at once."""
    fleet.loop.call_later(_TROUBLE_AT_SECONDS, lambda: _restart_now(fleet, rng))


def _restart_now(fleet: Fleet, rng: random.Random) -> None:
    aggregators = [each for each in fleet.daemons if each.peers.is_aggregator]
    for daemon in {each.own_host: each for each in [*aggregators, *_some(fleet, rng)]}.values():
        daemon.datagrams.close()
        fleet.daemons.remove(daemon)
        address = DaemonAddress(daemon.own_host, daemon.zone)
        seed = random.Random(rng.random())
        new = SimulatedDaemon(daemon.name, address, fleet, seed, incarnation=2)
        for other in fleet.daemons[:2]:
            new.peers.add_seed(other.own_host)
        _read_list(new, _listed_seconds(fleet))
        fleet.daemons.append(new)


def _some(fleet: Fleet, rng: random.Random) -> list[SimulatedDaemon]:
    return rng.sample(fleet.daemons, max(1, round(len(fleet.daemons) * _RESTARTED_SHARE)))


def _split(fleet: Fleet, parts: int) -> None:
    part_by_host = {each.own_host: number % parts for number, each in enumerate(fleet.daemons)}
    ways = {
        (one, other)
        for one, part in part_by_host.items()
        for other, other_part in part_by_host.items()
        if part != other_part
    }
    network = fleet.network
    fleet.loop.call_later(_TROUBLE_AT_SECONDS, lambda: network.cut_ways.update(ways))
    end = _TROUBLE_AT_SECONDS + _OUTAGE_SECONDS
    fleet.loop.call_later(end, network.cut_ways.clear)


def _listed_seconds(fleet: Fleet) -> dict[str, float]:
    """Return what the list shows of each engine."""
    now = fleet.loop.now()
    return {each.name: max(0.0, each.cold_until - now) for each in fleet.engine_by_id.values()}


def _read_list(daemon: SimulatedDaemon, seconds_by_engine: dict[str, float]) -> None:
    daemon.cold.list_read(seconds_by_engine, daemon.loop.now())


def allowed_in_a_second(cold_rate: float) -> float:
    """Return the most requests that a cold endpoint may get in any second."""
    return _EXCESS_FACTOR * cold_rate * _WINDOW_SECONDS + _EXCESS_REQUESTS


def play_cold(plan: ColdPlan) -> ColdResult:
    """Return what cold engines got from daemons that share them, and what callers got."""
    rng = random.Random(plan.seed)

    def turn_cold(fleet: Fleet) -> None:
        until = fleet.loop.now() + plan.cold_seconds
        for engine in list(fleet.engine_by_id.values())[: plan.cold]:
            engine.cold_until = until
        if plan.listed:
            _read_list(rng.choice(fleet.daemons), _listed_seconds(fleet))
            fleet.loop.call_later(_COPY_SECONDS, lambda: read_lists(fleet))

    def read_lists(fleet: Fleet) -> None:
        for daemon in fleet.daemons:
            _read_list(daemon, _listed_seconds(fleet))
        fleet.loop.call_later(_READ_SECONDS, lambda: read_lists(fleet))

    def begin(fleet: Fleet) -> None:
        if plan.listed:
            for daemon in fleet.daemons:
                _read_list(daemon, _listed_seconds(fleet))
        fleet.loop.call_later(_COLD_AT_SECONDS, lambda: turn_cold(fleet))
        cold_troubles.get(plan.trouble)(fleet, rng)

    result = play(
        "quick",
        policies.get("least_harm"),
        load=plan.requests / plan.engines,
        seed=plan.seed,
        seconds=plan.seconds,
        daemons=plan.daemons,
        engines=plan.engines,
        zones=plan.zones,
        begin=begin,
        cold_rate=plan.cold_rate,
    )
    all_engines = list(result.fleet.engine_by_id.values())
    engines = all_engines[: plan.cold]
    count = result.by_kind["quick"]
    all_arrivals = sum(len(each.arrivals) for each in all_engines)
    times = sorted(each.first_event for each in result.first_tries if each.first_event is not None)
    return ColdResult(
        most=max(_most_while_cold(each, plan.cold_seconds) for each in engines),
        allowed=allowed_in_a_second(plan.cold_rate or 0.0),
        cold_share=sum(len(_while_cold(each, plan.cold_seconds)) for each in engines)
        / max(1, all_arrivals),
        asked=count.asked,
        served=count.timely + count.late,
        refused=count.refused,
        median_ms=1000 * times[len(times) // 2] if times else 0.0,
    )


def _while_cold(engine: SimulatedEngine, cold_seconds: float) -> list[float]:
    began_at = engine.cold_until - cold_seconds
    return [at for at in engine.arrivals if began_at <= at < engine.cold_until]


def _most_while_cold(engine: SimulatedEngine, cold_seconds: float) -> int:
    times = _while_cold(engine, cold_seconds)
    return max(
        (bisect.bisect_left(times, at + _WINDOW_SECONDS) - n for n, at in enumerate(times)),
        default=0,
    )
