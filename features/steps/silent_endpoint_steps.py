"""Steps on endpoints that fall silent and go on."""

import threading
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.suspicion import FailureNotice
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import DeclaredRequest, Reservation, RouteKind
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Helper
from brassdrum.gateway.placing.reservations import ReservationManager
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.outcomes.quarantine import ContentStatus, Judgement
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.telemetry import log_events
from features.gateway_world import (
    EVENT_COUNT,
    HOST,
    SERVICE,
    _remaining_events,
    _send_stream,
    behaviours,
    event,
    reject,
    route,
)
from features.steps.exchange_steps import HARM_TOKENS, FakeDaemon

PAUSE_OBJECTIVE_SECONDS = 0.25
OBJECTIVE_SECONDS = 1.0
# Longer than the stall timeout of each kind, shorter than what a caller of a stream bears.
SILENCE_SECONDS = 1.3
# Of a reservation; memory has to be free 4 s after its use has ended.
HOLD_SECONDS = 3.2
ANSWER = b"the whole answer"
NUMBERS = {"first": 0, "second": 1}
DEADLINE_SECONDS = 10.0
HEADERS = [(b"X-Attempt-Id", b"a"), (b"X-Replica-Seal", b"seal-1")]


@behaviours.register("stream that pauses")
def pausing_stream(endpoint, connection, request):
    """Stream two events, and the others once the pause is over."""
    _send_stream(connection, request, [1, 2], end=False)
    endpoint.pause_over.wait(20)
    for number in list(_remaining_events(request))[2:]:
        data = event(number)
        connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    connection.sendall(b"0\r\n\r\n")


@behaviours.register("rejection that ends the pause")
def rejection_then_resume(endpoint, connection, request):
    """Reject the request as not executed and let the paused endpoint go on."""
    reject(connection, request)
    endpoint.pause_over.set()


@given("the next stream pauses after two events until the other endpoint has turned it away")
def step_pausing_stream(context):
    pause_over = threading.Event()
    shared = ["stream that pauses", "rejection that ends the pause"]
    for endpoint in context.endpoints:
        endpoint.pause_over = pause_over
        endpoint.queued_behaviours = shared


class RecordedCall(EndpointCall):
    """A call that was sent, and whether it was cancelled."""

    def __init__(self, address, owner, request):
        super().__init__(owner, request)
        self.address = address
        self.sent = True
        self.cancelled = False

    def cancel(self):
        """Record it."""
        self.cancelled = True


class RecordingPool:
    """Record calls; the steps answer them."""

    def __init__(self):
        self.calls = []

    def call(self, address, owner, request, *, fresh=False):
        """Record a call."""
        call = RecordedCall(address, owner, request)
        self.calls.append(call)
        return call


class RecordingConnection:
    """Record what a caller receives."""

    def __init__(self):
        self.status = None
        self.body = b""
        self.ended = False
        self.aborted = False

    def start_response(self, status, headers):
        """Record the status."""
        assert self.status is None, "a second status"
        self.status = status

    def send_data(self, content):
        """Record a part of the body."""
        self.body += content

    def end_response(self):
        """Record the end."""
        self.ended = True

    def abort(self):
        """Record a broken answer."""
        self.aborted = True

    def send_response(self, status, headers, body):
        """Record a whole answer."""
        self.start_response(status, headers)
        self.send_data(body)
        self.end_response()


class SilenceDaemon(FakeDaemon):
    """The context of an exchange whose endpoints fall silent."""

    def __init__(self):
        super().__init__()
        self.pool = RecordingPool()
        self.events = []
        self.outcome = None
        self.needs_permit = False
        self.has_endpoint = True
        self.retries_taken = 0

    def place(self, exchange, need):
        """Return the next engine that was not tried, or None without one."""
        if not self.has_endpoint:
            return None
        if len(exchange.tried_endpoints) == len(self.entries):
            return None
        placement = super().place(exchange, need)
        return replace(placement, endpoint_full=True) if self.harm else placement

    def consume_retry(self, service):
        """Count a retry."""
        self.retries_taken += 1
        return True

    def return_retry(self, service):
        """Take back a retry that was not sent."""
        self.retries_taken -= 1

    def log_event(self, logged, **values):
        """Record a line."""
        self.events.append((logged.name, values))

    def exchange_finished(self, exchange, outcome, status, detail):
        """Record how the request ended."""
        self.outcome = outcome


class RefusingThrottle:
    """Let every endpoint but the first need a permit, and grant none."""

    def __init__(self, daemon):
        self._daemon = daemon

    def __getattr__(self, name):
        return getattr(self._daemon.open_throttle, name)

    def needs_permit(self, endpoint):
        """Return whether permits are asked for."""
        return self._daemon.needs_permit

    def request_permit(self, endpoint, max_wait, decided):
        """Refuse a permit after a moment."""
        now = self._daemon.loop.now()
        refusal = Permit(endpoint, False, now + 60.0)
        self._daemon.loop.call_later(0.01, lambda: decided(refusal))


def start(context, kind, **fields):
    daemon = context.daemon = SilenceDaemon()
    daemon.open_throttle, daemon.throttle = daemon.throttle, RefusingThrottle(daemon)
    context.connection = RecordingConnection()
    context.kind = kind
    streams = kind == "stream"
    method = b"POST" if streams else b"GET"
    request = DeclaredRequest("a", method, b"/x/x", HOST, [], DEADLINE_SECONDS, None, 50_000, 100)
    used = route(
        "x",
        RouteKind.STREAM if streams else RouteKind.IDEMPOTENT,
        resumable=streams,
        objective=OBJECTIVE_SECONDS,
        pause_objective=PAUSE_OBJECTIVE_SECONDS,
        **fields,
    )
    context.exchange = Exchange(
        daemon, context.connection, request, b"", used, None, daemon.loop.now()
    )
    context.exchange.service = SERVICE
    context.exchange.start()
    context.given_up = []
    if streams:
        begin_stream(context.daemon.pool.calls[0].owner, 1, 2)


def begin_stream(owner, *numbers):
    headers = [*HEADERS, (b"Transfer-Encoding", b"chunked")]
    owner.response_started(200, headers)
    for number in numbers:
        owner.response_data(event(number))


def go_on(context, number):
    """Let an endpoint send what is left of the answer."""
    owner = context.daemon.pool.calls[number].owner
    if context.kind == "check":
        owner.response_started(200, [*HEADERS, (b"Content-Length", b"%d" % len(ANSWER))])
        owner.response_data(ANSWER)
        owner.response_completed()
        return
    for each in range(3, EVENT_COUNT + 1):
        owner.response_data(event(each))
    owner.response_completed()


@given("a {kind:w} in progress at the first of three endpoints")
def step_in_progress(context, kind):
    start(context, kind)


@when("that endpoint is silent until another one is sought")
def step_silent(context):
    # What the next step says of the other endpoints holds from here on.
    context.pass_silence = lambda: context.daemon.loop.advance(SILENCE_SECONDS)


def second_owner(context):
    context.pass_silence()
    assert len(context.daemon.pool.calls) == 2, "the request was not sent to another endpoint"
    return context.daemon.pool.calls[1].owner


@when("the second endpoint does not run it")
def step_second_rejects(context):
    second_owner(context).response_started(
        503, [(b"X-Attempt-Id", b"a"), (b"X-Not-Executed", b"1")]
    )


@when("the second endpoint cannot be reached")
def step_second_unreachable(context):
    second_owner(context).call_failed(CallFailure.NOT_SENT, "connection refused")
    for call in context.daemon.pool.calls[2:]:
        call.owner.call_failed(CallFailure.NOT_SENT, "connection refused")


@when("the second endpoint resets its connection")
def step_second_resets(context):
    second_owner(context).call_failed(CallFailure.MAY_HAVE_RUN, "connection reset")


@when("the second endpoint answers 500")
def step_second_fails(context):
    owner = second_owner(context)
    owner.response_started(500, [*HEADERS, (b"Content-Length", b"6")])
    owner.response_data(b"failed")
    owner.response_completed()


@when("the second endpoint answers {status:d} as its own failure")
def step_second_own_failure(context, status):
    owner = second_owner(context)
    owner.response_started(status, [*HEADERS, (b"Content-Length", b"6")])
    owner.response_data(b"failed")
    owner.response_completed()


@when("the second endpoint is silent too")
def step_second_silent(context):
    second_owner(context)
    context.daemon.loop.advance(SILENCE_SECONDS)


@when("the second endpoint sends comments alone")
def step_second_comments(context):
    owner = second_owner(context)
    begin_stream(owner)
    owner.response_data(b": wait\n\n")


@when("no other endpoint has room")
def step_no_room(context):
    context.daemon.harm = HARM_TOKENS
    context.pass_silence()
    assert len(context.daemon.pool.calls) == 1, "the request was sent to a full endpoint"


@when("no other endpoint is left")
def step_none_left(context):
    context.daemon.has_endpoint = False
    context.pass_silence()


@when("no permit is granted")
def step_no_permit(context):
    context.daemon.needs_permit = True
    context.pass_silence()


@when("the request is sent to the second endpoint")
def step_second_sent(context):
    second_owner(context)


@when("the {ordinal:w} endpoint goes on")
def step_goes_on(context, ordinal):
    number = NUMBERS[ordinal]
    assert not context.daemon.pool.calls[number].cancelled, "its connection was closed"
    if number and context.kind == "stream":
        begin_stream(context.daemon.pool.calls[number].owner)
    go_on(context, number)


@when("its caller gives it up")
def step_caller_leaves(context):
    context.exchange.caller_disconnected()


@when("the deadline passes")
def step_deadline_passes(context):
    context.daemon.loop.advance(DEADLINE_SECONDS)


@when("the daemon's planned stop ends")
def step_stop_ends(context):
    context.exchange.abort("grace period of the planned stop expired")


@then("the connection to the {ordinal:w} endpoint was closed")
def step_closed(context, ordinal):
    assert context.daemon.pool.calls[NUMBERS[ordinal]].cancelled


@then("the line of the request names the silent endpoint")
def step_gave_up(context):
    assert context.exchange.gave_up == ["engine-1"], context.exchange.gave_up


@then("no retry was taken")
def step_no_retry(context):
    assert context.daemon.retries_taken == 0, context.daemon.retries_taken


@then("the caller has the failure of the second endpoint")
def step_failure_delivered(context):
    assert (context.connection.status, context.connection.body) == (500, b"failed")


@then("the caller is told that the request may have run")
def step_may_have_run(context):
    assert context.connection.status in (502, 504), context.connection.status


@then("the caller has each byte of the answer once and its end")
def step_whole(context):
    expected = ANSWER
    if context.kind == "stream":
        expected = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))
    received = context.connection
    assert (received.status, received.body, received.ended) == (200, expected, True), (
        received.status,
        received.body,
    )
    assert not received.aborted


@then("no attempt is left")
def step_none_in_flight(context):
    context.daemon.loop.advance(SILENCE_SECONDS)
    left = [call.address for call in context.daemon.pool.calls[1:] if in_flight(call)]
    assert left == [], left
    assert context.daemon.load_table.total("engine-1").requests == 0


def in_flight(call):
    return not call.cancelled and not call.owner.finished


@given("an endpoint that fell silent and is avoided")
def step_avoided(context):
    loop = SimulatedLoop()
    context.loop = loop
    context.monitor = EndpointMonitor(
        loop, RoutingState(), SimpleNamespace(), lambda: None, CrashGuard(loop, LoadTable())
    )
    context.monitor.endpoint_failed("engine-1", certain=True, detail="the endpoint is silent")
    context.monitor.endpoint_fell_silent("engine-1")
    notice = FailureNotice("engine-1", 3.2, 3.2)
    context.monitor._failure_detector.apply_notice(notice, loop.now())
    assert context.monitor.is_suspect("engine-1")


@when("it goes on")
def step_endpoint_goes_on(context):
    context.loop.advance(0.4)
    with mock.patch.object(log_events.ENDPOINT_RESUMED.__class__, "write") as write:
        context.monitor.endpoint_answered("engine-1")
    context.written = write.call_args_list


@then("it is not avoided and the log says that it answers again")
def step_not_avoided(context):
    assert not context.monitor.is_suspect("engine-1")
    assert [call.kwargs for call in context.written] == [{"endpoint": "engine-1", "silent_ms": 400}]


class MemoryPool:
    """Answer orders at once, and probes unless the consumer is silent."""

    def __init__(self, loop):
        self.loop = loop
        self.silent = False
        self.orders = []

    def call(self, address, owner, request, *, fresh=False):
        """Answer a call after a moment."""
        if request.body:
            self.orders.append((self.loop.now(), request.body.decode()))
        if request.body or not self.silent:
            self.loop.call_later(0.01, lambda: answer_call(owner))
        return RecordedCall(address, owner, request)

    def count(self, kind):
        """Return how many orders of a kind were sent."""
        return sum(1 for _, body in self.orders if kind in body)


def answer_call(owner):
    owner.response_started(200, [])
    owner.response_completed()


@given("memory that is reserved for a prompt")
def step_memory(context):
    context.loop = SimulatedLoop()
    context.pool = MemoryPool(context.loop)
    manager = ReservationManager(
        context.loop, context.pool, PlatformDialect(), HOLD_SECONDS, lambda *_: None
    )
    context.silences = []
    manager.acquire(
        (Reservation("helper:1", "ticket", 1000),),
        "consumer:1",
        lambda granted: None,
        lambda: context.silences.append(context.loop.now()),
    )
    # Just before the first probe, whose answer would renew the memory.
    context.loop.advance(HOLD_SECONDS / 3 - 0.01)


@when("the endpoint that uses it is silent for {seconds:g} s after a renewal was due")
def step_consumer_silent(context, seconds):
    context.silent_since = context.loop.now()
    context.pool.silent = True
    context.loop.advance(seconds)
    context.pool.silent = False
    context.loop.advance(1.0)


@then("its request is told of the silence")
def step_told(context):
    assert len(context.silences) == 1, context.silences


@then("the memory is renewed and not released")
def step_renewed(context):
    assert context.pool.count("release") == 0, context.pool.orders
    assert context.pool.count("reserve") >= 2, context.pool.orders


@then("the memory is released within {seconds:g} s of the endpoint's last answer")
def step_released(context, seconds):
    released = [at for at, body in context.pool.orders if "release" in body]
    assert released, context.pool.orders
    assert released[0] - context.silent_since < seconds


@when("the gateway runs for {seconds:g} s")
def step_gateway_runs(context, seconds):
    context.daemon.loop.advance(seconds)


@when("each memory reservation for it is refused")
def step_reservations_refused(context):
    daemon = context.daemon
    place = daemon.place

    class Refusing:
        def acquire(self, reservations, consumer, on_done, on_silent):
            daemon.loop.call_later(0.01, lambda: on_done(False))
            return SimpleNamespace(release=lambda: None)

    daemon.reservations = Refusing()

    def place_with_helper(exchange, need):
        found = place(exchange, need)
        return found and replace(found, helpers=(Helper(daemon.entries[2], 1000),))

    daemon.place = place_with_helper
    context.pass_silence()


@when("it fails for another reason after {seconds:g} s")
def step_fails_otherwise(context, seconds):
    context.loop.advance(seconds)
    context.monitor.endpoint_failed("engine-1", certain=True, detail="connection refused")


@then("it is still avoided")
def step_still_avoided(context):
    assert context.monitor.is_suspect("engine-1")


@when("the retry budget is empty at that moment and not later")
def step_budget_empty(context):
    context.daemon.retries_left = lambda service: 0.0
    context.pass_silence()
    context.daemon.retries_left = lambda service: 10.0


@then("the request was sent to another endpoint")
def step_sent_elsewhere(context):
    assert len(context.daemon.pool.calls) == 2


@when("the {ordinal:w} endpoint sends event {number:d}")
def step_sends_event(context, ordinal, number):
    owner = context.daemon.pool.calls[NUMBERS[ordinal]].owner
    if owner.reply is None:
        begin_stream(owner)
    owner.response_data(event(number))


@then("the caller has no answer yet")
def step_no_answer(context):
    assert context.connection.status is None, context.connection.status


@then("a permit is asked for again")
def step_permit_asked(context):
    names = [name for name, _ in context.daemon.events]
    last_send = len(names) - 1 - names[::-1].index("sent again")
    assert "permit" in names[last_send:], names[last_send:]


@when("its content is quarantined")
def step_quarantined(context):
    judgement = Judgement(ContentStatus.QUARANTINED, 60.0)
    context.daemon.crash_guard.judge = lambda *_: judgement
    context.daemon.crash_guard.refuse = lambda _: SimpleNamespace(
        causes=(), ends=6, seconds_left=60.0
    )
    context.pass_silence()


@then("neither attempt waits for the caller")
def step_unpaced(context):
    assert [call.read_gate for call in context.daemon.pool.calls] == [None, None]


@then("the second attempt waits for the caller")
def step_paced(context):
    assert context.daemon.pool.calls[1].read_gate is not None


@then("the second endpoint is asked to go on after event {number:d}")
def step_resumes_after(context, number):
    headers = {name.lower(): value for name, value in context.daemon.pool.calls[1].request.headers}
    assert headers[b"last-event-id"] == b"%d" % number, headers


@then("the first endpoint counts as silent and failing")
def step_counts_silent(context):
    assert context.daemon.endpoint_monitor.silent == {"engine-1"}
    assert context.daemon.endpoint_monitor.suspected == {"engine-1"}


@then("the first endpoint does not count as silent")
def step_counts_sound(context):
    assert context.daemon.endpoint_monitor.silent == set()
