"""Measure what other callers get while one organisation, or less urgent requests, flood a fleet."""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from brassdrum.bench.load.daemon import Fleet, SimulatedDaemon
from brassdrum.bench.load.message_bytes import MessageBytes, MessagePart
from brassdrum.bench.load.play import FirstTry, LoadResult, play
from brassdrum.bench.load.shapes import Arrival, Kind, draw
from brassdrum.bench.load.troubles import troubles
from brassdrum.gateway.placing.policies import policies

__all__ = ["FloodPlan", "FloodResult", "play_flood"]

# Requests that hold a slot for 1.6 s on a full engine, so that 10 engines of 8 slots serve 50 a
# second.
_OTHERS = Kind("others", 1.0, 500, 0.1, 34, 1.0, 0.5, 10.0, 1.0, "small", 1)
_FLOOD = replace(_OTHERS, name="flood", organisation="large")
_LESS_URGENT = 2
# The first seconds of a flood, in which all slots become used, don't count as served load.
_FILLING_SECONDS = 2.0
_LOAD_OF_ONE = 21.0


@dataclass(frozen=True, slots=True)
class FloodPlan:
    """What to play; rates are per second, ``urgent`` floods with less urgent requests instead.

    The others ask from the beginning, the flood begins after ``quiet`` seconds. With ``same`` the
    flood has the organisation of the others.
    """

    daemons: int
    flood: float = 110.0
    others: float = 5.0
    engines: int = 10
    events: int = 34
    quiet: float = 8.0
    seconds: float = 16.0
    seed: int = 1
    zones: int = 3
    urgent: bool = False
    same: bool = False
    trouble: str = "none"


@dataclass(frozen=True, slots=True)
class FloodResult:
    """Shares of the others' first tries in time, and what the fleet served per second.

    Bytes are those sent and received during the flood, or with ``sent`` in their name only those
    sent; of the busiest daemon, or with ``mean`` in their name of all daemons.
    """

    before: float
    during: float
    flood: float
    served: float
    queued: int
    bytes_per_second: float
    mean_bytes_per_second: float
    sent_bytes_per_second: float
    mean_sent_bytes_per_second: float


def play_flood(
    plan: FloodPlan,
    adjust: Callable[[SimulatedDaemon], None] = lambda _: None,
    on_messages: Callable[[list[MessagePart]], None] | None = None,
) -> FloodResult:
    """Return what others got before and during a flood.

    ``on_messages`` gets what daemons sent to each other during the flood; counting takes time.
    """
    sent = MessageBytes()
    began_at = 0.0

    def begin(fleet: Fleet) -> None:
        nonlocal began_at
        began_at = fleet.loop.now()
        troubles.get(plan.trouble)(fleet)
        fleet.loop.call_later(plan.quiet, lambda: start_counting(fleet))

    def start_counting(fleet: Fleet) -> None:
        _clear_traffic(fleet)
        if on_messages is not None:
            fleet.network.on_send = sent.add

    result = play(
        _arrivals(plan),
        policies.get("least_harm"),
        load=_LOAD_OF_ONE / plan.engines,
        seed=plan.seed,
        seconds=plan.quiet + plan.seconds,
        daemons=plan.daemons,
        engines=plan.engines,
        zones=plan.zones,
        adjust=adjust,
        begin=begin,
    )
    fleet = result.fleet
    traffic = fleet.network.traffic_by_host.values()
    seconds = fleet.loop.now() - began_at - plan.quiet
    if on_messages is not None:
        on_messages(sent.table(seconds, plan.daemons))
    sums = [each.sent_bytes + each.got_bytes for each in traffic]
    flood_at = began_at + plan.quiet
    others = [each for each in result.first_tries if each.kind == _OTHERS.name]
    return FloodResult(
        _in_time([each for each in others if each.at < flood_at]),
        _in_time([each for each in others if each.at >= flood_at]),
        _in_time([each for each in result.first_tries if each.kind == _FLOOD.name]),
        _served(result, flood_at + _FILLING_SECONDS, flood_at + plan.seconds),
        result.queued,
        round(max(sums) / seconds),
        round(sum(sums) / len(sums) / seconds),
        round(max(each.sent_bytes for each in traffic) / seconds),
        round(sum(each.sent_bytes for each in traffic) / len(sums) / seconds),
    )


def _arrivals(plan: FloodPlan) -> Callable[[random.Random, float, float], list[Arrival]]:
    others = replace(_OTHERS, events=plan.events, priority=0 if plan.urgent else 1)
    flood = replace(
        _FLOOD,
        events=plan.events,
        priority=_LESS_URGENT if plan.urgent else 1,
        organisation=others.organisation if plan.same else _FLOOD.organisation,
    )

    def arrivals(rng: random.Random, _load: float, seconds: float) -> list[Arrival]:
        asked = draw(rng, seconds, {others: plan.others})
        flooding = draw(rng, seconds - plan.quiet, {flood: plan.flood})
        later = [replace(each, at=each.at + plan.quiet) for each in flooding]
        return sorted([*asked, *later], key=lambda each: each.at)

    return arrivals


def _clear_traffic(fleet: Fleet) -> None:
    for traffic in fleet.network.traffic_by_host.values():
        traffic.sent_bytes = traffic.got_bytes = 0


def _in_time(tries: list[FirstTry]) -> float:
    return round(sum(each.in_time for each in tries) / max(1, len(tries)), 3)


def _served(result: LoadResult, since: float, until: float) -> float:
    count = sum(1 for at in result.served_at if since <= at < until)
    return round(count / (until - since), 1)
