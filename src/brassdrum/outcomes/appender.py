"""Batching of appends to one log stream."""

from __future__ import annotations

import threading
from collections import deque
from concurrent.futures import Future
from dataclasses import dataclass, field

from brassdrum.clock import Clock
from brassdrum.errors import PlatformUnavailableError
from brassdrum.logservice.log import Log

__all__ = ["BatchAppender"]

_URGENT_LINGER_SECONDS = 0.005
_LAZY_LINGER_SECONDS = 0.25
_MAX_BATCH_RECORDS = 500
_MAX_LAZY_RECORDS = 20_000
_RETRY_DELAY_SECONDS = 0.5
_IDLE_WAIT_SECONDS = 2.0


@dataclass(slots=True)
class _Pending:
    value: dict[str, object]
    future: Future[int] = field(default_factory=Future)


class BatchAppender:
    """Append urgent records within milliseconds; lazy ones join a batch or wait for a short time.

    If the append of an urgent record fails, its future raises the error; the writer reads the log
    to find out whether the record was written. Lazy records are retried until the append succeeds,
    so they must be idempotent.
    """

    def __init__(self, log: Log, stream: str, clock: Clock) -> None:
        self._log = log
        self._stream = stream
        self._clock = clock
        self._changed = threading.Condition()
        self._urgent: deque[_Pending] = deque()
        self._lazy: deque[_Pending] = deque(maxlen=_MAX_LAZY_RECORDS)
        self._lazy_since: float | None = None
        self.appends = 0

    def append_urgent(self, value: dict[str, object]) -> Future[int]:
        """Append soon; the future returns the offset or raises ``PlatformUnavailableError``."""
        pending = _Pending(value)
        with self._changed:
            self._urgent.append(pending)
            self._changed.notify()
        return pending.future

    def append_lazy(self, value: dict[str, object]) -> None:
        """Append with a later batch; retry until the log confirms it."""
        with self._changed:
            self._lazy.append(_Pending(value))
            if self._lazy_since is None:
                self._lazy_since = self._clock.monotonic()
            self._changed.notify()

    @property
    def unwritten(self) -> int:
        """Return the number of records not yet appended."""
        with self._changed:
            return len(self._urgent) + len(self._lazy)

    def step(self) -> None:
        """Wait for records and append one batch."""
        with self._changed:
            self._changed.wait_for(lambda: bool(self._urgent or self._lazy), _IDLE_WAIT_SECONDS)
            self._changed.wait_for(self._batch_due, _LAZY_LINGER_SECONDS)
            if not self._batch_due():
                return
            if self._urgent and len(self._urgent) < _MAX_BATCH_RECORDS:
                self._changed.wait(_URGENT_LINGER_SECONDS)
            urgent = _pop_up_to(self._urgent, _MAX_BATCH_RECORDS)
            lazy = _pop_up_to(self._lazy, _MAX_BATCH_RECORDS - len(urgent))
            self._lazy_since = self._clock.monotonic() if self._lazy else None
        self._append_batch(urgent, lazy)

    def _batch_due(self) -> bool:
        if self._urgent or len(self._lazy) >= _MAX_BATCH_RECORDS:
            return True
        if self._lazy_since is None:
            return False
        return self._clock.monotonic() - self._lazy_since >= _LAZY_LINGER_SECONDS

    def _append_batch(self, urgent: list[_Pending], lazy: list[_Pending]) -> None:
        values = [pending.value for pending in [*urgent, *lazy]]
        if not values:
            return
        self.appends += 1
        try:
            first = self._log.append(self._stream, values)
        except PlatformUnavailableError as error:
            self._handle_append_error(urgent, lazy, error)
            return
        for position, pending in enumerate(urgent):
            pending.future.set_result(first + position)

    def _handle_append_error(
        self, urgent: list[_Pending], lazy: list[_Pending], error: PlatformUnavailableError
    ) -> None:
        for pending in urgent:
            pending.future.set_exception(error)
        if not lazy:
            return
        with self._changed:
            self._lazy.extendleft(reversed(lazy))
            self._lazy_since = self._clock.monotonic()
        self._clock.sleep(_RETRY_DELAY_SECONDS)


def _pop_up_to(queue: deque[_Pending], limit: int) -> list[_Pending]:
    taken = []
    while queue and len(taken) < limit:
        taken.append(queue.popleft())
    return taken
