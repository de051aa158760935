"""Detect and quarantine requests that crash the endpoints that run them.

The crashes at which each trait of requests was in flight, their whole content or a part of their
prompts, are merged from all daemons; ``charging`` decides which traits caused them. This module
limits the data that is kept, exchanges it with other daemons and decides how a request is treated.
It does no I/O; times are arguments.
"""

from __future__ import annotations

import math
from bisect import bisect_right
from collections import OrderedDict
from collections.abc import Collection, Iterable
from dataclasses import dataclass
from enum import Enum, auto

from brassdrum.outcomes.charging import attribute_crashes
from brassdrum.outcomes.crash_evidence import (
    REQUIRED_CRASHES,
    SOON_SECONDS,
    Crash,
    CrashEvidence,
)
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash, report_bytes
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.outcomes.trait_frequency import TraitFrequency

__all__ = [
    "PROPAGATION_SECONDS",
    "QUARANTINE_SECONDS",
    "SURVIVAL_SECONDS",
    "ContentStatus",
    "Judgement",
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
# A response that goes on for so long after its first event shows that its endpoint survived it.
SURVIVAL_SECONDS = 2 * SOON_SECONDS
# Limit on traits whose last complete response is remembered, in LRU order.
_MAX_SERVED_TIMES = 4096
# After this time a crash is forgotten, so that old evidence does not count against fixed engines.
_CRASH_RETENTION_SECONDS = 2 * QUARANTINE_SECONDS
# Longer than delayed reports of earlier crashes may take to arrive.
_SERVED_RETENTION_SECONDS = 10.0
# Updates are reported for several heartbeats, to tolerate a lost datagram.
_REPORT_SECONDS = 2.5
# Reported ages are off by the network delay; smaller differences are ignored.
_AGE_TOLERANCE_SECONDS = 0.5
# Limit on memory: 1024 traits of 12 crashes take 2.8 MB. An endpoint's crash adds the traits of all
# requests in flight, so the first crash of a trait has to outlast those of others. Eviction goes
# below the limit, so that it is not needed for each new trait.
_MAX_TRAITS = 1024
_TRAITS_AFTER_EVICTION = 896
_EXPIRY_INTERVAL_SECONDS = 1.0
_MAX_CRASHES_PER_TRAIT = 12
# Above this many traits, attribution runs again only after a delay proportional to their number, to
# limit its CPU time.
_MAX_TRAITS_WITHOUT_DELAY = 64
_ATTRIBUTION_DELAY_SECONDS_PER_TRAIT = 0.0002
# Limit on the size of the reports in one datagram, in bytes.
_MAX_REPORT_BYTES = 900
# Blamed traits without news are reported in turns, within this part of it.
_MAX_KEPT_REPORT_BYTES = 300


class ContentStatus(Enum):
    """How a request is treated, given the crashes at which its traits were in flight.

    A suspect request is sent to an idle endpoint; an undecided one waits.
    """

    SOUND = auto()
    SUSPECT = auto()
    UNDECIDED = auto()
    QUARANTINED = auto()


@dataclass(frozen=True, slots=True)
class Judgement:
    """How a request is treated now, and why.

    ``seconds`` is the time until an undecided request is decided, or until the quarantine of a
    quarantined one ends. ``causes`` are the traits that are held against it.
    """

    status: ContentStatus
    seconds: float = 0.0
    causes: tuple[str, ...] = ()


@dataclass(slots=True)
class _TraitRecord(CrashEvidence):
    updated_at: float = -math.inf

    @property
    def last_crash_at(self) -> float:
        return max((crash.at for crash in self.crash_by_endpoint.values()), default=-math.inf)

    @property
    def retention_priority(self) -> tuple[bool, int, float]:
        """Return a sort key; records with the lowest one are evicted first."""
        return self.blamed, len(self.crash_by_endpoint), self.last_crash_at

    def seconds_until_enforced(self, now: float) -> float:
        """Return the seconds until the quarantine of a blamed trait takes effect."""
        return max(0.0, self.proven_at + PROPAGATION_SECONDS - now)

    def seconds_held_back(self, now: float, own_crashes: Collection[int]) -> float:
        """Return the seconds to delay a request after crashes under requests with its trait.

        The request that saw the first crash is retried after a moment in which it hears of others.
        The others wait for the result, or each of them might crash another endpoint.
        """
        if self.is_shared:
            return 0.0
        held_until = -math.inf
        for endpoint, crash in self.crash_by_endpoint.items():
            if not crash.soon or not crash.lived:
                continue
            own = endpoint in own_crashes
            hold_seconds = _OWN_CRASH_HOLD_SECONDS if own else SOON_SECONDS
            held_until = max(held_until, crash.at + hold_seconds)
        return max(0.0, held_until - now)

    def least_telling_crash(self) -> int:
        """Return the earliest crash but for the first ones, which give the time of the proof."""
        by_time = sorted(self.crash_by_endpoint, key=lambda each: (self.crashed_at(each), each))
        return by_time[REQUIRED_CRASHES]

    def drop_crashes_until(self, time: float) -> bool:
        """Remove crashes up to a time; return whether there were any."""
        expired = [
            endpoint for endpoint, crash in self.crash_by_endpoint.items() if crash.at <= time
        ]
        for endpoint in expired:
            self.remove_crash(endpoint)
        return bool(expired)


class Quarantine:
    """Track crashes by trait and decide which requests are quarantined.

    ``trial_delay`` is the time in seconds by which this daemon waits longer than others before it
    tries a quarantined request again, so that one trial can do for the whole fleet.
    """

    def __init__(self, report_seconds: float = _REPORT_SECONDS, trial_delay: float = 0.0) -> None:
        self._report_seconds = report_seconds
        self._trial_delay = trial_delay
        self._by_trait: dict[str, _TraitRecord] = {}
        self._served_at_by_trait: OrderedDict[str, float] = OrderedDict()
        self._frequency = TraitFrequency()
        self._last_kept = ""
        self._expired_at = -math.inf
        self._stale = False
        self._attribute_not_before = -math.inf

    def judge(
        self, traits: RequestTraits, now: float, own_crashes: Collection[int] = frozenset()
    ) -> Judgement:
        """Return how a request is treated now.

        ``own_crashes`` are the keys of the endpoints that this request itself was sent to.
        """
        known = [trait for trait in traits.digests if trait in self._by_trait]
        if not known:
            return Judgement(ContentStatus.SOUND)
        self._attribute(now)
        blamed = [trait for trait in known if self._blames(trait, traits)]
        left = max((self.seconds_left(trait, now) for trait in blamed), default=0.0)
        if left > 0:
            return Judgement(ContentStatus.QUARANTINED, left, tuple(blamed))
        wait = self._seconds_until_decided(known, blamed, now, own_crashes)
        if wait > 0:
            return Judgement(ContentStatus.UNDECIDED, wait, tuple(blamed))
        suspects = tuple(trait for trait in known if self._by_trait[trait].suspicious)
        if suspects:
            return Judgement(ContentStatus.SUSPECT, causes=suspects)
        return Judgement(ContentStatus.SOUND)

    def status(
        self, traits: RequestTraits, now: float, own_crashes: Collection[int] = frozenset()
    ) -> ContentStatus:
        """Return the status of a request; ``own_crashes`` as for ``judge``."""
        return self.judge(traits, now, own_crashes).status

    def seconds_left(self, trait: str, now: float) -> float:
        """Return the remaining quarantine time of a trait, or 0."""
        record = self._attributed_record(trait, now)
        if record is None or not record.blamed or record.seconds_until_enforced(now) > 0:
            return 0.0
        until = record.last_crash_at + QUARANTINE_SECONDS + self._trial_delay
        return max(0.0, until - now)

    def quarantined(self, now: float) -> list[str]:
        """Return the quarantined traits."""
        return [trait for trait in self._by_trait if self.seconds_left(trait, now) > 0]

    def blamed_with(self, trait: str) -> frozenset[str]:
        """Return the traits without which a blamed one is not refused."""
        record = self._by_trait.get(trait)
        return frozenset() if record is None else record.blamed_with

    def unexplained_weight(self, trait: str, now: float) -> int:
        """Return the weight of a trait's crashes that no blamed trait explains."""
        record = self._attributed_record(trait, now)
        return 0 if record is None else record.unexplained_weight

    def traits(self) -> list[str]:
        """Return all tracked traits."""
        return list(self._by_trait)

    def is_known(self, trait: str) -> bool:
        """Return whether a trait is tracked."""
        return trait in self._by_trait

    def record_crash(
        self,
        traits: RequestTraits,
        endpoint: int,
        now: float,
        *,
        soon: bool = False,
        lived: bool = True,
    ) -> None:
        """Record the crash of an endpoint, given by its 4-byte key, with a request in flight.

        ``soon`` and ``lived`` as in ``ObservedCrash``.
        """
        crash = ObservedCrash(endpoint, 0.0, soon, lived, traits.caller)
        changed = False
        for trait in traits.digests:
            changed |= self._add_crash(trait, crash, now)
        if changed:
            self._after_update(now)

    def record_served(
        self, traits: RequestTraits, now: float, began_at: float | None = None
    ) -> bool:
        """Record a complete response, which clears the traits of crashes before it began.

        ``began_at`` is the time of its first event. Return whether any trait was tracked.
        """
        began_at = now if began_at is None else began_at
        self._frequency.count(traits.digests, now)
        tracked = False
        for trait in traits.digests:
            self._served_at_by_trait[trait] = began_at
            self._served_at_by_trait.move_to_end(trait)
            tracked |= self._clear(trait, began_at, now)
        while len(self._served_at_by_trait) > _MAX_SERVED_TIMES:
            self._served_at_by_trait.popitem(last=False)
        return tracked

    def record_survived(self, traits: RequestTraits, now: float, began_at: float) -> None:
        """Record a response that has gone on for ``SURVIVAL_SECONDS`` after its first event.

        It clears only frequent traits; others may crash their endpoints later.
        """
        for trait in traits.digests:
            if self._frequency.is_frequent(trait, now):
                self._clear(trait, began_at, now)

    def reports(self, now: float) -> tuple[CrashReport, ...]:
        """Return reports for other daemons, on recent changes and blamed traits."""
        self._attribute(now)
        if now - self._expired_at > _EXPIRY_INTERVAL_SECONDS:
            self._expire(now)
        news, kept = [], []
        for trait, record in self._by_trait.items():
            if now - record.updated_at < self._report_seconds:
                # News that decides: repeated crashes, and complete responses after crashes.
                minor = len(record.crash_by_endpoint) == 1
                news.append((not record.blamed, minor, -record.updated_at, trait))
            elif record.blamed:
                kept.append(trait)
        reported = self._take_reports(self._rotate(kept), _MAX_KEPT_REPORT_BYTES)
        self._last_kept = reported[-1] if reported else ""
        bytes_left = _MAX_REPORT_BYTES - sum(map(self._size_bytes, reported))
        reported += self._take_reports([trait for *_, trait in sorted(news)], bytes_left)
        return tuple(self.report(trait, now) for trait in reported)

    def report(self, trait: str, now: float) -> CrashReport:
        """Return the report on one trait."""
        record = self._by_trait.get(trait, _TraitRecord())
        crashes = tuple(
            ObservedCrash(endpoint, now - crash.at, crash.soon, crash.lived, crash.callers)
            for endpoint, crash in record.crash_by_endpoint.items()
        )
        known = math.isfinite(record.served_at)
        return CrashReport(trait, crashes, now - record.served_at if known else None)

    def merge_reports(self, reports: Iterable[CrashReport], now: float) -> bool:
        """Merge reports of another daemon or the store; return whether anything changed."""
        changed = False
        for report in reports:
            served_at = -math.inf if report.served_age is None else now - report.served_age
            record = self._by_trait.get(report.trait)
            if record is not None and served_at > record.served_at + _AGE_TOLERANCE_SECONDS:
                changed |= self._clear(report.trait, served_at, now)
            for crash in report.crashes:
                if now - crash.age > served_at:
                    changed |= self._add_crash(report.trait, crash, now, served_at)
        if changed:
            self._after_update(now)
        return changed

    def _rotate(self, kept: list[str]) -> list[str]:
        """Return the traits in order, beginning after the last one that was reported."""
        kept.sort()
        start = bisect_right(kept, self._last_kept)
        return kept[start:] + kept[:start]

    def _take_reports(self, traits: Iterable[str], most_bytes: int) -> list[str]:
        """Return the first traits whose reports fit into a number of bytes."""
        taken = []
        for trait in traits:
            most_bytes -= self._size_bytes(trait)
            if most_bytes < 0:
                break
            taken.append(trait)
        return taken

    def _size_bytes(self, trait: str) -> int:
        return report_bytes(len(self._by_trait[trait].crash_by_endpoint))

    def _blames(self, trait: str, traits: RequestTraits) -> bool:
        """Return whether a request has the whole cause that one of its traits belongs to."""
        record = self._by_trait[trait]
        if not record.blamed or not record.concerns(traits.caller):
            return False
        return record.blamed_with <= set(traits.digests)

    def _seconds_until_decided(
        self, known: Iterable[str], blamed: Collection[str], now: float, own: Collection[int]
    ) -> float:
        """Return the seconds for which a request waits for reports of other daemons."""
        waits = [0.0]
        for trait in known:
            record = self._by_trait[trait]
            if trait in blamed:
                waits.append(record.seconds_until_enforced(now))
                continue
            if not record.blamed:
                waits.append(record.seconds_held_back(now, own))
        return max(waits)

    def _add_crash(
        self, trait: str, reported: ObservedCrash, now: float, served_at: float = -math.inf
    ) -> bool:
        """Add a crash, with the last complete response; return whether anything changed."""
        record = self._by_trait.get(trait)
        if record is None:
            own = self._served_at_by_trait.get(trait, -math.inf)
            record = _TraitRecord(served_at=max(own, served_at))
            self._update_share(record, trait, now)
        crashed_at = now - reported.age
        known = record.crash_by_endpoint.get(reported.endpoint)
        if known is not None:
            return _merge_crash(known, reported, crashed_at)
        if crashed_at <= record.served_at or crashed_at <= now - _CRASH_RETENTION_SECONDS:
            return False
        self._by_trait[trait] = record
        record.crash_by_endpoint[reported.endpoint] = Crash(
            crashed_at, reported.soon, reported.lived, reported.callers
        )
        if len(record.crash_by_endpoint) > _MAX_CRASHES_PER_TRAIT:
            dropped = record.least_telling_crash()
            record.remove_crash(dropped)
            if dropped == reported.endpoint:
                return False
        record.updated_at = now
        return True

    def _clear(self, trait: str, served_at: float, now: float) -> bool:
        """Remove the crashes of a trait before a response began; return whether it is tracked."""
        record = self._by_trait.get(trait)
        if record is None:
            return False
        record.served_at = max(record.served_at, served_at)
        self._update_share(record, trait, now)
        if record.drop_crashes_until(served_at):
            record.updated_at = now
            self._after_update(now)
        return True

    def _update_share(self, record: _TraitRecord, trait: str, now: float) -> None:
        record.frequent = record.frequent or self._frequency.is_frequent(trait, now)
        record.share = max(record.share, self._frequency.share(trait, now))

    def _after_update(self, now: float) -> None:
        """Enforce the limits; attribution is repeated at the next query."""
        if now - self._expired_at > _EXPIRY_INTERVAL_SECONDS:
            self._expire(now)
        if len(self._by_trait) > _MAX_TRAITS:
            self._attribute(now)
            by_priority = sorted(
                self._by_trait, key=lambda each: self._by_trait[each].retention_priority
            )
            # Evict several at a time, so that not every new trait requires a sort.
            for trait in by_priority[: len(by_priority) - _TRAITS_AFTER_EVICTION]:
                del self._by_trait[trait]
        self._stale = True

    def _attributed_record(self, trait: str, now: float) -> _TraitRecord | None:
        """Return the record of a trait with current attribution, or None."""
        record = self._by_trait.get(trait)
        if record is not None:
            self._attribute(now)
        return record

    def _expire(self, now: float) -> None:
        self._expired_at = now
        for trait, record in list(self._by_trait.items()):
            if record.drop_crashes_until(now - _CRASH_RETENTION_SECONDS):
                self._stale = True
            if not record.crash_by_endpoint and record.served_at < now - _SERVED_RETENTION_SECONDS:
                del self._by_trait[trait]

    def _attribute(self, now: float) -> None:
        """Repeat the attribution if anything changed; changes of a mass failure are batched."""
        if self._stale and now >= self._attribute_not_before:
            self._stale = False
            count = len(self._by_trait)
            if count > _MAX_TRAITS_WITHOUT_DELAY:
                self._attribute_not_before = now + _ATTRIBUTION_DELAY_SECONDS_PER_TRAIT * count
            attribute_crashes(self._by_trait)


def _merge_crash(known: Crash, reported: ObservedCrash, crashed_at: float) -> bool:
    """Merge a report on a known crash; return whether anything changed."""
    # Reported ages are rounded and delayed: keep the earliest time, or a crash would appear more
    # recent each time daemons exchange it.
    known.at = min(known.at, crashed_at)
    changed = (reported.soon and not known.soon) or (reported.lived and not known.lived)
    changed |= known.callers | reported.callers != known.callers
    known.soon |= reported.soon
    known.lived |= reported.lived
    known.callers |= reported.callers
    return changed
