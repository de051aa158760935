"""Steps on endpoints that fall silent and go on."""

import threading
from dataclasses import replace

from behave import given, then, when

from brassdrum.gateway.model import DeclaredRequest, RouteKind
from brassdrum.gateway.net.upstream import CallFailure, EndpointCall
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.throttling.permits import Permit
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
ANSWER = b"the whole answer"
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
    request = DeclaredRequest("a", method, b"/x/x", HOST, [], 10.0, None, 50_000, 100)
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


@when("the first endpoint goes on")
def step_first_goes_on(context):
    assert not context.daemon.pool.calls[0].cancelled, "its connection was closed"
    go_on(context, 0)


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
