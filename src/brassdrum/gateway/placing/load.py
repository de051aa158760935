"""Track the load of all daemons at each endpoint."""

from __future__ import annotations

import zlib
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from functools import lru_cache

__all__ = [
    "MAX_BACKOFF_SECONDS",
    "EndpointLoad",
    "LoadRow",
    "LoadShare",
    "LoadTable",
    "endpoint_key",
]

# Tolerated excess over a predicted prefill: passes that are running finish first.
_PREFILL_TOLERANCE_FACTOR = 1.3
# The share of a prefill that still counts at each refresh after its predicted end.
_OVERDUE_PREFILL_SHARE = 0.9

# The longest back-off of any daemon; slots that were freed earlier are open to all.
MAX_BACKOFF_SECONDS = 1.5


@lru_cache(maxsize=4096)
def endpoint_key(endpoint: str) -> int:
    """Return the 4-byte key of an endpoint in load reports.

    On a rare collision each of the two endpoints appears to have the load of both.
    """
    return zlib.crc32(endpoint.encode())


@dataclass(slots=True)
class EndpointLoad:
    """The load in flight at one endpoint; times in ms, memory in tokens.

    ``decode_memory`` is the part of the memory whose streams this endpoint decodes itself,
    ``split_prefill_tokens`` its pending parts of prompts that are split between endpoints.
    """

    pending_prefill_ms: float = 0.0
    memory: int = 0
    decode_memory: int = 0
    requests: int = 0
    helper_prefills: int = 0
    streams_by_max_pause: dict[int, int] = field(default_factory=dict)
    split_prefill_tokens: int = 0

    @property
    def streams(self) -> int:
        """Return the number of streams."""
        return sum(self.streams_by_max_pause.values())

    def shortest_max_pause(self) -> int | None:
        """Return the shortest pause that a stream here allows, or None without streams."""
        return min(
            (pause for pause, count in self.streams_by_max_pause.items() if count > 0), default=None
        )

    def add(self, other: EndpointLoad, sign: int) -> None:
        """Add or, with sign -1, subtract a load; partial sums may be negative."""
        self.pending_prefill_ms += sign * other.pending_prefill_ms
        self.memory += sign * other.memory
        self.decode_memory += sign * other.decode_memory
        self.requests += sign * other.requests
        self.helper_prefills += sign * other.helper_prefills
        self.split_prefill_tokens += sign * other.split_prefill_tokens
        for pause, count in other.streams_by_max_pause.items():
            left = self.streams_by_max_pause.get(pause, 0) + sign * count
            if left:
                self.streams_by_max_pause[pause] = left
            else:
                self.streams_by_max_pause.pop(pause, None)

    def clamped(self) -> EndpointLoad:
        """Return a copy with negative values, caused by messages that cross, set to zero."""
        streams = {pause: count for pause, count in self.streams_by_max_pause.items() if count > 0}
        return EndpointLoad(
            max(0.0, self.pending_prefill_ms),
            max(0, self.memory),
            max(0, self.decode_memory),
            max(0, self.requests),
            max(0, self.helper_prefills),
            streams,
            max(0, self.split_prefill_tokens),
        )

    def copy(self) -> EndpointLoad:
        """Return a copy that shares no mutable state."""
        return replace(self, streams_by_max_pause=dict(self.streams_by_max_pause))

    def is_empty(self) -> bool:
        """Return whether nothing is in flight."""
        return not (self.requests or self.helper_prefills or self.memory)


@dataclass(frozen=True, slots=True)
class LoadRow:
    """The load of one or more daemons at the endpoint with a key."""

    key: int
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class _ReceivedRow:
    sequence: int
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class _FreedSlots:
    freed_at: float
    slots: int
    own: bool


@dataclass(frozen=True, slots=True)
class LoadShare:
    """The load of one request at one endpoint; a helper prefills and may store a part."""

    endpoint: str
    prefill_ms: float
    memory: int = 0
    max_pause_ms: int | None = None
    is_helper: bool = False
    split_prefill_tokens: int = 0

    def as_load(self, *, prefilling: bool) -> EndpointLoad:
        """Return the share as a load, during or after the prefill."""
        prefill = self.prefill_ms if prefilling else 0.0
        part = self.split_prefill_tokens if prefilling else 0
        if self.is_helper:
            return EndpointLoad(prefill, self.memory, 0, 0, int(prefilling), {}, part)
        streams = {} if self.max_pause_ms is None else {self.max_pause_ms: 1}
        return EndpointLoad(prefill, self.memory, self.memory, 1, 0, streams, part)


class LoadTable:
    """Sum the load of this daemon and the loads that publishers report.

    A publisher is a daemon that reports for itself or for a group that may include this daemon.
    ``acknowledge`` records which own load the group's publisher includes, so that it isn't counted
    twice. ``changed_own_keys`` and ``changed_remote_keys`` collect the keys of changed rows until
    the caller clears them.
    """

    def __init__(self) -> None:
        self._total_by_key: dict[int, EndpointLoad] = {}
        self._own_by_key: dict[int, EndpointLoad] = defaultdict(EndpointLoad)
        self._acknowledged_by_key: dict[int, EndpointLoad] = {}
        self._shares_by_request: dict[str, tuple[LoadShare, ...]] = {}
        self._predicted_by_request: dict[str, float] = {}
        self._rows_by_publisher: dict[str, dict[int, _ReceivedRow]] = {}
        self._freed_by_key: dict[int, deque[_FreedSlots]] = defaultdict(deque)
        self.changed_own_keys: set[int] = set()
        self.changed_remote_keys: set[int] = set()

    def total(self, endpoint: str) -> EndpointLoad:
        """Return the load of all daemons at an endpoint; callers must not modify it."""
        return self.total_by_key(endpoint_key(endpoint))

    def total_by_key(self, key: int) -> EndpointLoad:
        """Return the load of all daemons at a key; callers must not modify it."""
        total = self._total_by_key.get(key)
        if total is None:
            total = self._total_by_key[key] = self._sum(key)
        return total

    def slots_freed_since(self, endpoint: str, since: float, *, own: bool) -> int:
        """Return the slots freed since a time by other daemons, with ``own`` also by this one."""
        freed = self._freed_by_key.get(endpoint_key(endpoint))
        if freed is None:
            return 0
        return sum(each.slots for each in freed if each.freed_at > since and (own or not each.own))

    def start(self, request: str, shares: Iterable[LoadShare], now: float, first_ms: float) -> None:
        """Record a request that is sent, with the predicted time to its first event."""
        self._shares_by_request[request] = tuple(shares)
        self._predicted_by_request[request] = now + first_ms / 1000 * _PREFILL_TOLERANCE_FACTOR
        for share in self._shares_by_request[request]:
            self._change_own(share.endpoint, share.as_load(prefilling=True), 1)

    def refresh(self, now: float) -> None:
        """Reduce the pending prefill of own requests by their predicted progress.

        Otherwise a long prefill counts in full until its end, and engines that are nearly free are
        avoided. An engine prefills a part just before the first event.
        """
        for request, predicted in self._predicted_by_request.items():
            left_ms = (predicted - now) * 1000
            shares = []
            for share in self._shares_by_request[request]:
                remaining_ms = max(
                    share.prefill_ms * _OVERDUE_PREFILL_SHARE, min(share.prefill_ms, left_ms)
                )
                key = endpoint_key(share.endpoint)
                self._own_by_key[key].pending_prefill_ms -= share.prefill_ms - remaining_ms
                self._total_by_key.pop(key, None)
                shares.append(replace(share, prefill_ms=remaining_ms))
            self._shares_by_request[request] = tuple(shares)

    def prefill_finished(self, request: str) -> None:
        """Record that a request decodes: its prefill is complete and its helpers are free."""
        shares = self._shares_by_request.get(request, ())
        for share in shares:
            self._change_own(share.endpoint, share.as_load(prefilling=True), -1)
            self._change_own(share.endpoint, share.as_load(prefilling=False), 1)
        self._predicted_by_request.pop(request, None)

    def end(self, request: str, now: float) -> None:
        """Record that a request ended."""
        prefilling = self._predicted_by_request.pop(request, None) is not None
        for share in self._shares_by_request.pop(request, ()):
            self._change_own(share.endpoint, share.as_load(prefilling=prefilling), -1)
            if share.max_pause_ms is not None:
                self._record_freed(endpoint_key(share.endpoint), 1, now, own=True)

    def own_row(self, key: int) -> LoadRow:
        """Return a copy of the own load at one endpoint."""
        return LoadRow(key, self._own_by_key[key].clamped())

    def own_rows(self) -> Iterator[LoadRow]:
        """Yield a copy of the own load at each endpoint that has any."""
        for key, load in list(self._own_by_key.items()):
            if load.is_empty():
                continue
            yield LoadRow(key, load.clamped())

    def prefilling_keys(self) -> set[int]:
        """Return the keys of endpoints with pending own prefills, whose rows change over time."""
        shares = (self._shares_by_request[request] for request in self._predicted_by_request)
        return {endpoint_key(share.endpoint) for each in shares for share in each}

    def acknowledge(self, rows: Iterable[LoadRow]) -> dict[int, int]:
        """Record the own load that the group's publisher now includes.

        Return by key how many fewer own streams it includes than before.
        """
        own_freed = {}
        for row in rows:
            earlier = self._acknowledged_by_key.pop(row.key, None)
            before = 0 if earlier is None else earlier.streams
            own_freed[row.key] = before - row.load.streams
            if not row.load.is_empty():
                self._acknowledged_by_key[row.key] = row.load
            self._total_by_key.pop(row.key, None)
        return own_freed

    def clear_acknowledged(self) -> None:
        """Record that no publisher includes the own load."""
        for key in self._acknowledged_by_key:
            self._total_by_key.pop(key, None)
        self._acknowledged_by_key = {}

    def merge(
        self,
        publisher: str,
        rows: Iterable[LoadRow],
        now: float,
        sequence: int,
        own_freed: Mapping[int, int] | None = None,
    ) -> None:
        """Merge rows of a publisher; rows with an older sequence number are ignored.

        ``own_freed`` gives by key how many of the ended streams were this daemon's.
        """
        known = self._rows_by_publisher.setdefault(publisher, {})
        for row in rows:
            earlier = known.get(row.key)
            if earlier is not None and earlier.sequence > sequence:
                continue
            known[row.key] = _ReceivedRow(sequence, row.load)
            if earlier is None:
                self._mark_remote_change(row.key)
                continue
            if earlier.load is row.load or earlier.load == row.load:
                continue
            self._mark_remote_change(row.key)
            own = 0 if own_freed is None else own_freed.get(row.key, 0)
            self._record_freed(row.key, earlier.load.streams - row.load.streams - own, now)

    def drop_unlisted(
        self, publisher: str, listed: set[int], part: int, parts: int, sequence: int
    ) -> None:
        """Drop the rows in one part of a publisher's keys that are missing from its list."""
        known = self._rows_by_publisher.get(publisher, {})
        for key in [key for key in known if key % parts == part and key not in listed]:
            if known[key].sequence <= sequence:
                del known[key]
                self._mark_remote_change(key)

    def drop_publisher(self, publisher: str) -> None:
        """Drop all rows of a publisher."""
        for key in self._rows_by_publisher.pop(publisher, {}):
            self._mark_remote_change(key)

    def drop_other_publishers(self, publisher: str) -> None:
        """Drop the rows of all publishers but one."""
        for other in [name for name in self._rows_by_publisher if name != publisher]:
            self.drop_publisher(other)

    def _mark_remote_change(self, key: int) -> None:
        self._total_by_key.pop(key, None)
        self.changed_remote_keys.add(key)

    def _sum(self, key: int) -> EndpointLoad:
        total = EndpointLoad()
        for rows in self._rows_by_publisher.values():
            row = rows.get(key)
            if row is not None:
                total.add(row.load, 1)
        own = self._own_by_key.get(key)
        if own is not None:
            total.add(own, 1)
        acknowledged = self._acknowledged_by_key.get(key)
        if acknowledged is not None:
            total.add(acknowledged, -1)
        return total.clamped()

    def _record_freed(self, key: int, slots: int, now: float, *, own: bool = False) -> None:
        if slots <= 0:
            return
        freed = self._freed_by_key[key]
        freed.append(_FreedSlots(now, slots, own))
        while freed[0].freed_at < now - MAX_BACKOFF_SECONDS:
            freed.popleft()

    def _change_own(self, endpoint: str, load: EndpointLoad, sign: int) -> None:
        key = endpoint_key(endpoint)
        self._own_by_key[key].add(load, sign)
        self._total_by_key.pop(key, None)
        self.changed_own_keys.add(key)
