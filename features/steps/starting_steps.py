"""Steps on requests that arrive before a daemon has a configuration."""

import re

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.model import DeclaredRequest, RequestHead
from brassdrum.gateway.request.early import HeldRequestQueue
from features.gateway_world import configuration
from features.steps.gateway_steps import send_request, start_gateways
from features.support import StepTimer

HEAD = RequestHead(b"GET", b"/", [])


class FakeHandler:
    """Handler of a request that is being processed."""

    def caller_disconnected(self):
        """Ignore the disconnect."""


@given("a daemon without a configuration")
def step_no_configuration(context):
    context.loop = SimulatedLoop()
    context.refused = []
    context.held_requests = HeldRequestQueue(
        context.loop,
        lambda held, _detail: context.refused.append(held.request.id),
        lambda _held: None,
    )
    context.arrived_by_caller = {}
    context.held_by_caller = {}


def hold_request(context, caller, timeout, resume_after=None, body=b""):
    request = DeclaredRequest(caller, b"GET", b"/", "h", [], timeout, resume_after=resume_after)
    context.arrived_by_caller[caller] = context.loop.now()
    held = context.held_requests.hold(None, HEAD, body, request)
    context.held_by_caller[caller] = held
    return held


@when("callers {callers} send requests with a timeout of {timeout:g} s, {interval:g} s apart")
def step_callers(context, callers, timeout, interval):
    for caller in re.findall(r"\b[a-c]\b", callers):
        hold_request(context, caller, timeout)
        context.loop.advance(interval)


@when("caller {caller:w} sends a request with a timeout of {timeout:g} s")
def step_caller(context, caller, timeout):
    hold_request(context, caller, timeout)


@when("caller {caller:w} sends a request with a timeout of {timeout:g} s that resumes a stream")
def step_resumes(context, caller, timeout):
    hold_request(context, caller, timeout, resume_after=3)


@when("caller {caller:w} disconnects")
def step_caller_disconnects(context, caller):
    context.held_by_caller[caller].caller_disconnected()


@when("{count:d} callers send requests with a timeout of {timeout:g} s")
def step_many(context, count, timeout):
    for number in range(count):
        hold_request(context, str(number), timeout)


@when("callers send requests with bodies of {size:d} MB until one is not held")
def step_large_bodies(context, size):
    context.held_requests.refuse_all("cleared")
    while hold_request(context, "large", 10.0, body=bytes(size << 20)) is not None:
        pass


@when("{seconds:g} s pass without a configuration")
def step_time_passes(context, seconds):
    context.loop.advance(seconds)


@when("a configuration arrives after {seconds:g} s")
def step_configuration_arrives(context, seconds):
    context.loop.advance(seconds)
    context.processed = []

    def handle(held):
        context.processed.append(held)
        return FakeHandler()

    context.held_requests.release(handle)


@when("the daemon begins a planned stop")
def step_planned_stop(context):
    context.held_requests.refuse_all("about to stop")


@then("the requests of callers {callers} are processed with their arrival times")
def step_processed(context, callers):
    processed = [(each.request.id, each.arrived) for each in context.processed]
    expected = re.findall(r"\b[a-c]\b", callers)
    assert processed == [(each, context.arrived_by_caller[each]) for each in expected], processed


@then("no request is held")
def step_none_held(context):
    assert len(context.held_requests) == 0


@then("{count:d} requests are held")
@then("{count:d} requests with such bodies are held")
def step_held_count(context, count):
    assert len(context.held_requests) == count, len(context.held_requests)


@then("no held request is refused")
def step_none_refused(context):
    assert context.refused == [], context.refused


@then("the request of caller {caller:w} is refused")
def step_one_refused(context, caller):
    assert context.refused == [caller], context.refused


@then("the requests of callers {callers} are refused")
def step_several_refused(context, callers):
    assert context.refused == re.findall(r"\b[a-c]\b", callers), context.refused


@given("a gateway with one endpoint and an empty store")
def step_empty_store(context):
    start_gateways(context, 1, 1, empty=True)


@when('a caller sends a "{kind}" and the store receives its records {seconds:g} s later')
def step_delayed_records(context, kind, seconds):
    def add_records():
        context.store.current = configuration(7, None, ())
        context.store.entries = [endpoint.entry() for endpoint in context.endpoints]

    send_and_act_later(context, kind, seconds, add_records)


@when('a caller sends a "{kind}" and the gateway receives the stop signal {seconds:g} s later')
def step_delayed_stop(context, kind, seconds):
    daemon = context.gateways[0].daemon
    send_and_act_later(context, kind, seconds, lambda: daemon.loop.post(daemon.begin_stop))


def send_and_act_later(context, kind, seconds, action):
    timer = StepTimer(context, seconds, action)
    send_request(context, kind)
    timer.join()


@then("the response is {status:d} with a Retry-After of {seconds:g} s")
def step_retry_after(context, status, seconds):
    assert context.answer.status == status, context.answer.status
    assert float(context.answer.header_by_name["retry-after"]) == seconds
