"""Write checkpoints of the control state before the log's retention removes its records."""

from __future__ import annotations

import logging
from collections.abc import Callable

from brassdrum.clock import Clock
from brassdrum.contracts.fold import ControlFold
from brassdrum.contracts.records import CHECKPOINT_STREAM
from brassdrum.errors import PlatformUnavailableError
from brassdrum.logservice.log import Log

__all__ = ["CheckpointWriter"]

_logger = logging.getLogger(__name__)
_CHECKPOINTS_PER_RETENTION = 4


class CheckpointWriter:
    """Append a checkpoint on acquiring the checkpoint duty and at intervals while holding it."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        with_fold: Callable[[Callable[[ControlFold], object]], object],
        holds_duty: Callable[[], bool],
        max_interval_seconds: float,
    ) -> None:
        self._log = log
        self._clock = clock
        self._with_fold = with_fold
        self._holds_duty = holds_duty
        self._max_interval_seconds = max_interval_seconds
        self._written_at: float | None = None
        self._written_since_acquired = False
        self.written_count = 0

    def step(self) -> None:
        """Append a checkpoint if this daemon holds the duty and one is due."""
        is_holder = self._holds_duty()
        if not is_holder:
            self._written_since_acquired = False
            return
        now = self._clock.monotonic()
        due = self._written_at is None or now - self._written_at >= self._interval()
        if self._written_since_acquired and not due:
            return
        value = self._with_fold(_dump_checkpoint)
        if value is None:
            return
        try:
            self._log.append(CHECKPOINT_STREAM, [value])
        except PlatformUnavailableError as error:
            _logger.warning("checkpoint not confirmed", extra={"reason": str(error)})
            return
        self._written_since_acquired = True
        self._written_at = now
        self.written_count += 1

    def _interval(self) -> float:
        retention = self._with_fold(_log_retention_seconds)
        assert isinstance(retention, float)
        return min(self._max_interval_seconds, retention / _CHECKPOINTS_PER_RETENTION)


def _dump_checkpoint(fold: ControlFold) -> object:
    if fold.through < 0 or fold.configuration() is None:
        return None
    return fold.checkpoint().model_dump(mode="json")


def _log_retention_seconds(fold: ControlFold) -> float:
    configuration = fold.configuration()
    return float("inf") if configuration is None else configuration.log_retention_seconds
