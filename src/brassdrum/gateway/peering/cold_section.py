"""Section that tells peers which endpoints are cold."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.sections import section
from brassdrum.gateway.peering.wire import KEY_BYTES, FieldReader, FieldWriter
from brassdrum.gateway.throttling.cold import ColdNotice

__all__ = ["ColdSection"]


@section
class ColdSection:
    """Encode a row of 8 bytes for each cold endpoint."""

    number = 3

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the rows, or return False if there are none."""
        if not status.cold:
            return False
        writer.uint(len(status.cold), 1)
        for notice in status.cold:
            writer.uint(notice.key, KEY_BYTES)
            writer.duration(notice.left)
            writer.uint(notice.hops, 1)
        return True

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with the rows."""
        rows = tuple(
            ColdNotice(reader.uint(KEY_BYTES), reader.duration(), reader.uint(1))
            for _ in range(reader.uint(1))
        )
        return replace(status, cold=rows)
