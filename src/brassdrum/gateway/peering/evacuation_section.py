"""Section 1 of a message: the zones that the operator has evacuated."""

from __future__ import annotations

from dataclasses import replace

from brassdrum.gateway.following.evacuations import Evacuations
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.sections import section
from brassdrum.gateway.peering.wire import FieldReader, FieldWriter

__all__ = ["EvacuationSection"]

_ERA_BYTES = 4
_REVISION_BYTES = 6
_MAX_ZONES = 255


@section
class EvacuationSection:
    """Encode the evacuated zones with the era and the revision that order them."""

    number = 1

    def write(self, writer: FieldWriter, status: PeerStatus) -> bool:
        """Append the zones, or return False before any zone was evacuated."""
        record = status.evacuations
        if record is None:
            return False
        # 0 stands for no era, and for the revision before the first read.
        writer.uint(0 if record.era is None else record.era + 1, _ERA_BYTES)
        writer.uint(record.revision + 1, _REVISION_BYTES)
        zones = sorted(record.zones)[:_MAX_ZONES]
        writer.uint(len(zones), 1)
        for zone in zones:
            writer.text(zone)
        return True

    def read(self, reader: FieldReader, status: PeerStatus) -> PeerStatus:
        """Return the status with the evacuated zones; raise ``ValueError`` if they are invalid."""
        era = reader.uint(_ERA_BYTES)
        revision = reader.uint(_REVISION_BYTES) - 1
        zones = frozenset(reader.text() for _ in range(reader.uint(1)))
        record = Evacuations(zones, era - 1 if era else None, revision)
        return replace(status, evacuations=record)
