"""Measure what callers get when endpoints fall silent and go on, in simulated time."""

from __future__ import annotations

import bisect
import math
import random
from collections.abc import Callable
from dataclasses import dataclass, replace

from brassdrum.bench.load.daemon import Fleet, SimulatedDaemon
from brassdrum.bench.load.endpoint_monitor import FailureModel
from brassdrum.bench.load.engine import SimulatedEngine
from brassdrum.bench.load.play import ENGINE, LoadResult, play
from brassdrum.bench.load.shapes import SHORT, Arrival, Kind, draw
from brassdrum.gateway.placing.policies import policies
from brassdrum.registry import Registry

__all__ = ["ENGINES_BY_DAEMONS", "SilencePlan", "SilenceResult", "play_silence", "scopes"]

ENGINES_BY_DAEMONS = {6: 8, 12: 16, 60: 78, 195: 250}
# How long a request holds a slot of a full engine of 8 slots; engines of more slots are slower.
_SLOT_SECONDS = 1.6
_SLOT_SECONDS_PER_SLOT = 0.005
# The longest answers take 7 s; with a deadline of 10 s some would end at it, silence or not.
_KIND = replace(SHORT, rate=1.0, deadline=15.0)
_SILENT_AT_SECONDS = 2.5
_SAMPLE_SECONDS = 0.05

Scope = Callable[[list[SimulatedEngine]], list[SimulatedEngine]]
scopes: Registry[Scope] = Registry("endpoints that fall silent")


@scopes.register("none")
def _none(_engines: list[SimulatedEngine]) -> list[SimulatedEngine]:
    """Let no engine fall silent."""
    return []


@scopes.register("one")
def _one(engines: list[SimulatedEngine]) -> list[SimulatedEngine]:
    """Take the engine that holds most requests."""
    return [max(engines, key=lambda each: each.held)]


@scopes.register("zone")
def _zone(engines: list[SimulatedEngine]) -> list[SimulatedEngine]:
    """Take every third engine."""
    return engines[::3]


@scopes.register("all")
def _all(engines: list[SimulatedEngine]) -> list[SimulatedEngine]:
    """Take all engines."""
    return engines


@dataclass(frozen=True, slots=True)
class SilencePlan:
    """What to play: engines of a ``scope`` are silent for ``silence`` seconds, or for good.

    ``load`` is the share of all slots that the requests need. Requests come for 2.5 s before the
    silence and for ``after`` seconds from its end on; from its begin on if it does not end. With
    ``recovery_news`` the daemon that sees an engine go on lets the others know.
    """

    daemons: int
    engines: int
    scope: str
    silence: float
    load: float
    seed: int = 1
    slots: int = ENGINE.slots
    after: float = 6.0
    zones: int = 3
    recovery_news: bool = False

    @property
    def seconds(self) -> float:
        """Return how long requests come."""
        silence = self.silence if self.silence < math.inf else 0.0
        return _SILENT_AT_SECONDS + silence + self.after


@dataclass(frozen=True, slots=True)
class SilenceResult:
    """What callers got and what the silence cost.

    Requests by their end: ``served``, ``cut`` (broken off in the middle, or nothing by the end of
    the run), ``failed`` (5xx), ``refused`` as not run after the caller came back once, and ``left``
    by the caller. ``turned_away`` counts all answers that said not run, ``held`` the streams of the
    silent engines. ``ended`` attempts were ended by a daemon while the caller waited.
    ``vain_tokens`` of prompts were read for attempts that brought no event, ``vain_seconds`` are
    slot seconds after the last event that an attempt brought, if it did not bring the end.
    ``avoided`` is for how long a daemon avoids an engine after it went on, ``avoided_by_report``
    the part in which only reports of other daemons say so; means over daemons and engines.
    ``retries`` is the most in the window of the budget, which allowed ``budget`` then.
    """

    requests: int
    held: int
    served: int
    in_time: int
    cut: int
    failed: int
    refused: int
    left: int
    turned_away: int
    sent_again: int
    ended: int
    vain_tokens: int
    vain_seconds: float
    avoided: float
    avoided_most: float
    avoided_by_report: float
    retries: int
    budget: float


def play_silence(plan: SilencePlan) -> SilenceResult:
    """Return what callers got."""
    watch = _Watch(plan)
    result = play(
        _arrivals(plan),
        policies.get("least_harm"),
        load=1.0,
        seed=plan.seed,
        seconds=plan.seconds,
        daemons=plan.daemons,
        engines=plan.engines,
        zones=plan.zones,
        begin=watch.begin,
        model=replace(ENGINE, slots=plan.slots),
        failures=FailureModel(recovery_news=plan.recovery_news),
    )
    return _summary(result, watch)


def _arrivals(plan: SilencePlan) -> Callable[[random.Random, float, float], list[Arrival]]:
    slots = plan.slots * plan.engines
    slot_seconds = _SLOT_SECONDS + _SLOT_SECONDS_PER_SLOT * (plan.slots - ENGINE.slots)
    rate_by_kind: dict[Kind, float] = {_KIND: plan.load * slots / slot_seconds}

    def arrivals(rng: random.Random, _load: float, seconds: float) -> list[Arrival]:
        return draw(rng, seconds, rate_by_kind)

    return arrivals


class _Watch:
    """Let engines fall silent, and sample for how long daemons avoid them after they went on."""

    def __init__(self, plan: SilencePlan) -> None:
        self.held = 0
        self.avoided_by_pair: dict[tuple[str, str], float] = {}
        self.avoided_by_report = 0.0
        self._plan = plan
        self._silent: list[SimulatedEngine] = []

    def begin(self, fleet: Fleet) -> None:
        """Schedule the silence."""
        fleet.loop.call_later(_SILENT_AT_SECONDS, lambda: self._fall_silent(fleet))

    def _fall_silent(self, fleet: Fleet) -> None:
        self._silent = scopes.get(self._plan.scope)(list(fleet.engine_by_id.values()))
        for engine in self._silent:
            self.held += engine.held
            engine.fall_silent(self._plan.silence)
        if self._plan.silence < math.inf:
            fleet.loop.call_later(self._plan.silence, lambda: self._sample(fleet))

    def _sample(self, fleet: Fleet) -> None:
        for daemon in fleet.daemons:
            for engine in self._silent:
                self._sample_pair(daemon, engine)
        fleet.loop.call_later(_SAMPLE_SECONDS, lambda: self._sample(fleet))

    def _sample_pair(self, daemon: SimulatedDaemon, engine: SimulatedEngine) -> None:
        monitor, pair = daemon.endpoint_monitor, (daemon.name, engine.name)
        avoided = monitor.is_suspect(engine.name) * _SAMPLE_SECONDS
        self.avoided_by_pair[pair] = self.avoided_by_pair.get(pair, 0.0) + avoided
        if monitor.suspect_by_others_alone(engine.name):
            self.avoided_by_report += _SAMPLE_SECONDS


def _summary(result: LoadResult, watch: _Watch) -> SilenceResult:
    fleet = result.fleet
    count = result.by_kind[_KIND.name]
    served = count.timely + count.late
    engines = fleet.engine_by_id.values()
    pairs = list(watch.avoided_by_pair.values()) or [0.0]
    retries, budget = _busiest_window(fleet)
    return SilenceResult(
        requests=count.asked,
        held=watch.held,
        served=served,
        in_time=count.timely,
        cut=count.broken + count.asked - served - count.refused - count.left,
        failed=count.failed,
        refused=count.refused - count.failed,
        left=count.left - count.broken,
        turned_away=count.turned_away,
        sent_again=sum(each.sent_again for each in fleet.daemons),
        ended=sum(each.ended_attempts for each in fleet.daemons),
        vain_tokens=sum(each.unused_prompt_tokens for each in engines),
        vain_seconds=round(sum(each.unused_slot_seconds for each in engines), 1),
        avoided=round(sum(pairs) / len(pairs), 2),
        avoided_most=round(max(pairs), 2),
        avoided_by_report=round(watch.avoided_by_report / len(pairs), 2),
        retries=retries,
        budget=round(budget, 1),
    )


def _busiest_window(fleet: Fleet) -> tuple[int, float]:
    """Return the most retries in one window of the budget, and what it allows for these."""
    model = fleet.failures
    assert model is not None
    retries = sorted(at for daemon in fleet.daemons for at in daemon.retries.times)
    requests = sorted(at for daemon in fleet.daemons for at in daemon.retries.request_times)
    most, budget = 0, model.retry_slack
    for number, at in enumerate(retries):
        begin = at - model.retry_window
        in_window = number + 1 - bisect.bisect_right(retries, begin)
        if in_window <= most:
            continue
        asked = bisect.bisect_right(requests, at) - bisect.bisect_right(requests, begin)
        most, budget = in_window, model.retry_ratio * asked + model.retry_slack
    return most, budget
