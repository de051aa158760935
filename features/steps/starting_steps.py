"""Steps on callers who come before a daemon knows a configuration."""

import re
import threading

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.model import DeclaredRequest, RequestHead
from brassdrum.gateway.request.held_requests import HeldRequestQueue
from features.gateway_world import configuration
from features.steps.gateway_steps import send, start

HEAD = RequestHead(b"GET", b"/", [])


class Handling:
    """Note that the caller of a request that is being answered left."""

    def caller_left(self):
        """Do nothing."""


@given("a daemon that knows nothing")
def step_nothing_known(context):
    context.loop = SimulatedLoop()
    context.refused = []
    context.early = HeldRequestQueue(
        context.loop, lambda early, _detail: context.refused.append(early.request.id)
    )
    context.arrived_by_caller = {}
    context.held_by_caller = {}


def come(context, caller, seconds, resumed=None, body=b""):
    request = DeclaredRequest(caller, b"GET", b"/", "h", [], seconds, resume_after=resumed)
    context.arrived_by_caller[caller] = context.loop.now()
    held = context.early.hold(None, HEAD, body, request)
    context.held_by_caller[caller] = held
    return held


@when("callers {callers} come with {seconds:g} s of time, {apart:g} s apart")
def step_callers(context, callers, seconds, apart):
    for caller in re.findall(r"\b[a-c]\b", callers):
        come(context, caller, seconds)
        context.loop.advance(apart)


@when("caller {caller:w} comes with {seconds:g} s of time")
def step_caller(context, caller, seconds):
    come(context, caller, seconds)


@when("caller {caller:w} comes with {seconds:g} s of time and resumes a stream")
def step_resumes(context, caller, seconds):
    come(context, caller, seconds, resumed=3)


@when("caller {caller:w} leaves")
def step_caller_leaves(context, caller):
    context.held_by_caller[caller].caller_left()


@when("{count:d} callers come with {seconds:g} s of time")
def step_many(context, count, seconds):
    for number in range(count):
        come(context, str(number), seconds)


@when("callers come with bodies of {size:d} MB until one may not wait")
def step_large(context, size):
    context.early.refuse_all("cleared")
    while come(context, "large", 10.0, body=bytes(size << 20)) is not None:
        pass


@when("{seconds:g} s go by without a configuration")
def step_go_by(context, seconds):
    context.loop.advance(seconds)


@when("a configuration is known after {seconds:g} s")
def step_known(context, seconds):
    context.loop.advance(seconds)
    context.answered = []

    def handle(early):
        context.answered.append(early)
        return Handling()

    context.early.release(handle)


@when("the daemon is about to stop")
def step_stops(context):
    context.early.refuse_all("about to stop")


@then("callers {callers} are answered, counted from when they came")
def step_answered(context, callers):
    found = [(each.request.id, each.arrived) for each in context.answered]
    wanted = re.findall(r"\b[a-c]\b", callers)
    assert found == [(each, context.arrived_by_caller[each]) for each in wanted], found


@then("nobody waits")
def step_nobody_waits(context):
    assert len(context.early) == 0


@then("{count:d} callers wait")
@then("{count:d} callers wait with such bodies")
def step_wait_count(context, count):
    assert len(context.early) == count, len(context.early)


@then("nobody is refused")
def step_nobody_refused(context):
    assert context.refused == [], context.refused


@then("caller {caller:w} is refused")
def step_one_refused(context, caller):
    assert context.refused == [caller], context.refused


@then("callers {callers} are refused")
def step_several_refused(context, callers):
    assert context.refused == re.findall(r"\b[a-c]\b", callers), context.refused


@given("a gateway before one endpoint whose store holds nothing yet")
def step_empty_yet(context):
    start(context, 1, 1, empty=True)


@when('a caller sends a "{kind}" and the store gets its records {seconds:g} s later')
def step_late_records(context, kind, seconds):
    def fill():
        context.store.current = configuration(7, None, ())
        context.store.entries = [endpoint.entry() for endpoint in context.endpoints]

    send_beside(context, kind, seconds, fill)


@when('a caller sends a "{kind}" and the gateway gets the signal to stop {seconds:g} s later')
def step_late_stop(context, kind, seconds):
    daemon = context.gateways[0].daemon
    send_beside(context, kind, seconds, lambda: daemon.loop.post(daemon.leave))


def send_beside(context, kind, seconds, act):
    timer = threading.Timer(seconds, act)
    timer.start()
    send(context, kind)
    timer.join()


@then("the answer is {status:d}, to come back in {seconds:g} s")
def step_come_back(context, status, seconds):
    assert context.answer.status == status, context.answer.status
    assert float(context.answer.header_by_name["retry-after"]) == seconds
