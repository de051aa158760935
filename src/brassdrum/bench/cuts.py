"""Measure how daemons serve while some of them reach no endpoint, in simulated time."""

from __future__ import annotations

import statistics
from dataclasses import dataclass

from brassdrum.bench.load.daemon import Fleet, SimulatedDaemon
from brassdrum.bench.load.play import FirstTry, play
from brassdrum.bench.load.troubles import troubles
from brassdrum.gateway.placing.policies import policies

__all__ = ["CutPlan", "CutResult", "play_cut"]

_CUT_AT_SECONDS = 1.0
# The platform's time from the cut on in which a daemon may still find out.
_FOUND_OUT_SECONDS = 3.0
_FEWEST_ENGINES = 21


@dataclass(frozen=True, slots=True)
class CutPlan:
    """What to play; ``load`` as a multiple of the usual one, ``cut`` is a share of the daemons.

    ``by_zone`` cuts whole zones first.
    """

    daemons: int
    cut: float
    load: float = 1.0
    seconds: float = 10.0
    seed: int = 1
    trouble: str = "none"
    zones: int = 3
    by_zone: bool = True
    shape: str = "steady"
    engines: int = 0


@dataclass(frozen=True, slots=True)
class CutResult:
    """What callers and daemons saw from three seconds after the cut on.

    Shares are of first tries that were served; ``added_ms`` is the median time to the first event
    at cut-off daemons less that at the others. ``carried`` is how many requests one of the others
    took over for each that came to itself, ``busiest`` the most that one took over against the
    mean, ``probes`` the connections a second of a cut-off daemon. ``bytes_per_second`` is what a
    daemon sent to others in datagrams, on average.
    """

    first_tries: int
    cut_served: float
    others_served: float
    added_ms: float
    forwarded: int
    carried: float
    busiest: float
    runs_per_request: float
    probes: float
    bytes_per_second: float


def play_cut(plan: CutPlan) -> CutResult:
    """Return how callers of cut-off daemons and of the others were served."""
    cut: list[SimulatedDaemon] = []
    cut_at = 0.0

    def begin(fleet: Fleet) -> None:
        nonlocal cut_at
        troubles.get(plan.trouble)(fleet)
        ordered = (
            sorted(fleet.daemons, key=lambda each: each.zone) if plan.by_zone else (fleet.daemons)
        )
        cut.extend(ordered[: round(plan.cut * plan.daemons)])
        cut_at = fleet.loop.now() + _CUT_AT_SECONDS
        fleet.loop.call_later(_CUT_AT_SECONDS, lambda: _cut(cut))

    result = play(
        plan.shape,
        policies.get("least_harm"),
        load=plan.load,
        seed=plan.seed,
        seconds=plan.seconds,
        daemons=plan.daemons,
        engines=plan.engines or max(_FEWEST_ENGINES, plan.daemons),
        zones=plan.zones,
        begin=begin,
    )
    fleet = result.fleet
    hosts = {each.own_host for each in cut}
    late = [each for each in result.first_tries if each.at >= cut_at + _FOUND_OUT_SECONDS]
    at_cut = [each for each in late if each.host in hosts]
    others = [each for each in late if each.host not in hosts]
    taken = [each.taken_over for each in fleet.daemons if each.own_host not in hosts]
    seconds = fleet.loop.now() - cut_at
    asked = sum(count.asked for count in result.by_kind.values())
    traffic = fleet.network.traffic_by_host.values()
    return CutResult(
        first_tries=len(at_cut),
        cut_served=_served(at_cut),
        others_served=_served(others),
        added_ms=1000 * (_median(at_cut) - _median(others)),
        forwarded=sum(each.peer_pool.forwarded for each in cut),
        carried=sum(taken) / max(1, sum(each.host not in hosts for each in result.first_tries)),
        busiest=max(taken) / max(1.0, statistics.mean(taken)),
        runs_per_request=sum(len(e.arrivals) for e in fleet.engine_by_id.values()) / asked,
        probes=sum(each.pool.connections for each in cut) / max(1, len(cut)) / seconds,
        bytes_per_second=statistics.mean(each.sent_bytes for each in traffic) / fleet.loop.now(),
    )


def _cut(daemons: list[SimulatedDaemon]) -> None:
    for daemon in daemons:
        daemon.pool.cut = True


def _served(tries: list[FirstTry]) -> float:
    return sum(each.first_event is not None for each in tries) / max(1, len(tries))


def _median(tries: list[FirstTry]) -> float:
    times = [each.first_event for each in tries if each.first_event is not None]
    return statistics.median(times) if times else float("nan")
