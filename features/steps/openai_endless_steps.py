"""Steps for endpoints and services that send without end to the OpenAI-compatible interface."""

import itertools
import json
import re

from behave import given, then, when

from brassdrum.clock import SystemClock
from brassdrum.daemon.cancels import CancelQueue
from brassdrum.daemon.engine_run import EngineStreamReader, StreamIdentity, StreamTimeouts
from brassdrum.daemon.watch import ExchangeWatchdog
from brassdrum.endpoints.engine import EngineClient, EngineRequest
from brassdrum.endpoints.service import ServiceClient, ServiceRequest
from brassdrum.errors import BrassdrumError, EndpointFailedError
from brassdrum.logservice.hosts import HttpHostList
from brassdrum.logservice.log import HttpLog
from brassdrum.loops import BackgroundLoops
from brassdrum.standins.site import MODEL
from features.raw_endpoint import ENDLESS_PLANS, FILLER, UNFRAMED, RawEndpoint, endless, response
from features.steps.site_steps import caller
from features.support import StepThread, eventually

MIB = 1 << 20
ANSWER = json.dumps({"lots": [1, 2, 3]}).encode()
EARLY_HINTS = b"HTTP/1.1 103 Early Hints\r\nLink: </style.css>\r\n\r\n"
# Many times the time limits of the scenarios, for a busy machine.
ENDING_SECONDS = 60.0
CALL_SECONDS = 30.0


def start_endpoint(context, plan, pause=0.0):
    context.endpoint = RawEndpoint(plan, pause)
    context.stack.push(context.endpoint.close)


def service_call(url, seconds):
    client = ServiceClient("endpoint", url, SystemClock(), list)
    return client.call(ServiceRequest("GET", "/lots", b"", {}, seconds))


def engine_client(url):
    return EngineClient("endpoint", url, SystemClock(), list)


def completion(url, seconds):
    request = EngineRequest("/v1/completions", b"{}", "s1", "daemon", 0, seconds)
    return engine_client(url).open(request, lambda connected: None)


def resumption(url, seconds):
    return engine_client(url).resume(
        "s1", 0, lambda connected: None, model="m", chat=False, timeout_seconds=seconds
    )


def cancellation(url, seconds):
    assert engine_client(url).cancel("s1"), "not confirmed"


CALLS = {
    "a service call": service_call,
    "a completion": completion,
    "a resumption": resumption,
    "a cancellation": cancellation,
    "a load request": lambda url, seconds: engine_client(url).load(),
    "a read of the log": lambda url, seconds: HttpLog(url, seconds).read("s", 0),
    "a read of the hosts": lambda url, seconds: HttpHostList(url, seconds).read(),
}


def call_result(call, url, seconds):
    """Return what a call returned, or the error that it raised."""
    try:
        return CALLS[call](url, seconds)
    except (BrassdrumError, AssertionError) as error:
        return error


@given("an endpoint that sends {what} without end")
def step_endless(context, what):
    start_endpoint(context, ENDLESS_PLANS[what])


@given("an endpoint that sends a body without end, one byte at a time")
def step_trickle(context):
    start_endpoint(context, endless(UNFRAMED % b"200 OK", b"x"), pause=0.02)


@given("an endpoint that sends early hints before its answer")
def step_early_hints(context):
    start_endpoint(
        context, lambda head: itertools.chain([EARLY_HINTS, EARLY_HINTS, response(ANSWER)])
    )


@when("a daemon sends it {call} with a time limit of {seconds:d} s")
def step_limited_call(context, call, seconds):
    thread = StepThread(
        context, call_result, call, context.endpoint.url, seconds, unblock=context.endpoint.close
    )
    context.result = thread.result(ENDING_SECONDS)


@when("a daemon sends it {call}")
def step_call(context, call):
    step_limited_call(context, call, CALL_SECONDS)


@then("the call fails before the endpoint has sent {limit:d} MiB")
def step_fails_early(context, limit):
    step_fails(context)
    assert not context.endpoint.exhausted, "the endpoint was read to its own end"
    assert context.endpoint.sent_bytes < limit * MIB, context.endpoint.sent_bytes


@then("the call fails")
def step_fails(context):
    assert isinstance(context.result, Exception), str(context.result)[:200]


@then("the call returns the answer")
def step_returns(context):
    assert not isinstance(context.result, Exception), context.result
    assert (context.result.status, context.result.body) == (200, ANSWER), context.result


def event(stream, index, finish_reason=None, text=None):
    choice = {"index": 0, "finish_reason": finish_reason, "text": text or f"w{index} "}
    data = json.dumps({"id": stream, "choices": [choice]}, separators=(",", ":"))
    return f"id: {stream}/{index}\ndata: {data}\n\n".encode()


def stream_id_of(head):
    return re.search(rb"(?im)^X-Stream-Id: (\S+)", head)[1].decode()


def replace_engine(context, number, plan, pause=0.0):
    """Put a raw endpoint in the place of an engine."""
    start_endpoint(context, plan, pause)
    replace_endpoint(context, context.site.engines[number].settings.name, context.endpoint.url)


def replace_endpoint(context, name, url):
    """Publish a configuration in which an endpoint has another address."""
    configuration = context.site.configuration()
    endpoints = [
        each.model_copy(update={"url": url}) if each.name == name else each
        for each in configuration.endpoints
    ]
    changed = configuration.model_copy(update={"endpoints": endpoints})
    revision = context.site.publish([changed])
    eventually(
        lambda: all(d.core.control.revision >= revision for d in context.site.daemons),
        "the configuration is in force",
    )


def plan_event_without_end(events_before):
    """Return an engine's plan; all that is no completion is answered by a failure."""

    def plan(head):
        if not head.startswith(b"POST /v1/completions"):
            return [response(b"{}", status="404 Not Found")]
        stream = stream_id_of(head)
        start = UNFRAMED % b"200 OK"
        start += b"".join(event(stream, index) for index in range(events_before))
        return itertools.chain([start, b"data: "], itertools.repeat(FILLER))

    return plan


@given("the engine is replaced by one that sends one event without end as its first one")
def step_first_event_without_end(context):
    replace_engine(context, 0, plan_event_without_end(0))


@given("the engine is replaced by one that sends one event without end after its first event")
def step_second_event_without_end(context):
    replace_engine(context, 0, plan_event_without_end(1))


@when("a caller streams an answer")
def step_stream_answer(context):
    thread = StepThread(
        context, caller(context).complete, MODEL, "blue", 8, unblock=context.endpoint.close
    )
    context.answer = thread.result(ENDING_SECONDS)


@then("the answer ends with {code}")
def step_answer_code(context, code):
    assert context.answer.code == code, (context.answer.status, context.answer.error)
    assert not context.answer.whole


@then("the engine has sent at most {limit:d} MiB")
def step_engine_sent(context, limit):
    assert context.endpoint.sent_bytes <= limit * MIB, context.endpoint.sent_bytes


@given("an engine that sends comments without end")
def step_comments(context):
    start_endpoint(context, endless(UNFRAMED % b"200 OK", b": still working\n\n" * 100), 0.001)


@given("an engine that sends comments between {count:d} events")
def step_comments_between(context, count):
    def plan(head):
        yield UNFRAMED % b"200 OK"
        for index in range(count):
            yield b": still working\n\n" + event("s1", index, "stop") + b":\n\n"
        yield b"data: [DONE]\n\n"

    start_endpoint(context, plan)


def open_reader(context, seconds):
    """Return a reader of the endpoint's stream whose watchdog runs until the scenario ends."""
    clock = SystemClock()
    engine = engine_client(context.endpoint.url)
    watch = ExchangeWatchdog(clock)
    loops = BackgroundLoops("test")
    loops.every("watch", lambda: 0.05, watch.step)
    context.stack.push(loops.stop)
    context.dropped = []
    request = EngineRequest("/v1/completions", b"{}", "s1", "daemon", 0, CALL_SECONDS)
    now = clock.monotonic()
    return EngineStreamReader(
        engine,
        StreamIdentity("s1", "m", False),
        lambda on_connected: engine.open(request, on_connected),
        clock=clock,
        watch=watch,
        cancels=CancelQueue(clock),
        times=StreamTimeouts(now + CALL_SECONDS, now + seconds, seconds),
        disconnected=lambda: False,
        on_dropped=context.dropped.append,
    )


def read_stream(reader):
    """Return all events of a stream, or the error that ended it."""
    try:
        events = reader.start()
        newer = events
        while newer:
            newer = reader.next_events()
            events = events + newer
        return events
    except BrassdrumError as error:
        return error
    finally:
        reader.close()


@when("a reader waits for its first event for {seconds:d} s")
def step_wait_first_event(context, seconds):
    reader = open_reader(context, seconds)
    thread = StepThread(context, read_stream, reader, unblock=context.endpoint.close)
    context.result = thread.result(ENDING_SECONDS)


@when("a reader reads the stream to its end")
def step_read_stream(context):
    step_wait_first_event(context, int(CALL_SECONDS))


@then("the reader fails and no event was dropped")
def step_reader_failed(context):
    assert isinstance(context.result, EndpointFailedError), str(context.result)[:200]
    assert not context.dropped, len(context.dropped)


@then("the reader has {count:d} events and no event was dropped")
def step_reader_events(context, count):
    assert len(context.result) == count, context.result
    assert not context.dropped, context.dropped
