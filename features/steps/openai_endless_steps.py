"""Steps for endpoints and services that send without end to the OpenAI-compatible interface."""

import itertools
import json

from behave import given, then, when

from brassdrum.clock import SystemClock
from brassdrum.endpoints.engine import EngineClient, EngineRequest
from brassdrum.endpoints.service import ServiceClient, ServiceRequest
from brassdrum.errors import BrassdrumError
from brassdrum.logservice.hosts import HttpHostList
from brassdrum.logservice.log import HttpLog
from features.raw_endpoint import ENDLESS_PLANS, UNFRAMED, RawEndpoint, endless, response
from features.support import StepThread

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
