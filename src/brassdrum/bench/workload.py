"""Make seeded workloads of different shapes."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

from brassdrum.registry import Registry

__all__ = ["SHAPES", "Arrival", "WorkloadPlan", "make_workload", "prompt_text"]

_CHARACTERS_PER_TOKEN = 4
_LONG_TOKENS = 100_000
_SLOWDOWN_TOKENS = 200_000
_FILLER = "lot of blue linen remnants, forty centimetres, selvedge intact; "


@dataclass(frozen=True, slots=True)
class Arrival:
    """Hold one request of a workload; ``at`` is seconds from the start."""

    at: float
    number: int
    organisation: str
    prompt_tokens: int
    answer_tokens: int
    prefix: int

    @property
    def long(self) -> bool:
        """Return whether the prompt is over 100,000 tokens."""
        return self.prompt_tokens > _LONG_TOKENS


@dataclass(frozen=True, slots=True)
class WorkloadPlan:
    """Say how much to send."""

    shape: str
    seconds: float
    load: float
    engines: int
    prefill_rate: float
    longest: int
    seed: int


class Shape:
    """Draw lengths and organisations; subclasses differ in the figures."""

    organisations: tuple[tuple[str, float], ...] = ()
    middle = 3_000
    spread = 0.9
    long_share = 0.02
    prefixes = 24

    def length(self, rng: random.Random, longest: int) -> int:
        """Return a prompt's tokens: one in fifty is long, log-uniform up to the longest."""
        if rng.random() < self.long_share:
            return int(math.exp(rng.uniform(math.log(_LONG_TOKENS * 1.01), math.log(longest))))
        drawn = rng.lognormvariate(math.log(self.middle), self.spread)
        return int(min(_LONG_TOKENS, max(1_000, drawn)))

    def organisation(self, rng: random.Random) -> str:
        """Return who sends; a few are large."""
        names, weights = zip(*self.organisations, strict=True)
        return rng.choices(names, weights)[0]


SHAPES: Registry[type[Shape]] = Registry("workload shape")


@SHAPES.register("short_texts")
class ShortTexts(Shape):
    """Send many short descriptions and a few archives."""

    organisations = (("saguenay-guild", 6.0), ("laval-co-op", 3.0), ("history-lab", 1.0))
    middle = 1_800


@SHAPES.register("mixed_texts")
class MixedTexts(Shape):
    """Send reminders, case histories and whole ledgers for four firms."""

    organisations = (("norr", 5.0), ("soder", 3.0), ("vast", 1.0), ("ost", 1.0))
    middle = 3_500
    spread = 1.2


def _seconds(tokens: int, rate: float) -> float:
    return tokens * (1.0 + tokens / (2 * _SLOWDOWN_TOKENS)) / rate


def make_workload(plan: WorkloadPlan) -> list[Arrival]:
    """Return arrivals whose prefill work is ``load`` of what the engines can do, in bursts."""
    rng = random.Random(plan.seed)
    shape = SHAPES.get(plan.shape)()
    drawn = [shape.length(rng, plan.longest) for _ in range(4_000)]
    mean = sum(_seconds(tokens, plan.prefill_rate) for tokens in drawn) / len(drawn)
    rate = plan.load * plan.engines / mean
    arrivals = []
    at = 0.0
    while at < plan.seconds:
        burst = 1 + (rng.random() < 0.1) * rng.randrange(1, 5)
        at += rng.expovariate(rate / 1.25)
        for _ in range(burst):
            arrivals.append(
                Arrival(
                    at=at,
                    number=len(arrivals),
                    organisation=shape.organisation(rng),
                    prompt_tokens=shape.length(rng, plan.longest),
                    answer_tokens=rng.randrange(4, 24),
                    prefix=rng.randrange(shape.prefixes),
                )
            )
    return arrivals


def prompt_text(arrival: Arrival, seed: int) -> str:
    """Return a prompt: a quarter is a prefix that others share, the rest is its own."""
    characters = arrival.prompt_tokens * _CHARACTERS_PER_TOKEN
    shared = f"prefix {seed} {arrival.prefix}: " + _FILLER * (characters // 4 // len(_FILLER))
    own = f"request {seed} {arrival.number}: " + _FILLER * (characters // len(_FILLER) + 1)
    return (shared + own)[:characters]
