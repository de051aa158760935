"""Section that tells peers when a message was sent and which version of the list it speaks of."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.sections import section
from brassdrum.gateway.peering.wire import FieldReader, FieldWriter

__all__ = ["CLOCK_CYCLE_SECONDS", "OrderSection"]

# Milliseconds modulo 4.6 hours: only differences between messages of a sender count.
_TIME_BYTES = 3
_TIME_UNITS = 1 << 8 * _TIME_BYTES
_REVISION_BYTES = 6
# After this time the clocks in messages begin anew.
CLOCK_CYCLE_SECONDS = _TIME_UNITS / 1000


@section
class OrderSection:
    """Encode the sender's clock in 3 bytes and the revision of its list, if it is told, in 6."""

    number = 6

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the section, or return False without a time of sending."""
        if status.sent_at is None:
            return False
        writer.uint(round(status.sent_at * 1000) % _TIME_UNITS, _TIME_BYTES)
        if status.revision is not None:
            writer.uint(status.revision, _REVISION_BYTES)
        return True

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with the time of sending and the revision."""
        sent_at = reader.uint(_TIME_BYTES) / 1000
        revision = None if reader.exhausted() else reader.uint(_REVISION_BYTES)
        return replace(status, sent_at=sent_at, revision=revision)
