"""Steps on what endpoints say of themselves in their responses."""

import json
from dataclasses import replace

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import EndpointSignals
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.throttling.signals import EndpointSignalTable, SignalNotice
from brassdrum.gateway.throttling.throttle import EndpointThrottle
from brassdrum.http_pool import HttpPool
from brassdrum.outcomes.pauses import Pause
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.standins.site import MODEL
from features.gateway_world import SERVICE, engine_entry
from features.steps.exchange_steps import start_exchange
from features.steps.gateway_steps import send_request
from features.steps.site_steps import caller
from features.support import eventually

READ_SECONDS = 0.5


@given("the first endpoint says that it leaves while the list shows it ready")
def step_says_it_leaves(context):
    context.endpoints[0].default_behaviour = "complete response before a stop"


@when("a daemon has forwarded such a response")
def step_forwarded(context):
    def forwarded():
        assert send_request(context, "check").status == 200
        return bool(context.endpoints[0].requests)

    eventually(forwarded, "the first endpoint was used")


@when("all daemons have read the list again")
def step_read_again(context):
    states = [gateway.daemon.routing_state for gateway in context.gateways]
    for state in states:
        read_at = state.read_at
        # The second one was begun after this step.
        for _ in range(2):
            eventually(lambda: state.read_at > read_at, "the list was read")  # noqa: B023
            read_at = state.read_at


@given('the first endpoint uses the behaviour "{behaviour}"')
def step_first_behaviour(context, behaviour):
    context.endpoints[0].default_behaviour = behaviour


@given('the second endpoint uses the behaviour "{behaviour}"')
def step_second_behaviour(context, behaviour):
    context.endpoints[1].default_behaviour = behaviour


@then("every response is {status:d}")
def step_every_response(context, status):
    assert {answer.status for answer in context.answers} == {status}, context.answers


@then("the first endpoint received at most {most:d} request")
def step_first_received(context, most):
    assert len(context.endpoints[0].requests) <= most, len(context.endpoints[0].requests)


@then("each endpoint received at most {most:d} request")
@then("each endpoint received at most {most:d} requests")
def step_each_received(context, most):
    assert all(len(endpoint.requests) <= most for endpoint in context.endpoints)


@then("the last response has a Retry-After of at least {seconds:g} s")
def step_retry_after(context, seconds):
    assert float(context.answers[-1].header_by_name["retry-after"]) >= seconds


@given('the first endpoint says that it leaves in a "{response}"')
def step_says_in(context, response):
    context.endpoints[0].default_behaviour = f"{response} before a stop"
    context.endpoints[1].default_behaviour = "stream" if response == "stream" else "failure"
    context.kind = "text" if response == "stream" else "check"


@when("callers have sent requests to it")
def step_sent_to_first(context):
    def received():
        send_request(context, context.kind)
        return bool(context.endpoints[0].requests)

    eventually(received, "the first endpoint was used")


class KnownEndpoints:
    """What a daemon knows of endpoints, on a manual clock."""

    def __init__(self, count):
        self.loop = SimulatedLoop()
        self.routing_state = RoutingState()
        guard = CrashGuard(self.loop, LoadTable())
        pool = EndpointPool(self.loop)
        self.monitor = EndpointMonitor(self.loop, self.routing_state, pool, lambda: None, guard)
        self.entries = [replace(engine_entry(number), born=1) for number in range(1, count + 1)]
        self.first = self.entries[0]
        self.read_list(self.entries)

    def read_list(self, entries):
        """Take a list that is read from the store now."""
        self.loop.advance(READ_SECONDS)
        changes = self.routing_state.apply_store_list(entries, self.loop.now())
        self.monitor.on_endpoints_changed(changes, "store")

    def said(self, signals, sent_at):
        """Take a response of the first endpoint."""
        self.monitor.signals_received(self.first.id, signals, sent_at)


@given("a daemon that knows {count:d} endpoints")
def step_known_endpoints(context, count):
    context.known = KnownEndpoints(count)


@given("the first said that it leaves")
def step_first_said(context):
    now = context.known.loop.now()
    context.known.said(EndpointSignals(draining=True), now - 0.1)


@when("the response to an order at the address of the first says that it leaves")
def step_order_says(context):
    known = context.known
    signals = EndpointSignals(draining=True)
    known.monitor.address_signals_received(known.first.address, signals)


@when("the response to an order at the address of the first says nothing")
def step_order_says_nothing(context):
    known = context.known
    known.loop.advance(1.0)
    known.monitor.address_signals_received(known.first.address, EndpointSignals())


@when("a peer tells that the first said {age:g} s ago that it leaves")
def step_peer_says(context, age):
    known = context.known
    notice = SignalNotice(known.first.id, None, age, draining=True)
    known.monitor.apply_peer_update("10.0.0.9", PeerStatus(1, "", 0.0, 1, signals=(notice,)))


@when("the list, read later, still shows both ready")
def step_list_behind(context):
    context.known.read_list(context.known.entries)


@when("the list shows the first draining and then ready again")
def step_drains_and_returns(context):
    known = context.known
    known.read_list([replace(known.first, draining=True), *known.entries[1:]])
    known.read_list(known.entries)


@when("the list shows a new incarnation of the first")
def step_new_incarnation(context):
    known = context.known
    known.read_list([replace(known.first, born=2), *known.entries[1:]])


@when("a response to a request sent before that says nothing")
def step_earlier_response(context):
    known = context.known
    known.said(EndpointSignals(), known.loop.now() - 1.0)


@when("a response to a request sent after that says nothing")
def step_later_response(context):
    known = context.known
    known.loop.advance(1.0)
    known.said(EndpointSignals(), known.loop.now() - 0.5)


@then("the daemon uses {count:d} endpoint")
@then("the daemon uses {count:d} endpoints")
def step_uses(context, count):
    usable = context.known.routing_state.usable(SERVICE)
    assert len(usable) == count, [entry.id for entry in usable]


@then("the daemon uses {count:d} endpoint {seconds:g} s later")
@then("the daemon uses {count:d} endpoints {seconds:g} s later")
def step_uses_later(context, count, seconds):
    context.known.loop.advance(seconds + 0.1)
    step_uses(context, count)


@then("it tells its peers nothing of the endpoints")
def step_repeats_nothing(context):
    assert context.known.monitor.signals.notices(context.known.loop.now()) == []


@given('each endpoint uses the behaviour "{behaviour}" once')
def step_each_once(context, behaviour):
    for endpoint in context.endpoints:
        endpoint.queued_behaviours = [behaviour]


@given("the first endpoint rejects a request of the first daemon for 30 s")
def step_rejects_first_daemon(context):
    first = context.endpoints[0]
    first.queued_behaviours = ["rejection for 30 s"]

    def rejected():
        send_request(context, "check")
        return bool(first.requests)

    eventually(rejected, "the first endpoint was used")


@then("the first endpoint served only the second daemon")
def step_served_second(context):
    # The steps send the requests of the first daemon first, then those of the second.
    served = context.endpoints[0].requests[1:]
    numbers = [int(each.header_by_name["x-attempt-id"].split("-")[1]) for each in served]
    assert numbers and min(numbers) > context.sent - 6, (numbers, context.sent)


@then("no endpoint is suspected")
def step_none_suspected(context):
    daemon = context.gateways[0].daemon
    for entry in daemon.routing_state.endpoints_by_id:
        assert not daemon.endpoint_monitor.is_suspect(entry)


@then("the last response is {status:d}")
def step_last_response(context, status):
    assert context.answers[-1].status == status


@then('a response <status> with the header "Retry-After: <value>" asks for a pause of <seconds>')
def step_adapter_reads_pause(context):
    for row in context.table:
        headers = [(b"Retry-After", row["value"].encode())]
        signals = PlatformDialect().read_signals(int(row["status"]), headers)
        pause = None if signals is None else signals.pause
        assert pause == (None if row["seconds"] == "none" else float(row["seconds"])), row


@given("an endpoint that asked at {at:g} s for a pause of {seconds:g} s")
def step_pause(context, at, seconds):
    context.pause = Pause()
    context.pause.extend(seconds, at)


@when("it asks at {at:g} s for a pause of {seconds:g} s")
def step_second_pause(context, at, seconds):
    context.pause.extend(seconds, at)


@then("it is paused at {active:g} s and not at {over:g} s")
def step_pause_ends(context, active, over):
    assert context.pause.is_active(active)
    assert not context.pause.is_active(over)


@given("the first engine refuses requests for {seconds:g} s")
def step_engine_refuses(context, seconds):
    context.engine = context.site.engines[0]
    body = json.dumps({"refuse": 1.0, "pause_seconds": seconds}).encode()
    HttpPool(context.engine.url).call("POST", "/faults", body)


@when("{count:d} completions are sent one after the other")
def step_completions(context, count):
    body = json.dumps({"model": MODEL, "prompt": "blue linen", "max_tokens": 4}).encode()
    path = "/v1/completions"
    context.answers = [caller(context).send("POST", path, body) for _ in range(count)]


@then("all of them succeed")
def step_all_succeed(context):
    assert [answer.status for answer in context.answers] == [200] * len(context.answers)


@then("all of them are refused as not run, the last with a Retry-After of more than {seconds:g} s")
def step_all_refused(context, seconds):
    errors = [answer.error for answer in context.answers]
    assert [answer.status for answer in context.answers] == [503] * len(errors)
    assert {error["ran"] for error in errors} == {"no"}
    assert errors[-1]["retry_after"] > seconds, errors[-1]


@then("the first engine refused at most {most:d} request")
def step_engine_refused(context, most):
    assert 0 < context.engine.refused <= most, context.engine.refused


@when("the list misses the first for {seconds:g} s and then shows it ready")
def step_entry_lost(context, seconds):
    known = context.known
    for _ in range(int(seconds / READ_SECONDS)):
        known.read_list(known.entries[1:])
    assert known.first.id not in known.routing_state.endpoints_by_id
    known.read_list(known.entries)


@when("the list shows the first draining and then ready again {seconds:g} s later")
def step_drains_again(context, seconds):
    known = context.known
    while seconds > 0:
        known.read_list(known.entries)
        seconds -= READ_SECONDS
    step_drains_and_returns(context)


@given("a request that is in progress at one of 3 endpoints")
def step_in_progress(context):
    start_exchange(context)


@when("the other endpoints ask for a pause")
def step_others_pause(context):
    daemon = context.daemon
    for entry in daemon.entries:
        if entry.id not in context.exchange.tried_endpoints:
            daemon.signals.record(entry.id, EndpointSignals(pause=3.0), 0.0, daemon.loop.now())


@then("its attempt may be replaced")
def step_replaceable(context):
    assert context.exchange.can_replace_attempt()


@then("its attempt is kept")
def step_kept_attempt(context):
    assert not context.exchange.can_replace_attempt()


class PausedEndpoint:
    """One endpoint of a daemon, and requests that wait for it, on a manual clock."""

    def __init__(self):
        self.loop = SimulatedLoop()
        self.signals = EndpointSignalTable()
        self.throttle = EndpointThrottle(self.loop, self.signals, broker=None)
        self.entry = engine_entry(1)
        self.sent_at = []
        self.rejects = False

    def answer(self, pause, sent_at):
        """Take a response to a request that was sent at a time."""
        now = self.loop.now()
        self.signals.record(self.entry.id, EndpointSignals(pause=pause), sent_at, now)

    def send(self):
        """Send a request as soon as the endpoint takes it."""
        opening = self.throttle.next_opening([self.entry])
        if opening is not None and not opening.needs_permit:
            self.loop.call_later(opening.seconds, self.send)
        elif opening is not None or self.throttle.needs_permit(self.entry.id):
            self.throttle.request_permit(self.entry.id, 1.0, self._decided)
        else:
            self.sent_at.append(self.loop.now())

    def _decided(self, permit):
        if not permit.granted:
            self.send()
        else:
            assert self.throttle.open_entries([self.entry], permit) == [self.entry]
            self.sent_at.append(self.loop.now())
            if self.rejects:
                self.answer(0.0, self.loop.now())


@given("an endpoint that asks a daemon for a pause of {seconds:g} s")
def step_paused_endpoint(context, seconds):
    context.paused = PausedEndpoint()
    context.paused.answer(seconds, context.paused.loop.now())


@when("{count:d} requests wait for it and {seconds:g} s go by")
def step_requests_wait(context, count, seconds):
    for _ in range(count):
        context.paused.send()
    assert not context.paused.sent_at
    context.paused.loop.advance(seconds)


@when("the endpoint {answer} and {seconds:g} s go by")
def step_answers_trial(context, answer, seconds):
    paused = context.paused
    pauses = {"asks for a pause of 2 s": 2.0}
    pauses |= dict.fromkeys(("asks for a pause of 0 s", "asks for 0 s each time"), 0.0)
    paused.rejects = answer == "asks for 0 s each time"
    if answer == "serves one sent before":
        paused.answer(None, paused.sent_at[0] - 0.1)
    elif answer != "is silent":
        paused.answer(pauses.get(answer), paused.sent_at[0])
    paused.loop.advance(seconds)


@then("{count:d} of them may be sent")
def step_may_be_sent(context, count):
    assert len(context.paused.sent_at) == count, context.paused.sent_at
