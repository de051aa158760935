"""Section that tells peers when a message was sent and which version of the list it speaks of."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.sections import section
from brassdrum.gateway.peering.wire import FieldReader, FieldWriter

__all__ = ["OrderSection"]

_TIME_BYTES = 6
_REVISION_BYTES = 6


@section
class OrderSection:
    """Encode the sender's clock in ms and the revision of its list, 12 bytes."""

    number = 6

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the section, or return False without a time of sending."""
        if status.sent_at is None:
            return False
        writer.uint(round(status.sent_at * 1000), _TIME_BYTES)
        # 0 stands for no revision.
        writer.uint(0 if status.revision is None else status.revision + 1, _REVISION_BYTES)
        return True

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with the time of sending and the revision."""
        sent_at, revision = reader.uint(_TIME_BYTES) / 1000, reader.uint(_REVISION_BYTES)
        return replace(status, sent_at=sent_at, revision=revision - 1 if revision else None)
