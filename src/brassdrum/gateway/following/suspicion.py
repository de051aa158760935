"""Detect failing endpoints from the outcomes of requests, independent of health checks."""

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

# Backoff of a suspect endpoint; it doubles with each further failure.
_INITIAL_BACKOFF_SECONDS = 0.8
_MAX_BACKOFF_SECONDS = 6.0
# Uncertain failures reported by two daemons within this time make an endpoint suspect. Must be
# shorter than the initial backoff.
CORROBORATION_SECONDS = 0.7
# Exponentially weighted ratio of failed requests.
_EWMA_WEIGHT = 0.2
_SUSPECT_FAILURE_RATIO = 0.45


@dataclass(frozen=True, slots=True)
class FailureNotice:
    """Announce a suspect endpoint to peers.

    ``left`` is the remaining backoff and ``span`` the whole one, in seconds. A daemon that sees the
    next failure doubles ``span``.
    """

    endpoint: str
    left: float
    span: float


def unexpired_notices(notices: Iterable[FailureNotice], seconds: float) -> list[FailureNotice]:
    """Return the notices still valid the given number of seconds after they were sent."""
    later = [replace(notice, left=notice.left - seconds) for notice in notices]
    return [notice for notice in later if notice.left > 0]


def longest_notices(notices: Iterable[FailureNotice]) -> tuple[FailureNotice, ...]:
    """Return the longest-lasting notice of each endpoint, longest first."""
    by_endpoint: dict[str, FailureNotice] = {}
    for notice in sorted(notices, key=lambda each: (-each.left, each.endpoint)):
        by_endpoint.setdefault(notice.endpoint, notice)
    return tuple(by_endpoint.values())


@dataclass(slots=True)
class _UncertainFailure:
    host: str
    at: float


@dataclass(slots=True)
class _EndpointHealth:
    avoided_until: float = 0.0
    peer_avoided_until: float = 0.0
    # Seconds of backoff after the next failure.
    next_backoff: float = _INITIAL_BACKOFF_SECONDS
    # Seconds of the current backoff.
    backoff: float = 0.0
    failure_ratio: float = 0.0
    # The latest uncertain failure reported by any daemon, and the time of the latest local one.
    uncertain_failure: _UncertainFailure | None = None
    own_uncertain_failure_at: float = -math.inf


class FailureDetector:
    """Track which endpoints are suspect and for how long."""

    def __init__(self) -> None:
        self._by_endpoint: dict[str, _EndpointHealth] = {}

    def is_suspect(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint should be avoided while healthy ones are available."""
        record = self._by_endpoint.get(endpoint)
        return record is not None and now < max(record.avoided_until, record.peer_avoided_until)

    def record_success(self, endpoint: str) -> None:
        """Record a complete response."""
        record = self._by_endpoint.get(endpoint)
        if record is None:
            return
        record.failure_ratio *= 1 - _EWMA_WEIGHT
        record.next_backoff = max(_INITIAL_BACKOFF_SECONDS, record.next_backoff / 2)

    def record_recovery(self, endpoint: str) -> None:
        """Record that an endpoint that was taken for failing goes on with what it had begun."""
        record = self._by_endpoint.get(endpoint)
        if record is None:
            return
        record.avoided_until = record.peer_avoided_until = 0.0
        record.next_backoff = _INITIAL_BACKOFF_SECONDS

    def record_failure(self, endpoint: str, now: float, *, certain: bool) -> bool:
        """Record a failure; return whether it makes the endpoint suspect.

        A certain failure (no connection, no response) suffices by itself.
        """
        if self.record_error_response(endpoint, now):
            return True
        record = self._by_endpoint[endpoint]
        if certain:
            return self._avoid(record, now)
        record.own_uncertain_failure_at = now
        return self.record_uncertain_failure(endpoint, "", now)

    def record_exit(self, endpoint: str, now: float) -> bool:
        """Record that an endpoint's process has exited; return whether it was not suspect.

        It is avoided for the longest backoff at once. After the initial one all daemons would try
        it again together, and its address may belong to another endpoint by then.
        """
        record = self._by_endpoint.setdefault(endpoint, _EndpointHealth())
        was_suspect = now < record.avoided_until
        if was_suspect and record.backoff == _MAX_BACKOFF_SECONDS:
            # Each interrupted response reports the same exit.
            return False
        record.uncertain_failure = None
        record.backoff = record.next_backoff = _MAX_BACKOFF_SECONDS
        record.avoided_until = now + _MAX_BACKOFF_SECONDS
        return not was_suspect

    def record_error_response(self, endpoint: str, now: float) -> bool:
        """Record an error response; return whether it makes the endpoint suspect.

        The request may have caused the error, so only a high failure ratio counts.
        """
        record = self._by_endpoint.setdefault(endpoint, _EndpointHealth())
        record.failure_ratio += (1 - record.failure_ratio) * _EWMA_WEIGHT
        return record.failure_ratio >= _SUSPECT_FAILURE_RATIO and self._avoid(record, now)

    def record_uncertain_failure(self, endpoint: str, host: str, now: float) -> bool:
        """Record an uncertain failure seen by a host; return whether it makes the endpoint suspect.

        It does if another daemon has just seen one too: randomly lost responses are spread over all
        endpoints and rarely coincide. An empty ``host`` is this daemon.
        """
        record = self._by_endpoint.setdefault(endpoint, _EndpointHealth())
        before, record.uncertain_failure = record.uncertain_failure, _UncertainFailure(host, now)
        if self.is_suspect(endpoint, now) or before is None or before.host == host:
            return False
        return now - before.at < CORROBORATION_SECONDS and self._avoid(record, now)

    def uncertain_failures(self, now: float) -> list[str]:
        """Return the endpoints that recently failed a request of this daemon."""
        return [
            endpoint
            for endpoint, record in self._by_endpoint.items()
            if now - record.own_uncertain_failure_at < CORROBORATION_SECONDS
        ]

    def _avoid(self, record: _EndpointHealth, now: float) -> bool:
        if now < record.avoided_until:
            return False
        if now - max(record.avoided_until, record.peer_avoided_until) > _MAX_BACKOFF_SECONDS:
            # The endpoint was healthy for a while, so the backoff starts over.
            record.next_backoff = _INITIAL_BACKOFF_SECONDS
        record.uncertain_failure = None
        record.avoided_until = now + record.next_backoff
        record.backoff = record.next_backoff
        record.next_backoff = min(_MAX_BACKOFF_SECONDS, record.next_backoff * 2)
        return True

    def apply_notice(self, notice: FailureNotice, now: float) -> None:
        """Avoid an endpoint that a peer reports as failing; ``notices`` omits such reports."""
        record = self._by_endpoint.setdefault(notice.endpoint, _EndpointHealth())
        record.peer_avoided_until = max(
            record.peer_avoided_until, now + min(notice.left, _MAX_BACKOFF_SECONDS)
        )
        record.next_backoff = max(record.next_backoff, min(_MAX_BACKOFF_SECONDS, notice.span * 2))

    def notices(self, now: float) -> list[FailureNotice]:
        """Return notices of the endpoints made suspect by failures that this daemon saw."""
        return [
            FailureNotice(endpoint, record.avoided_until - now, record.backoff)
            for endpoint, record in self._by_endpoint.items()
            if now < record.avoided_until
        ]

    def forget_own(self) -> None:
        """Forget what this daemon saw itself, which says nothing of the endpoints."""
        for record in self._by_endpoint.values():
            record.avoided_until = 0.0
            record.next_backoff = _INITIAL_BACKOFF_SECONDS
            record.failure_ratio = 0.0
            record.own_uncertain_failure_at = -math.inf
            if record.uncertain_failure is not None and not record.uncertain_failure.host:
                record.uncertain_failure = None

    def retain(self, endpoints: set[str]) -> None:
        """Forget all endpoints but the given ones."""
        for endpoint in list(self._by_endpoint):
            if endpoint not in endpoints:
                del self._by_endpoint[endpoint]
