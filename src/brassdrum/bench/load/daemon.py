"""Run the gateway's own exchanges and peers on simulated engines and a simulated network."""

from __future__ import annotations

import itertools
import random
from collections.abc import Callable, Mapping
from dataclasses import dataclass, replace

from brassdrum.bench.load.endpoint_monitor import FailureModel, SimulatedEndpointMonitor
from brassdrum.bench.load.engine import EngineRun, SimulatedEngine
from brassdrum.bench.load.forwarding import CHUNKED, FORWARDED, ForwardedRequest, PeerPool
from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.bench.load.retries import SimulatedRetries
from brassdrum.gateway.following.cold_watch import ColdWatch
from brassdrum.gateway.forwarding.targets import ForwardTargets
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.guards.endings import LostRequest
from brassdrum.gateway.model import (
    AttemptParameters,
    DaemonAddress,
    DeclaredRequest,
    EndpointEntry,
    EndpointSignals,
    EngineModel,
    FleetConfiguration,
    Headers,
    Reply,
    ReplyKind,
    Reservation,
    Route,
    Service,
)
from brassdrum.gateway.net.upstream import CallFailure, CallOwner, OutgoingRequest
from brassdrum.gateway.path.path_watch import PathWatch
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.placing.choosing import EndpointSelector
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.policies import Policy
from brassdrum.gateway.placing.room_sampler import RoomSampler
from brassdrum.gateway.placing.unknown_load import UnknownLoad
from brassdrum.gateway.request.attempt import Attempt
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.request.exchange_context import TrackedExchange
from brassdrum.gateway.request.outcome import Outcome
from brassdrum.gateway.request.placer import PlacedExchange, RequestPlacer
from brassdrum.gateway.request.waiting import WaitQueue
from brassdrum.gateway.sharing.fair_order import FairOrder
from brassdrum.gateway.sharing.ledger import DemandLedger
from brassdrum.gateway.throttling.rates import EndpointRates
from brassdrum.gateway.throttling.signals import EndpointSignalTable
from brassdrum.gateway.throttling.throttle import EndpointThrottle
from brassdrum.telemetry.log_events import PLACED, LogEvent

__all__ = ["SERVICE", "Fleet", "Prediction", "SimulatedDaemon"]

SERVICE = "pool"
# The way to an engine.
_WAY_SECONDS = 0.001
_SENDING = b"sending"
_RATE_LIMIT = b"limit"
_COLD_LEFT = b"cold"
_NOT_RUN = b"not-run"
_REPORT_PATH = "/report"
_REPORT_TARGET = _REPORT_PATH.encode()
_CONNECT_TIMEOUT_SECONDS = 0.3
_FIRST_FAILURE_STATUS = 400


@dataclass(frozen=True, slots=True)
class Prediction:
    """Hold what was predicted of a request when it was sent first; times in ms."""

    request: str
    first_event_ms: float
    waited_ms: float


@dataclass(slots=True)
class Fleet:
    """Hold what all daemons of one run share."""

    loop: SimulatedLoop
    network: SimulatedNetwork
    model: EngineModel
    engine_by_id: Mapping[str, SimulatedEngine]
    policy: Policy
    daemons: list[SimulatedDaemon]
    # How long an engine takes to answer a report on a new connection.
    report_seconds: float = 2 * _WAY_SECONDS
    # Requests per second that a cold engine takes from all daemons together.
    cold_rate: float | None = None
    # None in runs without engines that fail, whose daemons believe nothing and retry without bound.
    failures: FailureModel | None = None

    def daemon_on(self, host: str) -> SimulatedDaemon:
        """Return the daemon on a host."""
        return next(each for each in self.daemons if each.own_host == host)

    def entries(self) -> list[EndpointEntry]:
        """Return the list of endpoints as daemons know it."""
        slots = self.model.slots
        return [
            EndpointEntry(name, SERVICE, name, "zone-a", slots, False) for name in self.engine_by_id
        ]


def _signal_headers(engine: SimulatedEngine, now: float) -> Headers:
    """Return what an engine says of itself."""
    headers = []
    if engine.rate_limit is not None:
        headers.append((_RATE_LIMIT, b"%g" % engine.rate_limit))
    if engine.cold_until > now:
        headers.append((_COLD_LEFT, b"%.3f" % (engine.cold_until - now)))
    return headers


class _Call:
    def __init__(self, cancel: Callable[[], None]) -> None:
        self.sent = True
        self.reused = False
        self._cancel = cancel

    def cancel(self) -> None:
        self._cancel()

    def resume_reading(self) -> None:
        """Do nothing: what an engine sends is read at once."""


class _Pool:
    """Hand requests to simulated engines."""

    def __init__(self, daemon: SimulatedDaemon) -> None:
        self.cut = False
        self.connections = 0
        self._daemon = daemon

    def call(
        self, address: str, owner: Attempt, request: OutgoingRequest, *, fresh: bool = False
    ) -> _Call:
        """Submit a request to an engine; events come back as the real codec would give them."""
        if self.cut or request.target == _REPORT_TARGET:
            return self._connect(address, owner)
        return self._submit(address, owner, request)

    def _connect(self, address: str, owner: CallOwner) -> _Call:
        """Open a connection that hangs while the path is cut, or else brings an empty answer."""
        loop = self._daemon.loop
        opened_at = loop.now()
        self.connections += 1
        given_up = False

        def give_up() -> None:
            nonlocal given_up
            given_up = True

        call = _Call(give_up)
        call.sent = not self.cut

        def end() -> None:
            if given_up:
                return
            if self.cut:
                self._daemon.path.connection_failed(address)
                owner.call_failed(CallFailure.NOT_SENT, "connect timed out")
                return
            self._daemon.path.reached(address, opened_at)
            owner.response_completed()

        loop.call_later(
            _CONNECT_TIMEOUT_SECONDS if self.cut else self._daemon.fleet.report_seconds, end
        )
        return call

    def _submit(self, address: str, owner: Attempt, request: OutgoingRequest) -> _Call:
        fleet, sending = self._daemon.fleet, self._daemon.sendings.pop(
            dict(request.headers)[_SENDING]
        )
        head = fleet.engine_by_id[address]
        declared, events = sending.request, self._daemon.events_by_request[sending.request.id]
        first = (sending.sending.resume_after or 0) + 1

        def event(number: int) -> None:
            if number == 1:
                signals = _signal_headers(head, fleet.loop.now())
                owner.response_started(200, [*signals, CHUNKED])
            owner.response_data(b"id: %d\ndata: x\n\n" % (first + number - 1))

        helpers = [fleet.engine_by_id[each.address] for each in sending.sending.helpers]
        tokens_by_ticket = self._daemon.tokens_by_ticket
        stored = {
            each.address: tokens_by_ticket.pop(each.ticket)
            for each in sending.sending.helpers
            if each.ticket is not None
        }
        run = EngineRun(
            declared.prompt_tokens,
            max(1, events - first + 1),
            event,
            owner.response_completed,
            helpers,
            stored,
        )

        def answer_refusal() -> None:
            if not run.cancelled:
                owner.response_started(503, [(_NOT_RUN, b"1")])

        def cancel() -> None:
            self._daemon.ended_attempts += not run.refused
            head.cancel(run)

        run.on_refused = lambda: fleet.loop.call_later(2 * _WAY_SECONDS, answer_refusal)
        head.arrivals.append(fleet.loop.now())
        head.submit(run)
        return _Call(cancel)


@dataclass(frozen=True, slots=True)
class _Sent:
    request: DeclaredRequest
    sending: AttemptParameters


class _Dialect:
    """Pass what an attempt sends on to the pool; engines answer or refuse requests as not run."""

    report_path = _REPORT_PATH

    def __init__(self, daemon: SimulatedDaemon) -> None:
        self._daemon = daemon
        self._numbers = itertools.count()

    def endpoint_headers(self, request: DeclaredRequest, parameters: AttemptParameters) -> Headers:
        """Note what is sent and return its number."""
        number = b"%d" % next(self._numbers)
        self._daemon.sendings[number] = _Sent(request, parameters)
        return [(_SENDING, number)]

    def forwarded_headers(self, request: DeclaredRequest, resume_after: int | None) -> Headers:
        """Note what is forwarded and return its number."""
        number = b"%d" % next(self._numbers)
        daemon = self._daemon
        daemon.forwarded_by_number[number] = ForwardedRequest(
            replace(request, resume_after=resume_after),
            daemon.route_by_request[request.id],
            daemon.events_by_request[request.id],
        )
        return [(FORWARDED, number)]

    def read_signals(self, _status: int, headers: Headers) -> EndpointSignals:
        """Return what an engine asks for."""
        value_by_name = dict(headers)
        limit, cold = value_by_name.get(_RATE_LIMIT), value_by_name.get(_COLD_LEFT)
        return EndpointSignals(
            None if limit is None else float(limit),
            cold_seconds=None if cold is None else float(cold),
        )

    def read_reply(self, _request: DeclaredRequest, status: int, headers: Headers) -> Reply:
        """Take every answer of an engine as a success or a refusal; other daemons may fail."""
        if _NOT_RUN in dict(headers):
            return Reply(ReplyKind.NOT_EXECUTED, status, headers)
        failed = status >= _FIRST_FAILURE_STATUS
        return Reply(ReplyKind.FAILURE if failed else ReplyKind.SUCCESS, status, headers)


class _Hold:
    def release(self) -> None:
        """Leave it to the engine, which frees the memory with the run."""


class _Reservations:
    def __init__(self, daemon: SimulatedDaemon) -> None:
        self._daemon = daemon

    def acquire(
        self,
        reservations: tuple[Reservation, ...],
        _user: str,
        done: Callable[[bool], None],
        _on_user_gone: Callable[[], None],
    ) -> _Hold:
        """Grant all memory after the way to an engine and back."""
        for reservation in reservations:
            self._daemon.tokens_by_ticket[reservation.ticket] = reservation.tokens
        self._daemon.loop.call_later(2 * _WAY_SECONDS, lambda: done(True))
        return _Hold()


class _SimulatedRoutingState:
    version = 1
    evacuated_zones: frozenset[str] = frozenset()

    def __init__(self, fleet: Fleet) -> None:
        self._entries = fleet.entries()
        self._model = fleet.model
        self.endpoints_by_id = {each.id: each for each in self._entries}
        service = Service(SERVICE, 0, fleet.model, cold_rate=fleet.cold_rate)
        self.configuration = FleetConfiguration(1, (), {SERVICE: service}, ())

    def usable(self, _service: str) -> list[EndpointEntry]:
        """Return all endpoints."""
        return self._entries

    def engine_model(self, _service: str) -> EngineModel:
        """Return the model of all engines."""
        return self._model

    def evacuated_zones_of(self, _service: str) -> frozenset[str]:
        """Return none: no zone of a run is evacuated."""
        return self.evacuated_zones


class SimulatedDaemon:
    """Be the host of real exchanges; only sockets, store and engines are simulated."""

    def __init__(
        self,
        name: str,
        address: DaemonAddress,
        fleet: Fleet,
        rng: random.Random,
        incarnation: int = 1,
    ) -> None:
        self.name = name
        self.fleet = fleet
        self.loop = fleet.loop
        self.load_table = LoadTable()
        self.sendings: dict[bytes, _Sent] = {}
        self.tokens_by_ticket: dict[str, int] = {}
        self.events_by_request: dict[str, int] = {}
        self.predictions: list[Prediction] = []
        # Attempts that this daemon ended while their callers waited, without refused ones.
        self.ended_attempts = 0
        self.sent_again = 0
        self.dialect = _Dialect(self)
        self.pool = _Pool(self)
        self.peer_pool = PeerPool(self)
        self.forwarded_by_number: dict[bytes, ForwardedRequest] = {}
        self.route_by_request: dict[str, Route] = {}
        self.taken_over = 0
        self.service = SERVICE
        self.own_host = address.host
        self.zone = address.zone
        self.peer_port = 0
        self.path = PathWatch(
            self.loop,
            self.pool,
            _REPORT_PATH,
            lambda: list(fleet.engine_by_id),
            # Its own draws: placements of a seed stay the same whatever is probed.
            random.Random(f"path {name}"),
            lambda: self.peers.set_path_lost(self.path.is_lost),
        )
        self.routing_state = _SimulatedRoutingState(fleet)
        failures = fleet.failures
        self.endpoint_monitor = SimulatedEndpointMonitor(
            self.loop, self.routing_state, believed=failures is not None
        )
        self.retries = SimulatedRetries(self.loop, lambda: self.peers.live, failures)
        if failures is not None and failures.recovery_news:
            self.endpoint_monitor.on_answered = self._spread_recovery
        slowdowns = self.endpoint_monitor.slowdowns
        self.crash_guard = CrashGuard(self.loop, self.load_table)
        self.reservations = _Reservations(self)
        self.fair_shares = True
        self.demand_ledger = DemandLedger(self._demand_changed)
        self.fair_order = FairOrder(
            self.loop.now,
            self.demand_ledger,
            lambda now: self.peers.demand.fleet_rows(now),
            lambda: self.fair_shares,
        )
        self.wait_queue = WaitQueue(
            self.loop, lambda seconds: seconds * rng.uniform(0.6, 1.4), self.fair_order
        )
        self.signals = EndpointSignalTable()
        self.cold = ColdWatch(self.loop, self.routing_state)
        rates = EndpointRates(self.loop.now, self.signals, self.cold.table, self.cold.rate)
        self.datagrams = fleet.network.join(address.host)
        self.peers = Peers(
            self.loop,
            self.datagrams,
            name,
            address,
            incarnation,
            self.load_table,
            self._status,
            _ignore_belief,
            self._apply_notices,
            # Its own draws: placements of a seed stay the same whatever daemons tell each other.
            random.Random(name),
            rates.scheduled_rate,
            self.fair_order.local_rows,
            slowdowns.table,
        )
        share = self.peers.fleet_share
        rates.set_fleet_share(lambda: share.value, lambda: share.settled)
        self.cold.set_announcer(self.peers)
        self.cold.set_load_table(self.load_table)
        self.forward_targets = ForwardTargets(
            address, self.peers.forward_targets, random.Random(f"forward {name}")
        )
        self.throttle = EndpointThrottle(self.loop, self.signals, self.peers.permits, rates)
        selector = EndpointSelector(
            name,
            self.load_table,
            self.throttle,
            rng,
            lambda: self.peers.flush_seconds,
            lambda: self.peers.live,
            slowdown=slowdowns.factor,
        )
        self.placer = RequestPlacer(
            self.loop,
            self.routing_state,
            selector,
            self.throttle,
            self.crash_guard,
            self.fair_order,
            self.endpoint_monitor.is_suspect,
            lambda: fleet.policy,
        )
        self._numbers = itertools.count()
        self.unknown_load = UnknownLoad(
            self.loop, lambda: self.peers.knows_fleet_load, random.Random(f"start {name}")
        )
        self.room = RoomSampler(
            self.loop, self.load_table, lambda: [SERVICE], self.routing_state.usable
        )

    def _status(self) -> PeerStatus:
        notices = tuple(self.signals.notices(self.loop.now()))
        endings = self.crash_guard.peer_updates()
        cold = self.cold.notices()
        failing = self.endpoint_monitor.failure_status()
        return PeerStatus(1, "", 0.0, 1, endings=endings, signals=notices, cold=cold, **failing)

    def _apply_notices(self, host: str, status: PeerStatus) -> None:
        self.crash_guard.apply_peer_updates(status.endings)
        for notice in status.signals or ():
            self.signals.apply_notice(notice, self.loop.now())
        self.cold.apply_notices(host, status.cold)
        self.endpoint_monitor.apply_status(host, status)

    def _spread_recovery(self, endpoint: str) -> None:
        """Let all other daemons know soon that an engine goes on."""
        failures = self.fleet.failures
        assert failures is not None
        seconds = failures.news_seconds
        for daemon in self.fleet.daemons:
            if daemon is self:
                continue
            monitor = daemon.endpoint_monitor
            self.loop.call_later(seconds, lambda each=monitor: each.recovery_reported(endpoint))

    def caller_left(self, exchange: Exchange) -> None:
        """End a request whose caller has left; its attempts are not ended by this daemon."""
        ended = self.ended_attempts
        exchange.caller_disconnected()
        self.ended_attempts = ended

    def may_wait(self, _exchange: PlacedExchange) -> bool:
        """Let all wait."""
        return True

    def signals_received(self, endpoint: str, signals: EndpointSignals, sent_at: float) -> None:
        """Record what an engine asks for."""
        self.signals.record(endpoint, signals, sent_at, self.loop.now())
        if signals.cold_seconds is not None:
            self.cold.response_received(endpoint, signals.cold_seconds)

    def next_attempt_number(self) -> int:
        """Return the next number."""
        return next(self._numbers)

    def consume_retry(self, _service: str) -> bool:
        """Take a retry from the budget."""
        return self.retries.consume()

    def return_retry(self, _service: str) -> None:
        """Take back a retry that was not sent."""
        self.retries.give_back()

    def retries_left(self, _service: str) -> float:
        """Return how many retries are left."""
        return self.retries.left()

    def log_event(self, event: LogEvent, **values: object) -> None:
        """Note what was predicted of a request when it was sent first."""
        if event is PLACED and values["send"] == 1:
            self.predictions.append(
                Prediction(
                    str(values["request"]),
                    float(str(values["predicted_ms"])),
                    float(str(values["waited_ms"])),
                )
            )

    def exchange_finished(
        self, exchange: TrackedExchange, _outcome: Outcome, _status: int, _detail: str
    ) -> None:
        """Count its sends, and forget what was drawn for the request."""
        self.sent_again += max(0, exchange.send_count - 1)
        self.events_by_request.pop(exchange.request.id, None)
        self.route_by_request.pop(exchange.request.id, None)

    def response_interrupted(self, _attempt: Attempt, _lost: LostRequest) -> None:
        """Do nothing: simulated engines do not end."""

    def load_changed(self) -> None:
        """Look at the line, and tell peers soon."""
        self.wait_queue.schedule_review()
        self.peers.load_changed()

    def _demand_changed(self) -> None:
        """Tell peers soon; a review here would cause the next change, without end."""
        self.peers.load_changed()


def _ignore_belief(_host: str, _belief: PeerStatus) -> None:
    """Learn nothing: all daemons of a run know the same."""
