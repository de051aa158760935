"""Say which rows of load to tell next, so that losses heal and no message grows; pure decisions."""

from __future__ import annotations

import itertools
import math
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from brassdrum.gateway.placing.load import EndpointLoad, LoadRow

__all__ = ["RowTeller", "ToldRows"]

# Rows that did not change are told again this many at a time: at 195 endpoints and 12 messages a
# second each row comes again within 2 s, for 1.5 KB/s.
_ROWS_PER_PART = 8


@dataclass(frozen=True, slots=True)
class ToldRows:
    """Hold rows to tell: those that changed, and all of one part of the keys."""

    rows: tuple[LoadRow, ...]
    part: int = 0
    parts: int = 0


class RowTeller:
    """Tell each change twice, since datagrams get lost, and all rows in turns."""

    def __init__(self, total: Callable[[int], EndpointLoad]) -> None:
        self._total = total
        self._changed: set[int] = set()
        self._told_once: set[int] = set()
        self._keys: set[int] = set()
        self._turn = itertools.count()

    def changed(self, keys: Iterable[int]) -> None:
        """Tell rows with the next message."""
        self._changed.update(keys)

    def tell(self, *, part: bool) -> ToldRows:
        """Return what is to be told now; with ``part`` also the next part of all rows."""
        load_by_key = self._loads(self._changed | self._told_once)
        self._told_once, self._changed = self._changed, set()
        if not part:
            return ToldRows(_rows(load_by_key))
        parts = max(1, math.ceil(len(self._keys) / _ROWS_PER_PART))
        number = next(self._turn) % parts
        load_by_key |= self._loads({key for key in self._keys if key % parts == number})
        return ToldRows(_rows(load_by_key), number, parts)

    def tell_all(self) -> ToldRows:
        """Return all rows, for one that knows nothing yet."""
        return ToldRows(_rows(self._loads(self._keys | self._changed)), 0, 1)

    def _loads(self, keys: set[int]) -> dict[int, EndpointLoad]:
        load_by_key = {key: self._total(key) for key in keys}
        for key, load in load_by_key.items():
            if load.is_empty():
                self._keys.discard(key)
            else:
                self._keys.add(key)
        return load_by_key


def _rows(load_by_key: dict[int, EndpointLoad]) -> tuple[LoadRow, ...]:
    return tuple(LoadRow(key, load) for key, load in load_by_key.items())
