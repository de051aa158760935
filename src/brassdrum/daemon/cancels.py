"""Retry the cancellation of streams at engines until it is confirmed."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.endpoints.engine import EngineClient

__all__ = ["CancelQueue"]

_GIVE_UP_SECONDS = 60.0
_RETRY_SECONDS = 0.5
_MAX_PENDING = 10_000
_WAIT_TIMEOUT_SECONDS = 5.0


@dataclass(slots=True)
class _PendingCancel:
    engine: EngineClient
    stream: str
    added_at: float


class CancelQueue:
    """Queue cancellations until the engine confirms them."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._pending_by_stream: OrderedDict[str, _PendingCancel] = OrderedDict()
        self.abandoned_count = 0

    def __len__(self) -> int:
        return len(self._pending_by_stream)

    def add(self, engine: EngineClient, stream: str) -> None:
        """Queue the cancellation of a stream."""
        with self._changed:
            self._pending_by_stream[stream] = _PendingCancel(
                engine, stream, self._clock.monotonic()
            )
            if len(self._pending_by_stream) > _MAX_PENDING:
                self._pending_by_stream.popitem(last=False)
                self.abandoned_count += 1
            self._changed.notify()

    def step(self) -> None:
        """Send pending cancellations and keep those that were not confirmed."""
        with self._changed:
            self._changed.wait_for(lambda: bool(self._pending_by_stream), _WAIT_TIMEOUT_SECONDS)
            pending = list(self._pending_by_stream.values())
        unconfirmed = 0
        for item in pending:
            if item.engine.cancel(item.stream):
                self._remove(item)
                continue
            unconfirmed += 1
            if self._clock.monotonic() - item.added_at > _GIVE_UP_SECONDS:
                # The engine itself frees a stream that is no longer read.
                self._remove(item)
                self.abandoned_count += 1
        if unconfirmed:
            self._clock.sleep(_RETRY_SECONDS)

    def _remove(self, item: _PendingCancel) -> None:
        with self._changed:
            self._pending_by_stream.pop(item.stream, None)
