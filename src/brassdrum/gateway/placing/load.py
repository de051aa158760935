"""Keep what all daemons have in flight at each endpoint: the shared picture of load."""

from __future__ import annotations

import zlib
from collections import defaultdict, deque
from collections.abc import Iterable, Iterator, Mapping
from dataclasses import dataclass, field, replace
from functools import lru_cache

__all__ = ["EndpointLoad", "LoadRow", "LoadShare", "LoadTable", "endpoint_key"]

# Parts take up to this much longer than predicted: passes that are under way end first.
_PREDICTION_FACTOR = 1.3
# Each time that a part is looked at after its predicted end, this much of it still counts.
_UNSURE_SHARE = 0.9

# Places freed longer ago than this are nobody's claim: the longest turn at 60 daemons is 0.5 s.
_FREED_KEPT_SECONDS = 0.6


@lru_cache(maxsize=4096)
def endpoint_key(endpoint: str) -> int:
    """Return the number by which daemons name an endpoint to each other, 4 bytes on the wire.

    In one fleet of 24,000 two of 600 endpoints share a number: each looks as busy as both.
    """
    return zlib.crc32(endpoint.encode())


@dataclass(slots=True)
class EndpointLoad:
    """Sum the work in flight at one endpoint; times in ms, memory in tokens.

    ``streamed`` is the part of the memory whose streams this endpoint writes itself,
    ``part_tokens`` the parts that it has yet to read of prompts shared between endpoints.
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
        """Add or take away other work; sums may be below nothing until they are complete."""
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
        """Return the same without what is below nothing: messages cross on the way."""
        writers = {pause: count for pause, count in self.streams_by_max_pause.items() if count > 0}
        return EndpointLoad(
            max(0.0, self.pending_prefill_ms),
            max(0, self.memory),
            max(0, self.decode_memory),
            max(0, self.requests),
            max(0, self.helper_prefills),
            writers,
            max(0, self.split_prefill_tokens),
        )

    def copy(self) -> EndpointLoad:
        """Return another object with the same work."""
        return replace(self, streams_by_max_pause=dict(self.streams_by_max_pause))

    def is_empty(self) -> bool:
        """Return whether no work is in flight."""
        return not (self.requests or self.helper_prefills or self.memory)


@dataclass(frozen=True, slots=True)
class LoadRow:
    """Hold the work of one or more daemons at one endpoint, named by its key."""

    key: int
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class _ReceivedRow:
    sequence: int
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class _FreedSlots:
    at: float
    slots: int
    own: bool


@dataclass(frozen=True, slots=True)
class LoadShare:
    """Hold what one request takes at one endpoint; a helper reads a part and may store one."""

    endpoint: str
    prefill_ms: float
    memory: int = 0
    max_pause_ms: int | None = None
    is_helper: bool = False
    split_prefill_tokens: int = 0

    def as_load(self, *, reading: bool) -> EndpointLoad:
        """Return the share as load, before or after the prompt was read."""
        read = self.prefill_ms if reading else 0.0
        part = self.split_prefill_tokens if reading else 0
        if self.is_helper:
            return EndpointLoad(read, self.memory, 0, 0, int(reading), {}, part)
        writers = {} if self.max_pause_ms is None else {self.max_pause_ms: 1}
        return EndpointLoad(read, self.memory, self.memory, 1, 0, writers, part)


class LoadTable:
    """Add up own work and what other daemons tell of theirs.

    Who tells is a publisher: a daemon that speaks for itself, or for a group that this daemon may
    belong to. ``acknowledge`` says what of the own work the own group's publisher has counted, so
    that it does not count twice. ``changed`` holds the keys of own rows that changed since somebody
    cleared it, ``told`` those of others' rows.
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
        """Return the work of all daemons at an endpoint; not to be changed."""
        return self.total_by_key(endpoint_key(endpoint))

    def total_by_key(self, key: int) -> EndpointLoad:
        """Return the work of all daemons at the endpoint with a key; not to be changed."""
        total = self._total_by_key.get(key)
        if total is None:
            total = self._total_by_key[key] = self._sum(key)
        return total

    def slots_freed_since(self, endpoint: str, since: float, *, own: bool) -> int:
        """Return how many places others' streams, and own ones too, have freed since a time."""
        freed = self._freed_by_key.get(endpoint_key(endpoint))
        if freed is None:
            return 0
        return sum(each.slots for each in freed if each.at > since and (own or not each.own))

    def start(self, request: str, shares: Iterable[LoadShare], now: float, first_ms: float) -> None:
        """Note an own request that is sent, with the predicted time to its first event."""
        self._shares_by_request[request] = tuple(shares)
        self._predicted_by_request[request] = now + first_ms / 1000 * _PREDICTION_FACTOR
        for share in self._shares_by_request[request]:
            self._change(share.endpoint, share.as_load(reading=True), 1)

    def refresh(self, now: float) -> None:
        """Take off what own requests have read by now, as far as predicted.

        An engine reads a part last before the first event. Without this a part of 3 s counts in
        full until its end, and others avoid engines that are nearly free.
        """
        for request, predicted in self._predicted_by_request.items():
            left_ms = (predicted - now) * 1000
            shares = []
            for share in self._shares_by_request[request]:
                reading = max(share.prefill_ms * _UNSURE_SHARE, min(share.prefill_ms, left_ms))
                key = endpoint_key(share.endpoint)
                self._own_by_key[key].pending_prefill_ms -= share.prefill_ms - reading
                self._total_by_key.pop(key, None)
                shares.append(replace(share, prefill_ms=reading))
            self._shares_by_request[request] = tuple(shares)

    def prefill_finished(self, request: str) -> None:
        """Note that a request writes now: its prompt is read and its helpers are free."""
        shares = self._shares_by_request.get(request, ())
        for share in shares:
            self._change(share.endpoint, share.as_load(reading=True), -1)
            self._change(share.endpoint, share.as_load(reading=False), 1)
        self._predicted_by_request.pop(request, None)

    def end(self, request: str, now: float) -> None:
        """Note that an own request ended."""
        reading = self._predicted_by_request.pop(request, None) is not None
        for share in self._shares_by_request.pop(request, ()):
            self._change(share.endpoint, share.as_load(reading=reading), -1)
            if share.max_pause_ms is not None:
                self._note_freed(endpoint_key(share.endpoint), 1, now, own=True)

    def own_row(self, key: int) -> LoadRow:
        """Return a copy of the own work at one endpoint."""
        return LoadRow(key, self._own_by_key[key].clamped())

    def own_rows(self) -> Iterator[LoadRow]:
        """Return copies of all own work that is in flight."""
        for key, load in list(self._own_by_key.items()):
            if load.is_empty():
                continue
            yield LoadRow(key, load.clamped())

    def prefilling_keys(self) -> set[int]:
        """Return the keys of endpoints that read for own requests; their rows change with time."""
        shares = (self._shares_by_request[request] for request in self._predicted_by_request)
        return {endpoint_key(share.endpoint) for each in shares for share in each}

    def acknowledge(self, rows: Iterable[LoadRow]) -> dict[int, int]:
        """Take what of the own work the own group's publisher counts from now on.

        Return by how many own streams its rows have fallen by that.
        """
        fallen = {}
        for row in rows:
            earlier = self._acknowledged_by_key.pop(row.key, None)
            before = 0 if earlier is None else earlier.streams
            fallen[row.key] = before - row.load.streams
            if not row.load.is_empty():
                self._acknowledged_by_key[row.key] = row.load
            self._total_by_key.pop(row.key, None)
        return fallen

    def clear_acknowledged(self) -> None:
        """Take that no publisher counts the own work any more."""
        for key in self._acknowledged_by_key:
            self._total_by_key.pop(key, None)
        self._acknowledged_by_key = {}

    def merge(
        self,
        publisher: str,
        rows: Iterable[LoadRow],
        now: float,
        sequence: int,
        fallen: Mapping[int, int] | None = None,
    ) -> None:
        """Take rows that a publisher tells; the sequence keeps late messages from undoing newer.

        ``fallen`` says by how many own streams its rows have fallen: nobody else freed these.
        """
        known = self._rows_by_publisher.setdefault(publisher, {})
        for row in rows:
            earlier = known.get(row.key)
            if earlier is not None and earlier.sequence > sequence:
                continue
            known[row.key] = _ReceivedRow(sequence, row.load)
            if earlier is None:
                self._retell(row.key)
                continue
            if earlier.load is row.load or earlier.load == row.load:
                continue
            self._retell(row.key)
            own = 0 if fallen is None else fallen.get(row.key, 0)
            self._note_freed(row.key, earlier.load.streams - row.load.streams - own, now)

    def drop_unlisted(
        self, publisher: str, listed: set[int], part: int, parts: int, sequence: int
    ) -> None:
        """Drop the rows of one part of a publisher's keys that it does not list any more."""
        known = self._rows_by_publisher.get(publisher, {})
        for key in [key for key in known if key % parts == part and key not in listed]:
            if known[key].sequence <= sequence:
                del known[key]
                self._retell(key)

    def drop_publisher(self, publisher: str) -> None:
        """Drop what a publisher told."""
        for key in self._rows_by_publisher.pop(publisher, {}):
            self._retell(key)

    def drop_other_publishers(self, publisher: str) -> None:
        """Drop what all told but one."""
        for other in [name for name in self._rows_by_publisher if name != publisher]:
            self.drop_publisher(other)

    def _retell(self, key: int) -> None:
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

    def _note_freed(self, key: int, places: int, now: float, *, own: bool = False) -> None:
        if places <= 0:
            return
        freed = self._freed_by_key[key]
        freed.append(_FreedSlots(now, places, own))
        while freed[0].at < now - _FREED_KEPT_SECONDS:
            freed.popleft()

    def _change(self, endpoint: str, load: EndpointLoad, sign: int) -> None:
        key = endpoint_key(endpoint)
        self._own_by_key[key].add(load, sign)
        self._total_by_key.pop(key, None)
        self.changed_own_keys.add(key)
