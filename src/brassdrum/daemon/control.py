"""Replication of the control stream from the log, or from peers while the log is unavailable."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable

from brassdrum.clock import Clock
from brassdrum.contracts.fold import ControlFold
from brassdrum.contracts.records import (
    CHECKPOINT_STREAM,
    CONTROL_STREAM,
    Checkpoint,
    NewerFormatError,
    UnreadableRecordError,
    canonical_json,
    parse_checkpoint,
)
from brassdrum.contracts.view import FleetView
from brassdrum.errors import InvalidDocumentError, PlatformUnavailableError
from brassdrum.logservice.log import Log, LogPage
from brassdrum.logservice.tail import Tail

__all__ = ["ControlState", "best_checkpoint"]

_logger = logging.getLogger(__name__)


def best_checkpoint(log: Log) -> Checkpoint | None:
    """Return the checkpoint with the highest ``through``, regardless of the order of writing."""
    best = None
    offset = 0
    while True:
        page = log.read(CHECKPOINT_STREAM, offset)
        for record in page.records:
            try:
                checkpoint = parse_checkpoint(record.value)
            except (UnreadableRecordError, NewerFormatError) as error:
                _logger.warning(
                    "skipped an unreadable checkpoint",
                    extra={"offset": record.offset, "reason": str(error)},
                )
                continue
            if best is None or checkpoint.through > best.through:
                best = checkpoint
        offset = page.next_offset
        if offset >= page.end_offset:
            return best


class ControlState:
    """Maintains the fold of the control stream and publishes views of it."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        peer_snapshots: Callable[[], list[bytes]],
        on_view: Callable[[FleetView], None],
    ) -> None:
        self._log = log
        self._peer_snapshots = peer_snapshots
        self._on_view = on_view
        self._lock = threading.RLock()
        self._fold = ControlFold()
        self._view: FleetView | None = None
        self._loaded = False
        self._has_gap = False
        # State of a log restored from a backup; None once a document has been published to it.
        self._restored: ControlFold | None = None
        self._restored_end = 0
        self._tail = Tail(
            log,
            CONTROL_STREAM,
            clock,
            self._next_offset,
            self._apply,
            on_restored=self._start_restored,
        )

    @property
    def view(self) -> FleetView | None:
        """Return the current view, or None before the first configuration."""
        return self._view

    @property
    def log_answers(self) -> bool:
        """Return whether the last read of the log succeeded."""
        return self._tail.log_available

    @property
    def revision(self) -> int:
        """Return the revision in force, -1 before the first."""
        return self._fold.revision

    @property
    def through(self) -> int:
        """Return the offset through which the log has been applied."""
        return self._fold.through

    def not_ready(self) -> str | None:
        """Return why this daemon cannot serve yet, or None."""
        if self._fold.needs_upgrade is not None:
            return f"upgrade this daemon: {self._fold.needs_upgrade}"
        if self._has_gap:
            return "the log trimmed records that this daemon has not read; waiting for a checkpoint"
        if self._view is None:
            return "no accepted configuration is held yet"
        return None

    def step(self) -> None:
        """Load the initial state on the first call, then apply new records."""
        if not self._loaded:
            self._load_initial()
        if self._has_gap:
            self._recover_from_gap()
        self._tail.step()

    def pause(self) -> float:
        """Return the seconds until the next step."""
        return self._tail.retry_delay()

    def with_fold(self, function: Callable[[ControlFold], object]) -> object:
        """Call a function with the fold of the log while holding the lock."""
        with self._lock:
            return function(self._log_fold())

    def snapshot(self) -> bytes:
        """Return a checkpoint of the current state for a peer, or empty bytes if there is none."""
        with self._lock:
            if self._view is None or self._restored is not None:
                return b""
            return canonical_json(self._fold.checkpoint().model_dump(mode="json"))

    def _log_fold(self) -> ControlFold:
        return self._fold if self._restored is None else self._restored

    def _next_offset(self) -> int:
        return self._log_fold().next_offset

    def _start_restored(self, page: LogPage) -> None:
        """Follow a log restored from a backup while the current configuration stays in force.

        The backup may lack the latest accepted documents. A publication after the restore shows
        that an operator has reviewed its state, which then replaces the current one.
        """
        with self._lock:
            self._restored = ControlFold()
            self._restored_end = page.end_offset
        _logger.error(
            "log restored from a backup; configuration stays in force until the next publication"
        )
        try:
            checkpoint = best_checkpoint(self._log)
        except PlatformUnavailableError as error:
            _logger.warning(
                "cannot read checkpoints of the restored log", extra={"reason": error.message}
            )
            return
        if checkpoint is not None and checkpoint.through < page.end_offset:
            with self._lock:
                self._restored.load(checkpoint)

    def _apply_restored(self, restored: ControlFold, page: LogPage) -> None:
        if page.earliest_offset > restored.next_offset:
            self._report_gap(page)
            return
        for record in page.records:
            restored.apply(record.offset, record.value)
        if restored.revision < self._restored_end:
            return
        self._fold, self._restored = restored, None
        self._publish_view()

    def _load_initial(self) -> None:
        try:
            self._load_checkpoint(best_checkpoint(self._log))
            self._loaded = True
        except PlatformUnavailableError:
            self._load_from_peers()

    def _recover_from_gap(self) -> None:
        try:
            self._load_checkpoint(best_checkpoint(self._log))
        except PlatformUnavailableError:
            pass
        self._load_from_peers()

    def _load_from_peers(self) -> None:
        for content in self._peer_snapshots():
            if not content:
                continue
            try:
                self._load_checkpoint(Checkpoint.model_validate_json(content))
            except ValueError as error:
                _logger.warning(
                    "ignored an invalid snapshot from a peer", extra={"reason": str(error)}
                )

    def _load_checkpoint(self, checkpoint: Checkpoint | None) -> None:
        if checkpoint is None:
            return
        with self._lock:
            try:
                loaded = self._fold.load(checkpoint)
            except InvalidDocumentError as error:
                _logger.error("ignored an invalid checkpoint", extra={"reason": error.message})
                return
            if loaded:
                self._has_gap = False
                self._publish_view()

    def _apply(self, page: LogPage) -> None:
        with self._lock:
            if self._restored is not None:
                self._apply_restored(self._restored, page)
                return
            if page.earliest_offset > self._fold.next_offset:
                self._report_gap(page)
                return
            revision = self._fold.revision
            for record in page.records:
                skipped = self._fold.skipped_count
                self._fold.apply(record.offset, record.value)
                if self._fold.skipped_count > skipped:
                    _logger.warning(
                        "skipped an invalid log record", extra={"offset": record.offset}
                    )
            if self._fold.revision != revision:
                self._publish_view()

    def _report_gap(self, page: LogPage) -> None:
        if not self._has_gap:
            _logger.error(
                "the log trimmed records before this daemon read them",
                extra={"next": self._fold.next_offset, "earliest": page.earliest_offset},
            )
        self._has_gap = True

    def _publish_view(self) -> None:
        view = FleetView.from_fold(self._fold)
        if view is None:
            return
        self._view = view
        _logger.info("configuration in force", extra={"revision": view.revision})
        self._on_view(view)
