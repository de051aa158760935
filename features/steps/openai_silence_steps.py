"""Steps for endpoints that fall silent or break off and go on, behind the OpenAI-compatible API."""

import json
import logging
import re
import socket
import threading
import time

from behave import given, then, when

from brassdrum.caller import Answer, Caller
from brassdrum.http_pool import ExchangeFailedError
from brassdrum.settings import ShutdownSettings
from brassdrum.standins.site import MODEL
from features.raw_endpoint import UNFRAMED, response
from features.steps.caller_steps import completion_body
from features.steps.openai_endless_steps import (
    event,
    replace_endpoint,
    replace_engine,
    start_endpoint,
    stream_id_of,
)
from features.steps.site_steps import caller
from features.steps.stream_steps import event_texts
from features.support import StepThread, eventually

LONG_EVENT_BYTES = 65536
RECEIVE_BUFFER_BYTES = 4096
# For a busy machine; a stopping daemon waits 30 s at most.
ANSWER_SECONDS = 60.0
# Events of a stream that breaks off after its first one.
EVENTS = 3
FAILURES = {
    "refuses with 503": response(b"{}", status="503 Service Unavailable"),
    "refuses with 429": response(b"{}", status="429 Too Many Requests"),
    "refuses with 410": response(b"{}", status="410 Gone"),
    "closes the connection of": b"",
}
SILENCE = "is silent for 1 s, then "


class BreakingEngine:
    """Send the first events of a stream, and fail some of its resumptions."""

    def __init__(self, failure, count, events):
        self._events = events
        self._silent_seconds = 1.0 if failure.startswith(SILENCE) else 0.0
        self._failure = FAILURES[failure.removeprefix(SILENCE)]
        self._left = count
        self._never = threading.Event()

    def plan(self, head):
        """Return the pieces to send for one request."""
        if head.startswith(b"POST /v1/completions"):
            return [UNFRAMED % b"200 OK", *self._stream(stream_id_of(head), 0, self._events)]
        if not re.match(rb"GET /v1/streams/", head):
            return [response(b"{}", status="404 Not Found")]
        if self._left > 0:
            self._left -= 1
            return self._fail()
        stream, start = re.match(rb"GET /v1/streams/([^?]+)\?from=(\d+)", head).groups()
        return [UNFRAMED % b"200 OK", *self._stream(stream.decode(), int(start), EVENTS)]

    def _fail(self):
        self._never.wait(self._silent_seconds)
        yield self._failure

    @staticmethod
    def _stream(stream, start, end):
        for index in range(start, end):
            yield event(stream, index, "stop" if index == EVENTS - 1 else None)
        if end == EVENTS:
            yield b"data: [DONE]\n\n"


@given(
    "the engine is replaced by one that breaks off a stream and {failure} the first {count:d} "
    "resumptions"
)
def step_breaking_engine(context, failure, count):
    replace_engine(context, 0, BreakingEngine(failure, count, 1).plan)


@given(
    "the engine is replaced by one that serves a stream and {failure} the first {count:d} "
    "resumptions"
)
def step_serving_engine(context, failure, count):
    replace_engine(context, 0, BreakingEngine(failure, count, EVENTS).plan)


@then("the answer is complete")
def step_answer_complete(context):
    assert context.answer.whole, (context.answer.status, context.answer.error)
    assert event_texts(context.answer.body) == [f"w{index} " for index in range(EVENTS)]


@then("the engine was sent {completions:d} completion and {resumptions:d} resumption")
@then("the engine was sent {completions:d} completion and {resumptions:d} resumptions")
def step_engine_requests(context, completions, resumptions):
    heads = list(context.endpoint.heads)
    sent = [head for head in heads if head.startswith(b"POST /v1/completions")]
    resumed = [head for head in heads if re.match(rb"GET /v1/streams/", head)]
    assert (len(sent), len(resumed)) == (completions, resumptions), (len(sent), len(resumed))


@when("the caller resumes its answer until it is served")
def step_resume_until_served(context):
    headers = {
        "Brassdrum-Resume-Token": context.answer.headers["Brassdrum-Resume-Token"],
        "Last-Event-ID": "0",
    }
    context.resumptions = []

    def served():
        context.resumptions.append(caller(context).send("GET", "/v1/resume", None, headers))
        return context.resumptions[-1].whole

    eventually(served, "the stream is resumed")


@then("no resumption was refused for good")
def step_not_refused(context):
    codes = [answer.code for answer in context.resumptions]
    assert "resume_refused" not in codes, codes


@then("the engine was not asked to cancel a stream")
def step_not_cancelled(context):
    cancelled = [head for head in context.endpoint.heads if b"/cancel" in head.split(b"\r\n")[0]]
    assert not cancelled, cancelled


@then("the resumed answer is complete")
def step_resumed_complete(context):
    texts = event_texts(context.resumptions[-1].body)
    assert texts == [f"w{index} " for index in range(1, EVENTS)], texts


class LongAnswerEngine:
    """Send events until a daemon holds some for its caller, then the end of the stream."""

    def __init__(self, daemon):
        self._streams = []
        relay = daemon.core.relay
        add = relay.add

        def add_and_keep(stream):
            self._streams.append(stream)
            add(stream)

        relay.add = add_and_keep

    def plan(self, head):
        """Return the pieces to send for one request."""
        if not head.startswith(b"POST /v1/completions"):
            return [response(b"{}", status="404 Not Found")]
        return self._events(stream_id_of(head))

    def _events(self, stream):
        yield UNFRAMED % b"200 OK" + event(stream, 0)
        eventually(lambda: self._streams, "the stream is relayed")
        relayed = self._streams[0]
        index = 1
        while not relayed.writer.backlog:
            yield event(stream, index, text="x" * LONG_EVENT_BYTES)
            index += 1
            self._wait_until_relayed(relayed, index)
        yield event(stream, index, "stop") + b"data: [DONE]\n\n"

    @staticmethod
    def _wait_until_relayed(stream, count):
        eventually(lambda: stream.reader._assembler.next_index >= count, "events are relayed")


class UnreadingCaller:
    """Send one request, and read its answer when told to."""

    def __init__(self, context, method, path, body):
        host, port = context.site.daemons[0].url.removeprefix("http://").split(":")
        self._socket = socket.socket()
        context.stack.push(self._socket.close)
        self._socket.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._socket.settimeout(ANSWER_SECONDS)
        self._socket.connect((host, int(port)))
        head = f"{method} {path} HTTP/1.0\r\nAuthorization: Bearer {context.secret}\r\n"
        head += f"Content-Type: application/json\r\nContent-Length: {len(body)}\r\n\r\n"
        self._socket.sendall(head.encode() + body)

    def leave(self):
        """Close the connection."""
        self._socket.close()

    def read(self):
        """Return the answer up to the end of the connection."""
        parts = []
        try:
            while part := self._socket.recv(1 << 20):
                parts.append(part)
        except ConnectionResetError:
            # What was read before is judged.
            pass
        return b"".join(parts)


def stop_daemon(context):
    """Start the planned stop of the first daemon in a thread; return once it waits for requests."""
    daemon = context.site.daemons[0]
    context.stopping = StepThread(context, daemon.stop)
    eventually(daemon.core.stopping.is_set, "the daemon waits for its requests")


@given("the engine is replaced by one that sends more than a caller takes without reading")
def step_long_answer_engine(context):
    replace_engine(context, 0, LongAnswerEngine(context.site.daemons[0]).plan)


@when("a caller sends a streamed request and reads nothing until the daemon is stopping")
def step_unread_stream(context):
    context.reader = UnreadingCaller(context, "POST", "/v1/completions", completion_body())
    active = context.site.daemons[0].core.active
    eventually(lambda: len(context.endpoint.heads) and len(active), "the request runs")
    eventually(lambda: len(active) == 0, "the daemon has the whole stream", ANSWER_SECONDS)
    stop_daemon(context)
    # Past the wait for requests that arrive in the last moment.
    time.sleep(2.0)


@then("the caller reads the whole stream")
def step_whole_stream(context):
    body = context.reader.read()
    assert body.endswith(b"data: [DONE]\n\n"), body[-80:]
    context.stopping.result(ANSWER_SECONDS)


@given("the service is replaced by one that answers {size:d} MiB")
def step_large_service(context, size):
    start_endpoint(context, lambda head: [response(b"x" * (size << 20))])
    replace_endpoint(context, "remnants-1", context.endpoint.url)


@when("a caller calls the service and reads nothing until {seconds:d} s after the daemon stops")
def step_unread_call(context, seconds):
    context.reader = UnreadingCaller(context, "GET", "/services/remnants/lots", b"")
    active = context.site.daemons[0].core.active
    eventually(lambda: len(context.endpoint.heads) and len(active) == 0, "the call is answered")
    stop_daemon(context)
    time.sleep(seconds)


@then("the caller reads an answer of {size:d} MiB")
def step_whole_call(context, size):
    body = context.reader.read().partition(b"\r\n\r\n")[2]
    assert len(body) == size << 20, len(body)
    context.stopping.result(ANSWER_SECONDS)


class PausingEngine:
    """Pause in a stream until the test ends; send the rest to who resumes it, unless cancelled."""

    def __init__(self, sent, tokens):
        self._sent = sent
        self._tokens = tokens
        self._cancelled = False
        self.ended = threading.Event()

    def plan(self, head):
        """Return the pieces to send for one request."""
        if head.startswith(b"POST /v1/completions"):
            return self._begin(stream_id_of(head))
        if b"/cancel" in head.split(b"\r\n")[0]:
            self._cancelled = True
            return [response(b"{}")]
        match = re.match(rb"GET /v1/streams/([^?]+)\?from=(\d+)", head)
        if match is None:
            return [response(b"{}", status="404 Not Found")]
        if self._cancelled:
            return [response(b"{}", status="410 Gone")]
        return self._rest(match[1].decode(), int(match[2]))

    def _begin(self, stream):
        yield UNFRAMED % b"200 OK"
        for index in range(self._sent):
            yield event(stream, index)
        self.ended.wait()

    def _rest(self, stream, start):
        yield UNFRAMED % b"200 OK"
        for index in range(start, self._tokens):
            yield event(stream, index)
        yield event(stream, self._tokens, "stop") + b"data: [DONE]\n\n"


@given(
    "the engine is replaced by one that pauses after {sent:d} of {tokens:d} tokens until the "
    "stream is resumed"
)
def step_pausing_engine(context, sent, tokens):
    engine = PausingEngine(sent, tokens)
    replace_engine(context, 0, engine.plan)
    context.stack.push(engine.ended.set)
    context.tokens = tokens


@when("the stream is cut by a daemon that stops and waits for nobody")
def step_cut_stream(context):
    daemon = context.site.daemons[0]
    shutdown = ShutdownSettings(notice_seconds=0, drain_seconds=0)
    daemon.settings = daemon.settings.model_copy(update={"shutdown": shutdown})
    context.results = []
    daemon.core.metrics.requests = RecordingCounter(context.results)
    answer = Answer()
    first = Caller(daemon.url, context.secret)
    body = completion_body(max_tokens=context.tokens)
    stopping = None
    try:
        for _ in first.stream("POST", "/v1/completions", body, None, answer, time.monotonic()):
            if answer.tokens >= 20 and stopping is None:
                stopping = StepThread(context, daemon.stop)
    except ExchangeFailedError:
        # The daemon's stop may cut the connection.
        pass
    stopping.result(ANSWER_SECONDS)
    assert not answer.whole
    end = answer.body.rfind(b"\n\n") + 2
    context.first_part = answer.body[:end]
    context.resume_token = answer.headers["Brassdrum-Resume-Token"]


@when("the caller resumes it at the other daemon")
def step_resume_other(context):
    last_id = re.findall(rb"id: (\d+)", context.first_part)[-1].decode()
    headers = {"Brassdrum-Resume-Token": context.resume_token, "Last-Event-ID": last_id}
    context.second_part = caller(context, 1).send("GET", "/v1/resume", None, headers)
    assert context.second_part.whole, (context.second_part.status, context.second_part.error)


@then("the cut stream is recorded as {result}")
def step_recorded(context, result):
    eventually(lambda: context.results, "the request is counted")
    assert context.results == [result], context.results


class RecordingCounter:
    """Keep the results that a counter is given."""

    def __init__(self, results):
        self._results = results

    def add(self, _count, attributes):
        """Note one request's result."""
        self._results.append(attributes["result"])


@given("the engine is replaced by one whose only event holds {data}")
def step_one_event_engine(context, data):
    def plan(head):
        if not head.startswith(b"POST /v1/completions"):
            return [response(b"{}", status="404 Not Found")]
        name = stream_id_of(head)
        return [UNFRAMED % b"200 OK", f"id: {name}/0\ndata: {data}\n\ndata: [DONE]\n\n".encode()]

    replace_engine(context, 0, plan)


@when("a completion with a key that may run once is sent twice without streaming")
def step_completion_twice(context):
    headers = {"Idempotency-Key": "k-1", "Brassdrum-Repeatable": "false"}
    body = completion_body(stream=False)
    context.answers = [
        caller(context).send("POST", "/v1/completions", body, headers) for _ in range(2)
    ]


@then("both answers say that it may have run, and the engine was sent it once")
def step_may_have_run_once(context):
    check_may_have_run(context.answers)
    sent = [head for head in context.endpoint.heads if head.startswith(b"POST /v1/completions")]
    assert len(sent) == 1, len(sent)


def check_may_have_run(answers):
    for answer in answers:
        assert answer.error is not None, answer
        assert answer.error["ran"] == "maybe", answer.error
        assert answer.headers["X-Should-Retry"] == "false", answer.headers


@given("the daemon fails on every answer of the service")
def step_failing_daemon(context):
    client = context.site.daemons[0].core.dispatcher.fleet.services_by_name["remnants-1"]
    call = client.call

    def call_and_fail(request):
        call(request)
        raise RuntimeError("a fault of the daemon")

    client.call = call_and_fail


@when("a hold with the same key is sent twice")
def step_hold_twice(context):
    headers = {"Idempotency-Key": "k-1", "Effect-Id": "hold-1"}
    context.answers = [
        caller(context).send("POST", "/services/remnants/holds", b"{}", headers) for _ in range(2)
    ]


@then("both answers say that the call may have run, and it ran once")
def step_call_may_have_run_once(context):
    check_may_have_run(context.answers)
    runs = context.site.services[0].runs_by_id["hold-1"]
    assert runs == 1, runs


@then("the answer is complete with 1 event")
def step_one_event(context):
    assert context.answer.whole, (context.answer.status, context.answer.error)
    assert event_texts(context.answer.body) == ["w0 "], context.answer.body


class KeptRecords(logging.Handler):
    """Keep the records of one logger."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep one record."""
        self.records.append(record)


@when("a caller streams an answer and the log is kept")
def step_stream_with_log(context):
    logger = logging.getLogger("brassdrum.daemon.finishing")
    context.kept = KeptRecords()
    level = logger.level
    logger.addHandler(context.kept)
    logger.setLevel(logging.INFO)
    context.stack.push(lambda: logger.setLevel(level))
    context.stack.push(lambda: logger.removeHandler(context.kept))
    context.answer = caller(context).complete(MODEL, "blue", EVENTS)


@then('the line "{line}" has the reason "{reason}" and ran "{ran}"')
def step_reason(context, line, reason, ran):
    eventually(lambda: context.kept.records, "the request's end is logged")
    record = context.kept.records[-1]
    assert record.getMessage() == line, record.getMessage()
    assert reason in record.reason and record.ran == ran, (record.reason, record.ran)


@given('the engine is replaced by one that refuses with the message "{message}"')
def step_refusing_message(context, message):
    body = json.dumps({"error": {"message": message, "ran": "no"}}).encode()
    replace_engine(context, 0, lambda head: [response(body, status="400 Bad Request")])


@then('no line that was kept holds "{text}"')
def step_not_quoted(context, text):
    assert not any(text in str(record.__dict__) for record in context.kept.records)


def resumption_count(context):
    return sum(head.startswith(b"GET /v1/streams/") for head in list(context.endpoint.heads))


@when("a caller streams an answer and leaves after the second resumption")
def step_leave_during_resumption(context):
    logger = logging.getLogger("brassdrum.daemon.relay")
    context.kept = KeptRecords()
    logger.addHandler(context.kept)
    context.stack.push(lambda: logger.removeHandler(context.kept))
    logger.setLevel(logging.ERROR)
    context.stack.push(lambda: logger.setLevel(logging.NOTSET))
    leaving = UnreadingCaller(context, "POST", "/v1/completions", completion_body())
    eventually(lambda: resumption_count(context) >= 2, "the stream is resumed")
    leaving.leave()
    active = context.site.daemons[0].core.active
    eventually(lambda: len(active) == 0, "the daemon sees that the caller has left")
    context.resumptions_before = resumption_count(context)


@then("the engine is asked for at most {count:d} further resumptions")
def step_few_resumptions(context, count):
    # All ten tries take less.
    time.sleep(8.0)
    further = resumption_count(context) - context.resumptions_before
    assert further <= count, further


@then("the relay has logged no fault")
def step_no_fault(context):
    assert not context.kept.records, context.kept.records[0].getMessage()
