"""Metrics of a gateway daemon, counted from its start and exported once they are set up."""

from __future__ import annotations

import logging
import threading
from collections.abc import Callable, Mapping
from dataclasses import dataclass
from typing import TYPE_CHECKING

from brassdrum.gateway.following.cold_watch import ColdWatch
from brassdrum.gateway.following.follower import Follower
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.slowdown_monitor import SlowdownMonitor
from brassdrum.gateway.forwarding.targets import ForwardTargets
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import ControlStore
from brassdrum.gateway.net.pacing import Pacer
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.path.path_watch import PathWatch
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.placing.room_sampler import RoomSampler
from brassdrum.gateway.request.exchange_context import TrackedExchange
from brassdrum.gateway.request.outcome import LatencyReport, Outcome
from brassdrum.gateway.request.waiting import WaitQueue
from brassdrum.gateway.throttling.signals import EndpointSignalTable

if TYPE_CHECKING:
    from brassdrum.gateway.metrics_registry import MetricsRegistry

__all__ = ["GatewayMetrics", "GaugeValue", "MetricsSources"]

_logger = logging.getLogger(__name__)
# Minimum prompt lengths of the bands that the glossary defines.
_MIN_MEDIUM_PROMPT_TOKENS = 10_000
_MIN_LONG_PROMPT_TOKENS = 100_000
# Records kept before the set-up, 0.2 KB each; one more begins it, which takes 0.1 s as a rule.
_MAX_EARLY_RECORDS = 1000
# Records beyond this are dropped; reached only where the set-up fails.
_MAX_KEPT_RECORDS = 2000

# Returns one value, or values by the name of an organisation.
GaugeValue = Callable[[], float | Mapping[str, int]]


@dataclass(frozen=True, slots=True)
class MetricsSources:
    """The objects that gauges read at each scrape."""

    routing_state: RoutingState
    follower: Follower
    peers: Peers
    pool: EndpointPool
    store: ControlStore
    crash_guard: CrashGuard
    signals: EndpointSignalTable
    cold: ColdWatch
    path: PathWatch
    forward_targets: ForwardTargets
    room: RoomSampler
    pacer: Pacer
    wait_queue: WaitQueue
    slowdowns: SlowdownMonitor


class GatewayMetrics:
    """Metrics of requests and of the daemon's state.

    They are set up after the start, in a thread of its own, so that requests do not wait while the
    libraries are imported. What was recorded before is kept and counted then.
    """

    def __init__(self, daemon: str) -> None:
        self._daemon = daemon
        self._registry: MetricsRegistry | None = None
        self._early_records: list[tuple[str, float, Mapping[str, str]]] = []
        self._gauges: list[tuple[str, str, GaugeValue]] = []
        self._waiting: list[Callable[[], None]] = []
        self._thread: threading.Thread | None = None
        self._failed = False
        # Guards the fields above; the other one keeps two threads from setting up at once.
        self._lock = threading.Lock()
        self._set_up_lock = threading.Lock()

    def set_up(self) -> None:
        """Import the libraries and export what was recorded so far; blocks, in any thread."""
        with self._set_up_lock:
            if self._registry is not None:
                return
            from brassdrum.gateway.metrics_registry import MetricsRegistry

            registry = MetricsRegistry(self._daemon)
            with self._lock:
                for name, description, value in self._gauges:
                    registry.add_gauge(name, description, value)
                for instrument, value, attributes in self._early_records:
                    registry.record(instrument, value, attributes)
                self._early_records.clear()
                self._registry = registry

    def set_up_in_background(self) -> None:
        """Begin the set-up in a thread of its own, unless it is done or in progress."""
        with self._lock:
            if self._registry is not None or self._thread is not None:
                return
            thread = threading.Thread(target=self._run_set_up, name="metrics", daemon=True)
            self._thread = thread
        thread.start()

    def when_set_up(self, callback: Callable[[], None]) -> None:
        """Begin the set-up and call a function after it; it may run in another thread."""
        with self._lock:
            waits = self._registry is None
            if waits:
                self._waiting.append(callback)
        if waits:
            self.set_up_in_background()
        else:
            callback()

    def record_result(
        self, exchange: TrackedExchange, outcome: Outcome, report: LatencyReport
    ) -> None:
        """Record the result and the latency of a finished request."""
        band = {"band": _band(exchange.request.prompt_tokens)}
        named = {**band, "outcome": outcome.name.lower(), "late": str(report.late).lower()}
        self._record("requests", 1, named)
        self._record("sends", exchange.send_count, band)
        if exchange.gave_up:
            ended = {"outcome": outcome.name.lower()}
            self._record("given_up_attempts", len(exchange.gave_up), ended)
        self._record("answer_time", report.total_ms / 1000, band)
        if report.first_event_ms is not None:
            self._record("first_event_time", report.first_event_ms / 1000, band)
            self._record("longest_pause_time", report.longest_pause_ms / 1000, band)
        if report.prediction_ratio is not None:
            self._record("prediction_ratio", report.prediction_ratio, band)

    def record_refusal(self, status: int) -> None:
        """Count a request that was refused before an endpoint was chosen."""
        self._record("refusals", 1, {"status": str(status)})

    def record_taken_over(self) -> None:
        """Count a request that another daemon handed over."""
        self._record("taken_over", 1, {})

    def record_unread_connection(self) -> None:
        """Count a connection that was closed before its request was read."""
        self._record("unread_connections", 1, {})

    def record_cut_connection(self, stage: str) -> None:
        """Count a connection that closed while its request was read, held or being answered."""
        self._record("cut_connections", 1, {"stage": stage})

    def record_endpoint_exit(self) -> None:
        """Count an endpoint whose process exited during requests of this daemon."""
        self._record("endpoint_ends", 1, {})

    def add_gauges(self, sources: MetricsSources) -> None:
        """Add gauges for the state of the daemon, read at each scrape."""
        routing_state, follower = sources.routing_state, sources.follower
        self._add_gauge("version", "Version in force.", lambda: routing_state.version)
        self._add_gauge(
            "known_age", "Seconds since the store was read.", lambda: follower.age() or 0
        )
        self._add_gauge("endpoints", "Endpoints known.", lambda: len(routing_state.endpoints_by_id))
        self._add_gauge(
            "evacuated_zones",
            "Zones that get no requests, by the operator's record.",
            lambda: len(routing_state.evacuated_zones),
        )
        self._add_gauge("peers", "Live daemons, this one too.", lambda: sources.peers.live)
        self._add_gauge("peer_bytes", "Bytes of datagrams sent.", lambda: sources.peers.sent_bytes)
        self._add_gauge(
            "quarantine_refusals",
            "Requests refused so far, since their like ends endpoints.",
            lambda: sources.crash_guard.refusals,
        )
        self._add_gauge(
            "quarantined",
            "Contents and parts of prompts refused.",
            lambda: sources.crash_guard.quarantined,
        )
        self._add_gauge(
            "limited_endpoints",
            "Endpoints that limit their requests.",
            lambda: sources.signals.limited_count,
        )
        self._add_gauge("cold_endpoints", "Endpoints that are cold.", lambda: sources.cold.count)
        self._add_gauge(
            "slow_endpoints",
            "Endpoints that are slower than the others of their service.",
            lambda: sources.slowdowns.slow_count,
        )
        self._add_gauge(
            "permits_granted",
            "Requests to endpoints with a limit that this daemon let go.",
            lambda: sources.peers.permits.granted_count,
        )
        self._add_gauge(
            "path_lost", "1 while no endpoint can be reached.", lambda: int(sources.path.is_lost)
        )
        self._add_gauge(
            "forwarded",
            "Requests handed to another daemon.",
            lambda: sources.forward_targets.forwarded_count,
        )
        self._add_gauge(
            "early_refusals",
            "Requests refused at once, since no engines would have had room in time.",
            lambda: sources.room.refusals,
        )
        self._add_gauge(
            "buffered_bytes",
            "Bytes of responses and request bodies that wait for slow readers.",
            lambda: sources.pacer.budget.buffered,
        )
        self._add_gauge(
            "paused_responses",
            "Responses that are not read from their endpoint for now.",
            lambda: sources.pacer.paused_count,
        )
        self._add_gauge(
            "waiting_requests",
            "Requests that wait for a better placement.",
            lambda: len(sources.wait_queue),
        )
        self._add_gauge(
            "yielding_requests",
            "Waiting requests that leave freed slots to others.",
            lambda: sources.wait_queue.yielding,
        )
        self._add_gauge(
            "waiting_by_organisation",
            "Requests that wait, of at most 32 organisations by name.",
            sources.wait_queue.waiting_by_organisation,
        )
        self._add_gauge("store_calls", "Calls to the store.", lambda: sources.store.calls)
        self._add_gauge(
            "connections_opened", "Connections opened.", lambda: sources.pool.connections_opened
        )
        self._add_gauge(
            "answers_over_limit",
            "Answers of endpoints that exceeded a limit and were broken off.",
            lambda: sources.pool.answers_over_limit,
        )

    def add_dropped_lines_gauge(self, dropped: Mapping[str, int]) -> None:
        """Add a gauge for the number of dropped log lines."""
        self._add_gauge("log_lines_left_out", "Log lines left out.", lambda: sum(dropped.values()))

    def page(self) -> bytes:
        """Return all metrics in the Prometheus text format, nothing after a failed set-up.

        Blocks until they are set up.
        """
        if not self._failed:
            self.set_up()
        return b"" if self._registry is None else self._registry.page()

    def _add_gauge(self, name: str, description: str, value: GaugeValue) -> None:
        with self._lock:
            self._gauges.append((name, description, value))
            registry = self._registry
        if registry is not None:
            registry.add_gauge(name, description, value)

    def _record(self, instrument: str, value: float, attributes: Mapping[str, str]) -> None:
        with self._lock:
            registry = self._registry
            if registry is None and len(self._early_records) < _MAX_KEPT_RECORDS:
                self._early_records.append((instrument, value, attributes))
            begins = len(self._early_records) >= _MAX_EARLY_RECORDS and not self._failed
        if registry is not None:
            registry.record(instrument, value, attributes)
        elif begins:
            self.set_up_in_background()

    def _run_set_up(self) -> None:
        """Set up, again while scrapes have come during an attempt that failed."""
        while True:
            with self._lock:
                waiting, self._waiting = self._waiting, []
            self._try_set_up()
            with self._lock:
                if self._registry is not None:
                    waiting += self._waiting
                    self._waiting = []
                ends = not self._waiting
                if ends:
                    self._thread = None
            for callback in waiting:
                self._call(callback)
            if ends:
                return

    def _call(self, callback: Callable[[], None]) -> None:
        try:
            callback()
        except Exception:
            # The thread goes on: other scrapes wait for it.
            _logger.exception("a scrape was not answered")

    def _try_set_up(self) -> None:
        try:
            self.set_up()
        except Exception:
            # Requests are served without metrics; the next scrape tries again.
            _logger.exception("metrics not set up")
            self._failed = True


def _band(tokens: int) -> str:
    if tokens == 0:
        return "call"
    if tokens < _MIN_MEDIUM_PROMPT_TOKENS:
        return "short"
    return "medium" if tokens < _MIN_LONG_PROMPT_TOKENS else "long"
