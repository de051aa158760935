"""Track the health of endpoints, apply updates from peers, and log state changes."""

from __future__ import annotations

import logging
import math
from collections.abc import Callable

from brassdrum.gateway.following.cold_watch import ColdWatch
from brassdrum.gateway.following.evacuation_monitor import EvacuationMonitor
from brassdrum.gateway.following.follower import Follower, FollowerObservers
from brassdrum.gateway.following.routing_state import EndpointChange, RoutingState
from brassdrum.gateway.following.slowdown_monitor import SlowdownMonitor
from brassdrum.gateway.following.suspicion import FailureDetector
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import EndpointEntry, EndpointSignals
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.peering.peer_status import DrainNotice, PeerStatus
from brassdrum.gateway.throttling.rates import EndpointRates
from brassdrum.gateway.throttling.signals import EndpointSignalTable, SignalChange
from brassdrum.telemetry import log_events

__all__ = ["EndpointMonitor"]

_logger = logging.getLogger(__name__)
# An endpoint that said that it leaves is used again once the list, which knew that, has shown it
# ready for this long: longer than a stale read of the store is behind.
_LIST_WINS_SECONDS = 10.0


class EndpointMonitor:
    """Combine request outcomes, store reads and peer updates into the routing state."""

    def __init__(
        self,
        loop: EventLoop,
        routing_state: RoutingState,
        pool: EndpointPool,
        on_changed: Callable[[], None],
        guard: CrashGuard,
    ) -> None:
        self._loop = loop
        self._routing_state = routing_state
        self._pool = pool
        self._on_changed = on_changed
        self._guard = guard
        self._path_open: Callable[[], bool] = lambda: True
        self.signals = EndpointSignalTable()
        self.cold = ColdWatch(loop, routing_state)
        self.slowdowns = SlowdownMonitor(loop, routing_state, self.is_suspect)
        self.rates = EndpointRates(loop.now, self.signals, self.cold.table, self.cold.rate)
        self._failure_detector = FailureDetector()
        self.evacuations = EvacuationMonitor(loop, routing_state)
        # When the list began to show endpoints ready that it had shown draining.
        self._ready_since_by_endpoint: dict[str, float] = {}
        # When endpoints were found silent that have not answered since.
        self._silent_since_by_endpoint: dict[str, float] = {}
        self._follower: Follower | None = None

    def observers(self, on_restored: Callable[[], None]) -> FollowerObservers:
        """Return what a follower informs; ``on_restored`` is called for a store from a backup."""
        return FollowerObservers(
            self.evacuations,
            self.cold,
            self.on_endpoints_changed,
            self.on_configuration_changed,
            on_restored,
        )

    def set_follower(self, follower: Follower) -> None:
        """Set the follower that reads the store."""
        self._follower = follower

    def set_path(self, is_open: Callable[[], bool]) -> None:
        """Set the function that tells whether this daemon reaches endpoints as far as is known."""
        self._path_open = is_open

    def forget_own_failures(self) -> None:
        """Forget what this daemon saw fail while its path was lost, and shortly before."""
        self._failure_detector.forget_own()

    def list_age(self) -> float | None:
        """Return the seconds since the endpoint list was read, None before the first read."""
        return None if self._follower is None else self._follower.age()

    def is_suspect(self, endpoint: str) -> bool:
        """Return whether an endpoint should be avoided while healthy ones are available."""
        return self._failure_detector.is_suspect(endpoint, self._loop.now())

    def endpoint_failed(self, endpoint: str, *, certain: bool, detail: str) -> None:
        """Record a failure; a certain one makes the endpoint suspect by itself."""
        if certain:
            # An endpoint that goes on has recovered from its silence, not from this.
            self._silent_since_by_endpoint.pop(endpoint, None)
        if self._failure_detector.record_failure(endpoint, self._loop.now(), certain=certain):
            self._log_suspect(endpoint, detail, certain)

    def endpoint_exited(self, endpoint: str) -> None:
        """Record that an endpoint's process has exited."""
        detail = "endpoint process exited"
        entry = self._routing_state.endpoints_by_id.get(endpoint)
        if entry is None or entry.born is None:
            self.endpoint_failed(endpoint, certain=True, detail=detail)
        else:
            self._avoid_exited(entry, detail)

    def _avoid_exited(self, entry: EndpointEntry, detail: str) -> None:
        """Avoid an endpoint whose process has exited for the longest backoff.

        Its entry may stay in the list for about as long. The id names the start of the process, so
        it is never used again.
        """
        self._silent_since_by_endpoint.pop(entry.id, None)
        if self._failure_detector.record_exit(entry.id, self._loop.now()):
            self._log_suspect(entry.id, detail, True)

    def endpoint_answered_failure(self, endpoint: str, detail: str) -> None:
        """Record an error response; the endpoint is avoided if most responses are errors."""
        if self._failure_detector.record_error_response(endpoint, self._loop.now()):
            self._log_suspect(endpoint, detail, False)

    def endpoint_served(self, endpoint: str) -> None:
        """Record a complete response."""
        self._failure_detector.record_success(endpoint)

    def endpoint_fell_silent(self, endpoint: str) -> None:
        """Record that an endpoint has sent nothing for too long on one connection."""
        self._silent_since_by_endpoint[endpoint] = self._loop.now()

    def endpoint_answered(self, endpoint: str) -> None:
        """Record that an endpoint goes on after a silence, and use it again."""
        silent_since = self._silent_since_by_endpoint.pop(endpoint, None)
        if silent_since is None:
            return
        self._failure_detector.record_recovery(endpoint)
        silent_ms = round((self._loop.now() - silent_since) * 1000)
        log_events.ENDPOINT_RESUMED.write(_logger, endpoint=endpoint, silent_ms=silent_ms)

    def signals_received(self, endpoint: str, signals: EndpointSignals, sent_at: float) -> None:
        """Record what an endpoint asks for in a response to a request sent at a time."""
        change = self.signals.record(endpoint, signals, sent_at, self._loop.now())
        self._signal_changed(change, "endpoint")
        if signals.cold_seconds is not None:
            self.cold.response_received(endpoint, signals.cold_seconds)
        if signals.pause is not None:
            log_events.ENDPOINT_PAUSED.write(_logger, endpoint=endpoint, seconds=signals.pause)

    def address_signals_received(self, address: str, signals: EndpointSignals) -> None:
        """Record what the endpoint at an address asks for in another response than a request's.

        Only what it names counts: such a response need not repeat what it says in others.
        """
        endpoint = self._routing_state.find_endpoint(address)
        if endpoint is not None:
            self.signals_received(endpoint, signals, -math.inf)

    def address_reused(self, endpoint: str) -> None:
        """Remove an endpoint whose address now belongs to another one.

        The next list may still show it, so it is also marked as failing, which peers are told. An
        id that names no start may be that of a new process, which is not avoided.
        """
        entry = self._routing_state.endpoints_by_id.get(endpoint)
        if entry is None:
            return
        detail = "address reused"
        if entry.born is not None:
            self._avoid_exited(entry, detail)
        self._routing_state.address_reused(endpoint)
        self._pool.close_idle(entry.address)
        self._log_endpoint_change(EndpointChange(endpoint, entry.service, "gone"), detail)

    def build_peer_update(self) -> PeerStatus:
        """Return the state that is sent to peers."""
        now = self._loop.now()
        # While the own path is in doubt, its failures are not told as those of endpoints.
        trusted = self._path_open()
        return PeerStatus(
            self._routing_state.version,
            self._routing_state.digest,
            self.list_age(),
            self._routing_state.reads,
            failing=tuple(self._failure_detector.notices(now)) if trusted else (),
            draining=tuple(
                DrainNotice(endpoint, age)
                for endpoint, age in self._routing_state.recently_left(now).items()
            ),
            recent_failures=(
                tuple(self._failure_detector.uncertain_failures(now)) if trusted else ()
            ),
            endings=self._guard.peer_updates(),
            era=self._routing_state.era,
            signals=tuple(self.signals.notices(now)),
            evacuations=self._routing_state.evacuation.announced,
            cold=self.cold.notices(),
            revision=self._routing_state.revision,
        )

    def apply_peer_update(self, host: str, belief: PeerStatus) -> None:
        """Apply a peer's reports on failing and draining endpoints and on quarantined contents."""
        now = self._loop.now()
        self.evacuations.apply_report(belief.evacuations, host)
        self._guard.apply_peer_updates(belief.endings)
        for notice in belief.failing:
            self._failure_detector.apply_notice(notice, now)
        for said in belief.signals or ():
            if said.endpoint not in self._routing_state.endpoints_by_id:
                continue
            self._signal_changed(self.signals.apply_notice(said, now), host)
        self.cold.apply_notices(host, belief.cold)
        self.slowdowns.apply_report(host, belief.slowdown)
        for endpoint in belief.recent_failures:
            if self._failure_detector.record_uncertain_failure(endpoint, host, now):
                self._log_suspect(
                    endpoint, f"failures seen by this or another daemon and by {host}", False
                )
        for leaving in belief.draining:
            if self._routing_state.mark_draining(leaving.endpoint, now - leaving.age):
                entry = self._routing_state.endpoints_by_id[leaving.endpoint]
                self._log_endpoint_change(EndpointChange(entry.id, entry.service, "draining"), host)

    def compare_with_peer(self, host: str, belief: PeerStatus) -> None:
        """Fetch the state of a peer if it is newer."""
        assert self._follower is not None
        self._follower.compare_with_peer(host, belief)

    def on_configuration_changed(self, earlier: int, source: str) -> None:
        """Log the new configuration and notify the daemon."""
        configuration = self._routing_state.configuration
        assert configuration is not None
        log_events.CONFIGURED.write(
            _logger,
            version=configuration.version,
            earlier=earlier,
            routes=len(configuration.routes),
            organisations=len(configuration.organisations),
            source=source,
        )
        self._on_changed()

    def on_endpoints_changed(self, changes: list[EndpointChange], source: str) -> None:
        """Log changed endpoints, drop connections of restarted ones, and notify the daemon."""
        for change in changes:
            self._log_endpoint_change(change, source)
            if change.change == "restarted" and change.address is not None:
                self._pool.close_idle(change.address)
            if change.change == "back":
                self._ready_since_by_endpoint[change.endpoint] = self._loop.now()
                self._loop.call_later(
                    _LIST_WINS_SECONDS, lambda each=change.endpoint: self._believe_list(each)
                )
            elif change.change in ("draining", "gone"):
                self._ready_since_by_endpoint.pop(change.endpoint, None)
        known = set(self._routing_state.endpoints_by_id)
        self._failure_detector.retain(known)
        for endpoint in self._silent_since_by_endpoint.keys() - known:
            del self._silent_since_by_endpoint[endpoint]
        self.signals.retain(known, self._loop.now())
        self._routing_state.set_said_draining(self.signals.draining())
        self._on_changed()

    def _believe_list(self, endpoint: str) -> None:
        """Use an endpoint again if the list still shows it ready, whatever it said before."""
        ready_since = self._ready_since_by_endpoint.get(endpoint)
        now = self._loop.now()
        if ready_since is None or now - ready_since < _LIST_WINS_SECONDS:
            return
        del self._ready_since_by_endpoint[endpoint]
        self._signal_changed(self.signals.list_shows_ready(endpoint, now), "list")

    def _log_suspect(self, endpoint: str, detail: str, certain: bool) -> None:
        log_events.ENDPOINT_SUSPECT.write(
            _logger, endpoint=endpoint, detail=detail, certain=certain
        )

    def _signal_changed(self, change: SignalChange | None, source: str) -> None:
        if change is None:
            return
        if change.limit != change.limit_before:
            log_events.ENDPOINT_LIMITED.write(
                _logger,
                endpoint=change.endpoint,
                limit=change.limit,
                before=change.limit_before,
                source=source,
            )
        if change.draining != change.draining_before:
            self._routing_state.set_said_draining(self.signals.draining())
            age = self.list_age()
            log_events.ENDPOINT_SAYS_DRAINING.write(
                _logger,
                endpoint=change.endpoint,
                draining=change.draining,
                source=source,
                list_age=None if age is None else round(age, 3),
            )

    def _log_endpoint_change(self, change: EndpointChange, source: str) -> None:
        age = self.list_age()
        log_events.ENDPOINT_CHANGED.write(
            _logger,
            endpoint=change.endpoint,
            service=change.service,
            change=change.change,
            source=source,
            age=None if age is None else round(age, 3),
        )
