"""Steps on running gateways."""

import json
import socket
import threading
from dataclasses import replace

from behave import given, then, when

from brassdrum.errors import PlatformUnavailableError
from brassdrum.gateway.model import EngineModel, RouteKind
from features.gateway_world import (
    EVENTS,
    HOST,
    KEY,
    QUICK,
    Answer,
    Endpoint,
    FakeStore,
    RunningGateway,
    call,
    configuration,
    event,
    free_port,
    route,
)
from features.support import eventually

ENGINE = EngineModel(4, 100_000, 1.0, 0.0, 0.0, 150.0, 0.1, 2048, 30)
ALL_EVENTS = b"".join(event(number) for number in range(1, EVENTS + 1))


def start(context, daemons, endpoints, engine=None, bounds=QUICK, empty=False, metrics=None):
    context.store = FakeStore()
    context.endpoints = [Endpoint(f"endpoint-{number}") for number in range(1, endpoints + 1)]
    for endpoint in context.endpoints:
        context.stack.push(endpoint.close)
    if not empty:
        brief = route("brief", RouteKind.IDEMPOTENT, timeout=0.4, max_attempts=1)
        context.store.current = configuration(7, engine, (brief,))
        context.store.entries = [endpoint.entry() for endpoint in context.endpoints]
    port = free_port()
    context.stores = [Refusing(context.store) for _ in range(daemons)]
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
        "the daemons know each other",
    )


class Refusing:
    """Stand between one daemon and the store."""

    def __init__(self, store):
        self._store = store
        self.refuses = False

    def __getattr__(self, name):
        if self.refuses and not name.startswith("decode"):
            raise PlatformUnavailableError("The store turns this host away.")
        return getattr(self._store, name)


def send(context, kind, gateway=0, **headers):
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
    context.answer = call(target.host, target.port, method, f"/{kind}/a?b=c", body, **values)
    return context.answer


def received(context):
    return [request for endpoint in context.endpoints for request in endpoint.requests]


@given("a gateway before two endpoints")
def step_gateway(context):
    start(context, 1, 2)


@given("a gateway before two endpoints without a budget for repeats")
def step_no_budget(context):
    start(context, 1, 2, bounds=replace(QUICK, retry_ratio=0.0, retry_slack=0.0))


@given("{daemons:d} gateways before two endpoints")
def step_gateways(context, daemons):
    start(context, daemons, 2)


@given("a gateway before {engines:d} engines")
def step_engines(context, engines):
    start(context, 1, engines, ENGINE)


@given("a gateway whose metrics port is taken")
def step_metrics_taken(context):
    taken = socket.create_server(("127.0.0.2", 0))
    context.stack.push(taken.close)
    start(context, 1, 2, metrics=taken.getsockname()[1])


@given("a gateway with an empty store")
def step_empty(context):
    start(context, 1, 0, empty=True)


@given('the next request meets "{behaviour}"')
def step_next(context, behaviour):
    context.behaviour = behaviour
    shared = [behaviour]
    for endpoint in context.endpoints:
        endpoint.script = shared
        endpoint.usual = "whole"


@given('all requests meet "{behaviour}"')
def step_all(context, behaviour):
    for endpoint in context.endpoints:
        endpoint.usual = behaviour


@given("the store lists no endpoint")
def step_no_endpoints(context):
    context.store.entries = []
    eventually(
        lambda: not context.gateways[0].daemon.knowledge.endpoints_by_id, "no endpoint is known"
    )


@given("the store is unavailable to the third daemon")
def step_refuse_third(context):
    context.stores[2].refuses = True


@when('a caller sends a "{kind:w}"')
def step_send(context, kind):
    if kind in ("text", "once"):
        for endpoint in context.endpoints:
            endpoint.usual = "stream"
    send(context, kind)


@when('a caller sends a "{kind:w}" that pauses for long')
def step_send_paused(context, kind):
    # Longer than the silence after which an endpoint is given up, shorter than any deadline.
    timer = threading.Timer(2.0, step_go_on, (context,))
    timer.start()
    send(context, kind)
    timer.join()


@when('a caller sends a "{kind:w}" {times:d} times')
def step_send_times(context, kind, times):
    context.answers = [send(context, kind) for _ in range(times)]


@when('a caller sends a "check" with a forged organisation')
def step_forged(context):
    send(context, "check", X_Tenant="org-2", X_Expect_Replica="other", X_Helpers="10.0.0.1:1")


@when('a caller sends a "check" with the key "{key}"')
def step_key(context, key):
    send(context, "check", X_Key=key)


@when("a caller sends a header that is too long")
def step_long_header(context):
    send(context, "check", X_Long="x" * 40_000)


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
            pass  # The daemon has answered and closed already.
        connection.settimeout(10)
        try:
            line = connection.recv(4096).decode("latin-1")
        except OSError:
            line = ""
    # A closed connection with bytes on their way may take the answer with it.
    status = int(line.split()[1]) if line else 413
    context.answer = Answer(status, b"", {}, True)


@when('a caller sends a "{kind:w}" and leaves')
def step_send_and_leave(context, kind):
    gateway = context.gateways[0]
    connection = socket.create_connection((gateway.host, gateway.port))
    head = f"POST /{kind}/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: gone\r\nX-Key: {KEY}\r\n"
    connection.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())
    eventually(lambda: received(context), "the endpoint has the request")
    connection.close()


@when('a caller sends a "{kind:w}" and the daemon is told to stop')
def step_send_and_stop(context, kind):
    context.caller = threading.Thread(target=send, args=(context, kind))
    context.caller.start()
    eventually(lambda: received(context), "the endpoint has the request")
    context.gateways[0].leave()


@when('a caller sends a "{kind:w}" to the first daemon and waits')
def step_send_and_wait(context, kind):
    threading.Thread(target=send, args=(context, kind), daemon=True).start()
    eventually(lambda: received(context), "the endpoint has the request")


@when("the endpoint goes on")
def step_go_on(context):
    for endpoint in context.endpoints:
        endpoint.released.set()


@when("a caller declares a prompt of {tokens:d} tokens")
def step_prompt(context, tokens):
    send(context, "text", X_Token_Usage=f"{tokens},10")


@when('a caller declares a prompt of {tokens:d} tokens on "{kind:w}" and waits')
def step_prompt_and_wait(context, tokens, kind):
    usage = f"{tokens},10"
    context.waiting = threading.Thread(
        target=send, args=(context, kind), kwargs={"X_Token_Usage": usage}, daemon=True
    )
    context.waiting.start()
    eventually(lambda: received(context), "an endpoint has the request")


@then("the kept connection breaks when a request stays unacknowledged for {seconds:d} s")
def step_unacknowledged(context, seconds):
    idle = context.gateways[0].daemon.pool._idle_by_address
    sockets = [each._transport._socket for kept in idle.values() for each in kept]
    bounds = [each.getsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT) for each in sockets]
    assert bounds == [seconds * 1000], bounds


@then("the caller is still waiting")
def step_still_waits(context):
    assert context.waiting.is_alive()


@when("version {version:d} of the configuration removes the key")
def step_drop_key(context, version):
    context.store.current = configuration(version, keys=("other",))


@when("an older version is written to the store")
def step_older(context):
    context.store.current = configuration(6)
    reads = context.store.calls
    eventually(lambda: context.store.calls > reads + 4, "the store was read again")


@when("the first endpoint reports that it is draining")
def step_drain(context):
    first, second = context.endpoints
    context.store.entries = [first.entry(draining=True), second.entry()]


@when("each daemon serves {calls:d} requests")
def step_calls(context, calls):
    context.before = len(context.endpoints[0].requests)
    for number in range(len(context.gateways)):
        for _ in range(calls):
            assert send(context, "check", number).status == 200


@when("the store recovers from an outage without the endpoints")
def step_store_away(context):
    knowledge = context.gateways[0].daemon.knowledge
    context.store.down = True
    reads = context.store.calls
    eventually(lambda: context.store.calls > reads + 2, "the store was asked")
    # As after an absence that is longer than any pause between reads.
    knowledge._store_unavailable = True
    context.store.entries = []
    context.store.down = False


@when("the first daemon is terminated")
def step_die(context):
    context.gateways[0].close()


@when("the daemons have polled the store for a while")
def step_follow(context):
    lone = FakeStore()
    lone.current, lone.entries = context.store.current, context.store.entries
    gateway = RunningGateway(lone, 9, free_port(), QUICK)
    context.stack.push(gateway.close)
    eventually(gateway.ready, "the lone daemon is ready")
    context.store.calls = lone.calls = 0
    eventually(lambda: lone.calls >= 16, "the lone daemon has read the store")
    context.lone_calls = lone.calls


@then("the answer is {status:d} and {body}")
def step_answer(context, status, body):
    body = body.strip('"')
    if hasattr(context, "caller"):
        context.caller.join(15)
    assert context.answer.status == status, (context.answer.status, context.answer.body)
    assert context.answer.whole
    if body == "all events":
        assert context.answer.body == ALL_EVENTS, context.answer.body
    elif body == "whole":
        assert context.answer.body.decode() in {each.name for each in context.endpoints}
        assert context.answer.header_by_name["x-replica-seal"] == "seal-1"
    else:
        assert context.answer.body.decode() == body, context.answer.body
    if status in (502, 503, 504):
        assert "x-replica-seal" not in context.answer.header_by_name


@then("the answer is not whole")
def step_not_whole(context):
    assert context.answer.status == 200
    assert not context.answer.whole


@then("endpoints received {count:d} requests")
def step_received(context, count):
    assert len(received(context)) == count, [each.target for each in received(context)]


@then("the second request resumes after event {number:d}")
def step_resumes(context, number):
    resumed = [each.header_by_name.get("last-event-id") for each in received(context)]
    assert sorted(resumed, key=str) == [str(number), None], resumed


@then("each answer is the name of an endpoint")
def step_names(context):
    names = {endpoint.name for endpoint in context.endpoints}
    for answer in context.answers:
        assert answer.status == 200
        assert answer.body.decode() in names, answer.body


@then('the endpoint got the organisation "{name}" and no key')
def step_organisation(context, name):
    headers = received(context)[0].header_by_name
    assert headers["x-tenant"] == name
    assert "x-key" not in headers
    assert "x-helpers" not in headers


@then("the endpoint got the time that is left and its own name")
def step_time_left(context):
    request = received(context)[0]
    headers = request.header_by_name
    assert 0 < int(headers["x-deadline-remaining"]) <= 9000
    assert headers["x-expect-replica"] in {endpoint.name for endpoint in context.endpoints}
    assert request.target == "/check/a?b=c"


@then("the endpoint's connection ends")
def step_connection_ends(context):
    eventually(
        lambda: all(daemon_idle(each) for each in context.gateways), "the request is given up"
    )


def daemon_idle(gateway):
    return not gateway.daemon._exchanges and not gateway.daemon.table._shares_by_request


@then("the answer says when to come back")
def step_retry_after(context):
    assert float(context.answer.header_by_name["retry-after"]) > 0


@then("the daemon has stopped")
def step_stopped(context):
    eventually(lambda: not context.gateways[0].running, "the daemon stops")


@then("the daemon is not ready")
def step_not_ready(context):
    assert not context.gateways[0].ready()


@then("another caller's connection is closed after its answer")
def step_closed(context):
    answer = send(context, "check", X_Attempt_Id="late")
    assert answer.header_by_name.get("connection") == "close", answer.header_by_name
    step_go_on(context)


@then("every daemon eventually refuses the key")
def step_refuse(context):
    for number in range(len(context.gateways)):
        eventually(
            lambda number=number: send(context, "check", number).status == 401,
            f"daemon {number} refuses the key",
        )


@then("every daemon still refuses the key")
def step_still_refuse(context):
    for number in range(len(context.gateways)):
        assert send(context, "check", number).status == 401


@then("every daemon eventually uses one endpoint")
def step_one_endpoint(context):
    for gateway in context.gateways:
        eventually(
            lambda gateway=gateway: len(gateway.daemon.knowledge.usable("pool")) == 1,
            f"{gateway.host} knows one endpoint",
        )


@then("the first endpoint received no request after that")
def step_none_after(context):
    assert len(context.endpoints[0].requests) == context.before


@then("the daemon still knows {count:d} endpoints")
def step_knows(context, count):
    knowledge = context.gateways[0].daemon.knowledge
    read_at = knowledge.read_at
    eventually(lambda: knowledge.read_at > read_at, "the store was read after its return")
    assert len(knowledge.endpoints_by_id) == count


@then("the daemon eventually knows no endpoint")
def step_knows_none(context):
    knowledge = context.gateways[0].daemon.knowledge
    eventually(lambda: not knowledge.endpoints_by_id, "the lapsed endpoints are gone")


@then("the second daemon eventually counts {calls:d} request in flight")
@then("the second daemon eventually counts {calls:d} requests in flight")
def step_sees(context, calls):
    table = context.gateways[1].daemon.table
    eventually(
        lambda: sum(table.total(each.name).requests for each in context.endpoints) == calls,
        f"{calls} calls are seen",
    )


@then("the request listed helpers with reserved memory")
def step_helpers(context):
    helpers = received(context)[0].header_by_name["x-helpers"].split(",")
    assert any("/" in helper for helper in helpers), helpers


@then("every reservation was released")
def step_released(context):
    def names(op):
        orders = [json.loads(text) for each in context.endpoints for text in each.orders]
        return {order["id"] for order in orders if order["op"] == op}

    eventually(lambda: names("reserve") and names("reserve") == names("release"), "all is released")


@then("the store was read less than twice as often as by a single daemon")
def step_few_reads(context):
    assert context.store.calls < 2 * context.lone_calls, (context.store.calls, context.lone_calls)
