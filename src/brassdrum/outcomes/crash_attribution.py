"""Charge ends of endpoints to the contents that explain them; pure, the times are arguments.

An endpoint that ends takes all its requests with it, and only one of them may be the cause. Each
end speaks with a weight against each content that was there. All are charged to the fewest contents
that explain them: the one with most weight first, then the one with most of what is left.
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
    "CrashEvidence",
    "Crash",
    "attribute_crashes",
]

# An end of an endpoint that had the request weighs 2. It weighs 1 where it came in the moment in
# which the request was sent, for the endpoint may have ended before, or beside another endpoint's.
_FULL_WEIGHT = 2
_HALF_WEIGHT = 1
# The operator's contract takes three ends for proof; until then the request is sent on.
REQUIRED_CRASHES = 3
_REQUIRED_WEIGHT = REQUIRED_CRASHES * _FULL_WEIGHT
# What was answered whole is at many ends because many callers ask for it, or because an engine has
# changed since. It is sent alone from the second end on, and twice the proof is awaited.
_TRUSTED_REQUIRED_WEIGHT = 2 * _REQUIRED_WEIGHT
# A whole answer speaks for a content for this long, as long as a proof speaks against it.
TRUSTED_SECONDS = 600.0
# From here on a request is sent alone where it can be: its end then costs nobody else a stream, and
# those who were beside it before are cleared.
SUSPECT_WEIGHT = 2 * _FULL_WEIGHT
# Two contents that were at the same ends are told apart by the next one; beyond this many both are
# charged. Streams are spread over a dozen engines: to be at five ends of another is one in 20,000.
_BLAME_ALL_WEIGHT = 5 * _FULL_WEIGHT
# Endpoints that end within this of each other end in one moment: daemons see one failure within
# 0.02 s. From this many on a host, a rack or a network is the cause, unless a content was at half.
_SIMULTANEOUS_SECONDS = 0.05
_MASS_FAILURE_COUNT = 3
# An end comes soon after a request was sent if it comes within this: requests that end endpoints do
# so at once; others run there for seconds to minutes.
SOON_SECONDS = 0.5


@dataclass(slots=True)
class Crash:
    """Hold when an endpoint ended, and how a content was there; as ``SeenEnd`` says it."""

    at: float
    soon: bool
    lived: bool


@dataclass(slots=True)
class CrashEvidence:
    """Hold what speaks against a content, and for it."""

    crash_by_endpoint: dict[int, Crash] = field(default_factory=dict)
    served_at: float = -math.inf
    blamed: bool = False
    weight_by_endpoint: dict[int, int] = field(default_factory=dict)

    @property
    def trusted(self) -> bool:
        """Return whether the content was answered whole not long before the first known end."""
        first = min((end.at for end in self.crash_by_endpoint.values()), default=math.inf)
        return first - self.served_at < TRUSTED_SECONDS

    @property
    def always_soon(self) -> bool:
        """Return whether each end came soon after the content was sent there, as a cause's do."""
        return all(end.soon for end in self.crash_by_endpoint.values())

    @property
    def required_weight(self) -> int:
        """Return the weight of ends from which on the content is taken for their cause."""
        return _TRUSTED_REQUIRED_WEIGHT if self.trusted else _REQUIRED_WEIGHT

    @property
    def proven_at(self) -> float:
        """Return when the ends weighed enough, or infinity."""
        weight = 0
        for endpoint in sorted(self.weight_by_endpoint, key=self._crashed_at):
            weight += self.weight_by_endpoint[endpoint]
            if weight >= self.required_weight:
                return self._crashed_at(endpoint)
        return math.inf

    def weight(self, endpoints: Iterable[int]) -> int:
        """Return how much the ends of these endpoints speak against the content."""
        return sum(self.weight_by_endpoint.get(endpoint, 0) for endpoint in endpoints)

    def remove_crash(self, endpoint: int) -> None:
        """Drop an end."""
        del self.crash_by_endpoint[endpoint]
        self.weight_by_endpoint.pop(endpoint, None)

    def _crashed_at(self, endpoint: int) -> float:
        return self.crash_by_endpoint[endpoint].at


def attribute_crashes(case_by_content: Mapping[str, CrashEvidence]) -> None:
    """Weigh all ends anew and charge them."""
    _assign_weights(case_by_content.values())
    rivals: Counter[int] = Counter()
    left: dict[str, set[int]] = {}
    for content, case in case_by_content.items():
        case.blamed = False
        weight = sum(case.weight_by_endpoint.values())
        if weight >= SUSPECT_WEIGHT:
            rivals.update(case.weight_by_endpoint.keys())
        if weight >= case.required_weight:
            left[content] = set(case.weight_by_endpoint)
    while left:
        clear = _select_causes(case_by_content, left, rivals)
        if not clear:
            return
        explained: set[int] = set()
        for content in clear:
            case_by_content[content].blamed = True
            explained |= left.pop(content)
        left = {
            content: ends - explained
            for content, ends in left.items()
            if case_by_content[content].weight(ends - explained)
            >= case_by_content[content].required_weight
        }


def _select_causes(
    case_by_content: Mapping[str, CrashEvidence], left: Mapping[str, set[int]], rivals: Counter[int]
) -> list[str]:
    """Return the foremost contents, without those that each other's ends may explain."""
    weights = {content: case_by_content[content].weight(ends) for content, ends in left.items()}
    most = max(weights.values())
    foremost = [content for content, weight in weights.items() if weight == most]
    if most >= _BLAME_ALL_WEIGHT:
        return foremost
    contested: Counter[int] = Counter()
    for content in foremost:
        contested.update(left[content])
    clear = []
    for content in foremost:
        if all(contested[endpoint] == 1 for endpoint in left[content]):
            clear.append(content)
            continue
        # At two ends it was the only suspect one: the shared ends are the work of either.
        own = [endpoint for endpoint in left[content] if rivals[endpoint] == 1]
        if case_by_content[content].weight(own) >= SUSPECT_WEIGHT:
            clear.append(content)
    return clear


def _assign_weights(cases: Iterable[CrashEvidence]) -> None:
    """Say how much each end speaks against each content; most do not in a failure of many."""
    cases = list(cases)
    together = _simultaneous_counts(cases)
    for case in cases:
        case.weight_by_endpoint = {}
        if len(case.crash_by_endpoint) * _FULL_WEIGHT < SUSPECT_WEIGHT:
            continue
        trusted, always_soon = case.trusted, case.always_soon
        own = sorted(together[endpoint][0] for endpoint in case.crash_by_endpoint)
        for endpoint, end in case.crash_by_endpoint.items():
            at, count = together[endpoint]
            if trusted and count >= _MASS_FAILURE_COUNT:
                continue
            share = count if count == 1 or always_soon else _count_near(own, at)
            if count >= _MASS_FAILURE_COUNT and 2 * share < count:
                continue
            # At one of a pair: it may be the work of another content as well.
            full = end.lived and (share == count or count >= _MASS_FAILURE_COUNT)
            case.weight_by_endpoint[endpoint] = _FULL_WEIGHT if full else _HALF_WEIGHT


def _simultaneous_counts(cases: Iterable[CrashEvidence]) -> dict[int, tuple[float, int]]:
    """Return by endpoint when it ended, and how many ended in that moment."""
    ended_at: dict[int, float] = {}
    for case in cases:
        for endpoint, end in case.crash_by_endpoint.items():
            known = ended_at.get(endpoint)
            if known is None or end.at < known:
                ended_at[endpoint] = end.at
    times = sorted(ended_at.values())
    return {endpoint: (at, _count_near(times, at)) for endpoint, at in ended_at.items()}


def _count_near(times: list[float], time: float) -> int:
    """Return how many sorted times lie in the moment around one."""
    return bisect_right(times, time + _SIMULTANEOUS_SECONDS) - bisect_left(
        times, time - _SIMULTANEOUS_SECONDS
    )
