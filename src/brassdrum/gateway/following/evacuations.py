"""Zones that the operator has evacuated, merged from the store and from peers; does no I/O."""

from __future__ import annotations

import math
from collections.abc import Collection, Iterable
from dataclasses import dataclass

__all__ = [
    "EvacuationState",
    "Evacuations",
    "ZoneChange",
    "newest_evacuations",
    "refusal_detail",
]

# A restored store may lack a record until the operator has written it again. Zones that were
# evacuated before stay so for as long as stale entries may stand in the list of endpoints.
_RESTORED_HOLD_SECONDS = 6.0
# Precedes every era; stores without eras have none.
_NO_ERA = -1


@dataclass(frozen=True, slots=True)
class Evacuations:
    """The evacuated zones as of a revision within an era of the store."""

    zones: frozenset[str] = frozenset()
    era: int | None = None
    revision: int = -1

    @property
    def order(self) -> tuple[int, int]:
        """Return the key by which records are ordered, the newest last."""
        return _NO_ERA if self.era is None else self.era, self.revision

    def merged(self, other: Evacuations) -> Evacuations:
        """Return the newer of two records.

        Two reads of one revision may differ by a record that was written between two pages; such a
        zone counts as evacuated until the next revision is read.
        """
        if other.order != self.order:
            return max(self, other, key=lambda each: each.order)
        return Evacuations(self.zones | other.zones, self.era, self.revision)


def newest_evacuations(records: Iterable[Evacuations | None]) -> Evacuations | None:
    """Return the newest record, or None if there is none."""
    newest = None
    for record in records:
        if record is None:
            continue
        newest = record if newest is None else newest.merged(record)
    return newest


def refusal_detail(detail: str, zones: Collection[str]) -> str:
    """Return why a request is refused, with the evacuated zones that have endpoints for it."""
    if not zones:
        return detail
    return f"{detail}, and the operator has evacuated {', '.join(sorted(zones))}"


@dataclass(frozen=True, slots=True)
class ZoneChange:
    """A zone was evacuated, or else taken back."""

    zone: str
    evacuated: bool


class EvacuationState:
    """Hold the newest record, and since when zones have been taken back."""

    def __init__(self) -> None:
        self.record = Evacuations()
        self.zones: frozenset[str] = frozenset()
        self._is_announced = False
        self._held_zones: frozenset[str] = frozenset()
        self._held_until = -math.inf
        self._taken_back_at_by_zone: dict[str, float] = {}
        self._seen_zones: set[str] = set()
        self._unknown_zones: set[str] = set()

    @property
    def announced(self) -> Evacuations | None:
        """Return what is sent to peers, None before any zone was evacuated."""
        return self.record if self._is_announced else None

    def apply_read(self, record: Evacuations, now: float) -> list[ZoneChange]:
        """Apply what was read from the store; return the changes."""
        return self._apply(record, now)

    def apply_report(self, record: Evacuations | None, now: float) -> list[ZoneChange]:
        """Apply what a peer reported, None if it knows of no evacuation; return the changes.

        Any report is passed on: another daemon may have missed that a zone was taken back.
        """
        if record is None:
            return []
        self._is_announced = True
        return self._apply(record, now)

    def refresh(self, now: float) -> list[ZoneChange]:
        """End what holds only for a time; return the changes."""
        if self._held_zones and now >= self._held_until:
            self._held_zones = frozenset()
        return self._update(now)

    def taken_back_at(self, zone: str) -> float | None:
        """Return when a zone was last taken back, or None if it was not since the start."""
        return self._taken_back_at_by_zone.get(zone)

    def find_unknown(self, listed_zones: Iterable[str]) -> list[str]:
        """Return the evacuated zones that never had an endpoint, each once until taken back.

        Nothing is unknown before the first endpoint is listed.
        """
        self._seen_zones.update(listed_zones)
        if not self._seen_zones:
            return []
        self._unknown_zones &= self.zones
        found = sorted(self.zones - self._seen_zones - self._unknown_zones)
        self._unknown_zones.update(found)
        return found

    def _apply(self, record: Evacuations, now: float) -> list[ZoneChange]:
        merged = self.record.merged(record)
        if self.record.era is not None and merged.order[0] > self.record.order[0]:
            self._held_zones = self.zones
            self._held_until = now + _RESTORED_HOLD_SECONDS
        # Once the restored store has a record again, deleting it takes the zone back at once.
        self._held_zones -= merged.zones
        self.record = merged
        self._is_announced = self._is_announced or bool(merged.zones)
        return self.refresh(now)

    def _update(self, now: float) -> list[ZoneChange]:
        zones = self.record.zones | self._held_zones
        changes = [ZoneChange(zone, True) for zone in sorted(zones - self.zones)]
        changes += [ZoneChange(zone, False) for zone in sorted(self.zones - zones)]
        for change in changes:
            if change.evacuated:
                self._taken_back_at_by_zone.pop(change.zone, None)
            else:
                self._taken_back_at_by_zone[change.zone] = now
        self.zones = zones
        return changes
