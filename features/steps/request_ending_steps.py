"""Steps on how requests and their connections end in a gateway."""

import json
import socket
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from brassdrum.gateway.model import CallerLimits, Organisation, RouteTarget, Service
from brassdrum.gateway.net import transport
from features.gateway_world import (
    HOST,
    KEY,
    _remaining_events,
    _send_stream,
    behaviours,
    configuration,
    event,
    send_response,
)
from features.steps.gateway_steps import ALL_EVENTS, ENGINE, send_in_background, start_gateways
from features.support import eventually

HEAD = f"POST /hold/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\nX-Key: {KEY}\r\n"
# More than the sockets of a connection hold, and less than an answer that is kept whole.
ANSWER_BYTES = 250_000
SMALL_BUFFER_BYTES = 4096


@behaviours.register("stream that goes on when released")
def released_stream(endpoint, connection, request):
    """Stream the events up to the second one, and the others once released."""
    numbers = list(_remaining_events(request))
    _send_stream(connection, request, [each for each in numbers if each <= 2], end=False)
    endpoint.released.wait(20)
    for number in numbers:
        if number > 2:
            data = event(number)
            connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    connection.sendall(b"0\r\n\r\n")


@behaviours.register("large response")
def large_response(endpoint, connection, request):
    """Send a response that is larger than what a caller takes that does not read."""
    send_response(connection, 200, bytes(ANSWER_BYTES), request)


def daemon_of(context):
    return context.gateways[0].daemon


def publish(context, changed):
    """Put a configuration in force, and the endpoints into the list."""
    context.store.entries = [each.entry() for each in context.endpoints]
    context.store.current = changed
    version = changed.version
    routing_state = daemon_of(context).routing_state
    eventually(lambda: routing_state.version == version, "the version is in force")


def start_streams(context, slots):
    """Start a gateway in front of two engines whose streams wait to be released."""
    start_gateways(context, 1, 2, empty=True)
    for endpoint in context.endpoints:
        endpoint.default_behaviour = "stream that goes on when released"
    publish(context, configuration(7, replace(ENGINE, slots=slots)))
    eventually(context.gateways[0].ready, "the gateway is ready")


def send_stream(context):
    return send_in_background(context, "text", X_Token_Usage="100,5")


def has_waiting(context, sends):
    """Return whether a request without an attempt in progress waits for a slot."""
    return any(
        each.waits_for_slot and each.send_count == sends and each._attempts.newest is None
        for each in list(daemon_of(context)._exchanges)
    )


def send_count(context):
    return sum(len(endpoint.requests) for endpoint in context.endpoints)


@given("a stream in progress at a silent endpoint")
def step_in_progress(context):
    start_streams(context, 4)
    context.caller = send_stream(context)
    eventually(lambda: send_count(context) == 1, "an endpoint has the request")


@given("a stream waiting for a slot")
def step_waiting(context):
    start_streams(context, 1)
    for count in (1, 2):
        send_stream(context)
        eventually(lambda count=count: send_count(context) >= count, "the slots are taken")
    context.caller = send_stream(context)
    eventually(lambda: has_waiting(context, 0), "the request waits")


@given("a stream between two sends")
def step_between_sends(context):
    start_streams(context, 1)
    send_stream(context)
    eventually(lambda: send_count(context) == 1, "the slot of one endpoint is taken")
    for endpoint in context.endpoints:
        if not endpoint.requests:
            endpoint.queued_behaviours = ["stream truncated in an event"]
    context.caller = send_stream(context)
    eventually(lambda: send_count(context) == 2, "the first send")
    eventually(lambda: has_waiting(context, 1), "the request waits again")


@given("a request held before the first configuration")
def step_held(context):
    start_gateways(context, 1, 1, empty=True)
    context.caller = send_in_background(context, "check")
    eventually(daemon_of(context)._intake.holds_requests, "the request is held")


def change_routes(current, **fields):
    return replace(current, routes=tuple(replace(each, **fields) for each in current.routes))


@when("its route goes")
def step_route_goes(context):
    publish(context, replace(configuration(8), routes=()))


@when("its key goes")
def step_key_goes(context):
    publish(
        context,
        replace(configuration(8), organisations=(Organisation("org-2", frozenset(["key-2"])),)),
    )


@when("the service of its route goes")
def step_service_goes(context):
    other = change_routes(configuration(8), targets=(RouteTarget("other", 1.0),))
    publish(context, replace(other, services_by_name={"other": Service("other", 100, None)}))


@when("the timeout of its route shrinks")
def step_timeout_shrinks(context):
    publish(context, change_routes(configuration(8), timeout=0.1))


@when("the attempts of its route shrink")
def step_attempts_shrink(context):
    publish(context, change_routes(configuration(8), max_attempts=1))


@when("the idle time shrinks")
def step_idle_time_shrinks(context):
    limits = CallerLimits(idle_seconds=0.01, header_seconds=0.1)
    publish(context, replace(configuration(8), limits=limits))


@when("the endpoints go on")
def step_go_on(context):
    for endpoint in context.endpoints:
        endpoint.released.set()


@then("its caller has the whole stream")
def step_whole_stream(context):
    answer = context.caller.response(10)
    assert (answer.status, answer.body, answer.complete) == (200, ALL_EVENTS, True), vars(answer)


@then("its caller gets {statuses}")
def step_gets(context, statuses):
    answer = context.caller.response(10)
    assert str(answer.status) in statuses.split(" or "), vars(answer)
    assert answer.complete, vars(answer)


@given("a gateway for the endings of connections")
def step_endings_gateway(context):
    # It knows no configuration until one is needed, so that requests are held.
    start_gateways(context, 1, 1, empty=True)


def connect(context, head, port=None):
    gateway = context.gateways[0]
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SMALL_BUFFER_BYTES)
    connection.connect((gateway.host, port or gateway.port))
    context.stack.push(connection.close)
    connection.sendall(head.encode())
    return connection


def connections(context):
    return daemon_of(context)._ports._connections


def wait_until_read(context):
    eventually(lambda: any(each._reading for each in connections(context)), "the request is read")


@when("a connection ends while the head of its request is read")
def step_head_ends(context):
    connection = connect(context, HEAD)
    wait_until_read(context)
    connection.close()


@when("a connection ends while the body of its request is read")
def step_body_ends(context):
    connection = connect(context, f"{HEAD}Content-Length: 9\r\n\r\nhalf")
    wait_until_read(context)
    connection.close()


@when("a connection ends while its request is malformed")
def step_malformed(context):
    connect(context, f"{HEAD}X-Key {KEY}\r\n\r\n")


@when("a connection ends while its request is too long")
def step_too_long(context):
    size = CallerLimits().body_bytes + 1
    connection = connect(context, f"{HEAD}Content-Length: {size}\r\n\r\n")
    connection.sendall(bytes(size))


@when("a connection ends while its request is held")
def step_held_ends(context):
    connection = connect(context, f"{HEAD}Content-Length: 0\r\n\r\n")
    eventually(daemon_of(context)._intake.holds_requests, "the request is held")
    connection.close()


@when("a connection ends while the daemon stops and a body is read")
def step_stop_ends(context):
    connect(context, f"{HEAD}Content-Length: 9\r\n\r\nhalf")
    wait_until_read(context)
    context.gateways[0].close()


@when("a connection ends while its whole answer is delivered")
def step_delivery_ends(context):
    patched = mock.patch.object(transport, "_KERNEL_BUFFER_BYTES", SMALL_BUFFER_BYTES)
    patched.start()
    context.stack.push(patched.stop)
    context.endpoints[0].default_behaviour = "large response"
    publish(context, configuration(8))
    eventually(context.gateways[0].ready, "the gateway is ready")
    connection = connect(context, f"{HEAD}Content-Length: 0\r\n\r\n")
    eventually(
        lambda: any(each._delivering for each in connections(context)), "the answer is delivered"
    )
    connection.close()


def log_lines(context):
    lines = map(json.loads, context.log_file.read_text().splitlines())
    return [line for line in lines if line["event"] == "connection closed"]


@then('a line names the stage "{stage}", the status {status:d} and "{reason}"')
def step_line(context, stage, status, reason):
    eventually(lambda: log_lines(context), "the line is written")
    found = [(each["stage"], each["status"], each["reason"]) for each in log_lines(context)]
    assert found == [(stage, status, reason)], found
    assert (log_lines(context)[0]["unsent"] > 0) == (stage == "delivering")


@then('the metrics count it under "{stage}"')
def step_counted(context, stage):
    page = daemon_of(context).metrics.page().decode()
    rows = [row for row in page.splitlines() if row.startswith("brassdrum_gateway_cut_conn")]
    counts = [row for row in rows if f'stage="{stage}"' in row and row.endswith(" 1.0")]
    assert len(rows) == len(counts) == 1, rows


@then("no line names the key")
def step_no_key(context):
    assert KEY not in context.log_file.read_text()


@when("another daemon has sent a part of a request")
def step_peer_sends(context):
    context.peer = connect(context, HEAD, daemon_of(context).settings.peer_port)


@then("the daemon counts as busy until that connection ends")
def step_busy(context):
    eventually(lambda: daemon_of(context)._ports.busy, "the daemon is busy")
    context.peer.close()
    eventually(lambda: not daemon_of(context)._ports.busy, "the daemon is not busy")
