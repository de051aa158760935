"""Attribute endpoint crashes to the request contents that most likely caused them.

A crash fails all requests in flight at the endpoint, but only one of them may be the cause. Each
crash adds weight to every content that was in flight. Crashes are then attributed greedily to as
few contents as possible: first to the content with the highest weight, then to the one with the
highest weight among the remaining crashes. The functions are pure; times are arguments.
"""

from __future__ import annotations

import math
from bisect import bisect_left, bisect_right
from collections import Counter
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field

__all__ = [
    "REQUIRED_CRASHES",
    "SOON_SECONDS",
    "SUSPECT_WEIGHT",
    "TRUSTED_SECONDS",
    "Crash",
    "CrashEvidence",
    "attribute_crashes",
]

# Weight of one crash. It is halved if the endpoint may have crashed before it received the request,
# or if another endpoint crashed at the same time.
_FULL_WEIGHT = 2
_HALF_WEIGHT = 1
# Set by the operator's contract; after fewer crashes the request is still dispatched.
REQUIRED_CRASHES = 3
_REQUIRED_WEIGHT = REQUIRED_CRASHES * _FULL_WEIGHT
# A content with a recent complete response may be in flight at many crashes only because many
# callers share it, so it takes twice the weight.
_TRUSTED_REQUIRED_WEIGHT = 2 * _REQUIRED_WEIGHT
# How long a complete response counts in favour of a content; equal to the quarantine time.
TRUSTED_SECONDS = 600.0
# From this weight on a request is sent to an idle endpoint if possible, so that a crash affects no
# other stream and clears the contents that were in flight beside it before.
SUSPECT_WEIGHT = 2 * _FULL_WEIGHT
# Contents with the same crashes are usually told apart by the next crash. From this weight on, all
# of them are blamed, since so many coincidences are very unlikely: with streams spread over a dozen
# endpoints, to be at five crashes of another content is one in 20,000.
_BLAME_ALL_WEIGHT = 5 * _FULL_WEIGHT
# Crashes this close together count as simultaneous: daemons see one failure within 0.02 s. From
# this many on, a host, rack or network failure is assumed, unless a content was in flight at half
# of the endpoints.
_SIMULTANEOUS_SECONDS = 0.05
_MASS_FAILURE_COUNT = 3
# A crash counts as soon after a request was sent if it comes within this time: requests that crash
# endpoints do so at once, while others run for seconds to minutes.
SOON_SECONDS = 0.5


@dataclass(slots=True)
class Crash:
    """Crash with a content in flight; ``soon`` and ``lived`` as in ``ObservedCrash``."""

    at: float
    soon: bool
    lived: bool


@dataclass(slots=True)
class CrashEvidence:
    """Crashes at which a content was in flight, and its last complete response."""

    crash_by_endpoint: dict[int, Crash] = field(default_factory=dict)
    served_at: float = -math.inf
    blamed: bool = False
    weight_by_endpoint: dict[int, int] = field(default_factory=dict)

    @property
    def trusted(self) -> bool:
        """Return whether a complete response shortly preceded the first known crash."""
        first = min((crash.at for crash in self.crash_by_endpoint.values()), default=math.inf)
        return first - self.served_at < TRUSTED_SECONDS

    @property
    def always_soon(self) -> bool:
        """Return whether every crash came soon after the content was sent to the endpoint."""
        return all(crash.soon for crash in self.crash_by_endpoint.values())

    @property
    def required_weight(self) -> int:
        """Return the weight from which on the content is considered the cause."""
        return _TRUSTED_REQUIRED_WEIGHT if self.trusted else _REQUIRED_WEIGHT

    @property
    def proven_at(self) -> float:
        """Return when the crashes reached the required weight, or infinity."""
        weight = 0
        for endpoint in sorted(self.weight_by_endpoint, key=self._crashed_at):
            weight += self.weight_by_endpoint[endpoint]
            if weight >= self.required_weight:
                return self._crashed_at(endpoint)
        return math.inf

    def weight(self, endpoints: Iterable[int]) -> int:
        """Return the total weight of the crashes of the given endpoints."""
        return sum(self.weight_by_endpoint.get(endpoint, 0) for endpoint in endpoints)

    def remove_crash(self, endpoint: int) -> None:
        """Remove the crash of an endpoint."""
        del self.crash_by_endpoint[endpoint]
        self.weight_by_endpoint.pop(endpoint, None)

    def _crashed_at(self, endpoint: int) -> float:
        return self.crash_by_endpoint[endpoint].at


def attribute_crashes(evidence_by_content: Mapping[str, CrashEvidence]) -> None:
    """Recompute the weights of all crashes and set ``blamed`` on the contents that cause them."""
    _assign_weights(evidence_by_content.values())
    suspects_by_endpoint: Counter[int] = Counter()
    unexplained: dict[str, set[int]] = {}
    for content, evidence in evidence_by_content.items():
        evidence.blamed = False
        weight = sum(evidence.weight_by_endpoint.values())
        if weight >= SUSPECT_WEIGHT:
            suspects_by_endpoint.update(evidence.weight_by_endpoint.keys())
        if weight >= evidence.required_weight:
            unexplained[content] = set(evidence.weight_by_endpoint)
    while unexplained:
        causes = _select_causes(evidence_by_content, unexplained, suspects_by_endpoint)
        if not causes:
            return
        explained: set[int] = set()
        for content in causes:
            evidence_by_content[content].blamed = True
            explained |= unexplained.pop(content)
        unexplained = {
            content: endpoints - explained
            for content, endpoints in unexplained.items()
            if evidence_by_content[content].weight(endpoints - explained)
            >= evidence_by_content[content].required_weight
        }


def _select_causes(
    evidence_by_content: Mapping[str, CrashEvidence],
    unexplained: Mapping[str, set[int]],
    suspects_by_endpoint: Counter[int],
) -> list[str]:
    """Return the contents of highest weight, without those that cannot be told apart."""
    weights = {
        content: evidence_by_content[content].weight(endpoints)
        for content, endpoints in unexplained.items()
    }
    highest = max(weights.values())
    candidates = [content for content, weight in weights.items() if weight == highest]
    if highest >= _BLAME_ALL_WEIGHT:
        return candidates
    contested: Counter[int] = Counter()
    for content in candidates:
        contested.update(unexplained[content])
    causes = []
    for content in candidates:
        if all(contested[endpoint] == 1 for endpoint in unexplained[content]):
            causes.append(content)
            continue
        # Enough of its crashes involve no other suspect; either may have caused the shared ones.
        own = [endpoint for endpoint in unexplained[content] if suspects_by_endpoint[endpoint] == 1]
        if evidence_by_content[content].weight(own) >= SUSPECT_WEIGHT:
            causes.append(content)
    return causes


def _assign_weights(evidence_list: Iterable[CrashEvidence]) -> None:
    """Set the weight of each crash for each content; most mass failures add none."""
    evidence_list = list(evidence_list)
    crash_time_and_count = _simultaneous_counts(evidence_list)
    for evidence in evidence_list:
        evidence.weight_by_endpoint = {}
        if len(evidence.crash_by_endpoint) * _FULL_WEIGHT < SUSPECT_WEIGHT:
            continue
        trusted, always_soon = evidence.trusted, evidence.always_soon
        own_times = sorted(
            crash_time_and_count[endpoint][0] for endpoint in evidence.crash_by_endpoint
        )
        for endpoint, crash in evidence.crash_by_endpoint.items():
            at, count = crash_time_and_count[endpoint]
            if trusted and count >= _MASS_FAILURE_COUNT:
                continue
            share = count if count == 1 or always_soon else _count_near(own_times, at)
            if count >= _MASS_FAILURE_COUNT and 2 * share < count:
                continue
            # In flight at one of two simultaneous crashes: another content may be the cause.
            full = crash.lived and (share == count or count >= _MASS_FAILURE_COUNT)
            evidence.weight_by_endpoint[endpoint] = _FULL_WEIGHT if full else _HALF_WEIGHT


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
