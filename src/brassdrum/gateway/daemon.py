"""The gateway daemon: connects listeners, routing state, peers, requests and the planned stop."""

from __future__ import annotations

import itertools
import logging
import random
import signal
from collections.abc import Callable
from dataclasses import replace

from brassdrum.charts import load_chart
from brassdrum.clock import Clock, SystemClock
from brassdrum.errors import InvalidDocumentError
from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.follower import KNOWLEDGE_PATH, Follower
from brassdrum.gateway.following.registration import Registration
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.start_page import DAEMONS_PATH, START_PATH
from brassdrum.gateway.forwarding.targets import ForwardTargets
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.guards.endings import AffectedRequest, ExitDetector, LostRequest
from brassdrum.gateway.guards.process_check import ProcessChecker
from brassdrum.gateway.measures import GatewayMetrics, MetricsSources
from brassdrum.gateway.model import (
    CallerLimits,
    ControlStore,
    DaemonAddress,
    DeclaredRequest,
    Dialect,
    EndpointEntry,
    EndpointSignals,
    GatewaySettings,
    RequestHead,
    Route,
)
from brassdrum.gateway.net.callers import CallerConnection, CallerHandler
from brassdrum.gateway.net.datagrams import DatagramSocket
from brassdrum.gateway.net.flow_control import BufferBudget
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.pacing import Pacer
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.pages import Page
from brassdrum.gateway.path.path_watch import PathWatch
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.placing.choosing import EndpointSelector
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.placing.reservations import ReservationManager
from brassdrum.gateway.placing.room_sampler import RoomSampler
from brassdrum.gateway.placing.unknown_load import UnknownLoad
from brassdrum.gateway.ports import DaemonPorts
from brassdrum.gateway.request.admission import AdmittedRequest
from brassdrum.gateway.request.attempt import Attempt
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.request.exchange_context import TrackedExchange
from brassdrum.gateway.request.intake import Arrival, RequestIntake
from brassdrum.gateway.request.outcome import Outcome
from brassdrum.gateway.request.placer import PlacedExchange, RequestPlacer
from brassdrum.gateway.request.results import record_result
from brassdrum.gateway.request.retry_budget import RetryBudgets
from brassdrum.gateway.request.waiting import WaitQueue
from brassdrum.gateway.sharing.fair_order import FairOrder
from brassdrum.gateway.sharing.ledger import DemandLedger
from brassdrum.gateway.stopping import PlannedStop, estimate_duration
from brassdrum.gateway.throttling.throttle import EndpointThrottle
from brassdrum.outcomes.fingerprint import PromptPart
from brassdrum.telemetry import log_events
from brassdrum.telemetry.log_events import LogEvent

__all__ = ["GatewayDaemon"]

_logger = logging.getLogger(__name__)
_CHART = load_chart("daemon")
# Delay from the start of a planned stop until idle connections are closed, so that callers switch
# to other daemons before the end.
_IDLE_CLOSE_DELAY_SECONDS = 1.5
_STOP_CHECK_INTERVAL_SECONDS = 0.1
# Delay from readiness to the set-up of metrics, 0.1 s of processor time: requests that were held
# during the start go first.
_METRICS_DELAY_SECONDS = 3.0
# Duration of a reservation as a share of the time within which unused memory must be released.
_RELEASE_TIME_RATIO = 0.8
_SETTINGS_CHECK_INTERVAL_SECONDS = 2.0
# Daemons try a quarantined request again at times spread over this, so that as a rule the first
# trial decides for all of them.
_TRIAL_SPREAD_SECONDS = 30.0


class GatewayDaemon:
    """A gateway daemon; all methods run in the thread of its event loop."""

    def __init__(
        self,
        settings: GatewaySettings,
        store: ControlStore,
        dialect: Dialect,
        clock: Clock | None = None,
        rng: random.Random | None = None,
    ) -> None:
        self.settings = settings
        bounds = settings.bounds
        self.dialect = dialect
        self.loop = EventLoop(clock or SystemClock())
        self.routing_state = RoutingState()
        self.load_table = LoadTable()
        self.pool = EndpointPool(self.loop)
        self.peer_pool = EndpointPool(self.loop)
        self.process_checker = ProcessChecker(self.loop, self.pool, dialect)
        self.pacer = Pacer(self.loop, BufferBudget(settings.buffer_bytes))
        self.metrics = GatewayMetrics(settings.name)
        self.reservations = ReservationManager(
            self.loop,
            self.pool,
            dialect,
            # Reservations of a crashed daemon must expire before the platform reports a leak.
            min(bounds.max_reservation, bounds.reservation_release * _RELEASE_TIME_RATIO),
            lambda address, signals: self.endpoint_monitor.address_signals_received(
                address, signals
            ),
        )
        self._attempt_numbers = itertools.count(1)
        self._random = rng or random.Random()
        self.demand_ledger = DemandLedger(self._demand_changed)
        self.fair_order = FairOrder(
            self.loop.now,
            self.demand_ledger,
            lambda now: [] if self._peers is None else self._peers.demand.fleet_rows(now),
            lambda: self.settings.fair_shares,
            self.routing_state.organisation_names,
        )
        self.wait_queue = WaitQueue(self.loop, self._jitter, self.fair_order)
        self.room = RoomSampler(
            self.loop,
            self.load_table,
            self.routing_state.engine_services,
            self.routing_state.usable,
        )
        self._store = store
        self._policy = policies.get(settings.policy)
        self._retry_budgets = RetryBudgets(
            self.loop.now,
            lambda: self.settings.bounds,
            lambda: 1 if self._peers is None else self._peers.live,
        )
        self._exchanges: set[TrackedExchange] = set()
        self._intake = RequestIntake(self, self._random)
        self._state = _CHART.initial
        self._planned_stop: PlannedStop | None = None
        self.crash_guard = CrashGuard(
            self.loop,
            self.load_table,
            self._random.uniform(0.0, _TRIAL_SPREAD_SECONDS),
            lambda endpoint: self._exit_detector.is_probing(endpoint),
        )
        self.endpoint_monitor = EndpointMonitor(
            self.loop, self.routing_state, self.pool, self._update_readiness, self.crash_guard
        )
        self._follower = Follower(
            self.loop,
            store,
            self.routing_state,
            bounds,
            settings.peer_port,
            self.endpoint_monitor.observers(on_restored=self._rewrite_records),
        )
        self.endpoint_monitor.set_follower(self._follower)
        self.endpoint_monitor.slowdowns.enabled = settings.learn_slowdown
        self._registration = Registration(
            self.loop,
            store,
            settings.name,
            self._address(),
            self._random,
            self._follower.submit,
            self._follower.fetch,
            self._follower.store_failing,
        )
        self._exit_detector = ExitDetector(
            self.loop, lambda address: self.pool.dial(address), self._endpoint_refused
        )
        self.path = PathWatch(
            self.loop,
            self.pool,
            dialect.report_path,
            lambda: [each.address for each in self.routing_state.endpoints_by_id.values()],
            self._random,
            self._path_changed,
        )
        self.pool.observer = self.path
        self.endpoint_monitor.set_path(lambda: self.path.is_open)
        self._peers: Peers | None = None
        self._ports = DaemonPorts(self, self._peer_pages())

    def run(self) -> None:
        """Serve until a planned stop has finished."""
        settings = self.settings
        self._ports.open()
        self._peers = Peers(
            self.loop,
            DatagramSocket(self.loop, settings.host, settings.peer_port),
            settings.name,
            self._address(),
            round(self.loop.clock.now().timestamp() * 1000),
            self.load_table,
            self.endpoint_monitor.build_peer_update,
            self.endpoint_monitor.compare_with_peer,
            self.endpoint_monitor.apply_peer_update,
            self._random,
            self.endpoint_monitor.rates.scheduled_rate,
            self.fair_order.local_rows,
            self.endpoint_monitor.slowdowns.table,
        )
        peers = self._peers
        self.unknown_load = UnknownLoad(self.loop, lambda: peers.knows_fleet_load, self._random)
        share = peers.fleet_share
        self.endpoint_monitor.rates.set_fleet_share(lambda: share.value, lambda: share.settled)
        self.endpoint_monitor.cold.set_announcer(peers)
        self.endpoint_monitor.cold.set_load_table(self.load_table)
        self.throttle = EndpointThrottle(
            self.loop,
            self.endpoint_monitor.signals,
            peers.permits,
            self.endpoint_monitor.rates,
        )
        selector = EndpointSelector(
            settings.name,
            self.load_table,
            self.throttle,
            self._random,
            self._flush_seconds,
            lambda: peers.live,
            self.routing_state.evacuation.taken_back_at,
            self.endpoint_monitor.slowdowns.factor,
        )
        self.placer = RequestPlacer(
            self.loop,
            self.routing_state,
            selector,
            self.throttle,
            self.crash_guard,
            self.fair_order,
            self.endpoint_monitor.is_suspect,
            lambda: self._policy,
        )
        for host in settings.seeds:
            self._peers.add_seed(host)
        self.forward_targets = ForwardTargets(
            self._address(), self._peers.forward_targets, self._random
        )
        seeds = [host for host in settings.seeds if host != settings.host]
        self._follower.start(
            self._peers,
            self._random,
            # Where all start at once, the first seed reads the store without asking others.
            has_seeds=any(host < settings.host for host in seeds),
            is_urgent=self._intake.holds_requests,
        )
        self._registration.start(self._peers, has_seeds=bool(seeds))
        self.crash_guard.start(self._store, self._follower.submit, lambda: peers.rank == 0)
        self.metrics.add_gauges(
            MetricsSources(
                self.routing_state,
                self._follower,
                self._peers,
                self.pool,
                self._store,
                self.crash_guard,
                self.endpoint_monitor.signals,
                self.endpoint_monitor.cold,
                self.path,
                self.forward_targets,
                self.room,
                self.pacer,
                self.wait_queue,
                self.endpoint_monitor.slowdowns,
            )
        )
        log_events.STARTED.write(
            _logger, host=settings.host, zone=settings.zone, settings=settings.source
        )
        self.loop.run()
        self._follower.close()
        log_events.STOPPED.write(_logger, left=len(self._exchanges))

    def stop_on_signals(self, *signals: signal.Signals) -> None:
        """Install signal handlers that begin the planned stop."""
        for number in signals:
            signal.signal(number, lambda *_: self.loop.post(self.begin_stop))

    def reload_on_signal(
        self, number: signal.Signals, reload: Callable[[], GatewaySettings]
    ) -> None:
        """Install a signal handler that reloads the settings."""
        signal.signal(number, lambda *_: self.loop.post(lambda: self._reload(reload)))

    def reload_on_change(
        self, changed: Callable[[], bool], reload: Callable[[], GatewaySettings]
    ) -> None:
        """Poll ``changed`` and reload the settings when it returns True."""
        if changed():
            self._reload(reload)
        self.loop.call_later(
            _SETTINGS_CHECK_INTERVAL_SECONDS, lambda: self.reload_on_change(changed, reload)
        )

    def begin_stop(self) -> None:
        """Begin a planned stop: report not ready, then finish the remaining requests."""
        if self._state in ("leaving", "draining", "stopped"):
            return
        self._state = _CHART.next(self._state, "leave")
        self._planned_stop = PlannedStop(self.loop.now(), self.settings.bounds.grace)
        self._intake.refuse_held()
        log_events.LEAVING.write(
            _logger, active=len(self._exchanges), grace=self.settings.bounds.grace
        )
        assert self._peers is not None
        self._peers.leaving = True
        self._peers.announce()
        self.loop.call_later(_IDLE_CLOSE_DELAY_SECONDS, self._ports.close_idle)
        self.loop.call_later(_STOP_CHECK_INTERVAL_SECONDS, self._check_stop)

    # Responder interface, used by callers' connections.

    def limits(self) -> CallerLimits:
        """Return the limits in force."""
        configuration = self.routing_state.configuration
        return CallerLimits() if configuration is None else configuration.limits

    def closing(self) -> bool:
        """Return whether connections should close after the current response."""
        return self._state not in ("starting", "ready")

    def handle(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Begin to process a request of a caller."""
        return self._intake.handle(connection, head, body)

    def handle_forwarded(
        self, connection: CallerConnection, head: RequestHead, body: bytes | None
    ) -> CallerHandler | None:
        """Begin to process a request that another daemon has forwarded."""
        return self._intake.handle_forwarded(connection, head, body)

    # IntakeContext interface.

    def would_be_aborted(self, request: DeclaredRequest, route: Route, service: str) -> bool:
        """Return whether a planned stop would abort a request that is accepted now."""
        if self._planned_stop is None:
            return False
        duration = estimate_duration(route, request, self.routing_state.engine_model(service))
        return not self._planned_stop.accepts(self.loop.now(), duration)

    def begin_exchange(self, admitted: AdmittedRequest, arrival: Arrival, service: str) -> Exchange:
        """Begin to process an admitted request."""
        exchange = Exchange(
            self,
            arrival.connection,
            admitted.request,
            arrival.body,
            admitted.route,
            admitted.organisation,
            arrival.at,
            arrival.forwarded,
            arrival.connection.flow,
        )
        exchange.service = service
        self._exchanges.add(exchange)
        if arrival.forwarded is None:
            self._retry_budgets.record_request(service)
        exchange.start()
        return exchange

    def _flush_seconds(self) -> float:
        assert self._peers is not None
        return self._peers.flush_seconds

    def _jitter(self, seconds: float) -> float:
        """Randomize a delay, so that daemons don't act simultaneously."""
        return seconds * self._random.uniform(0.6, 1.4)

    # ExchangeContext interface, used by exchanges and attempts.

    def may_wait(self, exchange: PlacedExchange) -> bool:
        """Return whether a request may wait for a better placement before a planned stop ends."""
        if self._planned_stop is None:
            return True
        engine = self.routing_state.engine_model(exchange.service)
        duration = estimate_duration(exchange.route, exchange.request, engine)
        return self._planned_stop.may_wait(self.loop.now(), duration)

    def signals_received(self, endpoint: str, signals: EndpointSignals, sent_at: float) -> None:
        """Record what an endpoint asks for in a response to a request sent at a time."""
        self.endpoint_monitor.signals_received(endpoint, signals, sent_at)

    def next_attempt_number(self) -> int:
        """Return a number that is unique among this daemon's attempts."""
        return next(self._attempt_numbers)

    def consume_retry(self, service: str) -> bool:
        """Take one retry from the shared budget, or return False if it is exhausted."""
        return self._retry_budgets.try_consume(service)

    def return_retry(self, service: str) -> None:
        """Give back a retry that was taken and not sent."""
        self._retry_budgets.give_back(service)

    def retries_left(self, service: str) -> float:
        """Return the number of retries that this daemon may still send."""
        return self._retry_budgets.remaining(service)

    def response_interrupted(self, attempt: Attempt, lost: LostRequest) -> None:
        """Check whether the endpoint has exited, unless it was draining."""
        entry = self.routing_state.endpoints_by_id.get(attempt.endpoint)
        if entry is not None and not entry.draining:
            self._exit_detector.response_interrupted(entry, lost)

    def load_changed(self) -> None:
        """Schedule a review of waiting requests and a message to peers."""
        assert self._peers is not None
        self.wait_queue.schedule_review()
        self._peers.load_changed()

    def _demand_changed(self) -> None:
        """Schedule a message to peers; a review here would cause the next change, without end."""
        assert self._peers is not None
        self._peers.load_changed()

    def log_event(self, event: LogEvent, **values: object) -> None:
        """Log a decision about a request or a connection."""
        event.write(_logger, **values)

    def exchange_finished(
        self, exchange: TrackedExchange, outcome: Outcome, status: int, detail: str
    ) -> None:
        """Log the result of a request and update metrics."""
        self._exchanges.discard(exchange)
        version = self.routing_state.version
        record_result(_logger, self.metrics, exchange, outcome, status, detail, version)

    @property
    def own_host(self) -> str:
        """Return the host of this daemon."""
        return self.settings.host

    @property
    def peer_port(self) -> int:
        """Return the port at which daemons serve each other."""
        return self.settings.peer_port

    # Implementation.

    def _path_changed(self) -> None:
        """Tell the other daemons, and forward the requests that wait for an endpoint."""
        assert self._peers is not None
        self.endpoint_monitor.forget_own_failures()
        self._peers.set_path_lost(self.path.is_lost)
        self.wait_queue.schedule_review()

    def _endpoint_refused(self, entry: EndpointEntry, affected: list[AffectedRequest]) -> None:
        """Wait until it is known whether the endpoint has exited or the path to it is lost."""
        self.path.connection_failed(entry.address)
        self.path.when_settled(lambda: self._endpoint_exited(entry, affected))

    def _endpoint_exited(self, entry: EndpointEntry, affected: list[AffectedRequest]) -> None:
        if self.path.is_lost:
            return
        self.endpoint_monitor.endpoint_exited(entry.id)
        self.crash_guard.endpoint_ended(entry, affected)
        assert self._peers is not None
        self._peers.load_changed()
        self.metrics.record_endpoint_exit()
        log_events.ENDPOINT_ENDED.write(
            _logger,
            endpoint=entry.id,
            service=entry.service,
            requests=[each.request for each in affected],
            contents=[each.traits.content for each in affected],
            parts=sorted({_label(part) for each in affected for part in each.traits.parts}),
            began=[each.request for each in affected if each.began],
            suspects=self.crash_guard.suspicions(affected),
        )

    def ready(self) -> bool:
        """Return whether the balancer should send new connections."""
        return not self.closing() and bool(self.routing_state.endpoints_by_id)

    def _peer_pages(self) -> dict[str, Page]:
        """Return the pages that other daemons may fetch, by path."""
        return {
            KNOWLEDGE_PATH: Page(b"application/octet-stream", self._follower.snapshot),
            START_PATH: Page(b"application/json", self._follower.start_page),
            DAEMONS_PATH: Page(b"application/json", self._registration.page),
        }

    def _address(self) -> DaemonAddress:
        settings = self.settings
        return DaemonAddress(settings.host, settings.zone, settings.capacity)

    def _rewrite_records(self) -> None:
        """Write the records again that the store may have lost."""
        self._registration.look_again()
        self.crash_guard.rewrite_records()

    def _update_readiness(self) -> None:
        if self.ready() and self.routing_state.configuration is not None:
            self._intake.release_held()
        if self._state == _CHART.initial and self.ready():
            self._state = _CHART.next(self._state, "become_ready")
            log_events.READY.write(
                _logger,
                version=self.routing_state.version,
                endpoints=len(self.routing_state.endpoints_by_id),
            )
            self.loop.call_later(_METRICS_DELAY_SECONDS, self.metrics.set_up_in_background)

    def _reload(self, reload: Callable[[], GatewaySettings]) -> None:
        try:
            new_settings = reload()
        except InvalidDocumentError as error:
            log_events.SETTINGS_KEPT.write(_logger, error=f"{error.message} {error.advice}")
            return
        changed = new_settings != self.settings
        # Changed addresses take effect only at a restart.
        self.settings = replace(
            self.settings,
            bounds=new_settings.bounds,
            policy=new_settings.policy,
            buffer_bytes=new_settings.buffer_bytes,
            fair_shares=new_settings.fair_shares,
        )
        self.pacer.budget.limit = new_settings.buffer_bytes
        self._policy = policies.get(new_settings.policy)
        self._follower.set_bounds(new_settings.bounds)
        log_events.SETTINGS_READ.write(_logger, zone=new_settings.zone, changed=changed)

    def _check_stop(self) -> None:
        now = self.loop.now()
        assert self._planned_stop is not None
        balancer_noticed = self._planned_stop.balancer_noticed(now)
        if balancer_noticed:
            self._ports.close_idle()
        if balancer_noticed and not self._exchanges and not self._ports.busy:
            self._finish()
            return
        if now >= self._planned_stop.ends_at:
            for exchange in list(self._exchanges):
                exchange.abort("grace period of the planned stop expired")
            self._finish()
            return
        self.loop.call_later(_STOP_CHECK_INTERVAL_SECONDS, self._check_stop)

    def _finish(self) -> None:
        assert self._peers is not None
        self._state = _CHART.next(self._state, "stop")
        self._ports.close()
        self._peers.close()
        self.loop.stop()


def _label(part: PromptPart) -> str:
    """Return the digest of a prompt's part with the start of its name."""
    return f"{part.digest} {part.short_name}"
