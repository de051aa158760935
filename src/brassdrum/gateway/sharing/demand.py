"""Rows of demand: the requests that wait and the slots in use, by organisation."""

from __future__ import annotations

import zlib
from collections.abc import Iterable
from dataclasses import dataclass
from functools import lru_cache

__all__ = [
    "DemandKey",
    "DemandRow",
    "add_rows",
    "bounded_rows",
    "demand_key",
    "organisation_label",
    "subtract_rows",
]


_MAX_PRIORITY = 255


@dataclass(frozen=True, slots=True)
class DemandKey:
    """The requests that are counted together; 0 is the most urgent priority.

    ``service`` and ``organisation`` are 4-byte keys of the names, 0 without an organisation. Two
    names with the same key are counted as one.
    """

    service: int
    priority: int
    organisation: int


@dataclass(frozen=True, slots=True)
class DemandRow:
    """Requests that wait for a slot, and slots in use, at one daemon or several."""

    key: DemandKey
    waiting: int
    in_use: int

    def is_empty(self) -> bool:
        """Return whether nothing waits and no slot is in use."""
        return not (self.waiting or self.in_use)


@lru_cache(maxsize=4096)
def demand_key(service: str, priority: int, organisation: str | None) -> DemandKey:
    """Return the key of requests in demand rows."""
    named = 0 if organisation is None else zlib.crc32(organisation.encode())
    # One byte in messages; a configuration may hold any number.
    return DemandKey(zlib.crc32(service.encode()), min(_MAX_PRIORITY, max(0, priority)), named)


def organisation_label(key: int, names: Iterable[str]) -> str:
    """Return the name with a key, or the key in hexadecimal digits if no name has it."""
    return next((name for name in names if zlib.crc32(name.encode()) == key), f"{key:08x}")


def add_rows(rows: Iterable[DemandRow]) -> list[DemandRow]:
    """Return the sum of rows, one for each key."""
    return _sum((row, 1) for row in rows)


def subtract_rows(rows: Iterable[DemandRow], others: Iterable[DemandRow]) -> list[DemandRow]:
    """Return rows without others; counts below zero, caused by messages that cross, become zero."""
    return _sum([*((row, 1) for row in rows), *((row, -1) for row in others)])


def _sum(signed_rows: Iterable[tuple[DemandRow, int]]) -> list[DemandRow]:
    counts_by_key: dict[DemandKey, tuple[int, int]] = {}
    for row, sign in signed_rows:
        waiting, in_use = counts_by_key.get(row.key, (0, 0))
        counts_by_key[row.key] = (waiting + sign * row.waiting, in_use + sign * row.in_use)
    rows = [
        DemandRow(key, max(0, waiting), max(0, in_use))
        for key, (waiting, in_use) in counts_by_key.items()
    ]
    return [row for row in rows if not row.is_empty()]


def bounded_rows(rows: Iterable[DemandRow], limit: int) -> tuple[DemandRow, ...]:
    """Return at most ``limit`` rows, those with most waiting requests first."""
    ranked = sorted(rows, key=lambda row: (-row.waiting, -row.in_use))
    return tuple(ranked[:limit])
