"""Find requests that end the endpoints that run them; pure decisions, the time is an argument.

What each content was present at is added up over all daemons; ``crash_attribution`` says which contents are
the cause. This keeps what is known within bounds, tells it, and says what follows for a request.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.outcomes.crash_attribution import (
    REQUIRED_CRASHES,
    SOON_SECONDS,
    SUSPECT_WEIGHT,
    Crash,
    CrashEvidence,
    attribute_crashes,
)

__all__ = [
    "QUARANTINE_SECONDS",
    "PROPAGATION_SECONDS",
    "CrashReport",
    "Quarantine",
    "ObservedCrash",
    "ContentStatus",
]

# What other daemons saw at the same end is here after two pauses between datagrams (0.08 s at
# most) and a round trip; a content is charged after all were heard.
PROPAGATION_SECONDS = 0.25
# A request stays quarantined this long after its last end; callers' series last for seconds to
# minutes. Then one is sent alone again: engines may have been mended.
QUARANTINE_SECONDS = 600.0
# Contents whose last whole answer is remembered, 0.1 MB; those that many ask for are always among
# the last.
_MAX_SERVED_TIMES = 1024
# What was seen of a content is forgotten after this, so that a mended engine starts from nothing.
_CRASH_RETENTION_SECONDS = 2 * QUARANTINE_SECONDS
# A whole answer is remembered for longer than late words of earlier ends are under way.
_SERVED_RETENTION_SECONDS = 10.0
# News are told for several heartbeats, the longest of which is 0.8 s: one lost datagram is borne.
_REPORT_SECONDS = 2.5
# The time on the way of a word; a difference below it is no news.
_AGE_TOLERANCE_SECONDS = 0.5
# Bounds of what is kept and told: 256 contents of 12 ends take 0.6 MB, 24 told ones of three ends
# 0.9 KB. A flood of new contents is cut to a few less at once.
_MAX_CONTENTS = 256
_CONTENTS_AFTER_EVICTION = 224
# Old ends are looked for this often; a minute's delay would do no harm.
_EXPIRY_INTERVAL_SECONDS = 1.0
_MAX_CRASHES_PER_CONTENT = 12
# Beyond this many contents the ends are charged anew only after this time for each, so that a flood
# of ends leaves the processor to requests; guilty contents are found that much later.
_MAX_CONTENTS_WITHOUT_DELAY = 64
_ATTRIBUTION_DELAY_SECONDS_PER_CONTENT = 0.0001
_MAX_REPORTS = 24


class ContentStatus(Enum):
    """Say how a request is treated for what became of endpoints under it."""

    SOUND = auto()
    SUSPECT = auto()
    UNDECIDED = auto()
    QUARANTINED = auto()


@dataclass(frozen=True, slots=True)
class ObservedCrash:
    """Say that an endpoint, named by its key, ended ``age`` seconds ago.

    ``soon`` says that a request with the content was sent there within half a second before it,
    ``lived`` that the endpoint is known to have lived then.
    """

    endpoint: int
    age: float
    soon: bool = False
    lived: bool = True


@dataclass(frozen=True, slots=True)
class CrashReport:
    """Tell at which ends a content was; ``served_age`` is that of its last whole answer."""

    content: str
    crashes: tuple[ObservedCrash, ...]
    served_age: float | None = None


@dataclass(slots=True)
class _ContentRecord(CrashEvidence):
    updated_at: float = -math.inf

    @property
    def last_crash_at(self) -> float:
        return max((end.at for end in self.crash_by_endpoint.values()), default=-math.inf)

    @property
    def retention_priority(self) -> tuple[bool, int, float]:
        """Return what sorts the records that are forgotten last, last."""
        return self.blamed, len(self.crash_by_endpoint), self.last_crash_at

    def seconds_until_enforced(self, now: float) -> float:
        """Return after how many seconds a content that is charged counts as quarantined."""
        return max(0.0, self.proven_at + PROPAGATION_SECONDS - now)

    def seconds_held_back(self, now: float, own_ends: Collection[int]) -> float:
        """Return for how many seconds ends under other requests of the content hold one back.

        Whoever saw the first end sends again at once. The others wait for what becomes of that,
        or each of them would end one endpoint more.
        """
        if self.trusted:
            return 0.0
        others = (
            end.at
            for endpoint, end in self.crash_by_endpoint.items()
            if end.soon and end.lived and endpoint not in own_ends
        )
        return max(0.0, max(others, default=-math.inf) + SOON_SECONDS - now)

    def drop_crashes_until(self, time: float) -> bool:
        """Forget the ends up to a time; return whether there were any."""
        old = [each for each, end in self.crash_by_endpoint.items() if end.at <= time]
        for endpoint in old:
            self.remove_crash(endpoint)
        return bool(old)


class Quarantine:
    """Keep by content at which ends it was, and decide which contents are sent on no more."""

    def __init__(self, report_seconds: float = _REPORT_SECONDS) -> None:
        self._report_seconds = report_seconds
        self._by_content: dict[str, _ContentRecord] = {}
        self._served_at_by_content: OrderedDict[str, float] = OrderedDict()
        self._expired_at = -math.inf
        self._stale = False
        self._attribute_not_before = -math.inf

    def status(
        self, content: str, now: float, own_ends: Collection[int] = frozenset()
    ) -> ContentStatus:
        """Return how a request with a content is treated now.

        ``own_ends`` are the keys of the endpoints that this very request was sent to.
        """
        record = self._attributed_record(content, now)
        if record is None:
            return ContentStatus.SOUND
        if self.seconds_left(content, now) > 0:
            return ContentStatus.QUARANTINED
        if self.seconds_until_decided(content, now, own_ends) > 0:
            return ContentStatus.UNDECIDED
        if record.blamed or record.weight(self._unexplained_crashes(content)) >= SUSPECT_WEIGHT:
            return ContentStatus.SUSPECT
        return ContentStatus.SOUND

    def seconds_until_decided(
        self, content: str, now: float, own_ends: Collection[int] = frozenset()
    ) -> float:
        """Return after how many seconds it is known how a request with a content is treated.

        ``own_ends`` as for ``standing``.
        """
        record = self._attributed_record(content, now)
        if record is None:
            return 0.0
        if record.blamed:
            return record.seconds_until_enforced(now)
        return record.seconds_held_back(now, own_ends)

    def seconds_left(self, content: str, now: float) -> float:
        """Return for how long a content stays quarantined, 0 if it is not."""
        record = self._attributed_record(content, now)
        if record is None or not record.blamed or record.seconds_until_enforced(now) > 0:
            return 0.0
        return max(0.0, record.last_crash_at + QUARANTINE_SECONDS - now)

    def quarantined(self, now: float) -> list[str]:
        """Return the contents that are quarantined."""
        return [content for content in self._by_content if self.seconds_left(content, now) > 0]

    def contents(self) -> list[str]:
        """Return the contents of which anything is known."""
        return list(self._by_content)

    def is_known(self, content: str) -> bool:
        """Return whether anything is known of a content."""
        return content in self._by_content

    def record_crash(
        self, content: str, endpoint: int, now: float, *, soon: bool = False, lived: bool = True
    ) -> None:
        """Note that an endpoint, named by a key of 4 bytes, ended while the content was there.

        ``soon`` and ``lived`` as in ``SeenEnd``.
        """
        if self._add_crash(content, ObservedCrash(endpoint, 0.0, soon, lived), now):
            self._after_update(now)

    def record_served(self, content: str, now: float) -> bool:
        """Note a whole answer, which clears a content; return whether anything was known of it."""
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
        """Return what other daemons are told: what is new, and what is quarantined."""
        self._attribute(now)
        if now - self._expired_at > _EXPIRY_INTERVAL_SECONDS:
            self._expire(now)
        told = []
        for content, record in self._by_content.items():
            fresh = now - record.updated_at < self._report_seconds
            if not fresh and not record.blamed:
                continue
            told.append((not record.blamed, -record.updated_at, content))
        return tuple(self.report(content, now) for _, _, content in sorted(told)[:_MAX_REPORTS])

    def report(self, content: str, now: float) -> CrashReport:
        """Return what is known of one content."""
        record = self._by_content.get(content, _ContentRecord())
        ends = tuple(
            ObservedCrash(endpoint, now - end.at, end.soon, end.lived)
            for endpoint, end in record.crash_by_endpoint.items()
        )
        known = math.isfinite(record.served_at)
        return CrashReport(content, ends, now - record.served_at if known else None)

    def merge_reports(self, words: Iterable[CrashReport], now: float) -> bool:
        """Take what another daemon, or the store, says; return whether anything was new."""
        news = False
        for word in words:
            served_at = -math.inf if word.served_age is None else now - word.served_age
            record = self._by_content.get(word.content)
            if record is not None and served_at > record.served_at + _AGE_TOLERANCE_SECONDS:
                self._mark_served(record, served_at, now)
                news = True
            for end in word.crashes:
                if now - end.age > served_at:
                    news |= self._add_crash(word.content, end, now, served_at)
        if news:
            self._after_update(now)
        return news

    def _add_crash(
        self, content: str, seen: ObservedCrash, now: float, served_at: float = -math.inf
    ) -> bool:
        """Take one end, and the last whole answer that is known; return whether it is new."""
        record = self._by_content.get(content)
        if record is None:
            own = self._served_at_by_content.get(content, -math.inf)
            record = _ContentRecord(served_at=max(own, served_at))
        ended_at = now - seen.age
        known = record.crash_by_endpoint.get(seen.endpoint)
        if known is not None:
            return _merge_crash(known, seen, ended_at)
        if ended_at <= record.served_at or ended_at <= now - _CRASH_RETENTION_SECONDS:
            return False
        self._by_content[content] = record
        record.crash_by_endpoint[seen.endpoint] = Crash(ended_at, seen.soon, seen.lived)
        record.updated_at = now
        while len(record.crash_by_endpoint) > _MAX_CRASHES_PER_CONTENT:
            # The first ends say since when the proof stands; the last ones how long it holds.
            dropped = list(record.crash_by_endpoint)[REQUIRED_CRASHES]
            record.remove_crash(dropped)
        return True

    def _mark_served(self, record: _ContentRecord, served_at: float, now: float) -> None:
        record.served_at = served_at
        record.drop_crashes_until(served_at)
        record.updated_at = now

    def _after_update(self, now: float) -> None:
        """Keep within the bounds; the ends are charged anew when they are asked for."""
        if now - self._expired_at > _EXPIRY_INTERVAL_SECONDS:
            self._expire(now)
        if len(self._by_content) > _MAX_CONTENTS:
            self._attribute(now)
            by_worth = sorted(
                self._by_content, key=lambda each: self._by_content[each].retention_priority
            )
            # More than one goes at a time: to sort for each new one would take 0.5 ms in a flood.
            for content in by_worth[: len(by_worth) - _CONTENTS_AFTER_EVICTION]:
                del self._by_content[content]
        self._stale = True

    def _attributed_record(self, content: str, now: float) -> _ContentRecord | None:
        """Return what is known of a content, with the ends charged as of now."""
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
        """Charge the ends to the fewest contents that explain them, if anything is new.

        With 256 contents of 12 ends it takes 2.6 ms; a failure of many endpoints brings news by
        the hundred, which are charged together.
        """
        if self._stale and now >= self._attribute_not_before:
            self._stale = False
            count = len(self._by_content)
            if count > _MAX_CONTENTS_WITHOUT_DELAY:
                self._attribute_not_before = now + _ATTRIBUTION_DELAY_SECONDS_PER_CONTENT * count
            attribute_crashes(self._by_content)

    def _unexplained_crashes(self, content: str) -> set[int]:
        """Return the ends of a content that no other one is charged with."""
        ends = set(self._by_content[content].weight_by_endpoint)
        for other, record in self._by_content.items():
            if other != content and record.blamed:
                ends -= record.crash_by_endpoint.keys()
        return ends


def _merge_crash(known: Crash, seen: ObservedCrash, ended_at: float) -> bool:
    """Take what else is said of a known end; return whether that is new."""
    # Told ages round and lag: the earliest stays, or a word told to and fro grows younger.
    known.at = min(known.at, ended_at)
    news = (seen.soon and not known.soon) or (seen.lived and not known.lived)
    known.soon |= seen.soon
    known.lived |= seen.lived
    return news
