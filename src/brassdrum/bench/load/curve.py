"""Measure what callers get against load, for several policies on the same seeds."""

from __future__ import annotations

import statistics
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from brassdrum.bench.load.play import LoadResult, play
from brassdrum.gateway.placing.policies import policies

__all__ = ["LoadPlan", "LoadPoint", "measure_curve"]


@dataclass(frozen=True, slots=True)
class LoadPlan:
    """Say what is played; seconds are simulated."""

    shape: str
    seconds: float
    daemons: int
    engines: int


@dataclass(frozen=True, slots=True)
class LoadPoint:
    """Hold means over seeds; worth and shares run from 0 to 1, ``held`` is in seconds a request."""

    policy: str
    load: float
    worth: float
    spread: float
    short_in_time: float
    long_in_time: float
    refused: float
    left: float
    held: float
    repeats: float
    predicted: float


def measure_curve(
    plan: LoadPlan, names: Iterable[str], loads: list[float], seeds: Iterable[int]
) -> Iterator[LoadPoint]:
    """Yield a point for each policy and load."""
    numbers = list(seeds)
    for name in names:
        for load in loads:
            results = [
                play(
                    plan.shape,
                    policies.get(name),
                    load=load,
                    seed=seed,
                    seconds=plan.seconds,
                    daemons=plan.daemons,
                    engines=plan.engines,
                )
                for seed in numbers
            ]
            yield _point(name, load, results)


def _point(name: str, load: float, results: list[LoadResult]) -> LoadPoint:
    counts = [count for result in results for count in result.by_kind.values()]
    asked = sum(count.asked for count in counts)
    worths = [result.worth for result in results]
    return LoadPoint(
        policy=name,
        load=load,
        worth=round(statistics.mean(worths), 3),
        spread=round(max(worths) - min(worths), 3),
        short_in_time=_in_time(results, "short"),
        long_in_time=_in_time(results, "long"),
        refused=round(sum(count.refused for count in counts) / asked, 3),
        left=round(sum(count.left for count in counts) / asked, 3),
        held=round(sum(sum(count.held) for count in counts) / asked, 3),
        repeats=round(statistics.mean(result.repeats for result in results), 1),
        predicted=round(statistics.mean(result.predicted_share() for result in results), 3),
    )


def _in_time(results: list[LoadResult], kind: str) -> float:
    counts = [result.by_kind[kind] for result in results if kind in result.by_kind]
    timely = sum(count.timely for count in counts)
    return round(timely / max(1, sum(count.asked for count in counts)), 3)
