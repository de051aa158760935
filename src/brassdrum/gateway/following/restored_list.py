"""Judge lists of a store that came back from a copy some seconds old; pure decisions.

What the endpoints wrote after the copy was made comes again, but later. Until then the list shows
endpoints as they were: ready ones that have left since, earlier incarnations, and none of those
that joined since.
"""

from __future__ import annotations

import math
from dataclasses import replace

from brassdrum.gateway.model import EndpointEntry

__all__ = ["RestoredListFilter"]

# A stale entry lapses after three heartbeats of 1.2 s, once the endpoints reach the store again,
# which takes 2.2 s.
_STALE_ENTRY_SECONDS = 6.0
# Entries that the copy lacks are written again within about 2 s.
_REWRITE_SECONDS = 2.2
# No copy is older than this.
_MAX_COPY_AGE_SECONDS = 60.0


class RestoredListFilter:
    """Correct a restored list by what was known before."""

    def __init__(self) -> None:
        self.era: int | None = None
        self._stale_until = -math.inf
        self._rewritten_at = -math.inf
        self._gone_at_by_id: dict[str, float] = {}

    def update_era(self, era: int | None, now: float) -> bool:
        """Take the era of the store; return whether it has come back from a copy.

        A daemon that reads it for the first time cannot know: it takes the list for a restored one,
        but has nothing that could be missing from it.
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
        """Return whether an era ended before the one that is known."""
        return self.era is not None and era is not None and era < self.era

    def may_be_missing(self, now: float) -> bool:
        """Return whether an endpoint that is not listed may still be written again."""
        return now < self._rewritten_at

    def mark_gone(self, endpoint: str, now: float) -> None:
        """Note that an incarnation of an endpoint has ended."""
        self._gone_at_by_id[endpoint] = now
        for name, gone_at in list(self._gone_at_by_id.items()):
            if now - gone_at <= _MAX_COPY_AGE_SECONDS:
                return
            del self._gone_at_by_id[name]

    def correct(
        self, listed: dict[str, EndpointEntry], known: dict[str, EndpointEntry], now: float
    ) -> dict[str, EndpointEntry]:
        """Return a list without what is known to be over."""
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
