"""Say which rows of load to tell next, so that losses heal and no message grows; pure decisions."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from brassdrum.gateway.placing.load import EndpointLoad, LoadRow

__all__ = ["RowPublisher", "RowUpdate"]

# Rows that did not change are told again this many at a time: at 195 endpoints and 12 messages a
# second each row comes again within 2 s, for 1.5 KB/s.
_ROWS_PER_PARTITION = 8


@dataclass(frozen=True, slots=True)
class RowUpdate:
    """Hold rows to tell: those that changed, and all of one part of the keys."""

    rows: tuple[LoadRow, ...]
    partition: int = 0
    partition_count: int = 0


class RowPublisher:
    """Tell each change twice, since datagrams get lost, and all rows in turns."""

    def __init__(self, total: Callable[[int], EndpointLoad]) -> None:
        self._total_of = total
        self._changed: set[int] = set()
        self._sent_once: set[int] = set()
        self._nonempty_keys: set[int] = set()
        self._partition_counter = itertools.count()

    def mark_changed(self, keys: Iterable[int]) -> None:
        """Tell rows with the next message."""
        self._changed.update(keys)

    def take_changed(self, *, part: bool) -> RowUpdate:
        """Return what is to be told now; with ``part`` also the next part of all rows."""
        load_by_key = self._load_by_key(self._changed | self._sent_once)
        self._sent_once, self._changed = self._changed, set()
        if not part:
            return RowUpdate(_rows(load_by_key))
        parts = max(1, math.ceil(len(self._nonempty_keys) / _ROWS_PER_PARTITION))
        number = next(self._partition_counter) % parts
        load_by_key |= self._load_by_key(
            {key for key in self._nonempty_keys if key % parts == number}
        )
        return RowUpdate(_rows(load_by_key), number, parts)

    def snapshot(self) -> RowUpdate:
        """Return all rows, for one that knows nothing yet."""
        return RowUpdate(_rows(self._load_by_key(self._nonempty_keys | self._changed)), 0, 1)

    def _load_by_key(self, keys: set[int]) -> dict[int, EndpointLoad]:
        load_by_key = {key: self._total_of(key) for key in keys}
        for key, load in load_by_key.items():
            if load.empty():
                self._nonempty_keys.discard(key)
            else:
                self._nonempty_keys.add(key)
        return load_by_key


def _rows(load_by_key: dict[int, EndpointLoad]) -> tuple[LoadRow, ...]:
    return tuple(LoadRow(key, load) for key, load in load_by_key.items())
