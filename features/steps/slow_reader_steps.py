"""Steps on callers and endpoints that read slowly."""

import http.client
import json
import socket
import threading
import time
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as hypothesis_given
from hypothesis import settings as hypothesis_settings
from hypothesis import strategies as st

from brassdrum.errors import InvalidDocumentError
from brassdrum.gateway.model import CallerLimits, EndpointEntry
from brassdrum.gateway.net.flow_control import MAX_READ_BYTES, BufferBudget, Flow
from features.gateway_world import (
    HOST,
    KEY,
    SERVICE,
    CallerResponse,
    FakeEndpoint,
    behaviours,
    read_request,
    send_response,
)
from features.steps.explaining_steps import lines
from features.steps.gateway_adapter_steps import SETTINGS, read_text_settings
from features.steps.gateway_steps import start_gateways
from features.support import StepThread, eventually

KB, MB = 1 << 10, 1 << 20
# The stall timeout of the routes of ``gateway_world`` is 2 s and less.
STALL_SECONDS = 4.0
PATTERN = bytes(range(256)) * 256


# The budget alone.


@given("a budget of {megabytes:d} MB")
def step_budget(context, megabytes):
    context.budget = BufferBudget(megabytes * MB)


def read_all(budget, flow):
    """Read as an endpoint sends without end; return the bytes read until the pause."""
    count = 0
    while (size := budget.read_size(flow)) > 0:
        budget.set_unsent(flow, flow.unsent + size)
        count += size
    return count


@when("eight responses are read as far as the budget allows")
def step_eight(context):
    context.flows = [Flow() for _ in range(8)]
    reading = list(context.flows)
    while reading:
        for flow in list(reading):
            size = context.budget.read_size(flow)
            if size == 0:
                reading.remove(flow)
            context.budget.set_unsent(flow, flow.unsent + size)


@then("each of them is paused with the same backlog, {megabytes:g} MB at least")
def step_same_backlog(context, megabytes):
    backlogs = [each.backlog for each in context.flows]
    assert min(backlogs) >= megabytes * MB - MAX_READ_BYTES, backlogs
    assert max(backlogs) - min(backlogs) <= 8 * MAX_READ_BYTES, backlogs


@then("what is buffered leaves room for request bodies")
def step_room_for_bodies(context):
    assert context.budget.reserve_body(Flow(), 4 * MB)


@when("one response is read as far as the budget allows")
def step_one(context):
    context.flows = [Flow()]
    read_all(context.budget, context.flows[0])


@then("it is paused with a backlog of {megabytes:g} MB at least")
def step_one_backlog(context, megabytes):
    assert context.flows[0].backlog >= megabytes * MB, context.flows


@then("a response that begins now is read quickly")
def step_next_quick(context):
    assert read_all(context.budget, Flow()) >= MB / 2


@when("responses have backlogs of 32 KB, 1 MB and 4 MB")
def step_backlogs(context):
    context.flows = [Flow(), Flow(), Flow()]
    for flow, count in zip(context.flows, (32 * KB, MB, 4 * MB), strict=True):
        context.budget.set_unsent(flow, count)


def paused(context):
    return [context.budget.read_size(each) == 0 for each in context.flows]


@then("only the one with 4 MB is paused")
def step_largest_paused(context):
    assert paused(context) == [False, False, True]


@when("another response fills the rest of the budget")
def step_fill(context):
    context.other = Flow()
    context.budget.set_unsent(context.other, 8 * MB)


@then("only the one with 32 KB is not paused")
def step_smallest_reads(context):
    assert paused(context) == [False, True, True]
    assert context.budget.read_size(context.flows[0]) == 32 * KB


@when("the other response has been taken")
def step_taken(context):
    context.budget.set_unsent(context.other, 0)


@then("the one with 1 MB resumes and the one with 4 MB does not")
def step_smaller_resumes(context):
    assert context.budget.resumable(context.flows[1:]) == [context.flows[1]]


@when("3 MB of the one with 4 MB have been taken")
def step_three_taken(context):
    context.budget.set_unsent(context.flows[2], MB + 1)


@then("it resumes, and after a smaller one")
def step_order(context):
    largest, smaller = context.flows[2], context.flows[1]
    assert context.budget.resumable([largest, smaller]) == [smaller, largest]


@then("each of them may read 64 KB at least for each of {seconds:d} seconds")
def step_keep_alive(context, seconds):
    for _ in range(seconds):
        granted = context.budget.keep_alive_bytes(len(context.flows))
        assert granted >= 64 * KB, granted
        for flow in context.flows:
            size = context.budget.read_size(flow, granted)
            assert size > 0
            context.budget.set_unsent(flow, flow.unsent + granted)
    assert context.budget.buffered <= context.budget.limit


@when("bodies of 4 MB are reserved until one is refused")
def step_reserve(context):
    context.bodies = 0
    while context.budget.reserve_body(Flow(), 4 * MB):
        context.bodies += 1


@then("{count:d} of them found room")
def step_found_room(context, count):
    assert context.bodies == count, context.bodies


@then("bodies of 1 KB find room until the budget is used up")
def step_small_bodies(context):
    while context.budget.reserve_body(Flow(), KB):
        pass
    assert context.budget.buffered == context.budget.limit


def settings_with(limits):
    return read_text_settings(json.dumps({**SETTINGS, "limits": limits})).gateway


@then("the settings of a host with {memory:d} MB give a budget of {megabytes:g} MB")
def step_default_budget(context, memory, megabytes):
    assert round(settings_with({"memory_mb": memory}).buffer_bytes / MB, 1) == megabytes


@then("the settings take a budget of {count:d} bytes as it is")
def step_set_budget(context, count):
    assert settings_with({"memory_mb": 200, "buffer_bytes": count}).buffer_bytes == count


@then("the settings refuse a budget of {count:d} bytes and name the least one")
def step_small_budget(context, count):
    try:
        settings_with({"buffer_bytes": count})
    except InvalidDocumentError as error:
        assert "buffer_bytes" in error.message and str(5 * MB) in error.message, error.message
        return
    raise AssertionError("a budget below the least one was taken")


CONNECTIONS = 5
ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(
            ("read", "read twice", "read much", "keep alive", "take", "keep", "body", "end")
        ),
        st.integers(0, CONNECTIONS - 1),
        st.sampled_from((1, MAX_READ_BYTES // 2, MAX_READ_BYTES - 1, MAX_READ_BYTES))
        | st.integers(0, 3 * MAX_READ_BYTES),
    ),
    max_size=200,
)


@then("no order of reads, deliveries, bodies and ends exceeds the budget by more than a read each")
def step_bound(context):
    @hypothesis_settings(max_examples=300, deadline=None)
    @hypothesis_given(ACTIONS, st.integers(1, 20).map(MAX_READ_BYTES.__mul__))
    def check(actions, limit):
        budget = BufferBudget(limit)
        flows = [Flow() for _ in range(CONNECTIONS)]
        granted = dict.fromkeys(flows, 0)
        for name, number, count in actions:
            act(budget, granted, flows[number], name, count)
            expected = sum(each.response_bytes + each.body for each in flows)
            assert budget.buffered == expected, (budget.buffered, expected)
            assert expected <= limit + CONNECTIONS * MAX_READ_BYTES, (expected, limit)

    check()


def act(budget, granted, flow, name, count):
    """Do what a connection may do next; ``granted`` is what paused ones may still read."""
    if name == "read much":
        for _ in range(30):
            act(budget, granted, flow, "read", MAX_READ_BYTES)
    elif name == "read twice":
        act(budget, granted, flow, "read", MAX_READ_BYTES - 1)
        act(budget, granted, flow, "read", MAX_READ_BYTES)
    elif name == "keep alive":
        granted.update(dict.fromkeys(granted, budget.keep_alive_bytes(CONNECTIONS)))
    elif name == "read":
        size = budget.read_size(flow, granted[flow])
        granted[flow] = max(0, granted[flow] - size)
        budget.set_unsent(flow, flow.unsent + min(size, count))
    elif name == "take":
        budget.set_unsent(flow, max(0, flow.unsent - count))
    elif name == "keep":
        size = budget.read_size(flow)
        budget.set_held(flow, flow.held + min(size, count))
    elif name == "body":
        budget.reserve_body(flow, count)
    else:
        budget.release_body(flow)
        budget.set_held(flow, 0)
        budget.set_unsent(flow, 0)


# Daemons, callers and endpoints.


class RecordingBudget(BufferBudget):
    """Remember the most that was buffered."""

    most = 0

    def set_unsent(self, flow, count):
        """Count and remember."""
        super().set_unsent(flow, count)
        self.most = max(self.most, self.buffered)

    def set_held(self, flow, count):
        """Count and remember."""
        super().set_held(flow, count)
        self.most = max(self.most, self.buffered)

    def reserve_body(self, flow, count):
        """Count and remember."""
        reserved = super().reserve_body(flow, count)
        self.most = max(self.most, self.buffered)
        return reserved


class SharedFile:
    """Let several responses be read from one buffered file.

    ``http.client`` opens a file for each response and closes it, and what that one has read ahead
    of the next response is lost.
    """

    def __init__(self, file):
        self._file = file

    def makefile(self, _mode):
        """Return the file of all responses."""
        return self

    def close(self):
        """Leave the file open for the next response."""

    def __getattr__(self, name):
        """Return an attribute of the file."""
        return getattr(self._file, name)


class LateCaller:
    """A caller that sends requests and reads only when it is told."""

    def __init__(self, context, kind, deadline_ms=15000, requests=1):
        gateway = context.gateways[0]
        self.socket = socket.socket()
        self.socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * KB)
        self.socket.settimeout(20)
        self.socket.connect((gateway.host, gateway.port))
        context.stack.push(self.socket.close)
        self._file = SharedFile(self.socket.makefile("rb"))
        method = "GET" if kind == "check" else "POST"
        for _ in range(requests):
            context.sent = getattr(context, "sent", 0) + 1
            head = f"{method} /{kind}/a HTTP/1.1\r\nHost: {HOST}\r\nX-Key: {KEY}\r\n"
            head += f"X-Attempt-Id: late-{context.sent}\r\nX-Deadline-Remaining: {deadline_ms}\r\n"
            self.socket.sendall(f"{head}Content-Length: 0\r\n\r\n".encode())

    def read(self):
        """Read one response; return it."""
        response = http.client.HTTPResponse(self._file)
        try:
            response.begin()
            headers = {name.lower(): value for name, value in response.getheaders()}
        except (http.client.HTTPException, OSError):
            return CallerResponse(0, b"", {}, False)
        try:
            return CallerResponse(response.status, response.read(), headers, True)
        except (http.client.HTTPException, OSError):
            return CallerResponse(response.status, b"", headers, False)


def long_body(size):
    return (PATTERN * (size // len(PATTERN) + 1))[:size]


@behaviours.register("long answer")
def long_answer(endpoint, connection, request):
    """Send a long plain answer; give up if nothing of it is taken for a while."""
    connection.settimeout(endpoint.give_up_seconds)
    try:
        send_response(connection, 200, long_body(endpoint.long_bytes), request)
    finally:
        endpoint.ended_sends.append(request)
    connection.settimeout(None)
    endpoint.whole_sends.append(request)


@behaviours.register("long stream")
def long_stream(endpoint, connection, request):
    """Stream long events."""
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.header_by_name['x-attempt-id']}\r\n"
    head += "X-Replica-Seal: seal-1\r\nContent-Type: text/event-stream\r\n"
    connection.sendall(f"{head}Transfer-Encoding: chunked\r\n\r\n".encode())
    for number in range(1, endpoint.long_bytes // (16 * KB) + 1):
        data = long_event(number)
        connection.sendall(b"%x\r\n%b\r\n" % (len(data), data))
    connection.sendall(b"0\r\n\r\n")


def long_event(number):
    return b"id: %d\ndata: %b\n\n" % (number, b"t" * (16 * KB))


@behaviours.register("long answer that breaks off")
def broken_long_answer(endpoint, connection, request):
    """Send a part of an answer and close the connection."""
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.header_by_name['x-attempt-id']}\r\n"
    head += "X-Replica-Seal: seal-1\r\n"
    body = long_body(endpoint.long_bytes)
    if endpoint.framing == "with a length":
        head += f"Content-Length: {len(body) + 1}\r\n\r\n"
    else:
        head += "Transfer-Encoding: chunked\r\n\r\n"
        body = b"%x\r\n%b\r\n" % (len(body), body)
    connection.sendall(head.encode() + body)
    return False


@behaviours.register("long failure")
def long_failure(endpoint, connection, request):
    """Execute the request and return a long error."""
    send_response(connection, 500, long_body(endpoint.long_bytes), request)


def set_behaviour(context, behaviour, size, give_up=None, framing="with a length", once=False):
    shared = [behaviour]
    for endpoint in context.endpoints:
        endpoint.long_bytes = round(size * MB)
        endpoint.give_up_seconds = give_up
        endpoint.framing = framing
        endpoint.ended_sends, endpoint.whole_sends = [], []
        if once:
            endpoint.queued_behaviours = shared
        else:
            endpoint.default_behaviour = behaviour


@given("a gateway in front of two endpoints with a budget of {megabytes:g} MB")
def step_gateway_with_budget(context, megabytes):
    start_gateways(context, 1, 2)
    set_budget(context, megabytes)


def set_budget(context, megabytes):
    context.budget = RecordingBudget(round(megabytes * MB))
    context.gateways[0].daemon.pacer.budget = context.budget


@given("the endpoints answer with {megabytes:g} MB")
@when("the endpoints answer with {megabytes:g} MB")
def step_long_answers(context, megabytes):
    context.long_bytes = round(megabytes * MB)
    set_behaviour(context, "long answer", megabytes)


@given("the endpoints answer with {megabytes:d} MB and give up after {seconds:g} s")
def step_impatient(context, megabytes, seconds):
    set_behaviour(context, "long answer", megabytes, give_up=seconds)
    monitor, context.blamed = context.gateways[0].daemon.endpoint_monitor, []
    monitor.endpoint_failed = lambda endpoint, **_: context.blamed.append(endpoint)


@given("the endpoints stream {megabytes:d} MB of events")
def step_long_streams(context, megabytes):
    set_behaviour(context, "long stream", megabytes)


@given("the endpoints break off an answer {framing} after {megabytes:g} MB")
def step_broken(context, framing, megabytes):
    set_behaviour(context, "long answer that breaks off", megabytes, framing=framing)


@given("the next endpoint breaks off an answer {framing} after {megabytes:g} MB")
def step_next_broken(context, framing, megabytes):
    set_behaviour(context, "long answer that breaks off", megabytes, framing=framing, once=True)


@given("the next endpoint fails with {megabytes:g} MB")
def step_next_fails(context, megabytes):
    context.behaviour = "long failure"
    set_behaviour(context, "long failure", megabytes, once=True)


@given("each has a budget of {megabytes:d} MB")
def step_each_budget(context, megabytes):
    for gateway in context.gateways:
        gateway.daemon.pacer.budget = RecordingBudget(megabytes * MB)


@when("the budget has no room for more")
def step_no_room(context):
    context.budget.limit = context.budget.buffered


@then("two daemons pause it")
def step_two_pause(context):
    pacers = [each.daemon.pacer for each in context.gateways]
    eventually(
        lambda: sorted(each.paused_count for each in pacers) == [0, 1, 1], "two have paused it"
    )


@given("idle connections are closed after {seconds:g} s")
def step_idle_limit(context, seconds):
    context.store.current = replace(
        context.store.current, version=8, limits=CallerLimits(idle_seconds=seconds)
    )
    daemon = context.gateways[0].daemon
    eventually(lambda: daemon.limits().idle_seconds == seconds, "the limit is in force")


@when('{count:d} callers send a "{kind:w}" and read nothing')
def step_late_callers(context, count, kind):
    context.callers = [LateCaller(context, kind) for _ in range(count)]


@when('{count:d} callers send a "{kind:w}" with {milliseconds:d} ms left and read nothing')
def step_late_with_deadline(context, count, kind, milliseconds):
    context.callers = [LateCaller(context, kind, milliseconds) for _ in range(count)]


@when("a caller sends {count:d} requests at once and reads nothing")
def step_pipeline(context, count):
    context.callers = [LateCaller(context, "hold", requests=count)]


@then("{count:d} responses get paused")
def step_get_paused(context, count):
    pacer = context.gateways[0].daemon.pacer
    eventually(lambda: pacer.paused_count == count, f"{count} responses are paused")


@then("the metrics tell what is buffered")
def step_metrics(context):
    page = context.gateways[0].daemon.metrics.page().decode()
    values = dict(line.rsplit(" ", 1) for line in page.splitlines() if line[:1] != "#")
    gauges = {
        name.partition("{")[0].removeprefix("brassdrum_gateway_"): float(value)
        for name, value in values.items()
    }
    assert gauges["buffered_bytes"] > 0, gauges
    assert "paused_responses" in gauges, gauges


@then("the log tells each pause once")
def step_pause_lines(context):
    def requests():
        return [
            each.values["request"] for each in lines(context) if each.event == "response paused"
        ]

    eventually(lambda: len(requests()) >= len(context.callers), "the pauses are logged")
    # Each of them has been paused several times by now.
    time.sleep(1.2)
    assert len(requests()) == len(set(requests())) == len(context.callers), requests()


@then("the log tells that {count:d} responses were not read")
def step_not_read_lines(context, count):
    eventually(
        lambda: [each.event for each in lines(context)].count("response not read") == count,
        "the log tells it",
    )


@then("the bytes buffered never exceed the budget by more than a read for each")
def step_never_exceeds(context):
    connections = list(context.gateways[0].daemon._ports._connections)
    most = context.budget.limit + len(connections) * MAX_READ_BYTES
    assert 0 < context.budget.most <= most, (context.budget.most, most)
    actual = sum(each._transport.write_buffer_size for each in connections)
    assert actual <= most, (actual, most)


@when("the callers read")
def step_read(context):
    threads = [StepThread(context, each.read) for each in context.callers]
    context.answers = [each.result() for each in threads]


@then("each has its whole answer of {megabytes:d} MB with its length")
def step_whole(context, megabytes):
    body = long_body(megabytes * MB)
    for answer in context.answers:
        assert answer.status == 200 and answer.complete, (answer.status, len(answer.body))
        assert answer.header_by_name["content-length"] == str(len(body)), answer.header_by_name
        assert answer.body == body, len(answer.body)


@then("each has all {megabytes:d} MB of events")
def step_all_events(context, megabytes):
    body = b"".join(long_event(number) for number in range(1, megabytes * MB // (16 * KB) + 1))
    for answer in context.answers:
        assert answer.complete and answer.body == body, (answer.status, len(answer.body))


@then("nothing stays buffered")
def step_nothing_buffered(context):
    pacer = context.gateways[0].daemon.pacer
    eventually(
        lambda: pacer.budget.buffered == 0 and pacer.paused_count == 0, "nothing is buffered"
    )


@when("longer than the stall timeout passes")
def step_stall_passes(context):
    time.sleep(STALL_SECONDS)


@when("the callers leave")
@when("the caller leaves")
def step_leave(context):
    for caller in context.callers:
        caller.socket.close()


@then("the endpoints have no open connection of a caller's request")
def step_no_connection(context):
    eventually(
        lambda: (
            sum(len(each.ended_sends) for each in context.endpoints) == len(context.callers)
            and not any(each.whole_sends for each in context.endpoints)
        ),
        "the endpoints were told",
    )


@then("the endpoints have sent {count:d} whole answers")
def step_sent(context, count):
    eventually(
        lambda: sum(len(each.whole_sends) for each in context.endpoints) == count, "all is sent"
    )


@when("the endpoint has given up")
def step_given_up(context):
    eventually(lambda: any(each.ended_sends for each in context.endpoints), "the endpoint gave up")


@then("the callers have incomplete answers")
def step_incomplete(context):
    answers = [each.read() for each in context.callers]
    if hasattr(context, "answers"):
        answers = context.answers
    assert all(each.status == 200 and not each.complete for each in answers), [
        each.status for each in answers
    ]


@then("no endpoint is blamed")
def step_none_blamed(context):
    assert not context.blamed, context.blamed


@then("the response is {status:d} with {megabytes:g} MB")
def step_response_size(context, status, megabytes):
    assert context.answer.status == status, context.answer.status
    assert context.answer.body == long_body(round(megabytes * MB)), len(context.answer.body)


@when("a caller asks for the headers alone")
def step_head(context):
    gateway = context.gateways[0]
    connection = http.client.HTTPConnection(gateway.host, gateway.port, timeout=10)
    context.stack.push(connection.close)
    headers = {"Host": HOST, "X-Attempt-Id": "head", "X-Key": KEY}
    connection.request("HEAD", "/check/a", headers=headers)
    context.head_response = connection.getresponse()


@behaviours.register("headers alone")
def headers_alone(endpoint, connection, request):
    """Send the headers of a long answer."""
    head = f"HTTP/1.1 200 OK\r\nX-Attempt-Id: {request.header_by_name['x-attempt-id']}\r\n"
    connection.sendall(f"{head}X-Replica-Seal: s\r\nContent-Length: 900000\r\n\r\n".encode())


@then("it gets them and no body")
def step_no_body(context):
    assert context.head_response.status == 200
    assert context.head_response.read() == b""


@when("the caller reads {count:d} answers")
def step_reads_answers(context, count):
    caller = context.callers[0]
    context.answers = [StepThread(context, caller.read).result() for _ in range(count)]


@then("both are whole")
def step_both_whole(context):
    for answer in context.answers:
        assert answer.complete and answer.body == long_body(context.long_bytes), answer.status


@when("it sends {megabytes:d} MB of further requests")
def step_flood(context, megabytes):
    caller = context.callers[0]
    caller.socket.settimeout(1.0)
    request = f"POST /hold/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: more\r\n"
    request += "Content-Length: 1000\r\n\r\n" + "x" * 1000
    try:
        caller.socket.sendall(request.encode() * (megabytes * MB // len(request)))
    except OSError:
        return
    raise AssertionError("the daemon has read all of it")


@then("the daemon has read {megabytes:g} MB of them at most")
def step_read_at_most(context, megabytes):
    for connection in list(context.gateways[0].daemon._ports._connections):
        kept = len(connection._codec.trailing_data[0])
        assert kept <= megabytes * MB, kept


class SlowBodyEndpoint(FakeEndpoint):
    """An endpoint that reads nothing of a request until it is told, or until some time passed."""

    def __init__(self, seconds):
        super().__init__("slow-body", slots=16)
        self.seconds = seconds
        self.opened = 0
        self.may_read = threading.Event()
        # Inherited by the connections: the window closes soon.
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 16 * KB)

    def _serve(self, connection):
        self.opened += 1
        self.may_read.wait(self.seconds)
        try:
            with connection, connection.makefile("rb") as stream:
                request = read_request(stream)
                if request is not None and "x-attempt-id" in request.header_by_name:
                    send_response(connection, 200, b"%d" % len(request.body), request)
        except OSError:
            return


def use_slow_endpoint(context, seconds):
    start_gateways(context, 1, 2)
    context.slow = SlowBodyEndpoint(seconds)
    context.stack.push(context.slow.close)
    context.stack.push(context.slow.may_read.set)
    entry = EndpointEntry("slow-body", SERVICE, context.slow.address, "zone-a", 16, False)
    context.store.entries = [entry]
    state = context.gateways[0].daemon.routing_state
    eventually(lambda: list(state.endpoints_by_id) == ["slow-body"], "the endpoint is known")
    context.slow.opened = 0


@given("a gateway in front of an endpoint that reads bodies after {seconds:g} s")
def step_slow_endpoint(context, seconds):
    use_slow_endpoint(context, seconds)


@given("a gateway in front of an endpoint that reads bodies when told")
def step_told_endpoint(context):
    use_slow_endpoint(context, 15)


@given("its budget is {megabytes:d} MB")
def step_its_budget(context, megabytes):
    set_budget(context, megabytes)


def send_body(context, kind, number, size):
    gateway = context.gateways[0]
    connection = http.client.HTTPConnection(gateway.host, gateway.port, timeout=18)
    headers = {"Host": HOST, "X-Attempt-Id": f"body-{number}", "X-Key": KEY}
    try:
        connection.request("POST", f"/{kind}/a", b"b" * size, headers)
        response = connection.getresponse()
        values = {name.lower(): value for name, value in response.getheaders()}
        return CallerResponse(response.status, response.read(), values, True)
    finally:
        connection.close()


@when("a caller sends a body of {megabytes:d} MB that may be repeated")
def step_repeatable_body(context, megabytes):
    context.answer = send_body(context, "check", 0, megabytes * MB)


@then("the endpoint has opened {count:d} connections")
def step_opened(context, count):
    assert context.slow.opened == count, context.slow.opened


@when("{count:d} callers send bodies of {megabytes:d} MB")
def step_bodies(context, count, megabytes):
    context.bodies = [
        StepThread(
            context,
            send_body,
            context,
            "hold",
            number,
            megabytes * MB,
            unblock=context.slow.may_read.set,
        )
        for number in range(count)
    ]


@then("{count:d} of them are refused as not run, to come back later")
def step_refused(context, count):
    eventually(
        lambda: sum(not each.running for each in context.bodies) == count, "some are refused"
    )
    for each in context.bodies:
        if each.running:
            continue
        answer = each.result()
        assert answer.status == 503, answer.status
        assert float(answer.header_by_name["retry-after"]) > 0, answer.header_by_name


@when("the endpoint reads")
def step_endpoint_reads(context):
    context.slow.may_read.set()


@then("{count:d} of them are served")
def step_served(context, count):
    answers = [each.result() for each in context.bodies]
    served = [each for each in answers if each.status == 200]
    assert len(served) == count, [each.status for each in answers]


@when("its planned stop begins")
def step_stop_begins(context):
    context.gateways[0].begin_planned_stop()


def open_body_caller(context, *lines):
    """Send the head of a request with a body; keep its connection."""
    gateway = context.gateways[0]
    context.body_socket = socket.create_connection((gateway.host, gateway.port), timeout=10)
    context.stack.push(context.body_socket.close)
    head = ["POST /hold/a HTTP/1.1", f"Host: {HOST}", "X-Attempt-Id: body", f"X-Key: {KEY}"]
    context.body_socket.sendall("\r\n".join([*head, *lines, "", ""]).encode())


def read_refusal(context):
    """Read a response whose body is empty."""
    response = http.client.HTTPResponse(context.body_socket)
    response.begin()
    response.read()
    return response


@when("a caller sends {megabytes:d} MB in chunks")
def step_chunked_body(context, megabytes):
    open_body_caller(context, "Transfer-Encoding: chunked")
    for _ in range(megabytes * 16):
        context.body_socket.sendall(b"10000\r\n" + b"b" * (64 * KB) + b"\r\n")
    context.body_socket.sendall(b"0\r\n\r\n")
    context.refusal = read_refusal(context)


@when("a caller asks whether it may send {megabytes:d} MB")
def step_expecting_caller(context, megabytes):
    open_body_caller(context, f"Content-Length: {megabytes * MB}", "Expect: 100-continue")
    context.refusal = read_refusal(context)


@then("it is refused as not run, to come back later")
def step_body_refused(context):
    assert context.refusal.status == 503, context.refusal.status
    assert float(context.refusal.headers["Retry-After"]) > 0


@then("its connection serves the next request")
def step_connection_serves(context):
    head = f"POST /hold/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: next\r\nX-Key: {KEY}\r\n"
    context.body_socket.sendall(f"{head}Content-Length: 4\r\n\r\nbody".encode())
    response = http.client.HTTPResponse(context.body_socket)
    response.begin()
    assert response.status == 200, response.status
