"""Keep requests that end endpoints away from them: what is decided, told, logged and kept."""

from __future__ import annotations

import json
import logging
from collections.abc import Callable, Collection, Iterable, Sequence
from concurrent.futures import Future
from dataclasses import dataclass
from datetime import timedelta

from brassdrum.errors import BrassdrumError
from brassdrum.gateway.guards.endings import Witness
from brassdrum.gateway.model import ControlStore, EndpointEntry, SharedRecord
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.placing.load import LoadTable, endpoint_key
from brassdrum.outcomes.quarantine import (
    PROPAGATION_SECONDS,
    QUARANTINE_SECONDS,
    ContentStatus,
    CrashReport,
    ObservedCrash,
    Quarantine,
)
from brassdrum.telemetry import log_events

__all__ = ["CrashGuard", "QuarantineRecord"]

_logger = logging.getLogger(__name__)
# A request that may end its endpoint does so within half a second after it began to run; for this
# long nothing else is sent there.
_ALONE_SECONDS = 1.0
# After the settling time and a moment for timers that fire late.
_REVIEW_SECONDS = PROPAGATION_SECONDS + 0.01
# Daemons that start together hear each other's news within this; the first of them then asks the
# store, one call for the whole fleet.
_LOAD_SECONDS = 1.0
# A store that does not answer is asked again after this.
_STORE_AGAIN_SECONDS = 2.0
# Records that wait for the store; each is that of one quarantined content.
_MOST_WAITING = 64

Submit = Callable[[Callable[[], object], Callable[[Future], None]], None]


@dataclass(frozen=True, slots=True)
class KeptEnd:
    """Hold an end as the store keeps it, in Unix seconds; ``soon`` as in ``ObservedCrash``."""

    endpoint: int
    at: float
    soon: bool


@dataclass(frozen=True, slots=True)
class QuarantineRecord:
    """Hold what lies in the store of one quarantined content; times in Unix seconds."""

    content: str
    ends: tuple[KeptEnd, ...]

    def encode(self) -> SharedRecord:
        """Return the form that lies in the store."""
        ends = [[end.endpoint, round(end.at, 1), int(end.soon)] for end in self.ends]
        return SharedRecord(self.content, json.dumps({"ends": ends}).encode())

    @classmethod
    def decode(cls, record: SharedRecord) -> QuarantineRecord:
        """Return a record, or raise ``ValueError``."""
        try:
            bytes.fromhex(record.key)
            ends = tuple(
                KeptEnd(int(endpoint), float(at), any(soon))
                for endpoint, at, *soon in json.loads(record.value)["ends"]
            )
        except (KeyError, TypeError, ValueError) as error:
            raise ValueError(
                f"quarantine record {record.key[:40]!r} is damaged: {error}"
            ) from error
        return cls(record.key, ends)

    def word(self, now: float) -> CrashReport:
        """Return it as another daemon would tell it; a clock that stepped makes no end newer."""
        return CrashReport(
            self.content,
            tuple(
                ObservedCrash(end.endpoint, max(0.0, now - end.at), end.soon) for end in self.ends
            ),
        )


class CrashGuard:
    """Decide on requests whose contents were at endpoints that ended."""

    def __init__(self, loop: EventLoop, table: LoadTable) -> None:
        self._loop = loop
        self._store: ControlStore | None = None
        self._table = table
        self._quarantine = Quarantine()
        self._submit: Submit | None = None
        self._first: Callable[[], bool] = lambda: False
        self._alone_until_by_endpoint: dict[str, float] = {}
        self._in_force: set[str] = set()
        self._own: set[str] = set()
        self._to_write: dict[str, SharedRecord] = {}
        # The last ones that were released; a copy of the store may show them again.
        self._released: dict[str, None] = {}
        self._writing = False

    def start(self, store: ControlStore, submit: Submit, first: Callable[[], bool]) -> None:
        """Begin to use the store through ``submit``; ``first`` says who asks it for the fleet."""
        self._store = store
        self._submit = submit
        self._first = first
        self._loop.call_later(_LOAD_SECONDS, self._load)

    @property
    def quarantined(self) -> int:
        """Return the number of contents that are quarantined."""
        return len(self._in_force)

    def standing(self, content: str, tried: Collection[str] = ()) -> ContentStatus:
        """Return how a request that was sent to the endpoints ``tried`` is treated now."""
        own_ends = set(map(endpoint_key, tried))
        standing = self._quarantine.status(content, self._loop.now(), own_ends)
        if standing is ContentStatus.QUARANTINED and content not in self._in_force:
            # The record is on its way before a caller hears of it: this daemon may be replaced
            # before its next review.
            self._own.add(content)
            self._review()
        return standing

    def settles_in(self, content: str, tried: Collection[str] = ()) -> float:
        """Return after how many seconds it is known how a request is treated; as ``standing``."""
        own_ends = set(map(endpoint_key, tried))
        return self._quarantine.seconds_until_decided(content, self._loop.now(), own_ends)

    def seconds_left(self, content: str) -> float:
        """Return for how long a content stays quarantined."""
        return self._quarantine.seconds_left(content, self._loop.now())

    def choices(
        self,
        standing: ContentStatus,
        entries: Sequence[EndpointEntry],
        avoided: Callable[[str], bool],
    ) -> list[EndpointEntry]:
        """Return where a request may be sent: a suspect one alone, others not beside it.

        ``avoided`` says which endpoints fail: those that have ended look idle. Where nothing else
        is left all are: a suspect request may be a healthy one.
        """
        now = self._loop.now()
        if standing is ContentStatus.SUSPECT:
            alone = [
                entry
                for entry in entries
                if self._table.total(entry.id).is_empty() and not avoided(entry.id)
            ]
            return alone or list(entries)
        if not self._alone_until_by_endpoint:
            return list(entries)
        for endpoint, until in list(self._alone_until_by_endpoint.items()):
            if now >= until:
                del self._alone_until_by_endpoint[endpoint]
        free = [entry for entry in entries if entry.id not in self._alone_until_by_endpoint]
        return free or list(entries)

    def sent(self, standing: ContentStatus, endpoint: str) -> None:
        """Note where a request was sent."""
        if standing is ContentStatus.SUSPECT:
            self._alone_until_by_endpoint[endpoint] = self._loop.now() + _ALONE_SECONDS

    def endpoint_ended(self, entry: EndpointEntry, witnesses: Iterable[Witness]) -> None:
        """Note which contents were at an endpoint that ended."""
        now = self._loop.now()
        for witness in witnesses:
            self._quarantine.record_crash(
                witness.content,
                endpoint_key(entry.id),
                now,
                soon=witness.soon,
                lived=witness.lived,
            )
            self._own.add(witness.content)
        self._loop.call_later(_REVIEW_SECONDS, self._review)

    def served(self, content: str) -> None:
        """Note a whole answer."""
        if self._quarantine.record_served(content, self._loop.now()):
            self._review()

    def words(self) -> tuple[CrashReport, ...]:
        """Return what peers are told."""
        return self._quarantine.reports(self._loop.now())

    def hear(self, words: Iterable[CrashReport]) -> None:
        """Take what a peer says."""
        if self._quarantine.merge_reports(words, self._loop.now()):
            self._loop.call_later(_REVIEW_SECONDS, self._review)

    def write_again(self) -> None:
        """Write what the store may have lost: records of contents in force, and releases."""
        for content in sorted(self._in_force):
            if self._keeps(content):
                self._keep(self._record(content))
        for content in self._released:
            if content not in self._in_force:
                self._keep(SharedRecord(content, b""))

    def _review(self) -> None:
        """Log what is newly quarantined or released, and keep what was seen here in the store."""
        now = self._loop.now()
        in_force = set(self._quarantine.quarantined(now))
        for content in sorted(in_force - self._in_force):
            self._log(log_events.CONTENT_QUARANTINED, content)
            self._loop.call_later(QUARANTINE_SECONDS, self._review)
            if self._keeps(content):
                self._keep(self._record(content))
        for content in sorted(self._in_force - in_force):
            self._log(log_events.CONTENT_RELEASED, content)
            if self._keeps(content):
                self._release(content)
        self._in_force = in_force
        self._own &= set(self._quarantine.contents())

    def _release(self, content: str) -> None:
        self._released[content] = None
        while len(self._released) > _MOST_WAITING:
            del self._released[next(iter(self._released))]
        self._keep(SharedRecord(content, b""))

    def _keeps(self, content: str) -> bool:
        """Return whether this daemon writes to the store what becomes of a content.

        Those do that saw an end or refuse a request for it before their review, and the first of
        the fleet: the others may be gone by now.
        """
        return content in self._own or self._first()

    def _log(self, event: log_events.LogEvent, content: str) -> None:
        word = self._quarantine.report(content, self._loop.now())
        event.write(
            _logger,
            content=content,
            ends=len(word.crashes),
            first_age=round(max((end.age for end in word.crashes), default=0.0), 2),
            last_age=round(min((end.age for end in word.crashes), default=0.0), 2),
            seconds_left=round(self.seconds_left(content), 1),
        )

    # The store.

    def _record(self, content: str) -> SharedRecord:
        wall = self._loop.clock.now()
        word = self._quarantine.report(content, self._loop.now())
        ends = tuple(
            KeptEnd(end.endpoint, (wall - timedelta(seconds=end.age)).timestamp(), end.soon)
            for end in word.crashes
        )
        return QuarantineRecord(content, ends).encode()

    def _keep(self, record: SharedRecord) -> None:
        self._to_write[record.key] = record
        while len(self._to_write) > _MOST_WAITING:
            del self._to_write[next(iter(self._to_write))]
        self._write()

    def _write(self) -> None:
        store = self._store
        if self._writing or not self._to_write or self._submit is None or store is None:
            return
        record = next(iter(self._to_write.values()))
        self._writing = True
        self._submit(lambda: store.keep_quarantine(record), lambda f: self._wrote(record, f))

    def _wrote(self, record: SharedRecord, future: Future) -> None:
        self._writing = False
        error = future.exception()
        if error is None:
            if self._to_write.get(record.key) is record:
                del self._to_write[record.key]
            self._write()
            return
        if not isinstance(error, BrassdrumError):
            raise error
        log_events.QUARANTINE_NOT_KEPT.write(_logger, content=record.key, error=error.message)
        self._loop.call_later(_STORE_AGAIN_SECONDS, self._write)

    def _load(self) -> None:
        if not self._first():
            return
        assert self._submit is not None and self._store is not None
        self._submit(self._store.quarantines, self._loaded)

    def _loaded(self, future: Future[list[SharedRecord]]) -> None:
        error = future.exception()
        if isinstance(error, BrassdrumError):
            log_events.QUARANTINE_NOT_KEPT.write(_logger, content=None, error=error.message)
            self._loop.call_later(_STORE_AGAIN_SECONDS, self._load)
            return
        wall = self._loop.clock.now().timestamp()
        for record in future.result():
            if not record.value:
                # Released: the store hands out the empty record until it has tidied up.
                continue
            try:
                kept = QuarantineRecord.decode(record)
            except ValueError as damage:
                log_events.QUARANTINE_NOT_KEPT.write(
                    _logger, content=record.key[:40], error=str(damage)
                )
                continue
            self.hear((kept.word(wall),))
            if not self._quarantine.is_known(kept.content):
                self._keep(SharedRecord(kept.content, b""))
