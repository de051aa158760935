"""Measure how daemons keep to the rate limit of one endpoint, in simulated time."""

from __future__ import annotations

import bisect
import random
import statistics
from collections.abc import Callable
from dataclasses import dataclass

from brassdrum.bench.load.daemon import Fleet, SimulatedDaemon
from brassdrum.bench.load.play import play
from brassdrum.bench.load.troubles import troubles
from brassdrum.gateway.placing.policies import policies

__all__ = [
    "WINDOW_SECONDS",
    "LimitPlan",
    "LimitResult",
    "allowed_requests",
    "play_limit",
]

WINDOW_SECONDS = 4.0
# The platform's rule: in each window one and a half times the limit, and five requests.
_EXCESS_FACTOR = 1.5
_EXCESS_REQUESTS = 5
# After the first response that names the limit.
_GRACE_SECONDS = 3.0
_HIGH_SHARE = 0.95


@dataclass(frozen=True, slots=True)
class LimitPlan:
    """What to play; ``limit`` in requests per second, ``demand`` as a multiple of it.

    Each of ``engines`` has the limit. Callers draw a daemon at random, or all use the first one if
    they are not ``spread``.
    """

    limit: float
    daemons: int
    demand: float = 2.0
    seconds: float = 20.0
    seed: int = 1
    trouble: str = "none"
    zones: int = 3
    engines: int = 1
    spread: bool = True


@dataclass(frozen=True, slots=True)
class LimitResult:
    """The requests that an endpoint got: the most in any window, what it allows, the share used.

    The times are to the first event of callers' first tries, in ms.

    ``bytes_per_second`` is what the busiest daemon sent to others, ``datagrams_per_second`` what
    all of them did.
    """

    most: int
    allowed: float
    used_share: float
    asked: int
    served: int
    refused: int
    median_ms: float
    p95_ms: float
    bytes_per_second: float
    datagrams_per_second: float


def allowed_requests(limit: float) -> float:
    """Return the most requests that an endpoint with a limit may get in one window."""
    return _EXCESS_FACTOR * limit * WINDOW_SECONDS + _EXCESS_REQUESTS


def play_limit(plan: LimitPlan) -> LimitResult:
    """Return what an endpoint with a limit got from daemons that share it, and what callers got."""

    def begin(fleet: Fleet) -> None:
        for engine in fleet.engine_by_id.values():
            engine.rate_limit = plan.limit
        troubles.get(plan.trouble)(fleet)

    result = play(
        "quick",
        policies.get("least_harm"),
        load=plan.limit * plan.demand,
        seed=plan.seed,
        seconds=plan.seconds,
        daemons=plan.daemons,
        engines=plan.engines,
        zones=plan.zones,
        begin=begin,
        connect=None if plan.spread else _first_daemon,
    )
    # The first response that names the limit opens the count.
    counted_by_engine = [
        [at for at in engine.arrivals if at >= engine.arrivals[0] + _GRACE_SECONDS]
        for engine in result.fleet.engine_by_id.values()
    ]
    counted_total = sum(len(counted) for counted in counted_by_engine)
    count = result.by_kind["quick"]
    first_events_ms = sorted(
        each.first_event * 1000 for each in result.first_tries if each.first_event is not None
    )
    traffic = result.fleet.network.traffic_by_host.values()
    return LimitResult(
        most=max(_most_in_window(counted) for counted in counted_by_engine),
        allowed=allowed_requests(plan.limit),
        used_share=counted_total / (plan.limit * plan.engines * (plan.seconds - _GRACE_SECONDS)),
        asked=count.asked,
        served=count.timely + count.late,
        refused=count.refused,
        median_ms=statistics.median(first_events_ms),
        p95_ms=first_events_ms[int(len(first_events_ms) * _HIGH_SHARE)],
        bytes_per_second=max(each.sent_bytes for each in traffic) / result.seconds,
        datagrams_per_second=sum(each.sent for each in traffic) / result.seconds,
    )


def _first_daemon(
    fleet: Fleet, _rng: random.Random, _name: str, ready: Callable[[SimulatedDaemon], None]
) -> None:
    """Let the first daemon read all requests."""
    ready(fleet.daemons[0])


def _most_in_window(times: list[float]) -> int:
    return max(
        (
            bisect.bisect_left(times, at + WINDOW_SECONDS) - number
            for number, at in enumerate(times)
        ),
        default=0,
    )
