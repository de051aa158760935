"""Avoid endpoints that fail requests, whatever their health check says."""

from __future__ import annotations

import math
from collections.abc import Iterable
from dataclasses import dataclass, replace

__all__ = ["DOUBT_SECONDS", "FailingWord", "Suspicions", "longest_words", "words_left"]

# A failed connection or a silent endpoint is avoided this long at first, doubling to the longest.
_FIRST_SECONDS = 0.8
_LONGEST_SECONDS = 6.0
# Two daemons that meet failures at an endpoint within this make it suspect; below the first span.
DOUBT_SECONDS = 0.7
# Weight of one outcome in the running share of failures, and the share that makes it suspect.
_OUTCOME_WEIGHT = 0.2
_SUSPECT_SHARE = 0.45


@dataclass(frozen=True, slots=True)
class FailingWord:
    """Tell other daemons for how many seconds more an endpoint is avoided, and for how many in all.

    The next one that meets a failure there goes on from ``span``, whoever that is.
    """

    endpoint: str
    left: float
    span: float


def words_left(words: Iterable[FailingWord], seconds: float) -> list[FailingWord]:
    """Return which words still count a number of seconds after they were told."""
    later = [replace(word, left=word.left - seconds) for word in words]
    return [word for word in later if word.left > 0]


def longest_words(words: Iterable[FailingWord]) -> tuple[FailingWord, ...]:
    """Return of each endpoint the word that counts for longest, those first."""
    by_endpoint: dict[str, FailingWord] = {}
    for word in sorted(words, key=lambda each: (-each.left, each.endpoint)):
        by_endpoint.setdefault(word.endpoint, word)
    return tuple(by_endpoint.values())


@dataclass(slots=True)
class _Doubt:
    host: str
    at: float


@dataclass(slots=True)
class _Record:
    until: float = 0.0
    heard_until: float = 0.0
    # How long the next failure makes it avoided.
    seconds: float = _FIRST_SECONDS
    # How long the present one does.
    span: float = 0.0
    failures: float = 0.0
    # The last failure that was not certain, and which daemon met it; and the last one met here.
    doubt: _Doubt | None = None
    own_doubt_at: float = -math.inf


class Suspicions:
    """Keep by endpoint until when it is avoided."""

    def __init__(self) -> None:
        self._by_endpoint: dict[str, _Record] = {}

    def suspect(self, endpoint: str, now: float) -> bool:
        """Return whether an endpoint is avoided while others are sound."""
        record = self._by_endpoint.get(endpoint)
        return record is not None and now < max(record.until, record.heard_until)

    def succeeded(self, endpoint: str) -> None:
        """Note a whole answer."""
        record = self._by_endpoint.get(endpoint)
        if record is None:
            return
        record.failures *= 1 - _OUTCOME_WEIGHT
        record.seconds = max(_FIRST_SECONDS, record.seconds / 2)

    def failed(self, endpoint: str, now: float, *, certain: bool) -> bool:
        """Note a failure; a certain one (no connection, silence) suffices. Return if it is new."""
        if self.answered_failure(endpoint, now):
            return True
        record = self._by_endpoint[endpoint]
        if certain:
            return self._avoid(record, now)
        record.own_doubt_at = now
        return self.doubted(endpoint, "", now)

    def answered_failure(self, endpoint: str, now: float) -> bool:
        """Note that an endpoint answered with a failure, which may be the request's fault.

        Most of many must be. Return whether it is newly suspect.
        """
        record = self._by_endpoint.setdefault(endpoint, _Record())
        record.failures += (1 - record.failures) * _OUTCOME_WEIGHT
        return record.failures >= _SUSPECT_SHARE and self._avoid(record, now)

    def doubted(self, endpoint: str, host: str, now: float) -> bool:
        """Note a failure that is not certain, met at a host; return whether it makes suspect.

        It does if another daemon has just met one there: answers that are lost by chance are spread
        over all endpoints, and seldom meet at one.
        """
        record = self._by_endpoint.setdefault(endpoint, _Record())
        before, record.doubt = record.doubt, _Doubt(host, now)
        if self.suspect(endpoint, now) or before is None or before.host == host:
            return False
        return now - before.at < DOUBT_SECONDS and self._avoid(record, now)

    def doubts(self, now: float) -> list[str]:
        """Return the endpoints at which this daemon has just met a failure."""
        return [
            endpoint
            for endpoint, record in self._by_endpoint.items()
            if now - record.own_doubt_at < DOUBT_SECONDS
        ]

    def _avoid(self, record: _Record, now: float) -> bool:
        if now < record.until:
            return False
        if now - max(record.until, record.heard_until) > _LONGEST_SECONDS:
            # It was sound for a while: this is another trouble, not the same one going on.
            record.seconds = _FIRST_SECONDS
        record.doubt = None
        record.until = now + record.seconds
        record.span = record.seconds
        record.seconds = min(_LONGEST_SECONDS, record.seconds * 2)
        return True

    def heard(self, word: FailingWord, now: float) -> None:
        """Take a peer's word that an endpoint fails; it is not passed on as an own belief."""
        record = self._by_endpoint.setdefault(word.endpoint, _Record())
        record.heard_until = max(record.heard_until, now + min(word.left, _LONGEST_SECONDS))
        record.seconds = max(record.seconds, min(_LONGEST_SECONDS, word.span * 2))

    def words(self, now: float) -> list[FailingWord]:
        """Return which endpoints are avoided for what this daemon met, to tell others."""
        return [
            FailingWord(endpoint, record.until - now, record.span)
            for endpoint, record in self._by_endpoint.items()
            if now < record.until
        ]

    def keep(self, endpoints: set[str]) -> None:
        """Forget endpoints that are gone."""
        for endpoint in list(self._by_endpoint):
            if endpoint not in endpoints:
                del self._by_endpoint[endpoint]
