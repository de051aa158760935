"""Repeat cancellations at engines until they are known to be done."""

from __future__ import annotations

import threading
from collections import OrderedDict
from dataclasses import dataclass

from brassdrum.clock import Clock
from brassdrum.endpoints.engine import EngineClient

__all__ = ["CancelQueue"]

_GIVE_UP_SECONDS = 60.0
_RETRY_SECONDS = 0.5
_MOST_PENDING = 10_000
_IDLE_SECONDS = 5.0


@dataclass(slots=True)
class _Pending:
    engine: EngineClient
    stream: str
    since: float


class CancelQueue:
    """Keep cancellations that an engine has not confirmed."""

    def __init__(self, clock: Clock) -> None:
        self._clock = clock
        self._changed = threading.Condition()
        self._pending_by_stream: OrderedDict[str, _Pending] = OrderedDict()
        self.given_up = 0

    def __len__(self) -> int:
        return len(self._pending_by_stream)

    def add(self, engine: EngineClient, stream: str) -> None:
        """Cancel a stream soon."""
        with self._changed:
            self._pending_by_stream[stream] = _Pending(engine, stream, self._clock.monotonic())
            if len(self._pending_by_stream) > _MOST_PENDING:
                self._pending_by_stream.popitem(last=False)
                self.given_up += 1
            self._changed.notify()

    def step(self) -> None:
        """Send what is pending; keep what was not confirmed."""
        with self._changed:
            self._changed.wait_for(lambda: bool(self._pending_by_stream), _IDLE_SECONDS)
            pending = list(self._pending_by_stream.values())
        unconfirmed = 0
        for item in pending:
            if item.engine.cancel(item.stream):
                self._drop(item)
                continue
            unconfirmed += 1
            if self._clock.monotonic() - item.since > _GIVE_UP_SECONDS:
                # The engine frees an abandoned stream itself; it did not answer for a minute.
                self._drop(item)
                self.given_up += 1
        if unconfirmed:
            self._clock.sleep(_RETRY_SECONDS)

    def _drop(self, item: _Pending) -> None:
        with self._changed:
            self._pending_by_stream.pop(item.stream, None)
