"""Section 5 of a message: the receiver keeps the rows of demand that it has."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.sections import section
from brassdrum.gateway.peering.wire import FieldReader, FieldWriter

__all__ = ["DemandKeptSection"]

_UNDERSTOOD, _KEPT = 0, 1


@section
class DemandKeptSection:
    """Encode in a byte whether the rows are kept; its presence says that the sender can keep them.

    A daemon without this section takes a digest without rows as one of a fleet in which nothing
    waits, so rows are left out only if all receivers have sent the section.
    """

    number = 5

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the byte, or return False if there is nothing to send."""
        writer.uint(_KEPT if status.demand is None else _UNDERSTOOD, 1)
        return status.keeps_demand or status.demand is None

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with what the section holds."""
        if reader.uint(1) == _KEPT:
            return replace(status, keeps_demand=True, demand=None)
        return replace(status, keeps_demand=True)
