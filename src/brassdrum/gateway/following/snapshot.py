"""What one read of the store or of a peer returned, and the form in which daemons hand it on."""

from __future__ import annotations

import base64
import json
import zlib
from dataclasses import dataclass

from brassdrum.gateway.following.evacuations import Evacuations
from brassdrum.gateway.model import StoreRecord
from brassdrum.json_fields import whole_number

__all__ = ["Snapshot"]

# The fastest level of zlib; a configuration of 300 routes shrinks to a tenth.
_COMPRESSION_LEVEL = 1


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The result of one read from the store or a peer.

    ``leaving`` names endpoints that are draining whatever their record says. ``era`` is that of the
    store. ``evacuations`` is None where a peer knows of none. ``cold`` are the seconds for which
    endpoints stay cold, None as told by their records. ``revision`` is that of the list in the
    store, None where it is not known.
    """

    configuration: StoreRecord | None
    endpoints: tuple[StoreRecord, ...]
    leaving: tuple[str, ...] = ()
    era: int | None = None
    evacuations: Evacuations | None = None
    cold: dict[str, float] | None = None
    revision: int | None = None

    def encode(self) -> bytes:
        """Return the compressed form that is sent to peers."""
        value = None if self.configuration is None else self.configuration.value
        content = {
            "configuration": None if value is None else base64.b64encode(value).decode(),
            "endpoints": [
                [record.key, base64.b64encode(record.value).decode()] for record in self.endpoints
            ],
            "leaving": list(self.leaving),
            "era": self.era,
            "revision": self.revision,
        }
        evacuations = self.evacuations
        if evacuations is not None:
            zones = sorted(evacuations.zones)
            content["evacuations"] = [evacuations.era, evacuations.revision, zones]
        if self.cold is not None:
            content["cold"] = self.cold
        return zlib.compress(json.dumps(content).encode(), _COMPRESSION_LEVEL)

    @classmethod
    def decode(cls, data: bytes) -> Snapshot:
        """Decode a peer's snapshot, or raise ``ValueError``."""
        try:
            content = json.loads(zlib.decompress(data))
        except zlib.error as error:
            raise ValueError(f"cannot decompress the peer's snapshot: {error}") from error
        value = content["configuration"]
        record = None if value is None else StoreRecord("config", base64.b64decode(value))
        endpoints = tuple(
            StoreRecord(key, base64.b64decode(entry)) for key, entry in content["endpoints"]
        )
        # Daemons of earlier releases send none.
        evacuations = None
        if content.get("evacuations") is not None:
            # Later releases may append fields.
            era, revision, zones, *_ = content["evacuations"]
            evacuations = Evacuations(frozenset(zones), era, revision)
        return cls(
            record,
            endpoints,
            tuple(content["leaving"]),
            content["era"],
            evacuations,
            content.get("cold"),
            whole_number(content.get("revision")),
        )
