"""Filter stale endpoint lists after the store was restored from a backup.

Until the endpoints have written their entries again, a restored list shows them as they were at the
time of the backup: endpoints that have since drained appear ready, restarted ones appear with an
earlier incarnation, and new ones are missing. The module does no I/O.
"""

from __future__ import annotations

import math
from dataclasses import replace

from brassdrum.gateway.model import EndpointEntry

__all__ = ["RestoredListFilter"]

# Endpoints reach the restored store within 2.2 s; a stale entry expires after three missed
# heartbeats of 1.2 s.
_STALE_ENTRY_SECONDS = 6.0
# Endpoints write entries missing from the backup again within this time.
_REWRITE_SECONDS = 2.2
# Upper limit of a backup's age.
_MAX_COPY_AGE_SECONDS = 60.0


class RestoredListFilter:
    """Correct a restored list with the state known before the restore."""

    def __init__(self) -> None:
        self.era: int | None = None
        self._stale_until = -math.inf
        self._rewritten_at = -math.inf
        self._gone_at_by_id: dict[str, float] = {}

    def update_era(self, era: int | None, now: float) -> bool:
        """Set the era of the store; return whether the store was restored from a backup.

        On the first read a daemon cannot tell: it treats the list as possibly stale, but knows no
        endpoints that could be missing from it.
        """
        if era is None or (self.era is not None and era <= self.era):
            return False
        returned = self.era is not None
        self.era = era
        self._stale_until = now + _STALE_ENTRY_SECONDS
        if returned:
            self._rewritten_at = now + _REWRITE_SECONDS
        return returned

    def is_older_era(self, era: int | None) -> bool:
        """Return whether an era precedes the known one."""
        return self.era is not None and era is not None and era < self.era

    def may_be_missing(self, now: float) -> bool:
        """Return whether an unlisted endpoint may still be about to write its entry again."""
        return now < self._rewritten_at

    def mark_gone(self, endpoint: str, now: float) -> None:
        """Record that an incarnation of an endpoint has ended."""
        self._gone_at_by_id[endpoint] = now
        for name, gone_at in list(self._gone_at_by_id.items()):
            if now - gone_at <= _MAX_COPY_AGE_SECONDS:
                return
            del self._gone_at_by_id[name]

    def correct(
        self, listed: dict[str, EndpointEntry], known: dict[str, EndpointEntry], now: float
    ) -> dict[str, EndpointEntry]:
        """Return the list with ended and draining incarnations corrected."""
        if now >= self._stale_until:
            return listed
        newest_by_name: dict[str, EndpointEntry] = {}
        for entry in known.values():
            newest = newest_by_name.get(entry.name)
            if newest is None or _started_later(entry, newest):
                newest_by_name[entry.name] = entry
        corrected = {}
        for entry in listed.values():
            newest = newest_by_name.get(entry.name)
            if newest is not None and _started_later(newest, entry):
                corrected[newest.id] = newest
                continue
            if entry.id in self._gone_at_by_id:
                entry = replace(entry, draining=True)
            earlier = known.get(entry.id)
            if earlier is not None and earlier.draining:
                entry = replace(entry, draining=True)
            corrected[entry.id] = entry
        return corrected


def _started_later(one: EndpointEntry, other: EndpointEntry) -> bool:
    return one.born is not None and other.born is not None and one.born > other.born
