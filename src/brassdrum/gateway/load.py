"""Keep what all daemons have in flight at each endpoint: the shared picture of load."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field, replace

__all__ = ["EndpointLoad", "LoadRow", "LoadTable", "Share"]

# Parts take up to this much longer than predicted: passes that are under way end first.
_PREDICTION_FACTOR = 1.3
# Each time that a part is looked at after its predicted end, this much of it still counts.
_UNSURE_SHARE = 0.9

# Places freed longer ago than this are nobody's claim: the longest turn at 60 daemons is 0.5 s.
_FREED_KEPT_SECONDS = 0.6


@dataclass(slots=True)
class EndpointLoad:
    """Sum the work in flight at one endpoint; times in ms, memory in tokens.

    ``streamed`` is the part of the memory whose streams this endpoint writes itself,
    ``part_tokens`` the parts that it has yet to read of prompts shared between endpoints.
    """

    reading_ms: float = 0.0
    memory: int = 0
    streamed: int = 0
    calls: int = 0
    helping: int = 0
    writers_by_pause: dict[int, int] = field(default_factory=dict)
    part_tokens: int = 0

    @property
    def writers(self) -> int:
        """Return the number of streams."""
        return sum(self.writers_by_pause.values())

    def tightest_pause(self) -> int | None:
        """Return the shortest pause that a stream here allows, or None without streams."""
        return min(
            (pause for pause, count in self.writers_by_pause.items() if count > 0), default=None
        )

    def add(self, other: EndpointLoad, sign: int) -> None:
        """Add or take away the work of one daemon."""
        self.reading_ms = max(0.0, self.reading_ms + sign * other.reading_ms)
        self.memory += sign * other.memory
        self.streamed += sign * other.streamed
        self.calls += sign * other.calls
        self.helping += sign * other.helping
        self.part_tokens += sign * other.part_tokens
        for pause, count in other.writers_by_pause.items():
            left = self.writers_by_pause.get(pause, 0) + sign * count
            if left > 0:
                self.writers_by_pause[pause] = left
            else:
                self.writers_by_pause.pop(pause, None)

    def empty(self) -> bool:
        """Return whether no work is in flight."""
        return not (self.calls or self.helping or self.memory)


@dataclass(frozen=True, slots=True)
class LoadRow:
    """Hold one daemon's work at one endpoint."""

    endpoint: str
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class _PeerRow:
    sequence: int
    load: EndpointLoad


@dataclass(frozen=True, slots=True)
class _FreedPlaces:
    at: float
    places: int
    own: bool


@dataclass(frozen=True, slots=True)
class Share:
    """Hold what one request takes at one endpoint; a helper reads a part and may store one."""

    endpoint: str
    reading_ms: float
    memory: int = 0
    pause_ms: int | None = None
    helper: bool = False
    part_tokens: int = 0

    def load(self, *, reading: bool) -> EndpointLoad:
        """Return the share as load, before or after the prompt was read."""
        read = self.reading_ms if reading else 0.0
        part = self.part_tokens if reading else 0
        if self.helper:
            return EndpointLoad(read, self.memory, 0, 0, int(reading), {}, part)
        writers = {} if self.pause_ms is None else {self.pause_ms: 1}
        return EndpointLoad(read, self.memory, self.memory, 1, 0, writers, part)


class LoadTable:
    """Add up own work and what peers tell of theirs."""

    def __init__(self) -> None:
        self._total_by_endpoint: dict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._own_by_endpoint: dict[str, EndpointLoad] = defaultdict(EndpointLoad)
        self._shares_by_request: dict[str, tuple[Share, ...]] = {}
        self._predicted_by_request: dict[str, float] = {}
        self._rows_by_peer: dict[str, dict[str, _PeerRow]] = {}
        self._heard_by_peer: dict[str, float] = {}
        self._freed_by_endpoint: dict[str, deque[_FreedPlaces]] = defaultdict(deque)
        self.changed: set[str] = set()

    def total(self, endpoint: str) -> EndpointLoad:
        """Return the work of all daemons at an endpoint."""
        return self._total_by_endpoint[endpoint]

    def freed_since(self, endpoint: str, since: float, *, own: bool) -> int:
        """Return how many places peers' streams, and own ones too, have freed since a time."""
        freed = self._freed_by_endpoint.get(endpoint)
        if freed is None:
            return 0
        return sum(each.places for each in freed if each.at > since and (own or not each.own))

    def start(self, request: str, shares: Iterable[Share], now: float, first_ms: float) -> None:
        """Note an own request that is sent, with the predicted time to its first event."""
        self._shares_by_request[request] = tuple(shares)
        self._predicted_by_request[request] = now + first_ms / 1000 * _PREDICTION_FACTOR
        for share in self._shares_by_request[request]:
            self._change(share.endpoint, share.load(reading=True), 1)

    def refresh(self, now: float) -> None:
        """Take off what own requests have read by now, as far as predicted.

        An engine reads a part last before the first event. Without this a part of 3 s counts in
        full until its end, and others avoid engines that are nearly free.
        """
        for request, predicted in self._predicted_by_request.items():
            left_ms = (predicted - now) * 1000
            shares = []
            for share in self._shares_by_request[request]:
                reading = max(share.reading_ms * _UNSURE_SHARE, min(share.reading_ms, left_ms))
                read = EndpointLoad(reading_ms=share.reading_ms - reading)
                self._total_by_endpoint[share.endpoint].add(read, -1)
                self._own_by_endpoint[share.endpoint].add(read, -1)
                shares.append(replace(share, reading_ms=reading))
            self._shares_by_request[request] = tuple(shares)

    def prompt_read(self, request: str) -> None:
        """Note that a request writes now: its prompt is read and its helpers are free."""
        shares = self._shares_by_request.get(request, ())
        for share in shares:
            self._change(share.endpoint, share.load(reading=True), -1)
            self._change(share.endpoint, share.load(reading=False), 1)
        self._predicted_by_request.pop(request, None)

    def end(self, request: str, now: float) -> None:
        """Note that an own request ended."""
        reading = self._predicted_by_request.pop(request, None) is not None
        for share in self._shares_by_request.pop(request, ()):
            self._change(share.endpoint, share.load(reading=reading), -1)
            if share.pause_ms is not None:
                self._note_freed(share.endpoint, 1, now, own=True)

    def own_rows(self, endpoints: Iterable[str] | None = None) -> list[LoadRow]:
        """Return own work, at all endpoints or at some."""
        named = list(self._own_by_endpoint) if endpoints is None else endpoints
        return [LoadRow(endpoint, self._own_by_endpoint[endpoint]) for endpoint in named]

    def merge(self, peer: str, rows: Iterable[LoadRow], now: float, sequence: int) -> None:
        """Replace what is known of a peer's work at the endpoints that it names.

        Datagrams may overtake each other: a row that was sent before the known one is left out.
        """
        self._heard_by_peer[peer] = now
        known = self._rows_by_peer.setdefault(peer, {})
        for row in rows:
            earlier = known.get(row.endpoint)
            if earlier is not None and earlier.sequence > sequence:
                continue
            if earlier is not None:
                self._total_by_endpoint[row.endpoint].add(earlier.load, -1)
                self._note_freed(row.endpoint, earlier.load.writers - row.load.writers, now)
            known[row.endpoint] = _PeerRow(sequence, row.load)
            self._total_by_endpoint[row.endpoint].add(row.load, 1)

    def _note_freed(self, endpoint: str, places: int, now: float, *, own: bool = False) -> None:
        if places <= 0:
            return
        freed = self._freed_by_endpoint[endpoint]
        freed.append(_FreedPlaces(now, places, own))
        while freed[0].at < now - _FREED_KEPT_SECONDS:
            freed.popleft()

    def forget(self, peer: str) -> None:
        """Drop a peer's work."""
        self._heard_by_peer.pop(peer, None)
        for endpoint, row in self._rows_by_peer.pop(peer, {}).items():
            self._total_by_endpoint[endpoint].add(row.load, -1)

    def expire(self, now: float, silence: float) -> None:
        """Drop the work of peers that were silent for a number of seconds."""
        for peer, heard in list(self._heard_by_peer.items()):
            if now - heard > silence:
                self.forget(peer)

    def _change(self, endpoint: str, load: EndpointLoad, sign: int) -> None:
        self._total_by_endpoint[endpoint].add(load, sign)
        self._own_by_endpoint[endpoint].add(load, sign)
        self.changed.add(endpoint)
