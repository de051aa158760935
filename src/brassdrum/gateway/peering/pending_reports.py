"""Retransmission of load rows until the aggregator acknowledges them; performs no I/O."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from brassdrum.gateway.peering.wire import quantized
from brassdrum.gateway.placing.load import LoadRow

__all__ = ["PendingReports"]

# Half a minute of reports at two a second.
_MAX_UNACKNOWLEDGED_REPORTS = 64


class PendingReports:
    """Track the load rows that the aggregator has not acknowledged."""

    def __init__(self, own_row: Callable[[int], LoadRow]) -> None:
        self._own_row = own_row
        self._sequence_by_key: dict[int, int] = {}
        self._rows_by_sequence: dict[int, tuple[LoadRow, ...]] = {}

    def rows_to_send(self, changed: Iterable[int], sequence: int) -> tuple[LoadRow, ...]:
        """Return all unacknowledged rows, to be sent in the report numbered ``sequence``."""
        for key in changed:
            self._sequence_by_key[key] = sequence
        rows = tuple(quantized(self._own_row(key)) for key in self._sequence_by_key)
        self._rows_by_sequence[sequence] = rows
        while len(self._rows_by_sequence) > _MAX_UNACKNOWLEDGED_REPORTS:
            del self._rows_by_sequence[next(iter(self._rows_by_sequence))]
        return rows

    def acknowledge(self, sequence: int) -> list[LoadRow]:
        """Drop the reports up to ``sequence``; return their rows as the aggregator counts them."""
        counted: dict[int, LoadRow] = {}
        for number in [number for number in self._rows_by_sequence if number <= sequence]:
            counted.update((row.key, row) for row in self._rows_by_sequence.pop(number))
        for key in [key for key, number in self._sequence_by_key.items() if number <= sequence]:
            del self._sequence_by_key[key]
        return list(counted.values())

    def reset(self) -> None:
        """Discard all state; the aggregator has none of the rows."""
        self._sequence_by_key.clear()
        self._rows_by_sequence.clear()
