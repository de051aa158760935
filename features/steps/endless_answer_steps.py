"""Steps on answers and requests whose bytes have no end."""

import contextlib
import json
import re
import socket
import threading
import time
from dataclasses import replace

from behave import given, then, when

from brassdrum.clock import SystemClock
from brassdrum.deferred_http import ConnectFailedError, ExchangeFailedError
from brassdrum.errors import PlatformUnavailableError
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.start_page import START_PATH
from brassdrum.gateway.model import CallerLimits, Reservation
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.path.path_watch import _Probe
from brassdrum.gateway.placing.reservations import ReservationManager
from brassdrum.gateway.request.events import EventStreamReader
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.platform.store import PlatformStore
from features.endless_server import (
    CAP_BYTES,
    KB,
    MB,
    SEND_BUFFER_BYTES,
    EndlessServer,
    send_without_end,
)
from features.gateway_world import (
    HOST,
    KEY,
    behaviours,
    create_follower,
    event,
)
from features.steps.explaining_steps import lines
from features.steps.gateway_steps import ALL_EVENTS, received_requests, send_request
from features.support import StepThread, eventually

SLOW_SECONDS = 0.02
# Above the limits on time of all calls that are given up, which are 1 s and less.
GIVEN_UP_SECONDS = 10.0
LONG_BYTES = 12 * MB
SMALL_BYTES = 20 * KB
PATTERN = bytes(range(256)) * 256


def head(request, status=200, *headers):
    """Return the status line and headers of an answer."""
    lines_ = [
        f"HTTP/1.1 {status} X",
        f"X-Attempt-Id: {request.header_by_name.get('x-attempt-id')}",
        "X-Replica-Seal: seal-1",
        *headers,
    ]
    return "\r\n".join(lines_).encode() + b"\r\n\r\n"


def chunk(data):
    """Return a chunk of a body."""
    return b"%x\r\n%b\r\n" % (len(data), data)


CHUNKED = "Transfer-Encoding: chunked"
INFORMATIONAL = b"HTTP/1.1 103 Early Hints\r\nLink: <%b>\r\n\r\n" % (b"l" * 2000)
HEADER = b"X-Long: %b\r\n" % (b"h" * 2000)
COMMENT = b": %b\n\n" % (b"c" * 2000)
TWO_EVENTS = chunk(event(1)) + chunk(event(2))
# What an answer begins with, given its request, and what is repeated then.
SCRIPT_BY_NAME = {
    "informational heads": (lambda request: b"", INFORMATIONAL),
    "headers": (lambda request: b"HTTP/1.1 200 OK\r\n", HEADER),
    "chunk extensions": (
        lambda request: head(request, 200, CHUNKED),
        b"1;%b\r\nx\r\n" % (b"e" * 4000),
    ),
    "a chunk's one extension": (lambda request: head(request, 200, CHUNKED) + b"1;", b"e" * 4000),
    "trailers": (lambda request: head(request, 200, CHUNKED) + TWO_EVENTS + b"0\r\n", HEADER),
    "comments before the events": (lambda request: head(request, 200, CHUNKED), chunk(COMMENT)),
    "comments after two events": (
        lambda request: head(request, 200, CHUNKED) + TWO_EVENTS,
        chunk(COMMENT),
    ),
    "empty lines": (lambda request: head(request, 200, CHUNKED), chunk(b"\n" * 2000)),
}


@behaviours.register("endless answer")
def endless_answer(endpoint, connection, request):
    """Send the beginning of the endpoint's script, and its piece without end."""
    beginning, piece = endpoint.endless_script
    connection.sendall(beginning(request))
    send_without_end(endpoint, connection, piece, endpoint.endless_pause)
    return False


@behaviours.register("whole answer of its script")
def whole_answer(endpoint, connection, request):
    """Send the whole answer of the endpoint's script."""
    connection.sendall(endpoint.whole_script(request))


def set_endless(context, script, pause=0.0, *, always=False):
    """Let the next answer, or all of them, follow a script without end."""
    shared = ["endless answer"]
    for endpoint in context.endpoints:
        endpoint.endless_script = script
        endpoint.endless_pause = pause
        endpoint.endless_bytes = 0
        endpoint.cut_off = threading.Event()
        endpoint.queued_behaviours = ["endless answer"] * 4 if always else shared


@given("the next answer has slow {name} without end")
def step_slow(context, name):
    beginning, piece = SCRIPT_BY_NAME[name]
    # Long pieces would reach a limit on bytes before the limit on time.
    set_endless(context, (beginning, re.sub(rb"([a-z])\1{1000,}", rb"\1", piece)), SLOW_SECONDS)
    if piece == chunk(COMMENT):
        set_endless(context, (beginning, chunk(b": c\n\n")), SLOW_SECONDS)


@given("the next answer has {name} without end")
def step_fast(context, name):
    set_endless(context, SCRIPT_BY_NAME[name])


@given("all answers have {name} without end")
def step_all_fast(context, name):
    set_endless(context, SCRIPT_BY_NAME[name], always=True)


@given("the next answer is a {status:d} whose body has no end")
def step_endless_failure(context, status):
    set_endless(context, (lambda request: head(request, status, CHUNKED), chunk(PATTERN)))


@given("the next answer is a {status:d} with a body of {size:d} MB")
def step_long_failure(context, status, size):
    context.whole_body = PATTERN * (size * MB // len(PATTERN))
    set_whole(
        context,
        lambda request: (
            head(request, status, f"Content-Length: {len(context.whole_body)}") + context.whole_body
        ),
    )


def set_whole(context, script):
    shared = ["whole answer of its script"]
    for endpoint in context.endpoints:
        endpoint.whole_script = script
        endpoint.queued_behaviours = shared


def set_whole_body(context, body, beginning, ending=b""):
    """Let the next answer have a body, sent as ``beginning`` of a request and ``ending`` say."""
    context.whole_body = body
    set_whole(context, lambda request: beginning(request) + ending)


@given("the next answer is a long answer with a length")
def step_long_with_length(context):
    step_answer_of_length(context, LONG_BYTES // MB)


@given("the next answer is an answer of {megabytes:d} MB")
def step_answer_of_length(context, megabytes):
    body = PATTERN * (megabytes * MB // len(PATTERN))
    length = f"Content-Length: {len(body)}"
    set_whole_body(context, body, lambda request: head(request, 200, length), body)


@given("the next answer is a long answer in chunks")
def step_long_in_chunks(context):
    body = PATTERN * (LONG_BYTES // len(PATTERN))
    chunks = chunk(PATTERN) * (LONG_BYTES // len(PATTERN)) + b"0\r\n\r\n"
    set_whole_body(context, body, lambda request: head(request, 200, CHUNKED), chunks)


@given("the next answer is an answer in chunks of one byte")
def step_single_bytes(context):
    body = b"x" * SMALL_BYTES
    ending = chunk(b"x") * SMALL_BYTES + b"0\r\n\r\n"
    set_whole_body(context, body, lambda request: head(request, 200, CHUNKED), ending)


@given("the next answer is an answer after {count:d} informational heads")
def step_few_heads(context, count):
    hints = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>; rel=preload\r\n\r\n" * count

    def beginning(request):
        return hints + head(request, 200, "Content-Length: 5") + b"whole"

    set_whole_body(context, b"whole", beginning)


@given("the next answer is a stream with {count:d} comments before its event")
def step_comments_before(context, count):
    body = b": keep-alive\n\n" * count + ALL_EVENTS
    ending = chunk(body) + b"0\r\n\r\n"
    set_whole_body(context, body, lambda request: head(request, 200, CHUNKED), ending)


@given("the next answer is a stream with {count:d} comments between events")
def step_comments_between(context, count):
    events = [event(number) for number in range(1, 6)]
    body = (b": keep-alive\n\n" * count).join(events)
    ending = chunk(body) + b"0\r\n\r\n"
    set_whole_body(context, body, lambda request: head(request, 200, CHUNKED), ending)


@when('a caller sends a "{kind:w}" with {left:d} ms left')
def step_send_with_time(context, kind, left):
    if kind in ("text", "once"):
        for endpoint in context.endpoints:
            endpoint.default_behaviour = "stream"
    send_request(context, kind, X_Deadline_Remaining=str(left))


@then("the caller is told that it may have run")
def step_may_have_run(context):
    # 502 before the deadline; 504 would say that the answer was held until then.
    assert context.answer.status == 502, context.answer.status
    assert len(received_requests(context)) == 1


@then("the caller has the answer of another endpoint")
def step_other_answer(context):
    assert context.answer.status == 200 and context.answer.complete, context.answer.status
    assert context.answer.body.decode() in {each.name for each in context.endpoints}
    assert len(received_requests(context)) == 2


def without_comments(body):
    blocks = [block + b"\n\n" for block in body.split(b"\n\n") if block.strip()]
    return b"".join(block for block in blocks if not block.lstrip(b"\n").startswith(b":"))


@then("the caller has all events of another endpoint")
def step_other_events(context):
    assert context.answer.status == 200 and context.answer.complete, context.answer.status
    events = without_comments(context.answer.body)
    assert events == ALL_EVENTS, events
    assert len(received_requests(context)) == 2


@then("the caller sees a failure that broke off")
def step_broken_failure(context):
    assert context.answer.status in (400, 500, 502), context.answer.status
    assert not context.answer.complete
    assert len(received_requests(context)) == 1


@then("the caller sees a stream that broke off")
def step_broken_stream(context):
    assert context.answer.status == 502 or not context.answer.complete, context.answer.status


@then("the caller has the {status:d} with its whole body")
def step_whole_failure(context, status):
    assert context.answer.status == status and context.answer.complete, context.answer.status
    assert context.answer.body == context.whole_body


@then("the caller has it whole")
def step_whole(context):
    assert context.answer.status == 200 and context.answer.complete, context.answer.status
    assert context.answer.body == context.whole_body, len(context.answer.body)


@then("the endpoint could send {megabytes:d} MB of it at most")
def step_bounded(context, megabytes):
    for endpoint in context.endpoints:
        assert endpoint.endless_bytes <= megabytes * MB, endpoint.endless_bytes
    step_cut_off(context)


@then("the endpoint's connection was closed")
def step_cut_off(context):
    eventually(lambda: any(each.cut_off.is_set() for each in context.endpoints), "it is closed")


@then('the log names the limit "{text}"')
def step_limit_named(context, text):
    def named():
        return [line for line in lines(context) if text in json.dumps(line.values)]

    eventually(named, f"a line names {text}")


@when("an event of 1 MB comes in pieces of {size:d} bytes")
def step_long_event(context, size):
    reader = EventStreamReader(None)
    data = b"id: 1\ndata: " + b"t" * MB
    began = time.thread_time()
    for start in range(0, len(data), size):
        assert reader.feed(data[start : start + size]) == b""
    context.reading_seconds = time.thread_time() - began
    assert reader.incomplete == data
    context.reader, context.data = reader, data


@then("reading it takes {seconds:d} s of processor time at most")
def step_reading_time(context, seconds):
    assert context.reading_seconds <= seconds, context.reading_seconds


@then("it is whole, with the {newline} after it")
def step_event_whole(context, newline):
    end = {"LF": b"\n\n", "CRLF": b"\r\n\r\n"}[newline]
    # The end comes in single bytes, the last with a part of the next event.
    for position in range(len(end) - 1):
        assert context.reader.feed(end[position : position + 1]) == b""
    assert context.reader.feed(end[-1:] + b"id: 2") == context.data + end
    assert context.reader.last_id == 1 and context.reader.incomplete == b"id: 2"


# Calls that probe and reserve.


OK_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


@given("an endpoint whose reports and orders have a body without end")
def step_endless_reports(context):
    server = EndlessServer(OK_HEAD, chunk(PATTERN))
    context.stack.push(server.close)
    context.endpoints = [server]


def run_loop(context, loop):
    StepThread(context, loop.run, unblock=loop.stop)


@when("a reservation is made there")
def step_reserve(context):
    loop = EventLoop(SystemClock())
    manager = ReservationManager(loop, EndpointPool(loop), PlatformDialect(), 3.0, lambda *_: None)
    context.granted = []
    reservation = Reservation(context.endpoints[0].address, "ticket", 100)
    loop.post(lambda: manager.reserve(reservation, context.granted.append))
    run_loop(context, loop)


@when("a path probe is made there")
def step_probe(context):
    loop = EventLoop(SystemClock())
    pool = EndpointPool(loop)
    context.granted = [False]
    address = context.endpoints[0].address
    loop.post(lambda: _Probe(loop, pool, address, b"/report", lambda _: None))
    run_loop(context, loop)


@then("the call has ended without an answer")
def step_not_granted(context):
    eventually(lambda: context.granted, "the call ends")
    assert context.granted == [False], context.granted
    step_cut_off(context)


# The store and the pages of peers.


def store_page(key):
    """Return a page with one record, after which there are more."""
    item = {"key": key, "value": "", "offset": 1}
    return json.dumps({"items": [item], "has_more": True, "end_offset": 2}).encode()


@given("a store that answers with {name} without end, sent {pace}")
def step_endless_store(context, name, pace):
    script = {
        "a body": (OK_HEAD, chunk(b" " * 2000)),
        "informational heads": (b"", b"HTTP/1.1 100 Continue\r\n\r\n"),
        "headers": (b"HTTP/1.1 200 OK\r\n", b"X: y\r\n"),
        "the same page": (lambda number: store_page("k"), None),
        "new pages": (lambda number: store_page(f"k{number}"), None),
    }[name]
    context.server = EndlessServer(*script, pause=0.0 if pace == "fast" else SLOW_SECONDS)
    context.stack.push(context.server.close)


def ends_in_time(context, function):
    """Return the result of a function, which has to end long before its caller gives up."""
    thread = StepThread(context, function, unblock=context.server.close)
    return thread.result(GIVEN_UP_SECONDS)


@when("the store is read")
def step_read_store(context):
    store = PlatformStore(context.server.address)

    def read():
        try:
            return store.endpoints().records
        except PlatformUnavailableError as error:
            return error

    context.read = ends_in_time(context, read)


@then("the store counts as unavailable")
def step_unavailable(context):
    assert isinstance(context.read, PlatformUnavailableError), context.read


@then("the store could send {megabytes:d} MB of it at most")
def step_store_bounded(context, megabytes):
    assert context.server.endless_bytes <= megabytes * MB, context.server.endless_bytes


@when("a peer's page is read there")
def step_read_page(context):
    loop = EventLoop(SystemClock())
    follower = create_follower(loop, None, RoutingState(), context.server.port)

    def read():
        try:
            return follower.fetch("127.0.0.1", START_PATH)
        except (ConnectFailedError, ExchangeFailedError, ValueError) as error:
            return error

    context.read = ends_in_time(context, read)


@then("the page counts as not read")
def step_page_not_read(context):
    assert isinstance(context.read, Exception), len(context.read)


# Callers.


@given(
    "the limits on callers are {head_bytes:d} bytes of head, {body_bytes:d} bytes of body and "
    "{seconds:g} s"
)
def step_limits(context, head_bytes, body_bytes, seconds):
    limits = CallerLimits(head_bytes, body_bytes, header_seconds=seconds)
    context.store.current = replace(context.store.current, version=8, limits=limits)
    daemon = context.gateways[0].daemon
    eventually(lambda: daemon.limits() == limits, "the limits are in force")


def caller_head(*headers):
    return (
        f"POST /hold/a HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: a\r\nX-Key: {KEY}\r\n"
        + "".join(f"{each}\r\n" for each in headers)
    ).encode()


def send_until_refused(connection, piece, pause):
    """Send a piece without end; return the daemon's answer once it has refused the request."""
    connection.settimeout(20)
    sent = 0
    connection.setblocking(False)
    limit = time.monotonic() + 20
    while time.monotonic() < limit and sent < CAP_BYTES:
        try:
            if answer := connection.recv(4096):
                return answer
            return b""
        except BlockingIOError:
            pass
        except OSError:
            return b""
        try:
            sent += connection.send(piece)
        except BlockingIOError:
            time.sleep(0.001)
        except OSError:
            # The answer may still be there, unless the reset has discarded it.
            with contextlib.suppress(OSError):
                return connection.recv(4096)
            return b""
        if pause:
            time.sleep(pause)
    raise AssertionError(f"{sent} bytes were taken")


@when("a caller sends {name} without end, {pace}")
def step_endless_caller(context, name, pace):
    beginning, piece = {
        "headers": (caller_head(), HEADER),
        "a body in chunks": (caller_head(CHUNKED) + b"\r\n", chunk(b"b" * 2000)),
        "chunk extensions": (caller_head(CHUNKED) + b"\r\n", b"1;%b\r\nx\r\n" % (b"e" * 4000)),
        "trailers": (caller_head(CHUNKED) + b"\r\n0\r\n", HEADER),
    }[name]
    if pace == "slowly":
        piece = b"X: y\r\n" if piece == HEADER else chunk(b"b")
    gateway = context.gateways[0]
    with socket.create_connection((gateway.host, gateway.port)) as connection:
        connection.sendall(beginning)
        pause = SLOW_SECONDS if pace == "slowly" else 0.0
        context.refusal = send_until_refused(connection, piece, pause)


@then("it was refused with {status:d}")
def step_refused(context, status):
    # A reset of a connection with unread data may discard the answer.
    if context.refusal:
        assert context.refusal.split()[1] == b"%d" % status, context.refusal


@when(
    "a caller that reads nothing sends bytes without end after a last request with {left:d} ms left"
)
def step_endless_after_last(context, left):
    gateway = context.gateways[0]
    connection = socket.socket()
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, SEND_BUFFER_BYTES)
    connection.connect((gateway.host, gateway.port))
    context.stack.push(connection.close)
    connection.sendall(
        caller_head("Connection: close", "Content-Length: 0", f"X-Deadline-Remaining: {left}")
        + b"\r\n"
    )
    connection.settimeout(0.2)
    context.kept_bytes, context.was_closed = 0, False
    daemon = gateway.daemon
    limit = time.monotonic() + GIVEN_UP_SECONDS
    while time.monotonic() < limit:
        try:
            connection.send(b"g" * KB)
        except TimeoutError:
            pass
        except OSError:
            context.was_closed = True
            return
        kept = [len(each._codec.trailing_data[0]) for each in list(daemon._ports._connections)]
        context.kept_bytes = max([context.kept_bytes, *kept])
        time.sleep(0.005)


@then("its connection is closed, and the daemon has kept {count:d} bytes of them at most")
def step_closed_after_last(context, count):
    assert context.was_closed
    assert context.kept_bytes <= count, context.kept_bytes
