"""Follow the control stream; load it from the log, or from peers while the log is down."""

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
    """Return the checkpoint that reaches furthest, whatever order they were written in."""
    best = None
    offset = 0
    while True:
        page = log.read(CHECKPOINT_STREAM, offset)
        for record in page.records:
            try:
                checkpoint = parse_checkpoint(record.value)
            except (UnreadableRecordError, NewerFormatError) as error:
                _logger.warning(
                    "checkpoint skipped", extra={"offset": record.offset, "reason": str(error)}
                )
                continue
            if best is None or checkpoint.through > best.through:
                best = checkpoint
        offset = page.next_offset
        if offset >= page.end_offset:
            return best


class ControlState:
    """Hold the fold of the control stream and show it as views."""

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
        self._gap = False
        # The state of a log that came back from a copy, until something is published there.
        self._restored: ControlFold | None = None
        self._restored_end = 0
        self._tail = Tail(
            log, CONTROL_STREAM, clock, self._next_offset, self._apply, on_restored=self._begin_anew
        )

    @property
    def view(self) -> FleetView | None:
        """Return the present view, or None before the first configuration."""
        return self._view

    @property
    def log_answers(self) -> bool:
        """Return whether the log answered the last read."""
        return self._tail.log_available

    @property
    def revision(self) -> int:
        """Return the revision in force, -1 before the first."""
        return self._fold.revision

    @property
    def through(self) -> int:
        """Return the offset up to which the log was applied."""
        return self._fold.through

    def not_ready(self) -> str | None:
        """Return why this daemon cannot serve yet, or None."""
        if self._fold.needs_upgrade is not None:
            return f"upgrade this daemon: {self._fold.needs_upgrade}"
        if self._gap:
            return "the log forgot records that this daemon has not read; waiting for a checkpoint"
        if self._view is None:
            return "no accepted configuration is held yet"
        return None

    def step(self) -> None:
        """Load once, then read on."""
        if not self._loaded:
            self._load()
        if self._gap:
            self._reload()
        self._tail.step()

    def pause(self) -> float:
        """Return the seconds until the next step."""
        return self._tail.retry_delay()

    def with_fold(self, function: Callable[[ControlFold], object]) -> object:
        """Call a function on the fold of the log while nothing else changes it."""
        with self._lock:
            return function(self._following())

    def snapshot(self) -> bytes:
        """Return a checkpoint of the present state for a peer, empty when there is none."""
        with self._lock:
            if self._view is None or self._restored is not None:
                return b""
            return canonical_json(self._fold.checkpoint().model_dump(mode="json"))

    def _following(self) -> ControlFold:
        return self._fold if self._restored is None else self._restored

    def _next_offset(self) -> int:
        return self._following().next_offset

    def _begin_anew(self, page: LogPage) -> None:
        """Follow a log that came back from a copy, and keep what is in force meanwhile.

        The copy may lack what was accepted last. Once something is published to it the operator
        has read what is there, and its state counts again.
        """
        with self._lock:
            self._restored = ControlFold()
            self._restored_end = page.end_offset
        _logger.error("what is in force stays until something is published to the restored log")
        try:
            checkpoint = best_checkpoint(self._log)
        except PlatformUnavailableError as error:
            _logger.warning("no checkpoint read", extra={"reason": error.message})
            return
        if checkpoint is not None and checkpoint.through < page.end_offset:
            with self._lock:
                self._restored.load(checkpoint)

    def _follow_restored(self, restored: ControlFold, page: LogPage) -> None:
        if page.earliest_offset > restored.next_offset:
            self._note_gap(page)
            return
        for record in page.records:
            restored.apply(record.offset, record.value)
        if restored.revision < self._restored_end:
            return
        self._fold, self._restored = restored, None
        self._show()

    def _load(self) -> None:
        try:
            self._take(best_checkpoint(self._log))
            self._loaded = True
        except PlatformUnavailableError:
            self._load_from_peers()

    def _reload(self) -> None:
        try:
            self._take(best_checkpoint(self._log))
        except PlatformUnavailableError:
            pass
        self._load_from_peers()

    def _load_from_peers(self) -> None:
        for content in self._peer_snapshots():
            if not content:
                continue
            try:
                self._take(Checkpoint.model_validate_json(content))
            except ValueError as error:
                _logger.warning("peer sent no usable snapshot", extra={"reason": str(error)})

    def _take(self, checkpoint: Checkpoint | None) -> None:
        if checkpoint is None:
            return
        with self._lock:
            try:
                taken = self._fold.load(checkpoint)
            except InvalidDocumentError as error:
                _logger.error("checkpoint not usable", extra={"reason": error.message})
                return
            if taken:
                self._gap = False
                self._show()

    def _apply(self, page: LogPage) -> None:
        with self._lock:
            if self._restored is not None:
                self._follow_restored(self._restored, page)
                return
            if page.earliest_offset > self._fold.next_offset:
                self._note_gap(page)
                return
            revision = self._fold.revision
            for record in page.records:
                skipped = self._fold.skipped_count
                self._fold.apply(record.offset, record.value)
                if self._fold.skipped_count > skipped:
                    _logger.warning("log record skipped", extra={"offset": record.offset})
            if self._fold.revision != revision:
                self._show()

    def _note_gap(self, page: LogPage) -> None:
        if not self._gap:
            _logger.error(
                "the log forgot records before they were read",
                extra={"next": self._fold.next_offset, "earliest": page.earliest_offset},
            )
        self._gap = True

    def _show(self) -> None:
        view = FleetView.of(self._fold)
        if view is None:
            return
        self._view = view
        _logger.info("configuration in force", extra={"revision": view.revision})
        self._on_view(view)
