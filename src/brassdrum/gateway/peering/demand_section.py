"""Section 2 of a message: the demand by service, priority and organisation."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.sections import section
from brassdrum.gateway.peering.wire import KEY_BYTES, FieldReader, FieldWriter
from brassdrum.gateway.sharing.demand import DemandKey, DemandRow

__all__ = ["DemandSection"]

_COUNT_BYTES = 2


@section
class DemandSection:
    """Encode rows of demand grouped by service, 9 bytes each and 5 for each service."""

    number = 2

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the rows, or return False if there are none."""
        rows_by_service: dict[int, list[DemandRow]] = {}
        for row in status.demand or ():
            rows_by_service.setdefault(row.key.service, []).append(row)
        writer.uint(len(rows_by_service), 1)
        for service, rows in rows_by_service.items():
            writer.uint(service, KEY_BYTES)
            writer.uint(len(rows), 1)
            for row in rows:
                writer.uint(row.key.priority, 1)
                writer.uint(row.key.organisation, KEY_BYTES)
                writer.uint(row.waiting, _COUNT_BYTES)
                writer.uint(row.in_use, _COUNT_BYTES)
        return bool(rows_by_service)

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with the rows."""
        rows = []
        for _ in range(reader.uint(1)):
            service = reader.uint(KEY_BYTES)
            for _ in range(reader.uint(1)):
                key = DemandKey(service, reader.uint(1), reader.uint(KEY_BYTES))
                rows.append(DemandRow(key, reader.uint(_COUNT_BYTES), reader.uint(_COUNT_BYTES)))
        return replace(status, demand=tuple(rows))
