"""Prove traits of requests the causes of crashes, by how little chance explains these."""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

from brassdrum.outcomes.crash_evidence import FULL_WEIGHT, CrashEvidence

__all__ = ["Proof", "explains", "prove"]

# Some response on a trait that was served before survives its beginning within this time, wherever
# it is sound and at many crashes.
_SILENCE_SECONDS = 2.4
# Crashes prove a trait at once if they are as unlikely by chance as one in a hundred thousand;
# some hundreds of traits are in flight at a series of crashes.
_PROOF_SURPRISE = math.log(100_000)
# The chance is taken over the last crashes of a trait and all others between these.
_LAST_CRASHES = 9


@dataclass(frozen=True, slots=True)
class Proof:
    """Crashes that prove a trait, their weight, how little chance explains them, and since when."""

    endpoints: frozenset[int]
    weight: int
    surprise: float
    at: float


def prove(
    evidence: CrashEvidence, endpoints: frozenset[int], all_times: Sequence[float]
) -> Proof | None:
    """Return the proof of a trait by the crashes of some endpoints, or None.

    ``all_times`` are the sorted times of all crashes that no blamed trait explains.
    """
    weight = evidence.weight(endpoints)
    required = evidence.required_weight
    if weight < required:
        return None
    by_time = sorted(endpoints, key=lambda each: (evidence.crashed_at(each), each))
    enough_at = _reached_at(evidence, by_time, required)
    surprise = _surprise(evidence, by_time, all_times)
    if not evidence.is_shared or surprise >= _PROOF_SURPRISE:
        return Proof(endpoints, weight, surprise, enough_at)
    silent_at = max(enough_at, evidence.crashed_at(by_time[0]) + _SILENCE_SECONDS)
    for endpoint in by_time:
        if evidence.crashed_at(endpoint) >= silent_at:
            at = evidence.crashed_at(endpoint)
            return Proof(endpoints, weight, surprise, at)
    return None


def _reached_at(evidence: CrashEvidence, by_time: Iterable[int], required: int) -> float:
    """Return when the weight of crashes in the order of time reached the required one."""
    weight = 0
    for endpoint in by_time:
        weight += evidence.weight_by_endpoint[endpoint]
        if weight >= required:
            return evidence.crashed_at(endpoint)
    return math.inf


def explains(proof: Proof, other: Proof) -> bool:
    """Return whether one cause explains at least half the crashes of another, and twice as many."""
    common = len(proof.endpoints & other.endpoints)
    return 2 * common >= len(other.endpoints) and proof.weight >= 2 * other.weight


def _surprise(evidence: CrashEvidence, by_time: Sequence[int], all_times: Sequence[float]) -> float:
    """Return how little chance explains that a trait was at so many of its last crashes.

    This is the negative logarithm of Chernoff's bound on the probability.
    """
    last = by_time[-_LAST_CRASHES:]
    count = evidence.weight(last) / FULL_WEIGHT
    begin, end = evidence.crashed_at(last[0]), evidence.crashed_at(last[-1])
    total = max(count, bisect_right(all_times, end) - bisect_left(all_times, begin))
    rate, chance = count / total, evidence.chance
    if rate <= chance:
        return 0.0
    surprise = count * math.log(rate / chance)
    if rate < 1:
        surprise += (total - count) * math.log((1 - rate) / (1 - chance))
    return surprise
