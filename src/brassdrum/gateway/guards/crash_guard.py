"""Quarantine requests that crash endpoints; synchronize decisions with peers and the store.

A request is known by its traits: its whole content and the parts of its prompt.
"""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Collection, Iterable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass
from datetime import timedelta

from brassdrum.errors import BrassdrumError
from brassdrum.gateway.guards.endings import AffectedRequest
from brassdrum.gateway.model import ControlStore, EndpointEntry, StoreRecord
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.placing.load import LoadTable, endpoint_key
from brassdrum.outcomes.crash_evidence import SUSPECT_WEIGHT
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash
from brassdrum.outcomes.fingerprint import ALL_CALLERS, RequestTraits
from brassdrum.outcomes.quarantine import (
    PROPAGATION_SECONDS,
    QUARANTINE_SECONDS,
    ContentStatus,
    Judgement,
    Quarantine,
)
from brassdrum.telemetry import log_events

__all__ = ["CrashGuard", "QuarantineReason", "QuarantineRecord"]

_logger = logging.getLogger(__name__)
# A request that crashes its endpoint does so within half a second after it starts. No other request
# is sent to the endpoint of a suspect one during this time.
_ISOLATION_SECONDS = 1.0
# Slightly longer than the settling time, because timers may fire late.
_REVIEW_DELAY_SECONDS = PROPAGATION_SECONDS + 0.01
# A probe takes a round trip of 1 to 5 ms as a rule.
_PROBE_WAIT_SECONDS = 0.005
# Daemons that start together have found each other by then, so only the primary loads the records,
# with one call for the whole fleet.
_LOAD_DELAY_SECONDS = 1.0
_STORE_RETRY_SECONDS = 2.0
_MAX_PENDING_WRITES = 64

Submit = Callable[[Callable[[], object], Callable[[Future], None]], None]


@dataclass(frozen=True, slots=True)
class StoredEnd:
    """The exit of an endpoint in Unix time, as stored; the rest as in ``ObservedCrash``."""

    endpoint: int
    at: float
    soon: bool
    callers: int


@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """The stored record of a quarantined trait of requests."""

    trait: str
    ends: tuple[StoredEnd, ...]

    def encode(self) -> StoreRecord:
        """Return the stored form."""
        ends = [[end.endpoint, round(end.at, 1), int(end.soon), end.callers] for end in self.ends]
        return StoreRecord(self.trait, json.dumps({"ends": ends}).encode())

    @classmethod
    def decode(cls, record: StoreRecord) -> QuarantineRecord:
        """Decode a stored record, or raise ``ValueError``."""
        try:
            bytes.fromhex(record.key)
            ends = tuple(_stored_end(*fields) for fields in json.loads(record.value)["ends"])
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(
                f"cannot decode quarantine record {record.key[:40]!r}: {error}"
            ) from error
        return cls(record.key, ends)

    def as_peer_update(self, now: float) -> CrashReport:
        """Return the record as a peer update; exits in the future count as happening now."""
        return CrashReport(
            self.trait,
            tuple(
                ObservedCrash(end.endpoint, max(0.0, now - end.at), end.soon, callers=end.callers)
                for end in self.ends
            ),
        )


def _stored_end(
    endpoint: int, at: float, soon: int = 0, callers: int = ALL_CALLERS, *_later: object
) -> StoredEnd:
    """Return a decoded exit; earlier releases stored fewer fields, later ones may store more."""
    return StoredEnd(int(endpoint), float(at), bool(soon), int(callers) & ALL_CALLERS)


@dataclass(frozen=True, slots=True)
class QuarantineReason:
    """Why a request is refused: the causes that it has and the endpoints that exited under them."""

    causes: tuple[str, ...]
    ends: int
    seconds_left: float


class CrashGuard:
    """Decide where requests may run whose traits were in flight at endpoints that exited.

    ``trial_delay`` as in ``Quarantine``. ``is_probing`` tells whether it is still being found out
    if an endpoint has exited.
    """

    def __init__(
        self,
        loop: EventLoop,
        table: LoadTable,
        trial_delay: float = 0.0,
        is_probing: Callable[[str], bool] = lambda _: False,
    ) -> None:
        self._loop = loop
        self._store: ControlStore | None = None
        self._table = table
        self._quarantine = Quarantine(trial_delay=trial_delay)
        self._is_probing = is_probing
        self._submit: Submit | None = None
        self._is_primary: Callable[[], bool] = lambda: False
        self._isolated_until_by_endpoint: dict[str, float] = {}
        self._quarantined_traits: set[str] = set()
        self._observed_traits: set[str] = set()
        self._name_by_part: dict[str, str] = {}
        self._pending_writes: dict[str, StoreRecord] = {}
        # Recently released traits, which may reappear when the store is restored from a backup.
        self._released: dict[str, None] = {}
        self._writing = False
        self.refusals = 0
        self._review_scheduled = False
        self._review_again = False

    def start(self, store: ControlStore, submit: Submit, is_primary: Callable[[], bool]) -> None:
        """Start using the store; only the primary daemon of the fleet loads the records."""
        self._store = store
        self._submit = submit
        self._is_primary = is_primary
        self._loop.call_later(_LOAD_DELAY_SECONDS, self._load)

    @property
    def quarantined(self) -> int:
        """Return the number of contents and parts of prompts that are quarantined."""
        return len(self._quarantined_traits)

    def judge(self, traits: RequestTraits, tried: Collection[str] = ()) -> Judgement:
        """Return how to treat a request that was already sent to the endpoints ``tried``."""
        own_ends = set(map(endpoint_key, tried))
        judgement = self._quarantine.judge(traits, self._loop.now(), own_ends)
        if judgement.status is ContentStatus.QUARANTINED:
            new_causes = set(judgement.causes) - self._quarantined_traits
            if new_causes:
                # Write the records before the caller is refused: this daemon may be replaced
                # before its next review.
                self._observed_traits |= new_causes
                self._name_parts(traits)
                self._review()
        if judgement.status is ContentStatus.SUSPECT and any(map(self._is_probing, tried)):
            # The exit of its own endpoint may be the one that proves the cause.
            return Judgement(ContentStatus.UNDECIDED, _PROBE_WAIT_SECONDS, judgement.causes)
        return judgement

    def refuse(self, judgement: Judgement) -> QuarantineReason:
        """Count a refused request and return what is known of the causes."""
        self.refusals += 1
        now = self._loop.now()
        reports = [self._quarantine.report(cause, now) for cause in judgement.causes]
        return QuarantineReason(
            causes=tuple(self._label(cause) for cause in judgement.causes),
            ends=max((len(report.crashes) for report in reports), default=0),
            seconds_left=judgement.seconds,
        )

    def suspicions(self, requests: Iterable[AffectedRequest]) -> dict[str, int]:
        """Return the weight of unexplained exits by trait, for those that are suspected."""
        now = self._loop.now()
        weight_by_trait: dict[str, int] = {}
        for request in requests:
            for trait in request.traits.digests:
                weight = self._quarantine.unexplained_weight(trait, now)
                if weight >= SUSPECT_WEIGHT:
                    weight_by_trait[self._label(trait)] = weight
        return weight_by_trait

    def eligible_endpoints(
        self,
        standing: ContentStatus,
        entries: Sequence[EndpointEntry],
        avoided: Callable[[str], bool],
    ) -> list[EndpointEntry]:
        """Return the endpoints that may receive a request; suspect requests run in isolation.

        ``avoided`` tells which endpoints fail, because exited ones appear idle. If no endpoint is
        left, all are returned: a suspect request may still be harmless.
        """
        now = self._loop.now()
        if standing is ContentStatus.SUSPECT:
            alone = [
                entry
                for entry in entries
                if self._table.total(entry.id).is_empty() and not avoided(entry.id)
            ]
            return alone or list(entries)
        if not self._isolated_until_by_endpoint:
            return list(entries)
        for endpoint, until in list(self._isolated_until_by_endpoint.items()):
            if now >= until:
                del self._isolated_until_by_endpoint[endpoint]
        free = [entry for entry in entries if entry.id not in self._isolated_until_by_endpoint]
        return free or list(entries)

    def request_sent(self, standing: ContentStatus, endpoint: str) -> None:
        """Record the endpoint that a request was sent to."""
        if standing is ContentStatus.SUSPECT:
            self._isolated_until_by_endpoint[endpoint] = self._loop.now() + _ISOLATION_SECONDS

    def endpoint_ended(self, entry: EndpointEntry, requests: Iterable[AffectedRequest]) -> None:
        """Record the requests that were in flight at an endpoint when it exited."""
        now = self._loop.now()
        for request in requests:
            self._quarantine.record_crash(
                request.traits,
                endpoint_key(entry.id),
                now,
                soon=request.soon,
                lived=request.lived,
            )
            self._observed_traits |= set(request.traits.digests)
            self._name_parts(request.traits)
        self._schedule_review()

    def request_served(self, traits: RequestTraits, began_at: float | None = None) -> None:
        """Record a complete response, and when its first event came."""
        if self._quarantine.record_served(traits, self._loop.now(), began_at):
            self._schedule_review()

    def request_survived(self, traits: RequestTraits, began_at: float) -> None:
        """Record a response that goes on long after its first event."""
        self._quarantine.record_survived(traits, self._loop.now(), began_at)

    def peer_updates(self) -> tuple[CrashReport, ...]:
        """Return the observations to send to peers."""
        return self._quarantine.reports(self._loop.now())

    def apply_peer_updates(self, updates: Iterable[CrashReport]) -> None:
        """Apply the observations of a peer."""
        if self._quarantine.merge_reports(updates, self._loop.now()):
            self._schedule_review()

    def rewrite_records(self) -> None:
        """Rewrite quarantine records and releases that the store may have lost."""
        for trait in sorted(self._quarantined_traits):
            if self._should_write(trait):
                self._enqueue_write(self._build_record(trait))
        for trait in self._released:
            if trait not in self._quarantined_traits:
                self._enqueue_write(StoreRecord(trait, b""))

    def _schedule_review(self) -> None:
        """Review once the reports on the same crashes have arrived."""
        if self._review_scheduled:
            self._review_again = True
            return
        self._review_scheduled = True
        self._loop.call_later(_REVIEW_DELAY_SECONDS, self._scheduled_review)

    def _scheduled_review(self) -> None:
        self._review_scheduled = False
        if self._review_again:
            self._review_again = False
            self._schedule_review()
        self._review()

    def _review(self) -> None:
        """Log and store which traits are newly quarantined or released."""
        now = self._loop.now()
        in_force = set(self._quarantine.quarantined(now))
        for trait in sorted(in_force - self._quarantined_traits):
            self._log_trait(log_events.CONTENT_QUARANTINED, trait)
            self._loop.call_later(QUARANTINE_SECONDS, self._review)
            if self._should_write(trait):
                self._enqueue_write(self._build_record(trait))
        for trait in sorted(self._quarantined_traits - in_force):
            self._log_trait(log_events.CONTENT_RELEASED, trait)
            if self._should_write(trait):
                self._release(trait)
        self._quarantined_traits = in_force
        tracked = set(self._quarantine.traits())
        self._observed_traits &= tracked
        for trait in self._name_by_part.keys() - tracked:
            del self._name_by_part[trait]

    def _name_parts(self, traits: RequestTraits) -> None:
        for part in traits.parts:
            self._name_by_part[part.digest] = part.short_name

    def _label(self, trait: str) -> str:
        """Return the digest of a trait, and of a part also its name."""
        name = self._name_by_part.get(trait)
        return trait if name is None else f"{trait} {name}"

    def _release(self, trait: str) -> None:
        self._released[trait] = None
        while len(self._released) > _MAX_PENDING_WRITES:
            del self._released[next(iter(self._released))]
        self._enqueue_write(StoreRecord(trait, b""))

    def _should_write(self, trait: str) -> bool:
        """Return whether this daemon writes the records of a trait.

        Daemons that observed an exit or refused a request with the trait do. The primary daemon
        always does, in case they have stopped.
        """
        return trait in self._observed_traits or self._is_primary()

    def _log_trait(self, event: log_events.LogEvent, trait: str) -> None:
        update = self._quarantine.report(trait, self._loop.now())
        event.write(
            _logger,
            content=trait,
            part=self._name_by_part.get(trait),
            together_with=sorted(map(self._label, self._quarantine.blamed_with(trait))),
            ends=len(update.crashes),
            first_age=round(max((end.age for end in update.crashes), default=0.0), 2),
            last_age=round(min((end.age for end in update.crashes), default=0.0), 2),
            seconds_left=round(self._quarantine.seconds_left(trait, self._loop.now()), 1),
        )

    def _build_record(self, trait: str) -> StoreRecord:
        wall = self._loop.clock.now()
        update = self._quarantine.report(trait, self._loop.now())
        ends = tuple(
            StoredEnd(
                end.endpoint,
                (wall - timedelta(seconds=end.age)).timestamp(),
                end.soon,
                end.callers,
            )
            for end in update.crashes
        )
        return QuarantineRecord(trait, ends).encode()

    def _enqueue_write(self, record: StoreRecord) -> None:
        self._pending_writes[record.key] = record
        while len(self._pending_writes) > _MAX_PENDING_WRITES:
            del self._pending_writes[next(iter(self._pending_writes))]
        self._write()

    def _write(self) -> None:
        store = self._store
        if self._writing or not self._pending_writes or self._submit is None or store is None:
            return
        record = next(iter(self._pending_writes.values()))
        self._writing = True
        self._submit(lambda: store.save_quarantine(record), lambda f: self._write_done(record, f))

    def _write_done(self, record: StoreRecord, future: Future) -> None:
        self._writing = False
        error = future.exception()
        if error is None:
            if self._pending_writes.get(record.key) is record:
                del self._pending_writes[record.key]
            self._write()
            return
        if not isinstance(error, BrassdrumError):
            raise error
        log_events.QUARANTINE_NOT_KEPT.write(_logger, content=record.key, error=error.message)
        self._loop.call_later(_STORE_RETRY_SECONDS, self._write)

    def _load(self) -> None:
        if not self._is_primary():
            return
        assert self._submit is not None and self._store is not None
        self._submit(self._store.quarantines, self._load_done)

    def _load_done(self, future: Future[list[StoreRecord]]) -> None:
        error = future.exception()
        if isinstance(error, BrassdrumError):
            log_events.QUARANTINE_NOT_KEPT.write(_logger, content=None, error=error.message)
            self._loop.call_later(_STORE_RETRY_SECONDS, self._load)
            return
        wall = self._loop.clock.now().timestamp()
        for record in future.result():
            if not record.value:
                # Released; the store returns empty records until it purges them.
                continue
            try:
                kept = QuarantineRecord.decode(record)
            except ValueError as damage:
                log_events.QUARANTINE_NOT_KEPT.write(
                    _logger, content=record.key[:40], error=str(damage)
                )
                continue
            self.apply_peer_updates((kept.as_peer_update(wall),))
            if not self._quarantine.is_known(kept.trait):
                self._enqueue_write(StoreRecord(kept.trait, b""))
