"""Steps on endpoints that limit the rate of their requests."""

import math
import random
import time

from behave import given, then, when

from brassdrum.bench.limits import WINDOW_SECONDS, LimitPlan, allowed_requests, play_limit
from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.model import DaemonAddress, EndpointSignals
from brassdrum.gateway.peering.peer_messages import (
    PermitReply,
    PermitRequest,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.placing.placement import Candidate, PlacementRequest
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.throttling.ownership import Member, OwnerSelector
from brassdrum.gateway.throttling.permits import PermitBroker
from brassdrum.gateway.throttling.schedule import SendSchedule
from brassdrum.gateway.throttling.signals import EndpointSignalTable, SignalNotice
from brassdrum.platform.dialect import PlatformDialect
from features.gateway_world import engine_entry
from features.steps.gateway_steps import (
    ENGINE,
    received_requests,
    request_from,
    send_request,
    start_gateways,
)
from features.support import StepThread

ENDPOINT = "endpoint-1"


def allowed(limit, seconds):
    """Return the requests that an endpoint may get during some seconds."""
    return math.ceil(seconds / WINDOW_SECONDS) * allowed_requests(limit)


@given("{daemons:d} gateways in front of {endpoints:d} endpoint that takes 1 request a second")
def step_limited_endpoint(context, daemons, endpoints):
    start_gateways(context, daemons, endpoints)
    context.limit = 1.0
    context.endpoints[0].default_behaviour = "complete response with a limit of 1"


@given("{daemons:d} gateways in front of {endpoints:d} endpoints, one of which takes 1 a second")
def step_one_limited_endpoint(context, daemons, endpoints):
    step_limited_endpoint(context, daemons, endpoints)


@then("every caller was served")
def step_all_served(context):
    statuses = [answer.status for answer in context.answers]
    assert statuses == [200] * len(statuses), statuses


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


@then('a response with the header "Server-Limit: <value>" names a limit of <limit>')
def step_adapter_reads(context):
    for row in context.table:
        headers = [(b"Server-Limit", row["value"].encode())]
        signals = PlatformDialect().read_signals(200, headers)
        expected = None if row["limit"] == "none" else float(row["limit"])
        assert signals == EndpointSignals(rate_limit=expected), (row["value"], signals)


@then("a response of another endpoint says nothing")
def step_adapter_ignores(context):
    assert PlatformDialect().read_signals(421, [(b"Server-Limit", b"2")]) is None


@given("an endpoint that named a limit of {limit:g} at {at:g} s")
def step_named(context, limit, at):
    context.signals = EndpointSignalTable()
    context.signals.record(ENDPOINT, EndpointSignals(rate_limit=limit), at - 0.1, at)


@when("a response without a limit to a request sent at {sent_at:g} s arrives at {at:g} s")
def step_lifted(context, sent_at, at):
    context.signals.record(ENDPOINT, EndpointSignals(), sent_at, at)
    context.now = at


@when("a peer tells at {now:g} s that the endpoint lifted its limit {age:g} s ago")
def step_peer_tells(context, now, age):
    context.signals.apply_notice(SignalNotice(ENDPOINT, None, age), now)
    context.now = now


@then("the limit is {limit:g}")
def step_limit_is(context, limit):
    assert context.signals.rate_limit(ENDPOINT) == limit
    assert context.signals.limited_count == 1


@then("there is no limit")
def step_no_limit(context):
    assert context.signals.rate_limit(ENDPOINT) is None
    assert context.signals.limited_count == 0


@then("this daemon tells its peers nothing")
def step_tells_nothing(context):
    assert context.signals.notices(context.now) == []


@then("each message about limits is decoded as it was sent")
def step_round_trip(context):
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 2)
    notices = (SignalNotice("a", 0.25, 1.5, draining=True), SignalNotice("b", None, 0.0))
    messages = [
        PermitRequest(7, "10.0.0.1", "i-1@5", 0.25, 1.5, relayed=True),
        PermitReply(7, True, 0.125),
        Report(sender, PeerStatus(1, "", 0.5, 1, signals=notices)),
        Report(sender, PeerStatus(1, "", 0.5, 1, signals=())),
        Report(sender, PeerStatus(1, "", 0.5, 1, signals=None)),
    ]
    for message in messages:
        assert decode_message(encode_message(message)) == message, message


def members(hosts, incarnation=1):
    return frozenset(Member(host, incarnation) for host in hosts)


@given("daemons that share {count:d} endpoints")
def step_owners(context, count):
    context.names = [f"endpoint-{number}" for number in range(count)]
    hosts = [f"10.0.0.{number}" for number in range(1, 5)]
    context.selectors = {host: OwnerSelector(host) for host in hosts}
    for selector in context.selectors.values():
        selector.set_members(members(hosts), 10.0)
    context.owners = {name: context.selectors[hosts[0]].owner(name) for name in context.names}
    assert set(context.owners.values()) == set(hosts)


@when("a daemon joins")
def step_joins(context):
    context.joined = "10.0.0.9"
    context.selectors[context.joined] = OwnerSelector(context.joined)
    for selector in context.selectors.values():
        selector.set_members(members(context.selectors), 20.0)


@then("only endpoints of the new daemon change their owner")
def step_few_move(context):
    now_owned = {name: context.selectors["10.0.0.1"].owner(name) for name in context.names}
    moved = {name for name in context.names if now_owned[name] != context.owners[name]}
    assert moved and {now_owned[name] for name in moved} == {context.joined}
    context.owners = now_owned


@then("the new daemon waits {seconds:g} s before it schedules them")
def step_new_waits(context, seconds):
    selector = context.selectors[context.joined]
    for name in [name for name in context.names if context.owners[name] == context.joined]:
        assert math.isclose(selector.seconds_until_settled(name, 20.0), seconds)
        assert selector.seconds_until_settled(name, 20.0 + seconds) == 0.0


@then("the others schedule theirs without a pause")
def step_others_settled(context):
    for name in [name for name in context.names if context.owners[name] != context.joined]:
        selector = context.selectors[context.owners[name]]
        assert selector.seconds_until_settled(name, 20.0) == 0.0


@when("requests ask for slots at {rate:g} a second, {times:d} times as often, for {seconds:d} s")
def step_ask_for_slots(context, rate, times, seconds):
    rng = random.Random(1)
    schedule = SendSchedule(rate, 0.0)
    now, context.sent_times = 0.0, []
    while now < seconds:
        slot = schedule.reserve(rate, rng.uniform(0.0, 1.5), now)
        if slot.granted:
            context.sent_times.append(now + slot.wait)
        now += rng.expovariate(rate * times)
    context.rate, context.seconds = rate, seconds


@then("at most {most:d} are sent in any 4 s and all of the rate is used")
def step_schedule_bounds(context, most):
    times = sorted(context.sent_times)
    counts = [sum(1 for each in times if at <= each < at + WINDOW_SECONDS) for at in times]
    assert max(counts) <= most, max(counts)
    assert len(times) >= context.rate * context.seconds * 0.9, len(times)


@given("a schedule at {rate:g} a second that is booked for {seconds:g} s")
def step_booked(context, rate, seconds):
    context.schedule = SendSchedule(rate, 0.0)
    while context.schedule.reserve(rate, seconds, 0.0).granted:
        pass


@when("a request asks for a slot at {rate:g} a second")
def step_raised(context, rate):
    context.slot = context.schedule.reserve(rate, 10.0, 0.0)


@then("it waits less than {seconds:g} s")
def step_short_wait(context, seconds):
    assert context.slot.granted
    assert context.slot.wait < seconds


@given("{count:d} engines of which {limited:d} limit their rate")
def step_limited_engines(context, count, limited):
    table = LoadTable()
    entries = [engine_entry(number) for number in range(1, count + 1)]
    context.candidates = [
        Candidate(entry, table.total(entry.id), limited=number < limited)
        for number, entry in enumerate(entries)
    ]


@when("a prompt of {tokens:d} tokens is placed among them")
def step_place_prompt(context, tokens):
    request = PlacementRequest(tokens, 100, 3000.0, 1000)
    context.placement = policies.get("least_harm")(
        request, context.candidates, ENGINE, random.Random(1)
    )


@then("no engine that limits its rate helps")
def step_no_limited_helper(context):
    limited = {each.entry.id for each in context.candidates if each.limited}
    assert not limited & {each.entry.id for each in context.placement.helpers}


@when("{daemons:d} daemons play {demand:g} times a limit of {limit:g} a second with {trouble}")
def step_play_limit(context, daemons, demand, limit, trouble):
    context.result = play_limit(LimitPlan(limit, daemons, demand, trouble=trouble))


@then("the endpoint gets no more than it takes and every caller has its answer")
def step_fleet_bound(context):
    result = context.result
    assert result.most <= result.allowed, result
    assert result.served + result.refused == result.asked, result


@then("the limit is used")
def step_used(context):
    assert context.result.used_share >= 0.8, context.result


@then("nobody is refused")
def step_none_refused(context):
    assert context.result.refused == 0, context.result


@given("a daemon that has scheduled nothing while others did")
def step_member(context):
    context.selector = OwnerSelector("10.0.0.1")
    context.selector.set_members(frozenset(), 10.0)


@when("it becomes an aggregator and owns endpoints")
def step_becomes_aggregator(context):
    context.selector.set_members(members(["10.0.0.1"]), 20.0)
    assert context.selector.owner(ENDPOINT) == "10.0.0.1"


@then("it waits {seconds:g} s before it schedules them")
def step_it_waits(context, seconds):
    assert math.isclose(context.selector.seconds_until_settled(ENDPOINT, 20.0), seconds)
    assert context.selector.seconds_until_settled(ENDPOINT, 20.0 + seconds) == 0.0


class LateLoop(SimulatedLoop):
    """A loop whose process is suspended: time passes, and timers run after what was received."""

    def suspend(self, seconds):
        """Let time pass without running timers."""
        self._now += seconds


class OtherOwner:
    """A transport to the aggregator that owns all endpoints."""

    own_host = "10.0.0.1"
    report_target = "10.0.0.2"

    def __init__(self):
        self.sent = []

    def members(self):
        """Return no member: this daemon is no aggregator."""
        return frozenset()

    def send_message(self, host, message):
        """Record a message."""
        self.sent.append(message)


@given("a daemon that asked another one for a permit")
def step_asked(context):
    context.loop, context.transport, context.permits = LateLoop(), OtherOwner(), []
    context.broker = PermitBroker(context.loop, context.transport, lambda _: 1.0, 1)
    context.broker.request(ENDPOINT, 1.0, 0.0, context.permits.append)


@when("the reply is read {seconds:g} s later")
def step_late_reply(context, seconds):
    context.loop.suspend(seconds)
    context.broker.handle_reply(PermitReply(context.transport.sent[-1].number, True, 0.0))


@then("the request was not allowed")
def step_not_allowed(context):
    context.loop.advance(0.1)
    assert [permit.granted for permit in context.permits] == [False]


@then("a reply within {seconds:g} s allows it")
def step_allowed(context, seconds):
    context.broker.request(ENDPOINT, 1.0, 0.0, context.permits.append)
    step_late_reply(context, seconds)
    context.loop.advance(1.0)
    assert [permit.granted for permit in context.permits] == [False, True]


@given("a daemon that owns endpoints with another one, which falls silent")
def step_falls_silent(context):
    context.selector = OwnerSelector("10.0.0.1")
    context.selector.set_members(members(["10.0.0.1", "10.0.0.2"]), 10.0)
    names = [f"endpoint-{number}" for number in range(40)]
    context.names = [name for name in names if context.selector.owner(name) == "10.0.0.1"]
    context.selector.set_members(members(["10.0.0.1"]), 20.0)
    assert context.names


@when("the other one comes back as the {process} process")
def step_comes_back(context, process):
    own = members(["10.0.0.1"])
    other = members(["10.0.0.2"], 1 if process == "same" else 2)
    context.selector.set_members(own | other, 30.0)


@then("the daemon waits {seconds:g} s before it schedules its own endpoints")
def step_waits_again(context, seconds):
    for name in context.names:
        assert context.selector.owner(name) == "10.0.0.1"
        assert math.isclose(context.selector.seconds_until_settled(name, 30.0), seconds)
