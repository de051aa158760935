"""Avoid endpoints that fail requests, whatever their health check says."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

__all__ = [
    "CORROBORATION_SECONDS",
    "FailureDetector",
    "FailureNotice",
    "longest_notices",
    "unexpired_notices",
]

# A failed connection or a silent endpoint is avoided this long at first, doubling to the longest.
_INITIAL_BACKOFF_SECONDS = 0.8
_MAX_BACKOFF_SECONDS = 6.0
# Two daemons that meet failures at an endpoint within this make it suspect; below the first span.
CORROBORATION_SECONDS = 0.7
# Weight of one outcome in the running share of failures, and the share that makes it suspect.
_EWMA_WEIGHT = 0.2
_SUSPECT_FAILURE_RATIO = 0.45


@dataclass(frozen=True, slots=True)
class FailureNotice:
    """Tell other daemons for how many seconds more an endpoint is avoided, and for how many in all.

    The next one that meets a failure there goes on from ``span``, whoever that is.
    """

    endpoint: str
    left: float
    span: float


def unexpired_notices(words: Iterable[FailureNotice], seconds: float) -> list[FailureNotice]:
    """Return which words still count a number of seconds after they were told."""
    later = [replace(word, left=word.left - seconds) for word in words]
    return [word for word in later if word.left > 0]


def longest_notices(words: Iterable[FailureNotice]) -> tuple[FailureNotice, ...]:
    """Return of each endpoint the word that counts for longest, those first."""
    by_endpoint: dict[str, FailureNotice] = {}
    for word in sorted(words, key=lambda each: (-each.left, each.endpoint)):
        by_endpoint.setdefault(word.endpoint, word)
    return tuple(by_endpoint.values())


@dataclass(slots=True)
class _UncertainFailure:
    host: str
    at: float


@dataclass(slots=True)
class _EndpointHealth:
    avoided_until: float = 0.0
    peer_avoided_until: float = 0.0
    # How long the next failure makes it avoided.
    next_backoff: float = _INITIAL_BACKOFF_SECONDS
    # How long the present one does.
    span: float = 0.0
    failure_ratio: float = 0.0
    # The last failure that was not certain, and which daemon met it; and the last one met here.
    uncertain_failure: _UncertainFailure | None = None
    own_uncertain_failure_at: float = -math.inf


class FailureDetector:
    """Keep by endpoint until when it is avoided."""

    def __init__(self) -> None:
        self._by_endpoint: dict[str, _EndpointHealth] = {}

    def is_suspect(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is avoided while others are sound."""
        record = self._by_endpoint.get(endpoint)
        return record is not None and now < max(record.avoided_until, record.peer_avoided_until)

    def record_success(self, endpoint: str) -> None:
        """Note a whole answer."""
        record = self._by_endpoint.get(endpoint)
        if record is None:
            return
        record.failure_ratio *= 1 - _EWMA_WEIGHT
        record.next_backoff = max(_INITIAL_BACKOFF_SECONDS, record.next_backoff / 2)

    def record_failure(self, endpoint: str, now: float, *, certain: bool) -> bool:
        """Note a failure; a certain one (no connection, silence) suffices. Return if it is new."""
        if self.record_error_response(endpoint, now):
            return True
        record = self._by_endpoint[endpoint]
        if certain:
            return self._avoid(record, now)
        record.own_uncertain_failure_at = now
        return self.record_uncertain_failure(endpoint, "", now)

    def record_error_response(self, endpoint: str, now: float) -> bool:
        """Note that an endpoint answered with a failure, which may be the request's fault.

        Most of many must be. Return whether it is newly suspect.
        """
        record = self._by_endpoint.setdefault(endpoint, _EndpointHealth())
        record.failure_ratio += (1 - record.failure_ratio) * _EWMA_WEIGHT
        return record.failure_ratio >= _SUSPECT_FAILURE_RATIO and self._avoid(record, now)

    def record_uncertain_failure(self, endpoint: str, host: str, now: float) -> bool:
        """Note a failure that is not certain, met at a host; return whether it makes suspect.

        It does if another daemon has just met one there: answers that are lost by chance are spread
        over all endpoints, and seldom meet at one.
        """
        record = self._by_endpoint.setdefault(endpoint, _EndpointHealth())
        before, record.uncertain_failure = record.uncertain_failure, _UncertainFailure(host, now)
        if self.is_suspect(endpoint, now) or before is None or before.host == host:
            return False
        return now - before.at < CORROBORATION_SECONDS and self._avoid(record, now)

    def uncertain_failures(self, now: float) -> list[str]:
        """Return the endpoints at which this daemon has just met a failure."""
        return [
            endpoint
            for endpoint, record in self._by_endpoint.items()
            if now - record.own_uncertain_failure_at < CORROBORATION_SECONDS
        ]

    def _avoid(self, record: _EndpointHealth, now: float) -> bool:
        if now < record.avoided_until:
            return False
        if now - max(record.avoided_until, record.peer_avoided_until) > _MAX_BACKOFF_SECONDS:
            # It was sound for a while: this is another trouble, not the same one going on.
            record.next_backoff = _INITIAL_BACKOFF_SECONDS
        record.uncertain_failure = None
        record.avoided_until = now + record.next_backoff
        record.span = record.next_backoff
        record.next_backoff = min(_MAX_BACKOFF_SECONDS, record.next_backoff * 2)
        return True

    def apply_notice(self, word: FailureNotice, now: float) -> None:
        """Take a peer's word that an endpoint fails; it is not passed on as an own belief."""
        record = self._by_endpoint.setdefault(word.endpoint, _EndpointHealth())
        record.peer_avoided_until = max(
            record.peer_avoided_until, now + min(word.left, _MAX_BACKOFF_SECONDS)
        )
        record.next_backoff = max(record.next_backoff, min(_MAX_BACKOFF_SECONDS, word.span * 2))

    def notices(self, now: float) -> list[FailureNotice]:
        """Return which endpoints are avoided for what this daemon met, to tell others."""
        return [
            FailureNotice(endpoint, record.avoided_until - now, record.span)
            for endpoint, record in self._by_endpoint.items()
            if now < record.avoided_until
        ]

    def retain(self, endpoints: set[str]) -> None:
        """Forget endpoints that are gone."""
        for endpoint in list(self._by_endpoint):
            if endpoint not in endpoints:
                del self._by_endpoint[endpoint]
