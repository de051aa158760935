"""Steps on the attempts of one exchange, in simulated time."""

import itertools
import logging
import socket
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.clock import SystemClock
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import DeclaredRequest, EndpointEntry, RouteKind
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.transport import Transport
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Placement
from brassdrum.gateway.placing.room_sampler import RoomSampler
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.request.waiting import WaitQueue
from brassdrum.gateway.sharing.fair_order import FairOrder
from brassdrum.gateway.sharing.ledger import DemandLedger
from brassdrum.gateway.throttling.signals import EndpointSignalTable
from brassdrum.gateway.throttling.throttle import EndpointThrottle
from brassdrum.platform.dialect import PlatformDialect
from features.gateway_world import HOST, SERVICE, route

HARM_TOKENS = 10_000.0
# The objective is 1 s.
_TIMELY_FIRST_EVENT_MS = 100.0
_LATE_FIRST_EVENT_MS = 2_000.0


class FakeSlowdowns:
    """Ignore first events."""

    def first_event_received(self, placement, sent_at):
        """Ignore a first event."""


class FakeEndpointMonitor:
    """Record suspected endpoints."""

    def __init__(self):
        self.suspected = set()
        self.silent = set()
        self.slowdowns = FakeSlowdowns()

    def endpoint_failed(self, endpoint, *, certain, detail):
        """Record a certain failure."""
        if certain:
            self.suspected.add(endpoint)

    def endpoint_fell_silent(self, endpoint):
        """Record a silence."""
        self.silent.add(endpoint)

    def endpoint_answered(self, endpoint):
        """Record the end of a silence."""
        self.silent.discard(endpoint)

    def endpoint_answered_failure(self, endpoint, detail):
        """Ignore an error response."""

    def endpoint_served(self, endpoint):
        """Ignore a complete response."""

    def list_age(self):
        """Return None: the age is unknown."""


class FakeRoutingState:
    """Provide the endpoints."""

    version = 1

    def __init__(self, entries):
        self._entries = entries
        self.evacuated_zones = frozenset()

    def usable(self, service):
        """Return the endpoints outside the evacuated zones."""
        return [each for each in self._entries if each.zone not in self.evacuated_zones]

    def evacuated_zones_of(self, service):
        """Return the evacuated zones of all services."""
        return self.evacuated_zones


class FakeEndpointPool:
    """Record calls without sending them."""

    def __init__(self):
        self.calls = []

    def call(self, address, owner, request, *, fresh=False):
        """Record a call that receives no response."""
        call = EndpointCall(owner, request)
        self.calls.append(call)
        return call


class OpenPath:
    """A path to the endpoints that holds."""

    is_lost = False


class FakeCallerConnection:
    """Record the responses to a caller."""

    def __init__(self):
        self.statuses = []

    def send_response(self, status, headers, body):
        """Record the status of a response."""
        self.statuses.append(status)


class FakeDaemon:
    """Provide the context of an exchange, and place its request."""

    def __init__(self):
        self.placer = self
        self.loop = SimulatedLoop()
        self.dialect = PlatformDialect()
        self.pool = FakeEndpointPool()
        self.path = OpenPath()
        self.load_table = LoadTable()
        self.endpoint_monitor = FakeEndpointMonitor()
        self.entries = [
            EndpointEntry(f"engine-{number}", SERVICE, f"10.0.0.{number}:80", "zone-a", 8, False)
            for number in (1, 2, 3)
        ]
        self.routing_state = FakeRoutingState(self.entries)
        self.harm = 0.0
        self.crash_guard = CrashGuard(self.loop, self.load_table)
        self.demand_ledger = DemandLedger()
        self.fair_order = FairOrder(self.loop.now, self.demand_ledger, lambda _: [])
        self.wait_queue = WaitQueue(self.loop, lambda seconds: seconds, self.fair_order)
        self.room = RoomSampler(self.loop, self.load_table, lambda: [], lambda _: self.entries)
        self.unknown_load = SimpleNamespace(delays=lambda *_: False)
        self.signals = EndpointSignalTable()
        self.throttle = EndpointThrottle(self.loop, self.signals, broker=None)
        self._numbers = itertools.count()

    def place(self, exchange, need):
        """Return the next engine that was not tried."""
        entry = next(each for each in self.entries if each.id not in exchange.tried_endpoints)
        first_event_ms = _LATE_FIRST_EVENT_MS if self.harm else _TIMELY_FIRST_EVENT_MS
        return Placement(
            entry,
            (),
            (),
            first_event_ms,
            "test",
            interference_tokens=self.harm,
            best_first_event_ms=10.0,
        )

    def next_attempt_number(self):
        """Return the next number."""
        return next(self._numbers)

    def signals_received(self, endpoint, signals, sent_at):
        """Ignore what an endpoint asks for."""

    def seconds_until_open(self, service):
        """Return 0: all endpoints are open."""
        return 0.0

    def next_opening(self, exchange, need):
        """Return None: no endpoint limits its rate."""

    def may_wait(self, exchange):
        """Allow every request to wait."""
        return True

    def consume_retry(self, service):
        """Allow every retry."""
        return True

    def return_retry(self, service):
        """Ignore a retry that was not sent."""

    def retries_left(self, service):
        """Return a budget that is never exhausted."""
        return 10.0

    def load_changed(self):
        """Ignore the change."""

    def response_interrupted(self, attempt, witness):
        """Ignore the interruption."""

    def log_event(self, event, **values):
        """Ignore the decision."""

    def exchange_finished(self, exchange, outcome, status, detail):
        """Ignore the outcome."""


def start_exchange(context, timeout=10.0):
    context.daemon = FakeDaemon()
    context.connection = FakeCallerConnection()
    request = DeclaredRequest("a", b"POST", b"/text/x", HOST, [], timeout, None, 50_000, 100)
    streams = route("text", RouteKind.STREAM, resumable=True, objective=1.0, max_attempts=3)
    exchange = Exchange(
        context.daemon, context.connection, request, b"", streams, None, context.daemon.loop.now()
    )
    exchange.service = SERVICE
    exchange.start()
    context.exchange = exchange
    assert len(context.daemon.pool.calls) == 1


@given("a request whose first endpoint is unreachable")
def step_unreachable(context):
    start_exchange(context)
    context.fail = lambda: context.daemon.pool.calls[0].owner.call_failed(
        CallFailure.NOT_SENT, "connection refused"
    )


@given("a request with a timeout of {timeout:g} s whose first endpoint is unreachable")
def step_unreachable_with_timeout(context, timeout):
    start_exchange(context, timeout)
    context.fail = lambda: context.daemon.pool.calls[0].owner.call_failed(
        CallFailure.NOT_SENT, "connection refused"
    )


@given("a request whose first endpoint replies that it did not execute it")
def step_not_executed(context):
    start_exchange(context)
    headers = [(b"X-Attempt-Id", b"a"), (b"X-Not-Executed", b"1")]
    context.fail = lambda: context.daemon.pool.calls[0].owner.response_started(503, headers)


@given("every other placement would delay other requests")
def step_other_placements_harm(context):
    context.daemon.harm = HARM_TOKENS
    context.fail()


@when("{seconds:d} seconds pass")
def step_seconds_pass(context, seconds):
    context.daemon.loop.advance(float(seconds))


@then("the request is retried exactly once")
def step_retried_once(context):
    assert len(context.daemon.pool.calls) == 2, len(context.daemon.pool.calls)


@then("the request is not retried")
def step_not_retried(context):
    assert len(context.daemon.pool.calls) == 1, len(context.daemon.pool.calls)


@then("the caller receives one response")
def step_one_response(context):
    assert len(context.connection.statuses) == 1, context.connection.statuses


class ClosingOwner:
    """Close the other connection once the own one is established."""

    def __init__(self):
        self.other = None
        self.established = False

    def connection_made(self):
        """Close the other connection."""
        self.established = True
        self.other.close()


@given("two connections that are established at the same time, each of which closes the other")
def step_connections(context):
    context.event_loop = EventLoop(SystemClock())
    listener = socket.create_server(("127.0.0.1", 0))
    context.stack.push(listener.close)
    context.owners, transports = [ClosingOwner(), ClosingOwner()], []
    for owner in context.owners:
        sock = socket.socket()
        sock.setblocking(False)
        sock.connect_ex(listener.getsockname())
        transports.append(Transport(context.event_loop, sock, owner, connecting=True))
        context.stack.push(transports[-1].close)
    for owner, other in zip(context.owners, reversed(transports), strict=True):
        owner.other = other
    for _ in context.owners:
        accepted, _ = listener.accept()
        context.stack.push(accepted.close)


@when("the event loop handles both events in one round")
def step_one_round(context):
    with mock.patch.object(logging.getLogger("brassdrum.gateway.net.loop"), "exception") as log:
        context.event_loop.call_later(0.1, context.event_loop.stop)
        context.event_loop.run()
    context.logged = log.call_args_list


@then("one connection is established and the event loop logs no error")
def step_one_established(context):
    assert sum(owner.established for owner in context.owners) == 1
    assert context.logged == [], context.logged
