"""Steps on endpoints that limit the rate of their requests."""

import math
import time

from behave import given, then, when

from features.steps.gateway_steps import (
    received_requests,
    request_from,
    send_request,
    start_gateways,
)
from features.support import StepThread

WINDOW_SECONDS = 4.0
# The platform's rule: in each window one and a half times the limit, and five requests.
EXCESS_FACTOR = 1.5
EXCESS_REQUESTS = 5


def allowed(limit, seconds):
    """Return the requests that an endpoint may get during some seconds."""
    windows = math.ceil(seconds / WINDOW_SECONDS)
    return windows * (EXCESS_FACTOR * limit * WINDOW_SECONDS + EXCESS_REQUESTS)


@given("{daemons:d} gateways in front of {endpoints:d} endpoint that takes 1 request a second")
def step_limited_endpoint(context, daemons, endpoints):
    start_gateways(context, daemons, endpoints)
    context.limit = 1.0
    context.endpoints[0].default_behaviour = "complete response with a limit of 1"


@when("each daemon is told the limit")
def step_told(context):
    for number in range(len(context.gateways)):
        assert send_request(context, "check", number).status == 200
    # What was received by then was sent before all daemons knew the limit.
    context.told_count = len(received_requests(context))


@when('{callers:d} callers at once send a "{kind:w}" to each daemon')
def step_burst(context, callers, kind):
    began = time.monotonic()
    threads = [
        StepThread(context, request_from(context, kind, number))
        for number in range(len(context.gateways))
        for _ in range(callers)
    ]
    context.answers = [thread.result(20) for thread in threads]
    context.burst_seconds = time.monotonic() - began


@then("the endpoint received no more requests than it takes")
def step_within_limit(context):
    received = len(received_requests(context)) - context.told_count
    bound = allowed(context.limit, context.burst_seconds)
    assert received <= bound, f"{received} requests in {context.burst_seconds:.1f} s, {bound}"


@then("the other callers were refused with a Retry-After header")
def step_refused(context):
    served = [answer for answer in context.answers if answer.status == 200]
    refused = [answer for answer in context.answers if answer.status == 503]
    assert len(served) + len(refused) == len(context.answers)
    assert len(served) == len(received_requests(context)) - context.told_count
    assert all(float(answer.header_by_name["retry-after"]) > 0 for answer in refused)
