"""Selection of the load rows that each message carries; performs no I/O."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from brassdrum.gateway.placing.load import EndpointLoad, LoadRow

__all__ = ["RowPublisher", "RowUpdate"]

# At 195 endpoints and 12 partitions a second, each row is repeated every 2 s at 1.5 KB/s.
_ROWS_PER_PARTITION = 8
# Fleets of less than 180 daemons send more than 12 messages a second, but don't repeat rows faster.
_PARTITION_SECONDS = 0.08


@dataclass(frozen=True, slots=True)
class RowUpdate:
    """Rows to send: the changed ones, and all rows of one partition of the keys."""

    rows: tuple[LoadRow, ...]
    partition: int = 0
    partition_count: int = 0


class RowPublisher:
    """Send each change twice and repeat all rows by partition, to tolerate datagram loss."""

    def __init__(self, total: Callable[[int], EndpointLoad]) -> None:
        self._total_of = total
        self._changed: set[int] = set()
        self._sent_once: set[int] = set()
        self._nonempty_keys: set[int] = set()
        self._partition_counter = itertools.count()
        self._partition_due_at = -math.inf

    def mark_changed(self, keys: Iterable[int]) -> None:
        """Include the rows of ``keys`` in the next message."""
        self._changed.update(keys)

    def take_changed(self, now: float, *, include_partition: bool) -> RowUpdate:
        """Return the rows for the next message, optionally with the next partition if one is due.

        On average one partition is due in ``_PARTITION_SECONDS``.
        """
        load_by_key = self._load_by_key(self._changed | self._sent_once)
        self._sent_once, self._changed = self._changed, set()
        if not include_partition or now < self._partition_due_at:
            return RowUpdate(_rows(load_by_key))
        # After a pause, the partitions that were due meanwhile are not made up for.
        self._partition_due_at = max(self._partition_due_at + _PARTITION_SECONDS, now)
        partition_count = max(1, math.ceil(len(self._nonempty_keys) / _ROWS_PER_PARTITION))
        partition = next(self._partition_counter) % partition_count
        load_by_key |= self._load_by_key(
            {key for key in self._nonempty_keys if key % partition_count == partition}
        )
        return RowUpdate(_rows(load_by_key), partition, partition_count)

    def snapshot(self) -> RowUpdate:
        """Return all rows, for a receiver that has none."""
        return RowUpdate(_rows(self._load_by_key(self._nonempty_keys | self._changed)), 0, 1)

    def _load_by_key(self, keys: set[int]) -> dict[int, EndpointLoad]:
        load_by_key = {key: self._total_of(key) for key in keys}
        for key, load in load_by_key.items():
            if load.is_empty():
                self._nonempty_keys.discard(key)
            else:
                self._nonempty_keys.add(key)
        return load_by_key


def _rows(load_by_key: dict[int, EndpointLoad]) -> tuple[LoadRow, ...]:
    return tuple(LoadRow(key, load) for key, load in load_by_key.items())
