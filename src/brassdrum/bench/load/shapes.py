"""Draw seeded requests whose mix and rate swing; shapes are filed by name."""

from __future__ import annotations

import math
import random
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from brassdrum.registry import Registry

__all__ = ["Arrival", "Kind", "Shape", "draw", "shapes"]

# Lengths are cut at this many times their mean, so that one draw does not decide a run.
_LONGEST_SHARE = 4.0
# How long the callers of an outage come back, and how many times as many as usual they are.
_RETURN_SECONDS = 0.4
_RETURNING_RATE = 4.0


@dataclass(frozen=True, slots=True)
class Kind:
    """Describe requests of one kind: lengths in tokens, times in seconds, rate a second.

    ``worth`` is what an answer in time earns; a late one earns a quarter. Requests of an empty
    ``organisation`` are anonymous.
    """

    name: str
    rate: float
    prompt: int
    spread: float
    events: int
    objective: float
    pause: float
    deadline: float
    worth: float
    organisation: str = ""
    priority: int = 1


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request that is drawn."""

    at: float
    kind: Kind
    prompt: int
    events: int


# Questions, histories and audits of a repair shop's assistant: three in four requests are short,
# nine tenths of the tokens are in long ones. Rates are for 21 engines that read 256 tokens a ms.
SHORT = Kind("short", 23.0, 5_000, 0.9, 35, 0.3, 0.2, 10.0, 1.3)
MEDIUM = Kind("medium", 1.7, 45_000, 0.5, 21, 1.5, 0.5, 10.0, 3.1)
LONG = Kind("long", 0.7, 210_000, 0.55, 17, 3.0, 0.8, 15.0, 22.0)

# Requests that hold an engine's slot for 0.1 s, so that a limit binds before the slots do.
QUICK = Kind("quick", 21.0, 500, 0.1, 2, 1.0, 0.2, 10.0, 1.0)

Shape = Callable[[random.Random, float, float], Iterable[Arrival]]
shapes: Registry[Shape] = Registry("load shape")


@shapes.register("steady")
def steady(rng: random.Random, load: float, seconds: float) -> list[Arrival]:
    """Draw the usual mix at an even rate."""
    return draw(rng, seconds, {SHORT: load, MEDIUM: load, LONG: load})


@shapes.register("short burst")
def short_burst(rng: random.Random, load: float, seconds: float) -> list[Arrival]:
    """Draw many short prompts and hardly any long ones."""
    return draw(rng, seconds, {SHORT: 2.4 * load, MEDIUM: 0.5 * load, LONG: 0.05 * load})


@shapes.register("long burst")
def long_burst(rng: random.Random, load: float, seconds: float) -> list[Arrival]:
    """Draw many long prompts beside some short ones."""
    return draw(rng, seconds, {SHORT: 0.35 * load, MEDIUM: 1.3 * load, LONG: 2.7 * load})


@shapes.register("return of all callers")
def return_of_all(rng: random.Random, load: float, seconds: float) -> list[Arrival]:
    """Draw the callers that come back right after an outage, beside an even rate."""
    back = steady(rng, _RETURNING_RATE * load, _RETURN_SECONDS)
    return sorted([*back, *steady(rng, load, seconds)], key=lambda each: each.at)


@shapes.register("quick")
def quick(rng: random.Random, load: float, seconds: float) -> list[Arrival]:
    """Draw short calls only; a load of 1 is one per engine and second."""
    return draw(rng, seconds, {QUICK: load})


@shapes.register("swing")
def swing(rng: random.Random, load: float, seconds: float) -> list[Arrival]:
    """Draw a burst of long prompts, then one of short ones, by halves."""
    half = seconds / 2
    later = short_burst(rng, load, half)
    return [
        *long_burst(rng, load, half),
        *(Arrival(each.at + half, each.kind, each.prompt, each.events) for each in later),
    ]


def draw(rng: random.Random, seconds: float, load_by_kind: dict[Kind, float]) -> list[Arrival]:
    """Draw the arrivals of each kind at an even rate, in the order of time."""
    arrivals = []
    for kind, load in load_by_kind.items():
        at = rng.expovariate(kind.rate * load)
        while at < seconds:
            events = max(2, round(_length(rng, kind.events, 0.6)))
            arrivals.append(
                Arrival(at, kind, round(_length(rng, kind.prompt, kind.spread)), events)
            )
            at += rng.expovariate(kind.rate * load)
    return sorted(arrivals, key=lambda each: each.at)


def _length(rng: random.Random, mean: float, spread: float) -> float:
    drawn = rng.lognormvariate(math.log(mean) - spread * spread / 2, spread)
    return min(drawn, mean * _LONGEST_SHARE)
