"""Watchdog that detects a stalled attempt."""

from __future__ import annotations

from typing import Protocol

from brassdrum.gateway.model import Route
from brassdrum.gateway.net.loop import Timer, Timers
from brassdrum.gateway.request.patience import caller_stall_timeout
from brassdrum.gateway.request.silence import (
    prefill_explains_stall,
    stall_extension,
    stall_timeout,
)

__all__ = ["StallWatchdog", "StallWatchdogOwner"]

# How soon a stalled attempt that could not be replaced is looked at again.
_RECHECK_SECONDS = 0.5


class StallWatchdogOwner(Protocol):
    """The exchange whose current attempt is watched."""

    route: Route

    def can_replace_attempt(self) -> bool:
        """Return whether the attempt may be replaced by another one."""

    def queued_prefill_seconds(self) -> float:
        """Return the seconds of prefill queued at the attempt's endpoint."""

    def endpoint_stalled(self, *, certain: bool) -> None:
        """Handle a stall; ``certain`` means that queued prefill does not explain it."""


class StallWatchdog:
    """The timer after which a request is sent to another endpoint."""

    def __init__(self, loop: Timers, owner: StallWatchdogOwner) -> None:
        self._loop = loop
        self._owner = owner
        self._started_at = loop.now()
        self._timer: Timer | None = None

    def start(self, predicted_ms: float | None) -> None:
        """Start the timer.

        ``predicted_ms`` is the predicted time to the first event, None once that has arrived.
        """
        self._started_at = self._loop.now()
        seconds = stall_timeout(self._owner.route, predicted_ms)
        self._timer = self._loop.call_later(seconds, self._expired)

    def stop(self) -> None:
        """Cancel the timer, so that no second attempt starts beside the first or after its end."""
        if self._timer is not None:
            self._timer.cancel()

    def _expired(self) -> None:
        owner = self._owner
        if not owner.can_replace_attempt():
            # The retry budget may have room later, or another endpoint may take requests.
            self._timer = self._loop.call_later(_RECHECK_SECONDS, self._expired)
            return
        prefill_seconds = owner.queued_prefill_seconds()
        if owner.route.streams:
            elapsed = self._loop.now() - self._started_at
            extension = stall_extension(elapsed, caller_stall_timeout(owner.route), prefill_seconds)
            if extension is not None:
                self._timer = self._loop.call_later(extension, self._expired)
                return
        owner.endpoint_stalled(
            certain=owner.route.streams and not prefill_explains_stall(prefill_seconds)
        )
