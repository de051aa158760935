"""Steps for daemons that cannot reach the endpoints while callers and peers reach them."""

import errno
import random
import socket

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.forwarding.forwarded_attempt import ForwardedAttempt
from brassdrum.gateway.forwarding.forwarder import Forwarder
from brassdrum.gateway.forwarding.targets import ForwardTargets
from brassdrum.gateway.forwarding.terms import ForwardTerms
from brassdrum.gateway.model import DaemonAddress, DeclaredRequest, RouteKind
from brassdrum.gateway.net.transport import BegunConnection, dial
from brassdrum.gateway.net.upstream import OutgoingRequest
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.telemetry import log_events
from brassdrum.telemetry.trace import story_of
from features.gateway_world import HOST, call, route
from features.steps.crashing_steps import crash_lines
from features.steps.exchange_steps import FakeEndpointPool
from features.steps.explaining_steps import lines
from features.steps.gateway_steps import (
    received_requests,
    send_in_background,
    send_request,
    start_gateways,
)
from features.support import eventually

FORWARDING = {"Brassdrum_Forwarded_By": "127.0.0.9", "Brassdrum_Forward_Waited": "0.5"}


class Cut:
    """The way of one daemon to the endpoints, which can be cut."""

    def __init__(self, context, gateway):
        self._gateway = gateway
        self._context = context
        self._sockets = []
        self.dialled = 0
        self.fate = ""
        gateway.daemon.pool.dial = self._dial

    def _dial(self, address):
        self.dialled += 1
        if self.fate == "refused":
            return BegunConnection(socket.socket(), errno.ECONNREFUSED)
        begun = dial(self._hole() if self.fate == "hung" else address)
        self._sockets.append(begun.socket)
        return begun

    def _hole(self):
        """Return an address at which connections hang: its queue of new ones is full."""
        if not hasattr(self._context, "hole"):
            hole = self._context.hole = socket.create_server(("127.0.0.1", 0), backlog=0)
            self._context.stack.push(hole.close)
            for _ in range(2):
                filler = socket.socket()
                filler.setblocking(False)
                filler.connect_ex(hole.getsockname())
                self._context.stack.push(filler.close)
        host, port = self._context.hole.getsockname()
        return f"{host}:{port}"

    def reset_open(self):
        """Reset what is open."""
        for each in self._sockets:
            if each.fileno() >= 0:
                each.shutdown(socket.SHUT_RDWR)


def cut_of(context, daemon):
    return context.cuts[daemon - 1]


@given("{daemons:d} gateways before {endpoints:d} healthy endpoints")
def step_gateways(context, daemons, endpoints):
    start_gateways(context, daemons, endpoints)
    context.cuts = [Cut(context, gateway) for gateway in context.gateways]


@given("daemon {daemon:d} is cut off from all endpoints, new connections are {fate:w}")
def step_cut(context, daemon, fate):
    cut_of(context, daemon).fate = fate


@given("daemon {daemon:d} loses its streams and all endpoints, new connections are {fate:w}")
def step_cut_streams(context, daemon, fate):
    for endpoint in context.endpoints:
        endpoint.default_behaviour = "slow stream"
    context.callers = [send_in_background(context, "text") for _ in range(4)]
    eventually(lambda: len(received_requests(context)) == 4, "streams are under way")
    for endpoint in context.endpoints:
        endpoint.default_behaviour = "stream"
    cut_of(context, daemon).fate = fate
    cut_of(context, daemon).reset_open()


@when('its callers send {times:d} times a "{kind:w}" in a row')
def step_send_in_a_row(context, times, kind):
    if kind in ("text", "once"):
        for endpoint in context.endpoints:
            endpoint.default_behaviour = "stream"
    context.before = len(received_requests(context))
    context.answers = [send_request(context, kind) for _ in range(times)]


@then("all {count:d} are served and each ran once")
def step_served(context, count):
    statuses = [(answer.status, answer.complete) for answer in context.answers]
    assert statuses == [(200, True)] * count, statuses
    assert len(received_requests(context)) - context.before == count


@given("the log of all daemons is kept")
def step_keep_log(context):
    context.execute_steps("Given its log is kept")


@then("no daemon says that an endpoint has ended")
def step_no_ends(context):
    eventually(lambda: path_lost_lines(context), "the daemon says that its path is lost")
    assert crash_lines(context) == [], crash_lines(context)


@given("the endpoints answer reports after {seconds:g} seconds")
def step_slow_reports(context, seconds):
    for endpoint in context.endpoints:
        endpoint.report_seconds = seconds


@when("daemon {daemon:d} sees an endpoint refuse connections until its path is lost")
def step_refuse_until_lost(context, daemon):
    context.daemon = context.gateways[daemon - 1].daemon
    path, address = context.daemon.path, context.endpoints[0].address

    def lost():
        context.daemon.loop.post(lambda: path.connection_failed(address))
        return path.is_lost

    eventually(lost, "the path is lost")


@then("its path is open again")
def step_path_open(context):
    eventually(lambda: context.daemon.path.is_open, "the path is open")


def path_lost_lines(context):
    name = log_events.PATH_CHANGED.name
    return [line for line in lines(context) if line.event == name]


@then("the other daemons suspect no endpoint")
def step_no_suspects(context):
    for gateway in context.gateways[1:]:
        daemon = gateway.daemon
        suspects = [
            each
            for each in daemon.routing_state.endpoints_by_id
            if daemon.endpoint_monitor.is_suspect(each)
        ]
        assert not suspects, suspects


@then("daemon {daemon:d} has forwarded nothing")
def step_forwarded_nothing(context, daemon):
    assert context.gateways[daemon - 1].daemon.peer_pool.connections_opened == 0


@then("all {count:d} are refused as not run, with a time to come back")
def step_all_refused(context, count):
    assert [answer.status for answer in context.answers] == [503] * count
    assert all(float(each.header_by_name["retry-after"]) > 0 for each in context.answers)
    leaked = [n for each in context.answers for n in each.header_by_name if "forward" in n]
    assert not leaked, leaked


@when("daemon {daemon:d} begins a planned stop")
def step_stop(context, daemon):
    context.gateways[daemon - 1].begin_planned_stop()


@then("all {count:d} fail as maybe run, and each ran once")
def step_maybe_run(context, count):
    assert [answer.status for answer in context.answers] == [502] * count
    assert len(received_requests(context)) - context.before == count


@then("{count:d} endpoints received it")
def step_received(context, count):
    assert len(received_requests(context)) == count


@when('an outsider poses as a daemon with the key "{key}"')
def step_outsider(context, key):
    gateway = context.gateways[1]
    headers = {"Host": HOST, "X_Attempt_Id": "posed", "X_Key": key, **FORWARDING}
    port = gateway.daemon.settings.peer_port
    context.answer = call(gateway.host, port, "POST", "/hold/a", b"x", **headers)


@then("no endpoint received a request")
def step_none_received(context):
    assert received_requests(context) == []


@when('a caller sends a "hold" with the headers of a forwarded request')
def step_forged(context):
    send_request(context, "hold", **FORWARDING)


@then("the response is 200 and one endpoint ran it, without these headers")
def step_forged_served(context):
    assert context.answer.status == 200, context.answer.status
    (request,) = received_requests(context)
    passed = [name for name in request.header_by_name if name.startswith("brassdrum-forward")]
    assert not passed, passed


@when("the way of daemon {daemon:d} is back")
def step_back(context, daemon):
    cut_of(context, daemon).fate = ""
    path = context.gateways[daemon - 1].daemon.path
    eventually(lambda: path.is_open, "the daemon finds its way again")


@then("daemon {daemon:d} sent them itself")
def step_sent_itself(context, daemon):
    numbers = {answer.body for answer in context.answers}
    assert numbers
    assert context.gateways[daemon - 1].daemon.peer_pool.connections_opened <= 2


@when("{count:d} endpoints crash")
def step_crash(context, count):
    for endpoint in context.endpoints[:count]:
        endpoint.crash()


@then("the trace of the request names both daemons, and its loss is counted once at most")
def step_trace(context):
    def events():
        return [line.event for line in story_of("request-1", lines(context)).lines]

    eventually(lambda: events().count("served") == 2, "both daemons have written")
    found = events()
    assert "forwarded" in found and "taken over" in found, found
    served = [each for each in lines(context) if each.event == "served"]
    assert sorted(each.values["sender"] is None for each in served) == [False, True]


@then("daemon {daemon:d} knows it by its own answer")
def step_knows_leaving(context, daemon):
    (endpoint,) = [each.name for each in context.endpoints if each.requests]
    monitor = context.gateways[daemon - 1].daemon.endpoint_monitor
    assert endpoint in {each.endpoint for each in monitor.build_peer_update().signals}


@when("only one endpoint stays in the list")
def step_one_left(context):
    context.store.entries = context.store.entries[:1]
    states = [gateway.daemon.routing_state for gateway in context.gateways]
    eventually(lambda: all(len(each.endpoints_by_id) == 1 for each in states), "one is listed")


class ForwardingDaemon:
    """Provide what an attempt by way of another daemon needs; record what endpoints say."""

    own_host = "10.0.0.1"
    peer_port = 7000

    def __init__(self):
        self.loop = SimulatedLoop()
        self.dialect = PlatformDialect()
        self.peer_pool = FakeEndpointPool()
        own = DaemonAddress(self.own_host, "zone-a")
        self.forward_targets = ForwardTargets(own, lambda: [], random.Random(1))
        self.signals = []

    def signals_received(self, endpoint, signals, sent_at):
        """Record what an endpoint asks for."""
        self.signals.append((endpoint, signals))


class ForwardedRequest:
    """The owner of an attempt by way of another daemon."""

    service = "pool"

    def __init__(self):
        self.request = DeclaredRequest("a", b"POST", b"/hold/a", HOST, [], 9.0)
        self.route = route("hold", RouteKind.NON_IDEMPOTENT)
        self.refused_by = set()
        self.tried_endpoints = set()
        self.last_event_id = None

    def new_progress(self):
        """Return None: no answer is followed."""

    def attempt_response_started(self, attempt, reply):
        """Do nothing."""


@when('another daemon answers {status:d} to a forwarded request that endpoint "{name}" had')
def step_daemon_fails(context, status, name):
    context.daemon, context.owner = ForwardingDaemon(), ForwardedRequest()
    peer = DaemonAddress("10.0.0.2", "zone-a")
    attempt = ForwardedAttempt(context.daemon, context.owner, peer)
    attempt.start(OutgoingRequest(b"POST", b"/hold/a", [], b""))
    attempt.response_started(status, own_failure_headers(name))


def own_failure_headers(endpoint):
    """Return the headers of a failure that a daemon answers to one that forwarded a request."""
    terms = ForwardTerms("10.0.0.1", 0.0)
    owner = ForwardedRequest()
    owner.tried_endpoints.add(endpoint)
    return Forwarder(ForwardingDaemon(), owner, terms).with_failure([])


@then('the request does not try "{name}" again')
def step_tried(context, name):
    assert name in context.owner.tried_endpoints


@then("nothing is recorded of what endpoints say")
def step_no_signals(context):
    assert context.daemon.signals == [], context.daemon.signals
