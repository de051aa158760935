"""Detect and quarantine requests that crash the endpoints that run them.

The crashes at which each content was in flight are merged from all daemons; ``charging``
decides which contents caused them. This module limits the data that is kept, exchanges it with
other daemons and decides how a request is treated. It does no I/O; times are arguments.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.outcomes.charging import (
    REQUIRED_CRASHES,
    SOON_SECONDS,
    SUSPECT_WEIGHT,
    Crash,
    CrashEvidence,
    attribute_crashes,
)

__all__ = [
    "PROPAGATION_SECONDS",
    "QUARANTINE_SECONDS",
    "ContentStatus",
    "CrashReport",
    "ObservedCrash",
    "Quarantine",
]

# Time for other daemons' reports on a crash to arrive, two flush intervals of at most 0.08 s and a
# round trip; a quarantine takes effect only after it.
PROPAGATION_SECONDS = 0.25
# Time for reports on crashes of the same moment to arrive, before a request whose own endpoint
# crashed is sent again.
_OWN_CRASH_HOLD_SECONDS = 0.05
# Time from the last crash until a request is tried again on an idle endpoint; the engines may have
# been fixed by then, and callers' series of retries last for seconds to minutes.
QUARANTINE_SECONDS = 600.0
# Limit on contents whose last complete response is remembered, in LRU order.
_MAX_SERVED_TIMES = 1024
# After this time a crash is forgotten, so that old evidence does not count against fixed engines.
_CRASH_RETENTION_SECONDS = 2 * QUARANTINE_SECONDS
# Longer than delayed reports of earlier crashes may take to arrive.
_SERVED_RETENTION_SECONDS = 10.0
# Updates are reported for several heartbeats, to tolerate a lost datagram.
_REPORT_SECONDS = 2.5
# Reported ages are off by the network delay; smaller differences are ignored.
_AGE_TOLERANCE_SECONDS = 0.5
# Limits on memory and on the size of a datagram: 256 contents of 12 crashes take 0.6 MB, 24
# reported ones of three crashes 0.9 KB. Eviction goes below the limit, so that it is not needed for
# each new content.
_MAX_CONTENTS = 256
_CONTENTS_AFTER_EVICTION = 224
_EXPIRY_INTERVAL_SECONDS = 1.0
_MAX_CRASHES_PER_CONTENT = 12
# Above this many contents, attribution runs again only after a delay proportional to their number,
# to limit its CPU time.
_MAX_CONTENTS_WITHOUT_DELAY = 64
_ATTRIBUTION_DELAY_SECONDS_PER_CONTENT = 0.0001
_MAX_REPORTS = 24


class ContentStatus(Enum):
    """How a request is treated, given the crashes at which its content was in flight.

    A suspect request is sent to an idle endpoint; an undecided one waits.
    """

    SOUND = auto()
    SUSPECT = auto()
    UNDECIDED = auto()
    QUARANTINED = auto()


@dataclass(frozen=True, slots=True)
class ObservedCrash:
    """Crash of an endpoint, identified by its key, ``age`` seconds ago.

    ``soon`` is set if a request with the content was sent to it within ``SOON_SECONDS`` before, and
    ``lived`` if the endpoint is known to have been alive when the request was sent.
    """

    endpoint: int
    age: float
    soon: bool = False
    lived: bool = True


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Crashes at which a content was in flight, and the age of its last complete response."""

    content: str
    crashes: tuple[ObservedCrash, ...]
    served_age: float | None = None


@dataclass(slots=True)
class _ContentRecord(CrashEvidence):
    updated_at: float = -math.inf

    @property
    def last_crash_at(self) -> float:
        return max((crash.at for crash in self.crash_by_endpoint.values()), default=-math.inf)

    @property
    def retention_priority(self) -> tuple[bool, int, float]:
        """Return a sort key; records with the lowest one are evicted first."""
        return self.blamed, len(self.crash_by_endpoint), self.last_crash_at

    def seconds_until_enforced(self, now: float) -> float:
        """Return the seconds until the quarantine of a blamed content takes effect."""
        return max(0.0, self.proven_at + PROPAGATION_SECONDS - now)

    def seconds_held_back(self, now: float, own_crashes: Collection[int]) -> float:
        """Return the seconds to delay a request after crashes under requests with its content.

        The request that saw the first crash is retried after a moment in which it hears of others.
        The others wait for the result, or each of them might crash another endpoint.
        """
        if self.trusted:
            return 0.0
        held_until = -math.inf
        for endpoint, crash in self.crash_by_endpoint.items():
            if not crash.soon or not crash.lived:
                continue
            own = endpoint in own_crashes
            hold_seconds = _OWN_CRASH_HOLD_SECONDS if own else SOON_SECONDS
            held_until = max(held_until, crash.at + hold_seconds)
        return max(0.0, held_until - now)

    def drop_crashes_until(self, time: float) -> bool:
        """Remove crashes up to a time; return whether there were any."""
        expired = [
            endpoint for endpoint, crash in self.crash_by_endpoint.items() if crash.at <= time
        ]
        for endpoint in expired:
            self.remove_crash(endpoint)
        return bool(expired)


class Quarantine:
    """Track crashes by content and decide which contents are quarantined."""

    def __init__(self, report_seconds: float = _REPORT_SECONDS) -> None:
        self._report_seconds = report_seconds
        self._by_content: dict[str, _ContentRecord] = {}
        self._served_at_by_content: OrderedDict[str, float] = OrderedDict()
        self._expired_at = -math.inf
        self._stale = False
        self._attribute_not_before = -math.inf

    def status(
        self, content: str, now: float, own_crashes: Collection[int] = frozenset()
    ) -> ContentStatus:
        """Return how a request with a content is treated now.

        ``own_crashes`` are the keys of the endpoints that this request itself was sent to.
        """
        record = self._attributed_record(content, now)
        if record is None:
            return ContentStatus.SOUND
        if self.seconds_left(content, now) > 0:
            return ContentStatus.QUARANTINED
        if self.seconds_until_decided(content, now, own_crashes) > 0:
            return ContentStatus.UNDECIDED
        if record.blamed or record.weight(self._unexplained_crashes(content)) >= SUSPECT_WEIGHT:
            return ContentStatus.SUSPECT
        return ContentStatus.SOUND

    def seconds_until_decided(
        self, content: str, now: float, own_crashes: Collection[int] = frozenset()
    ) -> float:
        """Return the seconds after which the status of a request is no longer undecided.

        ``own_crashes`` as for ``status``.
        """
        record = self._attributed_record(content, now)
        if record is None:
            return 0.0
        if record.blamed:
            return record.seconds_until_enforced(now)
        return record.seconds_held_back(now, own_crashes)

    def seconds_left(self, content: str, now: float) -> float:
        """Return the remaining quarantine time of a content, or 0."""
        record = self._attributed_record(content, now)
        if record is None or not record.blamed or record.seconds_until_enforced(now) > 0:
            return 0.0
        return max(0.0, record.last_crash_at + QUARANTINE_SECONDS - now)

    def quarantined(self, now: float) -> list[str]:
        """Return the quarantined contents."""
        return [content for content in self._by_content if self.seconds_left(content, now) > 0]

    def contents(self) -> list[str]:
        """Return all tracked contents."""
        return list(self._by_content)

    def is_known(self, content: str) -> bool:
        """Return whether a content is tracked."""
        return content in self._by_content

    def record_crash(
        self, content: str, endpoint: int, now: float, *, soon: bool = False, lived: bool = True
    ) -> None:
        """Record the crash of an endpoint, given by its 4-byte key, with the content in flight.

        ``soon`` and ``lived`` as in ``ObservedCrash``.
        """
        if self._add_crash(content, ObservedCrash(endpoint, 0.0, soon, lived), now):
            self._after_update(now)

    def record_served(self, content: str, now: float) -> bool:
        """Record a complete response, which clears a content; return whether it was tracked."""
        self._served_at_by_content[content] = now
        self._served_at_by_content.move_to_end(content)
        if len(self._served_at_by_content) > _MAX_SERVED_TIMES:
            self._served_at_by_content.popitem(last=False)
        record = self._by_content.get(content)
        if record is None:
            return False
        self._mark_served(record, now, now)
        self._after_update(now)
        return True

    def reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports for other daemons, on recent changes and blamed contents."""
        self._attribute(now)
        if now - self._expired_at > _EXPIRY_INTERVAL_SECONDS:
            self._expire(now)
        candidates = []
        for content, record in self._by_content.items():
            fresh = now - record.updated_at < self._report_seconds
            if not fresh and not record.blamed:
                continue
            candidates.append((not record.blamed, -record.updated_at, content))
        return tuple(
            self.report(content, now) for _, _, content in sorted(candidates)[:_MAX_REPORTS]
        )

    def report(self, content: str, now: float) -> CrashReport:
        """Return the report on one content."""
        record = self._by_content.get(content, _ContentRecord())
        crashes = tuple(
            ObservedCrash(endpoint, now - crash.at, crash.soon, crash.lived)
            for endpoint, crash in record.crash_by_endpoint.items()
        )
        known = math.isfinite(record.served_at)
        return CrashReport(content, crashes, now - record.served_at if known else None)

    def merge_reports(self, reports: Iterable[CrashReport], now: float) -> bool:
        """Merge reports of another daemon or the store; return whether anything changed."""
        changed = False
        for report in reports:
            served_at = -math.inf if report.served_age is None else now - report.served_age
            record = self._by_content.get(report.content)
            if record is not None and served_at > record.served_at + _AGE_TOLERANCE_SECONDS:
                self._mark_served(record, served_at, now)
                changed = True
            for crash in report.crashes:
                if now - crash.age > served_at:
                    changed |= self._add_crash(report.content, crash, now, served_at)
        if changed:
            self._after_update(now)
        return changed

    def _add_crash(
        self, content: str, reported: ObservedCrash, now: float, served_at: float = -math.inf
    ) -> bool:
        """Add a crash, with the last complete response; return whether anything changed."""
        record = self._by_content.get(content)
        if record is None:
            own = self._served_at_by_content.get(content, -math.inf)
            record = _ContentRecord(served_at=max(own, served_at))
        crashed_at = now - reported.age
        known = record.crash_by_endpoint.get(reported.endpoint)
        if known is not None:
            return _merge_crash(known, reported, crashed_at)
        if crashed_at <= record.served_at or crashed_at <= now - _CRASH_RETENTION_SECONDS:
            return False
        self._by_content[content] = record
        record.crash_by_endpoint[reported.endpoint] = Crash(
            crashed_at, reported.soon, reported.lived
        )
        record.updated_at = now
        while len(record.crash_by_endpoint) > _MAX_CRASHES_PER_CONTENT:
            # Keep the first crashes, which give the start of the quarantine, and the last ones.
            dropped = list(record.crash_by_endpoint)[REQUIRED_CRASHES]
            record.remove_crash(dropped)
        return True

    def _mark_served(self, record: _ContentRecord, served_at: float, now: float) -> None:
        record.served_at = served_at
        record.drop_crashes_until(served_at)
        record.updated_at = now

    def _after_update(self, now: float) -> None:
        """Enforce the limits; attribution is repeated at the next query."""
        if now - self._expired_at > _EXPIRY_INTERVAL_SECONDS:
            self._expire(now)
        if len(self._by_content) > _MAX_CONTENTS:
            self._attribute(now)
            by_priority = sorted(
                self._by_content, key=lambda each: self._by_content[each].retention_priority
            )
            # Evict several at a time, so that not every new content requires a sort.
            for content in by_priority[: len(by_priority) - _CONTENTS_AFTER_EVICTION]:
                del self._by_content[content]
        self._stale = True

    def _attributed_record(self, content: str, now: float) -> _ContentRecord | None:
        """Return the record of a content with current attribution, or None."""
        record = self._by_content.get(content)
        if record is not None:
            self._attribute(now)
        return record

    def _expire(self, now: float) -> None:
        self._expired_at = now
        for content, record in list(self._by_content.items()):
            if record.drop_crashes_until(now - _CRASH_RETENTION_SECONDS):
                self._stale = True
            if not record.crash_by_endpoint and record.served_at < now - _SERVED_RETENTION_SECONDS:
                del self._by_content[content]

    def _attribute(self, now: float) -> None:
        """Repeat the attribution if anything changed; changes of a mass failure are batched."""
        if self._stale and now >= self._attribute_not_before:
            self._stale = False
            count = len(self._by_content)
            if count > _MAX_CONTENTS_WITHOUT_DELAY:
                self._attribute_not_before = now + _ATTRIBUTION_DELAY_SECONDS_PER_CONTENT * count
            attribute_crashes(self._by_content)

    def _unexplained_crashes(self, content: str) -> set[int]:
        """Return the crashed endpoints of a content that are not attributed to another one."""
        endpoints = set(self._by_content[content].weight_by_endpoint)
        for other, record in self._by_content.items():
            if other != content and record.blamed:
                endpoints -= record.crash_by_endpoint.keys()
        return endpoints


def _merge_crash(known: Crash, reported: ObservedCrash, crashed_at: float) -> bool:
    """Merge a report on a known crash; return whether anything changed."""
    # Reported ages are rounded and delayed: keep the earliest time, or a crash would appear more
    # recent each time daemons exchange it.
    known.at = min(known.at, crashed_at)
    changed = (reported.soon and not known.soon) or (reported.lived and not known.lived)
    known.soon |= reported.soon
    known.lived |= reported.lived
    return changed
