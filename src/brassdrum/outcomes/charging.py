"""Attribute endpoint crashes to the traits of requests that most likely caused them.

A crash fails all requests in flight at the endpoint, but only one of them may be the cause, by a
trait that other requests may share: its whole content or a part of its prompt. Each crash adds
weight to every trait that was in flight. Crashes are then attributed greedily to as few traits as
possible: first to the one whose crashes chance explains least, then to the next among the remaining
crashes. The functions are pure; times are arguments.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass

from brassdrum.outcomes.crash_evidence import (
    FULL_WEIGHT,
    REQUIRED_WEIGHT,
    SUSPECT_WEIGHT,
    CrashEvidence,
)
from brassdrum.outcomes.crash_proof import Proof, explains, prove

__all__ = ["attribute_crashes"]

# Weight of a crash that something else may well have caused.
_HALF_WEIGHT = 1
# Traits with overlapping crashes are usually told apart by the next crash. From this weight on, all
# of them are blamed, since so many coincidences are very unlikely: with streams spread over a dozen
# endpoints, to be at five crashes of another content is one in 20,000.
_BLAME_ALL_WEIGHT = 5 * FULL_WEIGHT
# Crashes this close together count as simultaneous: daemons see one failure within 0.02 s. From
# this many on, a host, rack or network failure is assumed, unless a trait was in flight at half
# of the endpoints.
_SIMULTANEOUS_SECONDS = 0.05
_MASS_FAILURE_COUNT = 3


@dataclass(frozen=True, slots=True)
class _Cause:
    """Traits that are blamed together, because they were at the same crashes."""

    traits: frozenset[str]
    endpoints: frozenset[int]


def attribute_crashes(evidence_by_trait: Mapping[str, CrashEvidence]) -> None:
    """Recompute the weights of all crashes and blame the traits that cause them."""
    crash_by_endpoint = _simultaneous_counts(evidence_by_trait.values())
    _assign_weights(evidence_by_trait.values(), crash_by_endpoint)
    time_by_endpoint = {endpoint: at for endpoint, (at, _) in crash_by_endpoint.items()}
    _Attribution(evidence_by_trait, time_by_endpoint).blame()
    explained: set[int] = set()
    for evidence in evidence_by_trait.values():
        if evidence.blamed:
            explained |= evidence.crash_by_endpoint.keys()
    for evidence in evidence_by_trait.values():
        left = evidence.weight_by_endpoint.keys() - explained
        evidence.unexplained_weight = evidence.weight(left)


class _Attribution:
    """Blame the fewest traits that explain the crashes, those first that chance explains least."""

    def __init__(
        self, evidence_by_trait: Mapping[str, CrashEvidence], time_by_endpoint: Mapping[int, float]
    ) -> None:
        self._evidence_by_trait = evidence_by_trait
        self._time_by_endpoint = time_by_endpoint
        self._explained: set[int] = set()
        self._suspects_by_endpoint: Counter[int] = Counter()
        self._rare: list[str] = []
        self._shared: list[str] = []
        for trait, evidence in evidence_by_trait.items():
            evidence.blamed = False
            evidence.blamed_with = frozenset()
            evidence.proven_at = math.inf
            weight = sum(evidence.weight_by_endpoint.values())
            if weight >= SUSPECT_WEIGHT:
                self._suspects_by_endpoint.update(evidence.weight_by_endpoint.keys())
            if weight >= REQUIRED_WEIGHT and weight >= evidence.required_weight:
                candidates = self._shared if evidence.is_shared else self._rare
                candidates.append(trait)

    def blame(self) -> None:
        """Blame traits, those first that no sound request is known to have.

        Such a trait is left out where a proven one that requests share explains most of its crashes
        and many others: it is then the content of a request with the shared trait that came again.
        """
        shared = self._proven(self._shared, {})
        rare = {
            trait: proof
            for trait, proof in self._proven(self._rare, {}).items()
            if not any(explains(each, proof) for each in shared.values())
        }
        self._blame(list(rare), rare)
        self._blame(self._shared, self._proven(self._shared, shared))

    def _blame(self, candidates: list[str], proof_by_trait: dict[str, Proof]) -> None:
        """Blame one cause after the other, each for crashes that none before it explains."""
        while proof_by_trait:
            causes = self._select_causes(proof_by_trait)
            if not causes:
                return
            for cause in causes:
                self._explained |= cause.endpoints
                for trait in cause.traits:
                    evidence = self._evidence_by_trait[trait]
                    evidence.blamed = True
                    evidence.blamed_with = cause.traits - {trait}
                    evidence.proven_at = proof_by_trait[trait].at
            proof_by_trait = self._proven(candidates, proof_by_trait)

    def _proven(self, candidates: Iterable[str], before: Mapping[str, Proof]) -> dict[str, Proof]:
        """Return the proof of each trait by crashes that no blamed trait explains.

        A proof of ``before`` holds on unless some of its crashes have been explained since.
        """
        times = sorted(
            at for endpoint, at in self._time_by_endpoint.items() if endpoint not in self._explained
        )
        proof_by_trait: dict[str, Proof] = {}
        for trait in candidates:
            evidence = self._evidence_by_trait[trait]
            if evidence.blamed:
                continue
            proof = before.get(trait)
            if proof is None or not self._explained.isdisjoint(proof.endpoints):
                endpoints = evidence.weight_by_endpoint.keys() - self._explained
                proof = prove(evidence, frozenset(endpoints), times)
            if proof is not None:
                proof_by_trait[trait] = proof
        return proof_by_trait

    def _select_causes(self, proof_by_trait: Mapping[str, Proof]) -> list[_Cause]:
        """Return the likeliest causes, without those that cannot be told apart.

        Traits that were at the same crashes are one cause: only a request that has all of them is
        sure to cause more.
        """
        evidence_by_trait = self._evidence_by_trait
        likeliest = max(proof_by_trait.values(), key=lambda each: (each.surprise, each.weight))
        traits_by_endpoints: dict[frozenset[int], set[str]] = {}
        for trait, proof in proof_by_trait.items():
            if proof.weight == likeliest.weight:
                traits_by_endpoints.setdefault(proof.endpoints, set()).add(trait)
        candidates = [
            _Cause(frozenset(traits), endpoints)
            for endpoints, traits in traits_by_endpoints.items()
        ]
        if likeliest.weight >= _BLAME_ALL_WEIGHT:
            return candidates
        contested: Counter[int] = Counter()
        for cause in candidates:
            contested.update(cause.endpoints)
        causes = []
        for cause in candidates:
            if all(contested[endpoint] == 1 for endpoint in cause.endpoints):
                causes.append(cause)
                continue
            # Enough of its crashes involve no other suspect; either may have caused the shared
            # ones.
            size = len(cause.traits)
            own = [each for each in cause.endpoints if self._suspects_by_endpoint[each] == size]
            if all(
                evidence_by_trait[trait].weight(own) >= SUSPECT_WEIGHT for trait in cause.traits
            ):
                causes.append(cause)
        return causes


def _assign_weights(
    evidence_list: Iterable[CrashEvidence], crash_time_and_count: Mapping[int, tuple[float, int]]
) -> None:
    """Set the weight of each crash for each trait; most mass failures add none."""
    for evidence in evidence_list:
        evidence.weight_by_endpoint = {}
        if len(evidence.crash_by_endpoint) * FULL_WEIGHT < SUSPECT_WEIGHT:
            continue
        trusted, always_soon = evidence.trusted, evidence.always_soon
        own_times = sorted(
            crash_time_and_count[endpoint][0] for endpoint in evidence.crash_by_endpoint
        )
        for endpoint, crash in evidence.crash_by_endpoint.items():
            at, count = crash_time_and_count[endpoint]
            if trusted and count >= _MASS_FAILURE_COUNT and not always_soon:
                continue
            share = count if count == 1 or always_soon else _count_near(own_times, at)
            if count >= _MASS_FAILURE_COUNT and 2 * share < count:
                continue
            # In flight at one of two simultaneous crashes: another content may be the cause.
            full = crash.lived and (share == count or count >= _MASS_FAILURE_COUNT)
            evidence.weight_by_endpoint[endpoint] = FULL_WEIGHT if full else _HALF_WEIGHT


def _simultaneous_counts(evidence_list: Iterable[CrashEvidence]) -> dict[int, tuple[float, int]]:
    """Return for each endpoint the crash time and the number of simultaneous crashes."""
    crashed_at: dict[int, float] = {}
    for evidence in evidence_list:
        for endpoint, crash in evidence.crash_by_endpoint.items():
            known = crashed_at.get(endpoint)
            if known is None or crash.at < known:
                crashed_at[endpoint] = crash.at
    times = sorted(crashed_at.values())
    return {endpoint: (at, _count_near(times, at)) for endpoint, at in crashed_at.items()}


def _count_near(times: list[float], time: float) -> int:
    """Return how many of the sorted times are simultaneous with the given time."""
    return bisect_right(times, time + _SIMULTANEOUS_SECONDS) - bisect_left(
        times, time - _SIMULTANEOUS_SECONDS
    )
