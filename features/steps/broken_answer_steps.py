"""Steps for answers of endpoints that break off, by framing, content and the connection's end."""

import socket
import time

from behave import given, then, when

from brassdrum.clock import SystemClock
from brassdrum.gateway.guards.process_check import ProcessChecker, ProcessState
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.net.upstream import EndpointPool, OutgoingRequest
from brassdrum.platform.dialect import PlatformDialect
from features.gateway_world import HOST, KEY, FakeEndpoint, behaviours, event
from features.steps.crashing_steps import crash_lines
from features.steps.gateway_steps import received_requests
from features.support import eventually

WHOLE_EVENTS = event(1) + event(2)
# Whole events, then the bytes after them.
CONTENT_BY_NAME = {
    "before any event": (b"", b""),
    "in the first event": (b"", event(1)[:9]),
    "in a later event": (WHOLE_EVENTS, event(3)[:9]),
    "before an event's end line": (WHOLE_EVENTS, event(3)[:-1]),
    "after an event": (WHOLE_EVENTS, b""),
    "after a comment": (WHOLE_EVENTS, b": done\n"),
    "in a comment": (WHOLE_EVENTS, b": do"),
}
# Content of a plain answer before its early end; the last is more than a daemon keeps.
PLAIN_BY_NAME = {
    "in the middle": b"half of an answ",
    "before its content": b"",
    "far from its start": b"x" * 600_000,
}
BACK_SECONDS = 0.02
RESET = b"\x01\0\0\0\0\0\0\0"
MISSING_BYTES = 20


class AnswerScript:
    """What an endpoint sends: the framing with its variants, the content and the end."""

    def __init__(self, framing, content, end):
        self.framing, *self.variants = framing.split(", ")
        self.events, tail = CONTENT_BY_NAME[content]
        if "CRLF" in self.variants:
            self.events, tail = (each.replace(b"\n", b"\r\n") for each in (self.events, tail))
        self.body = self.events + tail
        self.end = end
        self.content_type = "text/event-stream"

    def head(self, request):
        """Return the status line and headers."""
        version = "1.0" if "1.0" in self.variants else "1.1"
        lines = [
            f"HTTP/{version} 200 OK",
            f"X-Attempt-Id: {request.header_by_name.get('x-attempt-id')}",
            "X-Replica-Seal: seal-1",
            f"Content-Type: {self.content_type}",
        ]
        if self.framing == "in chunks":
            lines.append("Transfer-Encoding: chunked")
        if self.framing == "with a length":
            missing = 0 if self.end == "as framed" else MISSING_BYTES
            lines.append(f"Content-Length: {len(self.body) + missing}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n"

    def pieces(self):
        """Return the body as it is written."""
        size = 1 if "bytes" in self.variants else max(1, len(self.body))
        for start in range(0, len(self.body), size):
            piece = self.body[start : start + size]
            yield b"%x\r\n%b\r\n" % (len(piece), piece) if self.framing == "in chunks" else piece
        if self.framing == "in chunks" and self.end == "as framed":
            yield b"0\r\n\r\n"


@behaviours.register("scripted answer")
def scripted_answer(endpoint, connection, request):
    """Send the answer of the endpoint's script and end as it says."""
    script = endpoint.script
    connection.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    connection.sendall(script.head(request))
    for piece in script.pieces():
        connection.sendall(piece)
    if script.end == "as framed":
        return None
    if script.end == "closed by a restart at once":
        endpoint.restart_at_once()
        return False
    if script.end.startswith("closed by a crash"):
        endpoint.crash()
        if script.end.endswith("back in 20 ms"):
            time.sleep(BACK_SECONDS)
            endpoint.restart()
        return False
    if script.end == "reset":
        # Sent bytes are read first: a reset may overtake them.
        time.sleep(0.1)
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        connection.close()
    return False


@given("the endpoints answer a stream {framing} that ends {content}, {end}")
def step_script_all(context, framing, content, end):
    context.script = AnswerScript(framing, content, end)
    for endpoint in context.endpoints:
        endpoint.script = context.script
        endpoint.queued_behaviours = ["scripted answer"] * 4


@given("the next answer is a stream {framing} that ends {content}, {end}")
def step_script_next(context, framing, content, end):
    shared = ["scripted answer"]
    for endpoint in context.endpoints:
        endpoint.script = AnswerScript(framing, content, end)
        endpoint.queued_behaviours = shared


@given("the next plain answer has no length and ends {content}, {end}")
def step_script_plain(context, content, end):
    shared = ["scripted answer"]
    for endpoint in context.endpoints:
        script = AnswerScript("with neither", "before any event", end)
        script.body, script.content_type = PLAIN_BY_NAME[content], "text/plain"
        endpoint.script, endpoint.queued_behaviours = script, shared


@then("the caller sees a broken answer and only whole events")
def step_broken(context):
    answer = context.answer
    assert answer.status == 502 or not answer.complete, (answer.status, answer.body)
    assert answer.body == (context.script.events if answer.status == 200 else b""), answer.body


@then("the caller sees a whole answer and only whole events")
def step_whole(context):
    answer = context.answer
    assert answer.status == 200 and answer.complete, (answer.status, answer.body)
    assert answer.body == context.script.body, answer.body


@then("two endpoints received the request")
def step_two_sends(context):
    assert len(received_requests(context)) == 2


class NextCall:
    """Send one more request when the answer has ended, and stop the loop at the end of all."""

    def __init__(self, loop, pool, address, left):
        self._loop, self._pool, self._address, self._left = loop, pool, address, left
        self.ends = []
        self.calls = []

    def start(self):
        """Send the next request."""
        headers = [(b"Host", b"x"), (b"X-Attempt-Id", b"a"), (b"Content-Length", b"0")]
        request = OutgoingRequest(b"POST", b"/check/a", headers, b"")
        self._left -= 1
        self.calls.append(self._pool.call(self._address, self, request))

    def response_started(self, status, headers):
        """Ignore the head."""

    def response_data(self, content):
        """Ignore the body."""

    def response_completed(self):
        """Record the end."""
        self._ended("whole")

    def call_failed(self, how, detail):
        """Record the failure."""
        self._ended(detail)

    def _ended(self, end):
        self.ends.append(end)
        if self._left:
            self.start()
        else:
            self._loop.stop()


@given("an endpoint whose answers have no length")
def step_unframed_endpoint(context):
    context.endpoint = FakeEndpoint("endpoint-1")
    context.stack.push(context.endpoint.close)
    context.endpoint.default_behaviour = "no content length"


@when("it is asked for {count:d} answers at once whether its process still runs")
def step_ask(context, count):
    loop = EventLoop(SystemClock())
    context.checker = ProcessChecker(loop, EndpointPool(loop), PlatformDialect())
    context.states = []

    def checked(state):
        context.states.append(state)
        if len(context.states) == count:
            loop.stop()

    for _ in range(count):
        context.checker.check(context.endpoint.entry(), loop.now(), checked)
    loop.run()


@then("it runs as far as {count:d} answers know, after {questions:d} question")
def step_asked(context, count, questions):
    assert context.states == [ProcessState.RUNNING] * count, context.states
    assert context.checker.questions_sent == questions


@when("a request is sent to it as soon as the answer before it has ended")
def step_send_next(context):
    loop = EventLoop(SystemClock())
    context.sender = NextCall(loop, EndpointPool(loop), context.endpoint.address, 2)
    context.sender.start()
    loop.run()


@then("both requests are answered, each over a connection of its own")
def step_both_answered(context):
    assert context.sender.ends == ["whole", "whole"], context.sender.ends
    assert [each.reused for each in context.sender.calls] == [False, False]


@then("the log records its content for each of {count:d} endpoints that crashed, whatever its id")
def step_log_names(context, count):
    eventually(lambda: len(crash_lines(context)) == count, "the crash is logged")


@when('a caller without HTTP/1.1 sends a "{kind:w}"')
def step_old_caller(context, kind):
    gateway = context.gateways[0]
    head = f"POST /{kind}/a HTTP/1.0\r\nHost: {HOST}\r\nX-Attempt-Id: old\r\nX-Key: {KEY}\r\n"
    context.received, context.was_reset = b"", False
    with socket.create_connection((gateway.host, gateway.port), timeout=10) as connection:
        connection.sendall(
            f"{head}X-Deadline-Remaining: 9000\r\nContent-Length: 0\r\n\r\n".encode()
        )
        try:
            while data := connection.recv(4096):
                context.received += data
        except ConnectionResetError:
            context.was_reset = True


@then("its connection is reset after the whole events")
def step_reset(context):
    assert context.was_reset, context.received


@then("its connection is closed after the whole events")
def step_closed(context):
    assert not context.was_reset
    assert context.received.partition(b"\r\n\r\n")[2] == context.script.body, context.received
