"""Estimated load of endpoints, from engine reports, own requests and gossip of other daemons."""

from __future__ import annotations

from dataclasses import dataclass, field

from brassdrum.admission.work import LengthBand, Work
from brassdrum.contracts.documents import Endpoint
from brassdrum.outcomes.breaker import CircuitBreaker
from brassdrum.outcomes.pauses import Pause
from brassdrum.outcomes.refusals import RefusalBackoff

__all__ = ["EndpointLoad", "EndpointState", "LoadReport", "OwnRequest", "PeerLoad"]

_SLOW_START_SECONDS = 10.0
_SLOW_START_MIN_WEIGHT = 0.1
_REPORT_TTL_SECONDS = 10.0
_PEER_LOAD_TTL_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """The load that an engine reported; ``at`` is the local monotonic time it applies to."""

    at: float
    streams: int
    queued_tokens: int
    kv_tokens_held: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """The requests that another daemon has in flight at an endpoint."""

    at: float
    streams: int
    queued_tokens: int
    long_prefills: int


@dataclass(frozen=True, slots=True)
class EndpointLoad:
    """The estimated load of an endpoint at one time."""

    streams: int
    queued_tokens: int
    long_prefills: int
    kv_free: int


@dataclass(slots=True)
class OwnRequest:
    """A request of this daemon in flight at an endpoint."""

    work: Work
    dispatched_at: float
    prefill_tokens: int
    has_first_token: bool = False
    reserved: bool = False


@dataclass(slots=True)
class EndpointState:
    """The state of one endpoint as known to this daemon."""

    endpoint: Endpoint
    available_since: float
    breaker: CircuitBreaker = field(default_factory=CircuitBreaker)
    leaving: bool = False
    pause: Pause = field(default_factory=Pause)
    refusals: RefusalBackoff = field(default_factory=RefusalBackoff)
    report: LoadReport | None = None
    peers_by_daemon: dict[str, PeerLoad] = field(default_factory=dict)
    own_requests_by_id: dict[str, OwnRequest] = field(default_factory=dict)
    kv_reserved: int = 0

    def usable(self, now: float) -> bool:
        """Return whether the endpoint accepts new requests."""
        return not self.leaving and not self.pause.is_active(now) and self.breaker.allows(now)

    def own_queued_tokens(self) -> int:
        """Return the prompt tokens of this daemon's requests that await their first token."""
        return self._own_load()[1]

    def own_long_prefills(self) -> int:
        """Return the number of this daemon's long prompts that await their first token."""
        return self._own_load()[2]

    def load(self, now: float) -> EndpointLoad:
        """Return the estimated load.

        Streams are the larger of the engine's report and the sum over daemons; queued tokens are
        the smaller of the two, but at least those of this daemon. Held memory is the larger of
        the report and this daemon's share. Requests that this daemon sent after a report are
        added to its streams and tokens. Expired reports and peer loads are ignored.
        """
        streams, queued, long_prefills, kv_held = self._own_load()
        since_streams, since_queued = self._own_load_since_report()
        own_queued = queued
        for peer in self.peers_by_daemon.values():
            if now - peer.at > _PEER_LOAD_TTL_SECONDS:
                continue
            streams += peer.streams
            queued += peer.queued_tokens
            long_prefills += peer.long_prefills
        report = self.report
        if report is not None and now - report.at <= _REPORT_TTL_SECONDS:
            streams = max(streams, report.streams + since_streams)
            queued = max(own_queued, min(queued, report.queued_tokens + since_queued))
            kv_held = max(kv_held, report.kv_tokens_held)
        return EndpointLoad(streams, queued, long_prefills, self.endpoint.kv_tokens - kv_held)

    def streams(self, now: float) -> int:
        """Return the estimated number of running streams."""
        return self.load(now).streams

    def queued_tokens(self, now: float) -> int:
        """Return the estimated prompt tokens whose prefill has not finished."""
        return self.load(now).queued_tokens

    def long_prefills(self, now: float) -> int:
        """Return the estimated number of long prompts whose prefill has not finished."""
        return self.load(now).long_prefills

    def kv_free(self, now: float) -> int:
        """Return the estimated free memory, in tokens."""
        return self.load(now).kv_free

    def weight(self, now: float) -> float:
        """Return the fraction of capacity to use, which rises to 1 during slow start."""
        age = now - self.available_since
        if age >= _SLOW_START_SECONDS:
            return 1.0
        return max(_SLOW_START_MIN_WEIGHT, age / _SLOW_START_SECONDS)

    def _own_load(self) -> tuple[int, int, int, int]:
        queued = 0
        long_prefills = 0
        held = self.kv_reserved
        for request in self.own_requests_by_id.values():
            if not request.reserved:
                held += request.work.kv_tokens
            if request.has_first_token:
                continue
            queued += request.prefill_tokens
            long_prefills += request.work.band is LengthBand.LONG
        return len(self.own_requests_by_id), queued, long_prefills, held

    def _own_load_since_report(self) -> tuple[int, int]:
        if self.report is None:
            return 0, 0
        streams = 0
        queued = 0
        for request in self.own_requests_by_id.values():
            if request.dispatched_at <= self.report.at:
                continue
            streams += 1
            queued += 0 if request.has_first_token else request.prefill_tokens
        return streams, queued
