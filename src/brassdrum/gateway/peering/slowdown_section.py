"""Section 4 of a message: how much slower than predicted endpoints send their first events."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.sections import section
from brassdrum.gateway.peering.wire import KEY_BYTES, FieldReader, FieldWriter
from brassdrum.gateway.placing.slowdown import SlowdownReport, SlowdownRow, bounded_rows

__all__ = ["SlowdownSection"]

_MAX_COUNT = 0xFF
_SUM_BYTES = 2
_MAX_SUM = 0x7FFF
_SUM_RANGE = 0x10000


@section
class SlowdownSection:
    """Encode a row of 7 bytes for each endpoint, after a byte that tells whose rows they are."""

    number = 4

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the rows, or return False if there is nothing to send."""
        report = status.slowdown
        if report is None:
            return False
        writer.uint(report.covers_fleet, 1)
        writer.uint(len(report.rows), 1)
        for row in bounded_rows(report.rows, _MAX_COUNT, _MAX_SUM):
            writer.uint(row.key, KEY_BYTES)
            writer.uint(row.count, 1)
            writer.uint(row.log_sum % _SUM_RANGE, _SUM_BYTES)
        return True

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with the rows."""
        covers_fleet = bool(reader.uint(1))
        rows = []
        for _ in range(reader.uint(1)):
            key, count, encoded = reader.uint(KEY_BYTES), reader.uint(1), reader.uint(_SUM_BYTES)
            log_sum = encoded if encoded <= _MAX_SUM else encoded - _SUM_RANGE
            rows.append(SlowdownRow(key, count, log_sum))
        return replace(status, slowdown=SlowdownReport(tuple(rows), covers_fleet))
