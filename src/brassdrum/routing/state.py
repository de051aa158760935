"""Estimate the load of each endpoint from lagging reports, own dispatches and peers' gossip."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from brassdrum.admission.work import LengthBand, Work
from brassdrum.contracts.documents import Endpoint
from brassdrum.outcomes.breaker import Breaker

__all__ = ["EndpointState", "LoadReport", "OwnWork", "PeerLoad"]

_SLOW_START_SECONDS = 10.0
_SLOW_START_FLOOR = 0.1
_REPORT_EXPIRES_SECONDS = 10.0
_PEER_EXPIRES_SECONDS = 5.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Hold what an engine said about itself; ``at`` is when it was true, on our clock."""

    at: float
    streams: int
    queued_tokens: int
    kv_tokens_held: int


@dataclass(frozen=True, slots=True)
class PeerLoad:
    """Hold what another daemon has in flight at an endpoint."""

    at: float
    streams: int
    queued_tokens: int
    long_prefills: int


@dataclass(slots=True)
class OwnWork:
    """Hold one request of this daemon at an endpoint."""

    work: Work
    dispatched: float
    prefill_tokens: int
    first_token: bool = False
    reserved: bool = False


@dataclass(slots=True)
class EndpointState:
    """Hold everything known of one endpoint."""

    endpoint: Endpoint
    since: float
    breaker: Breaker = field(default_factory=Breaker)
    leaving: bool = False
    report: LoadReport | None = None
    peers_by_daemon: dict[str, PeerLoad] = field(default_factory=dict)
    own_by_id: dict[str, OwnWork] = field(default_factory=dict)
    kv_reserved: int = 0

    def usable(self, now: float) -> bool:
        """Return whether new work may go here."""
        return not self.leaving and self.breaker.allows(now)

    def own_queued_tokens(self) -> int:
        """Return this daemon's prompt tokens without a first token yet."""
        return sum(own.prefill_tokens for own in self.own_by_id.values() if not own.first_token)

    def own_long_prefills(self) -> int:
        """Return this daemon's long prompts without a first token yet."""
        return sum(
            1
            for own in self.own_by_id.values()
            if not own.first_token and own.work.band is LengthBand.LONG
        )

    def streams(self, now: float) -> int:
        """Return the streams believed to run, by the larger of report and sum of dispatches."""
        dispatched = len(self.own_by_id) + sum(peer.streams for peer in self._peers(now))
        if not self._report_holds(now):
            return dispatched
        assert self.report is not None
        return max(dispatched, self.report.streams + self._own_since_report())

    def queued_tokens(self, now: float) -> int:
        """Return the prompt tokens believed to wait for their prefill or be in it."""
        dispatched = self.own_queued_tokens()
        dispatched += sum(peer.queued_tokens for peer in self._peers(now))
        if not self._report_holds(now):
            return dispatched
        assert self.report is not None
        since = sum(
            own.prefill_tokens
            for own in self.own_by_id.values()
            if own.dispatched > self.report.at and not own.first_token
        )
        return max(self.own_queued_tokens(), min(dispatched, self.report.queued_tokens + since))

    def long_prefills(self, now: float) -> int:
        """Return the long prompts believed to be in prefill."""
        return self.own_long_prefills() + sum(peer.long_prefills for peer in self._peers(now))

    def kv_free(self, now: float) -> int:
        """Return the tokens of memory believed to be free."""
        own = self.kv_reserved + sum(
            item.work.kv_tokens for item in self.own_by_id.values() if not item.reserved
        )
        held = own
        if self._report_holds(now):
            assert self.report is not None
            held = max(own, self.report.kv_tokens_held)
        return self.endpoint.kv_tokens - held

    def weight(self, now: float) -> float:
        """Return the part of its capacity to use: a new endpoint starts slowly."""
        age = now - self.since
        if age >= _SLOW_START_SECONDS:
            return 1.0
        return max(_SLOW_START_FLOOR, age / _SLOW_START_SECONDS)

    def forget_peers(self, live: Mapping[str, object]) -> None:
        """Drop loads of daemons that are gone."""
        for name in list(self.peers_by_daemon):
            if name not in live:
                del self.peers_by_daemon[name]

    def _peers(self, now: float) -> list[PeerLoad]:
        return [
            peer for peer in self.peers_by_daemon.values() if now - peer.at <= _PEER_EXPIRES_SECONDS
        ]

    def _report_holds(self, now: float) -> bool:
        return self.report is not None and now - self.report.at <= _REPORT_EXPIRES_SECONDS

    def _own_since_report(self) -> int:
        assert self.report is not None
        return sum(1 for own in self.own_by_id.values() if own.dispatched > self.report.at)
