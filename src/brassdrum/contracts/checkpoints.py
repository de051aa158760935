"""Write the control state to the log again before the log forgets it."""

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
_PARTS_OF_RETENTION = 4


class CheckpointWriter:
    """Append a checkpoint when the last one this daemon wrote is old enough."""

    def __init__(
        self,
        log: Log,
        clock: Clock,
        with_fold: Callable[[Callable[[ControlFold], object]], object],
        holds_duty: Callable[[], bool],
        longest_seconds: float,
    ) -> None:
        self._log = log
        self._clock = clock
        self._with_fold = with_fold
        self._holds_duty = holds_duty
        self._longest = longest_seconds
        self._written_at: float | None = None
        self._was_holder = False
        self.written = 0

    def step(self) -> None:
        """Write a checkpoint if the duty is held and one is due."""
        holder = self._holds_duty()
        if not holder:
            self._was_holder = False
            return
        now = self._clock.monotonic()
        due = self._written_at is None or now - self._written_at >= self._interval()
        if self._was_holder and not due:
            return
        value = self._with_fold(_dump)
        if value is None:
            return
        try:
            self._log.append(CHECKPOINT_STREAM, [value])
        except PlatformUnavailableError as error:
            _logger.warning("checkpoint not confirmed", extra={"reason": str(error)})
            return
        self._was_holder = True
        self._written_at = now
        self.written += 1

    def _interval(self) -> float:
        retention = self._with_fold(_retention)
        assert isinstance(retention, float)
        return min(self._longest, retention / _PARTS_OF_RETENTION)


def _dump(fold: ControlFold) -> object:
    if fold.through < 0 or fold.configuration() is None:
        return None
    return fold.checkpoint().model_dump(mode="json")


def _retention(fold: ControlFold) -> float:
    configuration = fold.configuration()
    return float("inf") if configuration is None else configuration.log_retention_seconds
