"""Poll the store on behalf of the fleet and exchange snapshots with peers.

The daemons have staggered read intervals, so normally only the first one in order reads the store;
the others copy its state.
"""

from __future__ import annotations

import logging
import math
import random
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from dataclasses import dataclass, replace

from brassdrum.deferred_http import ConnectFailedError, DeferredHttpPool, ExchangeFailedError
from brassdrum.errors import BrassdrumError, InvalidDocumentError
from brassdrum.gateway.following.cold_watch import ColdWatch
from brassdrum.gateway.following.evacuation_monitor import EvacuationMonitor
from brassdrum.gateway.following.evacuations import Evacuations
from brassdrum.gateway.following.first_state import CopyLimit, FirstState, retry_seconds
from brassdrum.gateway.following.routing_state import EndpointChange, RoutingState
from brassdrum.gateway.following.snapshot import Snapshot
from brassdrum.gateway.following.start_page import StartPage
from brassdrum.gateway.model import Bounds, ControlStore, EndpointEntry, StoreRecord
from brassdrum.gateway.net.loop import EventLoop, Timer
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.throttling.cold import LIST_MARGIN_SECONDS
from brassdrum.telemetry import log_events

__all__ = ["KNOWLEDGE_PATH", "Follower", "FollowerObservers"]

_logger = logging.getLogger(__name__)
KNOWLEDGE_PATH = "/knowledge"
# Read intervals as shares of the staleness bound, by the daemon's rank, short enough that a change
# is known well within the bound on draining endpoints. Rank 0 reads first; the interval of the
# other ranks grows from the second share towards the last with this scale.
_FIRST_READ_SHARE = 0.28
_SECOND_READ_SHARE = 0.34
_LAST_READ_SHARE = 0.45
_RANK_SCALE = 6.0
# Group members read only after all aggregators are late, staggered up to this share: with 195
# daemons and a bound of 4 s one every 4 ms, and the state of the first is there after 0.1 s.
_LAST_MEMBER_READ_SHARE = 0.65
# An aggregator that was heard within this time, one and a half heartbeats, is alive: if it has no
# newer state, its own read has failed. Its members then read in turn from this share of the bound.
_AGGREGATOR_HEARD_SECONDS = 0.6
_TAKEOVER_SHARE = 1.0
_PULL_TIMEOUT_SECONDS = 1.0
# For the whole page, which may come slowly.
_PAGE_SECONDS = 5.0
# The state of a fleet: 4,800 endpoints of 0.5 KB and a configuration of 1 MB.
_MAX_PAGE_BYTES = 8 << 20
_COLD_REUSE_SECONDS = 0.05
_PULL_RETRY_SECONDS = 0.25
_MIN_CHECK_SECONDS = 0.02
# Before the first state is known.
_START_CHECK_SECONDS = 0.01
_MAX_CHECK_SECONDS = 0.2
_STORE_THREADS = 3
# Limit on remembered invalid entries, which are logged once each.
_MAX_REJECTED_ENTRIES = 64


@dataclass(frozen=True, slots=True)
class FollowerObservers:
    """What is informed of each state that a follower reads.

    ``on_changes`` gets the changes of endpoints and their source, ``on_configured`` the version of
    the configuration before and the source.
    """

    evacuations: EvacuationMonitor
    cold: ColdWatch
    on_changes: Callable[[list[EndpointChange], str], None]
    on_configured: Callable[[int, str], None]
    on_restored: Callable[[], None]


class Follower:
    """Read the store when the local state becomes stale, and peers that have newer state."""

    def __init__(
        self,
        loop: EventLoop,
        store: ControlStore,
        routing_state: RoutingState,
        bounds: Bounds,
        peer_port: int,
        observers: FollowerObservers,
    ) -> None:
        self._loop = loop
        self._store = store
        self._routing_state = routing_state
        self._peer_port = peer_port
        self._evacuations = observers.evacuations
        self._cold = observers.cold
        self._bound = 0.0
        self.set_bounds(bounds)
        self._on_changes = observers.on_changes
        self._on_configured = observers.on_configured
        self._on_restored = observers.on_restored
        self._peers: Peers | None = None
        self._executor = ThreadPoolExecutor(_STORE_THREADS, thread_name_prefix="store")
        self._reading = False
        self._pull_not_before = 0.0
        self._read_not_before = 0.0
        self._timer: Timer | None = None
        self._configuration: StoreRecord | None = None
        self._records_by_id: dict[str, StoreRecord] = {}
        self._rejected_value_by_key: dict[str, bytes] = {}
        self._store_available: bool | None = None
        self._encoded_snapshot: bytes | None = None
        self._encoded_version: tuple[object, ...] = ()
        self._first_state: FirstState | None = None
        self._copy_limit = CopyLimit()
        self._failed_at: float | None = None

    def set_bounds(self, bounds: Bounds) -> None:
        """Set the staleness bound from the times within which changes must take effect."""
        self._bound = min(bounds.drain, bounds.configuration, bounds.evacuation)

    def start(
        self,
        peers: Peers,
        rng: random.Random | None = None,
        *,
        has_seeds: bool = False,
        is_urgent: Callable[[], bool] = lambda: False,
    ) -> None:
        """Start polling; with seeds, peers are asked for the first state before the store is.

        ``is_urgent`` tells whether requests wait for the first state.
        """
        self._peers = peers
        if has_seeds:
            self._first_state = FirstState(
                self._loop,
                peers,
                rng or random.Random(),
                self.submit,
                self.fetch,
                self._begin_pull,
                is_urgent,
            )
            self._first_state.start()
        self._check_read_due()

    def close(self) -> None:
        """Stop polling."""
        if self._timer is not None:
            self._timer.cancel()
        # Queued calls still run; they may write quarantine records.
        self._executor.shutdown(wait=False)

    def snapshot(self) -> bytes:
        """Return the encoded state for peers, cached until the state changes."""
        known = self._routing_state
        evacuations = known.evacuation.announced
        cold = self._cold.seconds_left_by_endpoint()
        # The seconds left fall, so a snapshot with cold endpoints is reused for a moment only.
        moment = int(self._loop.now() / _COLD_REUSE_SECONDS) if cold else 0
        revision = known.revision
        mark = (known.version, known.digest, known.era, revision, evacuations, moment)
        if self._encoded_snapshot is None or self._encoded_version != mark:
            named = self._records_by_id
            records = tuple(named[name] for name in known.endpoints_by_id if name in named)
            leaving = tuple(name for name, each in known.endpoints_by_id.items() if each.draining)
            self._encoded_snapshot = Snapshot(
                self._configuration, records, leaving, known.era, evacuations, cold, revision
            ).encode()
            self._encoded_version = mark
        return self._encoded_snapshot

    def age(self) -> float | None:
        """Return the seconds since the current state was read from the store."""
        if self._routing_state.read_at is None:
            return None
        return max(0.0, self._loop.now() - self._routing_state.read_at)

    def start_page(self) -> bytes:
        """Return what a starting daemon needs to know before it copies the state of this one."""
        now = self._loop.now()
        failing = self._failed_at is not None and self.store_failing()
        failed_ago = now - self._failed_at if failing else None
        age = self.age()
        busy = age is not None and not self._copy_limit.admit(now)
        return StartPage(age, self._routing_state.reads, failed_ago, busy).encode()

    def store_failing(self) -> bool:
        """Return whether no daemon has read the store yet, or since a read of this one failed."""
        read_at = self._routing_state.read_at
        return read_at is None or (self._failed_at is not None and read_at < self._failed_at)

    def compare_with_peer(self, host: str, belief: PeerStatus) -> None:
        """Fetch the state of a peer if it is newer than the local one."""
        if belief.age is None:
            return
        read_at = self._loop.now() - belief.age
        known = self._routing_state
        self._update_era(belief.era, host)
        # Lists are comparable only within an era: one from before a restore is older, whenever it
        # was read. Configurations are ordered by their version alone.
        same_era = belief.era == known.era
        if same_era and belief.version == known.version:
            known.confirm_read(belief.digest, read_at, belief.reads, belief.revision)
        newer_list = (
            same_era
            and belief.digest != known.digest
            and not known.is_outdated(read_at, belief.era, belief.revision)
        )
        if not (belief.version > known.version or newer_list):
            return
        if self._loop.now() < self._pull_not_before:
            return
        assert self._peers is not None
        delay = self._peers.fetch_delay()
        # Pull from one peer at a time; try another one if it doesn't respond soon.
        self._pull_not_before = self._loop.now() + delay + _PULL_RETRY_SECONDS
        self._loop.call_later(delay, lambda: self._begin_pull(host, read_at, belief.reads))

    def _begin_pull(self, host: str, read_at: float, reads: int) -> None:
        self.submit(
            lambda: self._pull(host),
            lambda future: self._pull_done(host, read_at, reads, future),
        )

    def _check_read_due(self) -> None:
        now = self._loop.now()
        self._evacuations.refresh()
        read_at = self._routing_state.read_at
        due_at = now if read_at is None else read_at + self._read_interval()
        if self._first_state is not None and read_at is not None:
            self._first_state.finish()
            self._first_state = None
        admitted = self._first_state is None or self._first_state.may_read()
        if admitted and now >= max(due_at, self._read_not_before) and not self._reading:
            self._reading = True
            self.submit(lambda: self._read(now), lambda future: self._read_done(now, future))
        # Wake up exactly when the read is due: daemons that are due a few milliseconds apart
        # shouldn't read simultaneously.
        shortest = _MIN_CHECK_SECONDS if self._first_state is None else _START_CHECK_SECONDS
        pause = min(_MAX_CHECK_SECONDS, max(shortest, due_at - now))
        self._timer = self._loop.call_later(pause, self._check_read_due)

    def _read_interval(self) -> float:
        assert self._peers is not None
        rank = self._peers.rank
        if rank == 0:
            return self._bound * _FIRST_READ_SHARE
        if not self._peers.is_aggregator:
            silence = self._peers.aggregator_silence
            if silence is not None and silence < _AGGREGATOR_HEARD_SECONDS:
                later = _TAKEOVER_SHARE * self._peers.group_rank
                return self._bound * (_LAST_MEMBER_READ_SHARE + later)
            later = (_LAST_MEMBER_READ_SHARE - _LAST_READ_SHARE) * rank / self._peers.live
            return self._bound * (_LAST_READ_SHARE + later)
        late = 1.0 - math.exp((1 - rank) / _RANK_SCALE)
        return self._bound * (_SECOND_READ_SHARE + (_LAST_READ_SHARE - _SECOND_READ_SHARE) * late)

    def _read(self, _sent: float) -> Snapshot:
        # Read the list first, so that it is never older than its recorded time.
        listed = self._store.endpoints()
        # Taken after the list: a list that is older than its era is only filtered more strictly.
        era = self._store.era
        records = self._store.operator_records()
        evacuations = Evacuations(records.evacuated_zones, records.era, records.revision)
        return Snapshot(
            records.configuration,
            listed.records,
            era=era,
            evacuations=evacuations,
            revision=listed.revision,
        )

    def _read_done(self, sent: float, future: Future[Snapshot]) -> None:
        self._reading = False
        try:
            snapshot = future.result()
        except BrassdrumError as error:
            assert self._peers is not None
            self._failed_at = self._loop.now()
            self._read_not_before = self._failed_at + retry_seconds(self._peers.rank)
            self._routing_state.store_failed(self._loop.now())
            self._log_store_availability(False, error.message)
            return
        self._log_store_availability(True, "")
        self._update_era(snapshot.era, "store")
        assert snapshot.evacuations is not None
        self._evacuations.apply_read(snapshot.evacuations)
        self._apply(
            snapshot,
            "store",
            lambda entries: self._routing_state.apply_store_list(
                entries, sent, snapshot.era, snapshot.revision
            ),
            self._loop.now(),
        )
        assert self._peers is not None
        self._peers.announce()

    def _pull(self, host: str) -> Snapshot:
        return Snapshot.decode(self.fetch(host, KNOWLEDGE_PATH))

    def fetch(self, host: str, path: str) -> bytes:
        """Return a page of another daemon; blocks. Raises ``ValueError`` if it has none."""
        pool = DeferredHttpPool(f"http://{host}:{self._peer_port}", _PULL_TIMEOUT_SECONDS)
        try:
            exchange = pool.request("GET", path, time_limit=_PAGE_SECONDS)
            status, body = exchange.status, exchange.read(_MAX_PAGE_BYTES)
        finally:
            pool.close()
        if status != 200:
            raise ValueError(f"the peer responded with status {status}")
        return body

    def _pull_done(self, host: str, read_at: float, reads: int, future: Future[Snapshot]) -> None:
        self._pull_not_before = 0.0
        try:
            snapshot = future.result()
        except (ConnectFailedError, ExchangeFailedError, ValueError) as error:
            log_events.PEER_NOT_READ.write(_logger, host=host, error=str(error))
            return
        self._update_era(snapshot.era, host)
        self._evacuations.apply_report(snapshot.evacuations, host)
        self._apply(
            snapshot,
            host,
            lambda entries: self._routing_state.apply_peer_list(
                entries, read_at, reads, snapshot.era, snapshot.revision
            ),
            # The ends that a peer tells contain the margin that is added to those of a list.
            read_at if snapshot.cold is None else self._loop.now() - LIST_MARGIN_SECONDS,
        )

    def _apply(
        self,
        snapshot: Snapshot,
        source: str,
        take: Callable[[list[EndpointEntry]], list[EndpointChange]],
        cold_at: float,
    ) -> None:
        self._apply_configuration(snapshot.configuration, source)
        entries = []
        for record in snapshot.endpoints:
            try:
                entry = self._store.decode_endpoint(record)
            except InvalidDocumentError as error:
                self._log_rejected_entry(record, error.message)
                continue
            # The record may be older than the report that the endpoint is draining.
            leaves = entry.draining or entry.id in snapshot.leaving
            entries.append(replace(entry, draining=leaves))
            self._records_by_id[entry.id] = record
        changes = take(entries)
        self._evacuations.log_unknown()
        if snapshot.cold is None:
            cold = {entry.id: entry.cold_seconds for entry in entries}
        else:
            # Records are older than the copy; the peer leaves out endpoints that are warm by now.
            cold = {entry.id: snapshot.cold.get(entry.id, 0.0) for entry in entries}
        self._cold.list_read(cold, cold_at)
        if changes:
            self._on_changes(changes, source)
        known = self._routing_state.endpoints_by_id
        for name in [name for name in self._records_by_id if name not in known]:
            del self._records_by_id[name]

    def _log_rejected_entry(self, record: StoreRecord, error: str) -> None:
        """Log an invalid entry once until it changes, not at each read."""
        if self._rejected_value_by_key.get(record.key) == record.value:
            return
        self._rejected_value_by_key[record.key] = record.value
        while len(self._rejected_value_by_key) > _MAX_REJECTED_ENTRIES:
            del self._rejected_value_by_key[next(iter(self._rejected_value_by_key))]
        log_events.ENTRY_REFUSED.write(_logger, error=error)

    def _apply_configuration(self, record: StoreRecord | None, source: str) -> None:
        if record is None:
            return
        if self._configuration is not None and record.value == self._configuration.value:
            return
        try:
            configuration = self._store.decode_configuration(record)
        except InvalidDocumentError as error:
            self._configuration = record
            log_events.CONFIGURATION_REFUSED.write(_logger, error=error.message)
            return
        earlier = self._routing_state.version
        if self._routing_state.apply_configuration(configuration):
            self._configuration = record
            self._on_configured(earlier, source)

    def _update_era(self, era: int | None, source: str) -> None:
        """Rewrite records that may be missing after the store was restored from a backup."""
        earlier = self._routing_state.era
        if self._routing_state.update_era(era, self._loop.now()):
            log_events.STORE_RESTORED.write(_logger, era=era, earlier=earlier, source=source)
            self._on_restored()

    def _log_store_availability(self, answers: bool, detail: str) -> None:
        if answers == self._store_available:
            return
        self._store_available = answers
        age = self.age()
        rounded = None if age is None else round(age, 3)
        if answers:
            log_events.STORE_BACK.write(_logger, age=rounded)
        else:
            log_events.STORE_LOST.write(_logger, detail=detail, age=rounded)

    def submit(self, work: Callable, done: Callable[[Future], None]) -> None:
        """Run a blocking call in the store's thread pool; ``done`` runs in the loop's thread."""
        future = self._executor.submit(work)
        future.add_done_callback(lambda each: self._loop.post(lambda: done(each)))
