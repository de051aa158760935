"""Steps on running gateway daemons."""

import contextlib
import functools
import json
import socket
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from brassdrum.errors import PlatformUnavailableError
from brassdrum.gateway.model import EngineModel, RouteKind
from brassdrum.gateway.net.transport import Transport
from features.gateway_world import (
    EVENT_COUNT,
    HOST,
    KEY,
    SHORT_BOUNDS,
    CallerResponse,
    FakeEndpoint,
    FakeStore,
    RunningGateway,
    call,
    configuration,
    event,
    free_port,
    route,
)
from features.support import StepThread, StepTimer, eventually

ENGINE = EngineModel(4, 100_000, 1.0, 0.0, 0.0, 150.0, 0.1, 2048, 30)
ALL_EVENTS = b"".join(event(number) for number in range(1, EVENT_COUNT + 1))


def start_gateways(
    context, daemons, endpoints, engine=None, bounds=SHORT_BOUNDS, empty=False, metrics=None
):
    context.store = FakeStore()
    context.endpoints = [FakeEndpoint(f"endpoint-{number}") for number in range(1, endpoints + 1)]
    for endpoint in context.endpoints:
        context.stack.push(endpoint.close)
    if not empty:
        brief = route("brief", RouteKind.IDEMPOTENT, timeout=0.4, max_attempts=1)
        context.store.current = configuration(7, engine, (brief,))
        context.store.entries = [endpoint.entry() for endpoint in context.endpoints]
    port = free_port()
    context.stores = [RefusableStore(context.store) for _ in range(daemons)]
    context.gateways = [
        RunningGateway(store, number + 2, port, bounds, metrics_port=metrics)
        for number, store in enumerate(context.stores)
    ]
    for gateway in context.gateways:
        context.stack.push(gateway.close)
    if empty:
        return
    for gateway in context.gateways:
        eventually(gateway.ready, f"{gateway.host} is ready")
    eventually(
        lambda: all(each.daemon._peers.live == daemons for each in context.gateways),
        "the daemons have discovered each other",
    )


class RefusableStore:
    """A proxy of the store that can reject the calls of one daemon."""

    def __init__(self, store):
        self._store = store
        self.refuse_calls = False

    def __getattr__(self, name):
        if self.refuse_calls and not name.startswith("decode"):
            raise PlatformUnavailableError("The store rejects the calls of this host.")
        return getattr(self._store, name)


def send_request(context, kind, gateway=0, **headers):
    context.answer = request_from(context, kind, gateway, **headers)()
    return context.answer


def send_in_background(context, kind, **headers):
    """Send a request in a thread that leaves its response with the returned caller."""
    return BackgroundCaller(context, request_from(context, kind, 0, **headers))


class BackgroundCaller:
    """A caller that waits for its response in a thread until the scenario ends."""

    def __init__(self, context, request):
        self._sockets = []
        send = functools.partial(request, on_connected=self._sockets.append)
        self._thread = StepThread(context, send, unblock=self._abort)

    @property
    def waiting(self):
        """Return whether the caller still waits for its response."""
        return self._thread.running

    def response(self, seconds):
        """Return the response."""
        return self._thread.result(seconds)

    def _abort(self):
        for connection in self._sockets:
            with contextlib.suppress(OSError):
                connection.shutdown(socket.SHUT_RDWR)


def request_from(context, kind, gateway, **headers):
    target = context.gateways[gateway]
    number = context.sent = getattr(context, "sent", 0) + 1
    values = {
        "Host": HOST,
        "X_Attempt_Id": f"request-{number}",
        "X_Key": KEY,
        "X_Deadline_Remaining": "9000",
        **headers,
    }
    method = "GET" if kind == "check" else "POST"
    body = None if method == "GET" else b"the body"
    return functools.partial(
        call, target.host, target.port, method, f"/{kind}/a?b=c", body, **values
    )


def received_requests(context):
    return [request for endpoint in context.endpoints for request in endpoint.requests]


@given("a gateway in front of two endpoints")
def step_gateway(context):
    start_gateways(context, 1, 2)


@given("a gateway in front of two endpoints without a retry budget")
def step_no_budget(context):
    start_gateways(context, 1, 2, bounds=replace(SHORT_BOUNDS, retry_ratio=0.0, retry_slack=0.0))


@given("{daemons:d} gateways in front of two endpoints")
def step_gateways(context, daemons):
    start_gateways(context, daemons, 2)


@given("a gateway in front of {engines:d} engines")
def step_engines(context, engines):
    start_gateways(context, 1, engines, ENGINE)


@given("a gateway whose metrics port is in use")
def step_metrics_port_in_use(context):
    taken = socket.create_server(("127.0.0.2", 0))
    context.stack.push(taken.close)
    start_gateways(context, 1, 2, metrics=taken.getsockname()[1])


@given("a gateway with an empty store")
def step_empty(context):
    start_gateways(context, 1, 0, empty=True)


@given('the endpoints use the behaviour "{behaviour}" for the next request')
def step_next_behaviour(context, behaviour):
    context.behaviour = behaviour
    shared = [behaviour]
    for endpoint in context.endpoints:
        endpoint.queued_behaviours = shared
        endpoint.default_behaviour = "complete response"


@given('the endpoints use the behaviour "{behaviour}" for all requests')
def step_default_behaviour(context, behaviour):
    for endpoint in context.endpoints:
        endpoint.default_behaviour = behaviour


@given("the store contains no endpoint")
def step_no_endpoints(context):
    context.store.entries = []
    eventually(
        lambda: not context.gateways[0].daemon.routing_state.endpoints_by_id, "no endpoint is known"
    )


@given("the store rejects calls of the third daemon")
def step_reject_third(context):
    context.stores[2].refuse_calls = True


@when('a caller sends a "{kind:w}"')
def step_send(context, kind):
    if kind in ("text", "once"):
        for endpoint in context.endpoints:
            endpoint.default_behaviour = "stream"
    send_request(context, kind)


@when('a caller sends a "{kind:w}" whose response stalls')
def step_send_stalled(context, kind):
    # Longer than the stall timeout of an endpoint, shorter than the deadlines.
    timer = StepTimer(context, 2.0, lambda: step_resume_stream(context))
    send_request(context, kind)
    timer.join()


@when('a caller sends a "{kind:w}" {times:d} times')
def step_send_times(context, kind, times):
    context.answers = [send_request(context, kind) for _ in range(times)]


@when('a caller sends a "check" with a forged organisation')
def step_forged_organisation(context):
    send_request(
        context, "check", X_Tenant="org-2", X_Expect_Replica="other", X_Helpers="10.0.0.1:1"
    )


@when('a caller sends a "check" with the key "{key}"')
def step_key(context, key):
    send_request(context, "check", X_Key=key)


@when("a caller sends a header that is too long")
def step_long_header(context):
    send_request(context, "check", X_Long="x" * 40_000)


@when("a caller sends a body that is too long")
def step_long_body(context):
    gateway = context.gateways[0]
    with socket.create_connection((gateway.host, gateway.port)) as connection:
        head = f"POST /hold/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\nContent-Length: "
        connection.sendall(f"{head}{1 << 30}\r\n\r\n".encode())
        chunk = b"x" * 65536
        try:
            for _ in range(100):
                connection.sendall(chunk)
        except OSError:
            pass  # The daemon has responded and closed the connection.
        connection.settimeout(10)
        try:
            line = connection.recv(4096).decode("latin-1")
        except OSError:
            line = ""
    # The reset of a connection that was closed with unread data may discard the response.
    status = int(line.split()[1]) if line else 413
    context.answer = CallerResponse(status, b"", {}, True)


@when('a caller sends a "{kind:w}" and disconnects')
def step_send_and_disconnect(context, kind):
    gateway = context.gateways[0]
    connection = socket.create_connection((gateway.host, gateway.port))
    head = f"POST /{kind}/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: gone\r\nX-Key: {KEY}\r\n"
    connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
    eventually(lambda: received_requests(context), "the endpoint has the request")
    connection.close()


@when('a caller sends a "{kind:w}" and the daemon begins a planned stop')
def step_send_and_stop(context, kind):
    context.caller = send_in_background(context, kind)
    eventually(lambda: received_requests(context), "the endpoint has the request")
    context.gateways[0].begin_planned_stop()


@when('a caller sends a "{kind:w}" to the first daemon and waits')
def step_send_and_wait(context, kind):
    send_in_background(context, kind)
    eventually(lambda: received_requests(context), "the endpoint has the request")


@when("the endpoint resumes the stream")
def step_resume_stream(context):
    for endpoint in context.endpoints:
        endpoint.released.set()


@when("a caller declares a prompt of {tokens:d} tokens")
def step_prompt(context, tokens):
    send_request(context, "text", X_Token_Usage=f"{tokens},10")


@when('a caller declares a prompt of {tokens:d} tokens on "{kind:w}" and waits')
def step_prompt_and_wait(context, tokens, kind):
    usage = f"{tokens},10"
    context.waiting = send_in_background(context, kind, X_Token_Usage=usage)
    eventually(lambda: received_requests(context), "an endpoint has the request")


@then("the pooled connection fails when a request stays unacknowledged for {seconds:d} s")
def step_unacknowledged(context, seconds):
    idle = context.gateways[0].daemon.pool._idle_by_address
    sockets = [each._transport._socket for kept in idle.values() for each in kept]
    bounds = [each.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) for each in sockets]
    assert bounds == [seconds * 1000], bounds


@given("no endpoint acknowledges a request")
def step_unacknowledged_bytes(context):
    # Loopback acknowledges whatever the process does, so the count is replaced.
    patched = mock.patch.object(Transport, "unacknowledged_bytes", 100)
    patched.start()
    context.stack.push(patched.stop)


@when('a caller sends a "{kind:w}" in the background')
def step_send_in_background(context, kind):
    context.caller = send_in_background(context, kind)


@then("the request is sent again since it was not acknowledged")
def step_sent_again_unacknowledged(context):
    def reasons():
        lines = map(json.loads, context.log_file.read_text().splitlines())
        return [line["reason"] for line in lines if line["event"] == "sent again"]

    eventually(reasons, "the request is sent again")
    assert reasons() == ["the request was not acknowledged"], reasons()


@then("both endpoints have the request on a connection that is open")
def step_both_open(context):
    eventually(
        lambda: all(len(endpoint.requests) == 1 for endpoint in context.endpoints),
        "both endpoints have the request",
    )
    assert all(endpoint.open_connections >= 1 for endpoint in context.endpoints)
    for endpoint in context.endpoints:
        endpoint.released.set()


@then("the caller is still waiting")
def step_still_waits(context):
    assert context.waiting.waiting


@when("version {version:d} of the configuration removes the key")
def step_drop_key(context, version):
    context.store.current = configuration(version, keys=("other",))


@when("an older version of the configuration is stored")
def step_older_version(context):
    context.store.current = configuration(6)
    reads = context.store.calls
    eventually(lambda: context.store.calls > reads + 4, "the store was read again")


@when("the first endpoint reports that it is draining")
def step_draining(context):
    first, second = context.endpoints
    context.store.entries = [first.entry(draining=True), second.entry()]


@when("each daemon serves {calls:d} requests")
def step_serves(context, calls):
    context.requests_before = len(context.endpoints[0].requests)
    for number in range(len(context.gateways)):
        for _ in range(calls):
            assert send_request(context, "check", number).status == 200


@when("the store is unavailable and returns without the endpoints")
def step_store_outage(context):
    routing_state = context.gateways[0].daemon.routing_state
    context.store.down = True
    reads = context.store.calls
    eventually(lambda: context.store.calls > reads + 2, "the store was read")
    # As after an outage longer than the read interval.
    routing_state._store_unavailable = True
    context.store.entries = []
    context.store.down = False


@when("the first daemon crashes")
def step_crash(context):
    context.gateways[0].close()


@when("the daemons have polled the store for a while")
def step_polled(context):
    single_store = FakeStore()
    single_store.current, single_store.entries = context.store.current, context.store.entries
    gateway = RunningGateway(single_store, 9, free_port(), SHORT_BOUNDS)
    context.stack.push(gateway.close)
    eventually(gateway.ready, "the single daemon is ready")
    context.store.calls = single_store.calls = 0
    eventually(lambda: single_store.calls >= 16, "the single daemon has read the store")
    context.single_daemon_calls = single_store.calls


@then("the response is {status:d} with body {body}")
def step_answer(context, status, body):
    body = body.strip('"')
    if hasattr(context, "caller"):
        context.answer = context.caller.response(15)
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    assert context.answer.complete
    if body == "all events":
        assert context.answer.body == ALL_EVENTS, context.answer.body
    elif body == "endpoint name":
        assert context.answer.body.decode() in {each.name for each in context.endpoints}
        assert context.answer.header_by_name["x-replica-seal"] == "seal-1"
    else:
        assert context.answer.body.decode() == body, context.answer.body
    if status in (502, 503, 504):
        assert "x-replica-seal" not in context.answer.header_by_name


@then("the response is incomplete")
def step_incomplete(context):
    assert context.answer.status == 200
    assert not context.answer.complete


@then("endpoints received {count:d} requests")
def step_received(context, count):
    assert len(received_requests(context)) == count, [
        each.target for each in received_requests(context)
    ]


@then("the second request resumes after event {number:d}")
def step_resumes(context, number):
    resumed = [each.header_by_name.get("last-event-id") for each in received_requests(context)]
    assert sorted(resumed, key=str) == [str(number), None], resumed


@then("the body of each response is the name of an endpoint")
def step_endpoint_names(context):
    names = {endpoint.name for endpoint in context.endpoints}
    for answer in context.answers:
        assert answer.status == 200
        assert answer.body.decode() in names, answer.body


@then('the endpoint received the organisation "{name}" and no key')
def step_organisation(context, name):
    headers = received_requests(context)[0].header_by_name
    assert headers["x-tenant"] == name
    assert "x-key" not in headers
    assert "x-helpers" not in headers


@then("the endpoint received the remaining time and its own name")
def step_remaining_time(context):
    request = received_requests(context)[0]
    headers = request.header_by_name
    assert 0 < int(headers["x-deadline-remaining"]) <= 9000
    assert headers["x-expect-replica"] in {endpoint.name for endpoint in context.endpoints}
    assert request.target == "/check/a?b=c"


@then("the request at the endpoint is cancelled")
def step_request_cancelled(context):
    eventually(
        lambda: all(has_no_requests(each) for each in context.gateways), "the request is cancelled"
    )


def has_no_requests(gateway):
    return not gateway.daemon._exchanges and not gateway.daemon.load_table._shares_by_request


@then("the response has a Retry-After header")
def step_retry_after(context):
    assert float(context.answer.header_by_name["retry-after"]) > 0


@then("the daemon has stopped")
def step_stopped(context):
    eventually(lambda: not context.gateways[0].running, "the daemon stops")


@then("the daemon is not ready")
def step_not_ready(context):
    assert not context.gateways[0].ready()


@then("another caller's connection is closed after its response")
def step_closed(context):
    answer = send_request(context, "check", X_Attempt_Id="late")
    assert answer.header_by_name.get("connection") == "close", answer.header_by_name
    step_resume_stream(context)


@then("every daemon eventually rejects the key")
def step_reject(context):
    for number in range(len(context.gateways)):
        eventually(
            lambda number=number: send_request(context, "check", number).status == 401,
            f"daemon {number} rejects the key",
        )


@then("every daemon still rejects the key")
def step_still_reject(context):
    for number in range(len(context.gateways)):
        assert send_request(context, "check", number).status == 401


@then("every daemon eventually knows one endpoint")
def step_one_endpoint(context):
    for gateway in context.gateways:
        eventually(
            lambda gateway=gateway: len(gateway.daemon.routing_state.usable("pool")) == 1,
            f"{gateway.host} knows one endpoint",
        )


@then("the first endpoint received no further request")
def step_no_further_request(context):
    assert len(context.endpoints[0].requests) == context.requests_before


@then("the daemon still knows {count:d} endpoints")
def step_knows(context, count):
    routing_state = context.gateways[0].daemon.routing_state
    read_at = routing_state.read_at
    eventually(lambda: routing_state.read_at > read_at, "the store was read after the outage")
    assert len(routing_state.endpoints_by_id) == count


@then("the daemon eventually knows no endpoint")
def step_knows_none(context):
    routing_state = context.gateways[0].daemon.routing_state
    eventually(lambda: not routing_state.endpoints_by_id, "the expired endpoints are removed")


@then("the second daemon eventually sees {calls:d} call in flight")
@then("the second daemon eventually sees {calls:d} calls in flight")
def step_sees(context, calls):
    load_table = context.gateways[1].daemon.load_table
    eventually(
        lambda: sum(load_table.total(each.name).requests for each in context.endpoints) == calls,
        f"{calls} calls are reported",
    )


@then("the request named helpers with reserved memory")
def step_helpers(context):
    helpers = received_requests(context)[0].header_by_name["x-helpers"].split(",")
    assert any("/" in helper for helper in helpers), helpers


@then("every reservation was released")
def step_released(context):
    def names(op):
        orders = [json.loads(text) for each in context.endpoints for text in each.orders]
        return {order["id"] for order in orders if order["op"] == op}

    eventually(
        lambda: names("reserve") and names("reserve") == names("release"),
        "all reservations are released",
    )


@then("the store was read less than twice as often as by one daemon")
def step_few_reads(context):
    assert context.store.calls < 2 * context.single_daemon_calls, (
        context.store.calls,
        context.single_daemon_calls,
    )
