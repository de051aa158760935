"""Steps on requests that end the endpoints that run them."""

from behave import given, then, when

from brassdrum.telemetry import log_events
from features.gateway_world import ENDING_BODY, HOST, KEY, call
from features.steps.explaining_steps import lines
from features.steps.gateway_steps import send, start
from features.support import eventually


def send_ending(context, daemon, kind="text"):
    """Send the request that ends its endpoint to a daemon, as a caller that comes again."""
    gateway = context.gateways[daemon - 1]
    context.sent = getattr(context, "sent", 0) + 1
    headers = {
        "Host": HOST,
        "X_Attempt_Id": f"ending-{context.sent}",
        "X_Key": KEY,
        "X_Deadline_Remaining": "9000",
    }
    context.answer = call(gateway.host, gateway.port, "POST", f"/{kind}/a", ENDING_BODY, **headers)
    return context.answer


def ended_lines(context):
    return [line for line in lines(context) if line.event == log_events.ENDPOINT_ENDED.name]


@when("a request that ends its endpoint comes to daemon {daemon:d}")
def step_comes(context, daemon):
    send_ending(context, daemon)


@then("the log names its content at each of {count:d} endpoints that ended")
def step_log_names(context, count):
    eventually(lambda: len(ended_lines(context)) == count, "each end is logged")
    found = ended_lines(context)
    assert len({line.values["endpoint"] for line in found}) == count
    assert len({content for line in found for content in line.values["contents"]}) == 1
    assert all("ending-1" in line.values["requests"] for line in found)


@then("the log names no endpoint that ended")
def step_log_names_none(context):
    eventually(lambda: lines(context), "the log is written")
    assert not ended_lines(context)


@given("{daemons:d} gateways before {endpoints:d} endpoints")
def step_gateways(context, daemons, endpoints):
    start(context, daemons, endpoints)
    for endpoint in context.endpoints:
        endpoint.usual = "stream"


@when("a request that ends its endpoint comes {times:d} times, each time to the next daemon")
def step_comes_times(context, times):
    for number in range(times):
        send_ending(context, number % len(context.gateways) + 1)


@then("at most {count:d} endpoints have ended")
def step_at_most(context, count):
    ended = [each.name for each in context.endpoints if each.ended]
    assert len(ended) <= count, ended


@then("every daemon refuses it as not run and says when to come back")
def step_refused(context):
    for number in range(1, len(context.gateways) + 1):
        received = sum(len(each.requests) for each in context.endpoints)
        answer = send_ending(context, number)
        assert answer.status == 503, (number, answer.status)
        assert float(answer.header_by_name["retry-after"]) > 0
        assert sum(len(each.requests) for each in context.endpoints) == received


@then("another request to the same path is served by every daemon")
def step_another_served(context):
    for number in range(len(context.gateways)):
        assert send(context, "text", number).status == 200
