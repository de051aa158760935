"""The demand of one daemon: its requests that wait for a slot, and the slots it uses."""

from __future__ import annotations

from collections import Counter
from collections.abc import Callable, Hashable, Iterator

from brassdrum.gateway.sharing.demand import DemandKey, DemandRow, bounded_rows

__all__ = ["MAX_OWN_ROWS", "DemandLedger"]

MAX_OWN_ROWS = 32


class DemandLedger:
    """Count requests by key; ``on_changed`` is called when the set of waiting keys changes.

    Other changes travel with the next message, since a message per request would cost too much.
    """

    def __init__(self, on_changed: Callable[[], None] = lambda: None) -> None:
        self.version = 0
        self._on_changed = on_changed
        self._waiting_key_by_request: dict[Hashable, DemandKey] = {}
        self._used_key_by_attempt: dict[str, DemandKey] = {}
        self._waiting_by_key: Counter[DemandKey] = Counter()
        self._in_use_by_key: Counter[DemandKey] = Counter()

    def waits(self, request: Hashable, key: DemandKey) -> None:
        """Record that a request waits for a slot."""
        if request in self._waiting_key_by_request:
            return
        self._waiting_key_by_request[request] = key
        self._waiting_by_key[key] += 1
        self.version += 1
        if self._waiting_by_key[key] == 1:
            self._on_changed()

    def stops_waiting(self, request: Hashable) -> None:
        """Record that a request waits no longer."""
        key = self._waiting_key_by_request.pop(request, None)
        if key is None:
            return
        self._count_down(self._waiting_by_key, key)
        if key not in self._waiting_by_key:
            self._on_changed()

    def sent(self, attempt: str, key: DemandKey) -> None:
        """Record that an attempt uses a slot."""
        self._used_key_by_attempt[attempt] = key
        self._in_use_by_key[key] += 1
        self.version += 1

    def ended(self, attempt: str) -> None:
        """Record that an attempt uses its slot no longer."""
        key = self._used_key_by_attempt.pop(attempt, None)
        if key is not None:
            self._count_down(self._in_use_by_key, key)

    @property
    def waiting(self) -> int:
        """Return the number of requests that wait for a slot."""
        return len(self._waiting_key_by_request)

    def waiting_requests(self) -> Iterator[tuple[Hashable, DemandKey]]:
        """Yield the requests that wait for a slot."""
        yield from self._waiting_key_by_request.items()

    def rows(self, *, waits_elsewhere: bool) -> tuple[DemandRow, ...]:
        """Return the rows to report: none unless a request waits here or elsewhere."""
        if not self._waiting_by_key and not waits_elsewhere:
            return ()
        keys = {**self._waiting_by_key, **self._in_use_by_key}
        rows = (
            DemandRow(key, self._waiting_by_key.get(key, 0), self._in_use_by_key.get(key, 0))
            for key in keys
        )
        return bounded_rows(rows, MAX_OWN_ROWS)

    def _count_down(self, count_by_key: Counter[DemandKey], key: DemandKey) -> None:
        self.version += 1
        count_by_key[key] -= 1
        if not count_by_key[key]:
            del count_by_key[key]
