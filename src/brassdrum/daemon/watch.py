"""Watchdog that aborts exchanges on deadline, disconnection of the caller or silence."""

from __future__ import annotations

import math
import threading
from collections.abc import Callable
from dataclasses import dataclass
from enum import StrEnum

from brassdrum.clock import Clock

__all__ = ["AbortReason", "ExchangeWatchdog", "WatchedExchange"]


class AbortReason(StrEnum):
    """Reason for which the watchdog aborted an exchange."""

    DEADLINE = "deadline"
    DISCONNECTED = "disconnected"
    SILENT = "silent"


@dataclass(slots=True)
class WatchedExchange:
    """An exchange; its silence counts from each received event, and not while it is not read."""

    deadline: float
    silence_deadline: float
    disconnected: Callable[[], bool]
    abort: Callable[[], None]
    reason: AbortReason | None = None

    def restart_silence(self, now: float, seconds: float) -> None:
        """Count a silence from now on."""
        self.silence_deadline = now + seconds

    def pause_silence(self) -> None:
        """Count no silence while the other side is not read."""
        self.silence_deadline = math.inf


class ExchangeWatchdog:
    """Checks exchanges periodically, since a thread blocked in a read cannot do so itself."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._lock = threading.Lock()
        self._exchanges_by_id: dict[int, WatchedExchange] = {}

    def __len__(self) -> int:
        return len(self._exchanges_by_id)

    def add(self, watched: WatchedExchange) -> None:
        """Start watching an exchange."""
        with self._lock:
            self._exchanges_by_id[id(watched)] = watched

    def remove(self, watched: WatchedExchange) -> None:
        """Stop watching an exchange."""
        with self._lock:
            self._exchanges_by_id.pop(id(watched), None)

    def step(self) -> None:
        """Check all exchanges once and abort those that have to end."""
        now = self._clock.monotonic()
        with self._lock:
            exchanges = list(self._exchanges_by_id.values())
        for watched in exchanges:
            if watched.reason is not None:
                continue
            reason = _abort_reason(watched, now)
            if reason is None:
                continue
            watched.reason = reason
            watched.abort()


def _abort_reason(watched: WatchedExchange, now: float) -> AbortReason | None:
    if now >= watched.deadline:
        return AbortReason.DEADLINE
    if now >= watched.silence_deadline:
        return AbortReason.SILENT
    if watched.disconnected():
        return AbortReason.DISCONNECTED
    return None
