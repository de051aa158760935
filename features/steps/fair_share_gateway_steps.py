"""Steps on running gateway daemons whose requests wait for the slots of one endpoint."""

import functools
import threading
from dataclasses import replace

from behave import given, then, when

from brassdrum.gateway.model import Organisation, RouteKind
from features.gateway_world import (
    HOST,
    FakeEndpoint,
    FakeStore,
    RunningGateway,
    behaviours,
    call,
    configuration,
    free_port,
    route,
)
from features.steps.gateway_steps import ENGINE, BackgroundCaller
from features.support import eventually

# Long enough that no request becomes late while a scenario runs.
CALM = route(
    "calm", RouteKind.STREAM, timeout=14.0, objective=12.0, pause_objective=12.0, max_attempts=1
)
ORGANISATIONS = (
    Organisation("large", frozenset({"key-large"}), 1),
    Organisation("small", frozenset({"key-small"}), 1),
    Organisation("urgent", frozenset({"key-urgent"}), 0),
)


# Back-offs of some seconds, so that the load of the machine does not decide who takes a slot.
LONG_FLUSH_SECONDS = 0.25


@behaviours.register("stream that ends in turn")
def stream_in_turn(endpoint, connection, request):
    """Answer a request once the scenario ends its stream."""
    ended = endpoint.ended_by_request.setdefault(
        request.header_by_name["x-attempt-id"], threading.Event()
    )
    ended.wait(20)
    behaviours.get("stream")(endpoint, connection, request)


def ask(context, number, organisation):
    """Send a request in a thread to one of the daemons."""
    gateway = context.gateways[number]
    context.asked += 1
    headers = {
        "Host": HOST,
        "X_Attempt_Id": f"{organisation}-{context.asked}",
        "X_Key": f"key-{organisation}",
        "X_Deadline_Remaining": "14000",
        "X_Token_Usage": "100,30",
    }
    request = functools.partial(
        call, gateway.host, gateway.port, "POST", "/calm/a", b"the body", **headers
    )
    BackgroundCaller(context, request)


def queue(context, number):
    """Return the queue of a daemon."""
    return context.gateways[number].daemon.wait_queue


@given("{count:d} running daemons whose {slots:d} slots a flood uses, one of it waiting on each")
def step_running(context, count, slots):
    context.asked = 0
    context.endpoint = FakeEndpoint("endpoint-1", slots=slots)
    context.endpoint.default_behaviour = "stream that ends in turn"
    context.endpoint.ended_by_request = {}
    context.stack.push(context.endpoint.close)
    store = FakeStore()
    store.current = replace(configuration(7, ENGINE, (CALM,)), organisations=ORGANISATIONS)
    store.entries = [context.endpoint.entry()]
    port = free_port()
    context.gateways = [RunningGateway(store, number + 2, port) for number in range(count)]
    for gateway in context.gateways:
        context.stack.push(gateway.close)
        gateway.daemon.placer._selector._flush_seconds = lambda: LONG_FLUSH_SECONDS
    for gateway in context.gateways:
        eventually(gateway.ready, f"{gateway.host} is ready")
    eventually(
        lambda: all(each.daemon._peers.live == count for each in context.gateways),
        "the daemons have discovered each other",
    )
    for _ in range(slots):
        ask(context, 0, "large")
    eventually(lambda: len(context.endpoint.requests) == slots, "the slots are in use")
    eventually(
        lambda: all(
            each.daemon.load_table.total("endpoint-1").streams == slots for each in context.gateways
        ),
        "all daemons know that the slots are in use",
    )
    for number in range(count):
        ask(context, number, "large")
    eventually(lambda: all(len(queue(context, each)) == 1 for each in range(count)), "all wait")


@given("their fair shares are switched off")
def step_switched_off(context):
    for gateway in context.gateways:
        gateway.daemon.settings = replace(gateway.daemon.settings, fair_shares=False)


@when("a request of {organisation:w} waits on the last daemon")
def step_waits(context, organisation):
    ask(context, -1, organisation)
    eventually(lambda: len(queue(context, -1)) == 2, "it waits")


@when("all others yield to it")
def step_others_yield(context):
    eventually(
        lambda: all(each.daemon.wait_queue.yielding == 1 for each in context.gateways),
        "all requests of the flood yield",
    )


@when("a stream of the first daemon ends")
def step_stream_ends(context):
    context.slots = len(context.endpoint.requests)
    next(iter(context.endpoint.ended_by_request.values())).set()


@then("the endpoint gets the request of {organisation:w}")
def step_gets(context, organisation):
    requests = context.endpoint.requests
    eventually(lambda: len(requests) > context.slots, "the endpoint gets a request")
    assert requests[context.slots].header_by_name["x-tenant"] == organisation


@then("the metrics of the first daemon count {count:d} waiting request of {name:w} that yields")
def step_metrics(context, count, name):
    page = context.gateways[0].daemon.metrics.page().decode()
    values = dict(
        line.rsplit(" ", 1) for line in page.splitlines() if line and not line.startswith("#")
    )
    for metric in ("waiting_requests", "yielding_requests"):
        value = next(values[each] for each in values if f"gateway_{metric}" in each)
        assert float(value) == count, (metric, value)
    named = next(each for each in values if f'organisation="{name}"' in each)
    assert "waiting_by_organisation" in named and float(values[named]) == count


@when("a further request of the flood waits on the first daemon")
def step_further(context):
    context.lines = []
    daemon = context.gateways[0].daemon
    log_event = daemon.log_event

    def keep(event, **values):
        context.lines.append((event.name, values))
        log_event(event, **values)

    daemon.log_event = keep
    ask(context, 0, "large")
    eventually(lambda: len(queue(context, 0)) == 2, "it waits")


@then("its waiting line says that it yields to priority {priority:d} of {name:w}")
def step_line(context, priority, name):
    (values,) = [values for event, values in context.lines if event == "waiting"]
    assert values["yields"] and values["yields_to"] == f"priority {priority} of {name}", values
