"""Measure how daemons keep to the rate limit of one endpoint, in simulated time."""

from __future__ import annotations

import bisect
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.bench.load.daemon import Fleet, SimulatedDaemon
from brassdrum.bench.load.play import play
from brassdrum.gateway.placing.policies import policies
from brassdrum.registry import Registry

__all__ = [
    "WINDOW_SECONDS",
    "LimitPlan",
    "LimitResult",
    "allowed_requests",
    "play_limit",
    "troubles",
]

WINDOW_SECONDS = 4.0
# The platform's rule: in each window one and a half times the limit, and five requests.
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
# After the first response that names the limit.
_GRACE_SECONDS = 3.0
_LOSS_SHARE = 0.05
_REPLACED_DAEMONS = 3
_REPLACEMENT_GAP_SECONDS = 0.3
_TROUBLE_AT_SECONDS = 8.0
_OUTAGE_SECONDS = 4.0

Trouble = Callable[[Fleet], None]
troubles: Registry[Trouble] = Registry("trouble of a limited endpoint")


@troubles.register("none")
def none(_fleet: Fleet) -> None:
    """Let all go well."""


@troubles.register("lost messages")
def lose_messages(fleet: Fleet) -> None:
    """Lose one in twenty messages between daemons."""
    fleet.network.loss = _LOSS_SHARE


@troubles.register("late messages")
def delay_messages(fleet: Fleet) -> None:
    """Let one in twenty messages between daemons come late, after later ones."""
    fleet.network.late = _LOSS_SHARE


@troubles.register("replaced daemons")
def replace_daemons(fleet: Fleet) -> None:
    """Take three daemons away one after the other; they come back later."""
    for number, daemon in enumerate(fleet.daemons[:_REPLACED_DAEMONS]):
        at = _TROUBLE_AT_SECONDS + number * _REPLACEMENT_GAP_SECONDS
        fleet.loop.call_later(at, lambda each=daemon: _take_away(fleet, each))
        fleet.loop.call_later(at + _OUTAGE_SECONDS, lambda each=daemon: _bring_back(fleet, each))


@troubles.register("cut aggregators")
def cut_aggregators(fleet: Fleet) -> None:
    """Cut off three of the daemons that schedule, in turn; they come back as they were."""
    fleet.loop.call_later(_TROUBLE_AT_SECONDS, lambda: _cut_aggregators(fleet))


@troubles.register("cut in two")
def cut_in_two(fleet: Fleet) -> None:
    """Let the two halves of the daemons lose each other for a while; both reach the endpoint."""
    hosts = [daemon.peers.own_host for daemon in fleet.daemons]
    first, second = hosts[::2], hosts[1::2]
    ways = {(one, other) for one in first for other in second}
    ways |= {(other, one) for one, other in ways}
    network = fleet.network
    fleet.loop.call_later(_TROUBLE_AT_SECONDS, lambda: network.cut_ways.update(ways))
    end = _TROUBLE_AT_SECONDS + _OUTAGE_SECONDS
    fleet.loop.call_later(end, network.cut_ways.clear)


def _cut_aggregators(fleet: Fleet) -> None:
    aggregators = [daemon for daemon in fleet.daemons if daemon.peers.is_aggregator]
    for number, daemon in enumerate(aggregators[:_REPLACED_DAEMONS]):
        after = number * _REPLACEMENT_GAP_SECONDS
        fleet.loop.call_later(after, lambda each=daemon: _take_away(fleet, each))
        after += _OUTAGE_SECONDS
        fleet.loop.call_later(after, lambda each=daemon: _bring_back(fleet, each))


def _take_away(fleet: Fleet, daemon: SimulatedDaemon) -> None:
    fleet.daemons.remove(daemon)
    fleet.network.cut.add(daemon.peers.own_host)


def _bring_back(fleet: Fleet, daemon: SimulatedDaemon) -> None:
    fleet.network.cut.discard(daemon.peers.own_host)
    fleet.daemons.append(daemon)


@dataclass(frozen=True, slots=True)
class LimitPlan:
    """What to play; ``limit`` in requests per second, ``demand`` as a multiple of it."""

    limit: float
    daemons: int
    demand: float = 2.0
    seconds: float = 20.0
    seed: int = 1
    trouble: str = "none"
    zones: int = 3


@dataclass(frozen=True, slots=True)
class LimitResult:
    """The requests that an endpoint got: the most in any window, what it allows, the share used.

    ``bytes_per_second`` is what the busiest daemon sent to others, ``datagrams_per_second`` what
    all of them did.
    """

    most: int
    allowed: float
    used_share: float
    asked: int
    served: int
    refused: int
    bytes_per_second: float
    datagrams_per_second: float


def allowed_requests(limit: float) -> float:
    """Return the most requests that an endpoint with a limit may get in one window."""
    return _EXCESS_FACTOR * limit * WINDOW_SECONDS + _EXCESS_REQUESTS


def play_limit(plan: LimitPlan) -> LimitResult:
    """Return what an endpoint with a limit got from daemons that share it, and what callers got."""
    fleets: list[Fleet] = []
    began_at = 0.0

    def adjust(daemon: SimulatedDaemon) -> None:
        nonlocal began_at
        if not fleets:
            fleets.append(daemon.fleet)
            began_at = daemon.loop.now()
            (engine,) = daemon.fleet.engine_by_id.values()
            engine.rate_limit = plan.limit

    def begin() -> None:
        troubles.get(plan.trouble)(fleets[0])

    result = play(
        "quick",
        policies.get("least_harm"),
        load=plan.limit * plan.demand,
        seed=plan.seed,
        seconds=plan.seconds,
        daemons=plan.daemons,
        engines=1,
        zones=plan.zones,
        adjust=adjust,
        begin=begin,
    )
    (engine,) = fleets[0].engine_by_id.values()
    counted = [at for at in engine.arrivals if at >= engine.arrivals[0] + _GRACE_SECONDS]
    count = result.by_kind["quick"]
    seconds = fleets[0].loop.now() - began_at
    traffic = fleets[0].network.traffic_by_host.values()
    return LimitResult(
        most=_most_in_window(counted),
        allowed=allowed_requests(plan.limit),
        used_share=len(counted) / (plan.limit * (plan.seconds - _GRACE_SECONDS)),
        asked=count.asked,
        served=count.timely + count.late,
        refused=count.refused,
        bytes_per_second=max(each.sent_bytes for each in traffic) / seconds,
        datagrams_per_second=sum(each.sent for each in traffic) / seconds,
    )


def _most_in_window(times: list[float]) -> int:
    return max(
        (
            bisect.bisect_left(times, at + WINDOW_SECONDS) - number
            for number, at in enumerate(times)
        ),
        default=0,
    )
