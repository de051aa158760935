"""Steps on the gateway's decisions that need no network."""

import random
import re

from behave import given, then, when

from brassdrum.gateway.following.suspicion import FailureDetector, FailureNotice
from brassdrum.gateway.model import (
    DaemonAddress,
    DeclaredRequest,
    EngineModel,
    RouteKind,
)
from brassdrum.gateway.peering.peer_messages import (
    Acknowledgement,
    Digest,
    ForwardedDigest,
    Hello,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import DrainNotice, PeerStatus
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow, LoadShare, LoadTable, endpoint_key
from brassdrum.gateway.placing.placement import (
    Candidate,
    Placement,
    PlacementRequest,
    is_worth_serving,
    should_wait,
)
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.request.retry_budget import SharedRetryBudget
from brassdrum.gateway.stopping import PlannedStop, estimate_duration
from features.gateway_world import HOST, engine_entry, route

ENGINE = EngineModel(8, 405_000, 1.31, 0.001, 0.002, 154.0, 0.162, 2048, 34, 0.1)
SHORT = PlacementRequest(5_000, 1_300, 300.0, 250)
SHORT_LOAD = EndpointLoad(0.0, 6_300, 6_300, 1, 0, {250: 1})


def long_request(tokens, waited=0.0):
    return PlacementRequest(tokens, 600, 3000.0, 1000, waited)


def place(context, request, policy="least_harm", seed=3):
    candidates = [
        Candidate(
            engine_entry(number),
            load,
            number in context.suspect,
            slowdown=context.slowdowns.get(number, 1.0),
        )
        for number, load in context.loads.items()
    ]
    context.request = request
    context.placement = policies.get(policy)(request, candidates, ENGINE, random.Random(seed))
    return context.placement


@given("{engines:d} idle engines")
def step_idle(context, engines):
    context.loads = {number: EndpointLoad() for number in range(1, engines + 1)}
    context.suspect = set()
    context.slowdowns = {}


@given("a short stream on engine {number:d}")
def step_stream(context, number):
    context.loads[number].add(SHORT_LOAD, 1)


@given("{streams:d} short streams on engine {number:d}")
def step_streams_on(context, streams, number):
    for _ in range(streams):
        context.loads[number].add(SHORT_LOAD, 1)


@given("a stream of {tokens:d} tokens on engine {number:d}")
def step_long_stream(context, tokens, number):
    context.loads[number].add(EndpointLoad(0.0, tokens, tokens, 1, 0, {250: 1}), 1)


@given("{streams:d} short streams on every engine")
def step_streams(context, streams):
    for load in context.loads.values():
        for _ in range(streams):
            load.add(SHORT_LOAD, 1)


@given("engine {number:d} is suspect")
def step_suspect(context, number):
    context.suspect.add(number)


@when("{count:d} short prompts are placed one after the other")
def step_place_short(context, count):
    context.chosen = set()
    for _ in range(count):
        chosen = place(context, SHORT).entry.id
        context.chosen.add(chosen)
        context.loads[int(chosen.split("-")[1])].add(SHORT_LOAD, 1)


@when("a short prompt is placed")
def step_place_one(context):
    place(context, SHORT)


@when("a prompt of {tokens:d} tokens is placed")
def step_place_long(context, tokens):
    place(context, long_request(tokens))


@when("a prompt of {tokens:d} tokens is placed after {waited:d} ms")
def step_place_late(context, tokens, waited):
    place(context, long_request(tokens, float(waited)))


@then("they are placed on at most {most:d} engines")
def step_packed(context, most):
    assert len(context.chosen) <= most, context.chosen


def prefilling_engines(context):
    return [context.placement.entry, *(each.entry for each in context.placement.helpers)]


@then("it is prefilled by more than {count:d} engines")
def step_readers(context, count):
    assert len(prefilling_engines(context)) > count


@then("engine {number:d} is not among them")
def step_spared(context, number):
    assert engine_entry(number).id not in {each.id for each in prefilling_engines(context)}


@then("no part lasts longer than {most:d} ms")
def step_parts(context, most):
    assert all(share.prefill_ms <= most for share in context.placement.shares)


@then("there is no interference")
def step_no_harm(context):
    assert context.placement.interference_tokens == 0


@then("there is interference")
def step_harm(context):
    assert context.placement.interference_tokens > 0


@then("it is predicted to be late")
def step_late(context):
    assert context.placement.lateness_tokens > 0


@given("a placement with a loss of {others:d} tokens to others and {own:d} to itself")
def step_at_risk(context, others, own):
    context.placement = Placement(
        engine_entry(1), (), (), 500.0, "", float(others), float(own), 400.0
    )


@then("a prompt of {tokens:d} tokens that waited {waited:d} ms {decision}")
def step_decision(context, tokens, waited, decision):
    waits = should_wait(PlacementRequest(tokens, 0, 3000.0, 1000, float(waited)), context.placement)
    assert waits == (decision == "waits")


@then("it is worth serving")
def step_worth(context):
    assert is_worth_serving(context.request, context.placement), context.placement


@then("it is not worth serving")
def step_not_worth(context):
    assert not is_worth_serving(context.request, context.placement), context.placement


@then("every engine stores less than its memory")
def step_memory(context):
    assert all(share.memory < ENGINE.memory_tokens for share in context.placement.shares)


@then("the stored parts make up the prompt")
def step_whole(context):
    stored = sum(share.memory for share in context.placement.shares)
    assert stored >= context.request.total_tokens
    stored_by_id = {each.entry.id: each.stored_tokens for each in context.placement.helpers}
    for share in context.placement.shares[1:]:
        assert share.memory == stored_by_id[share.endpoint]


@then("it is placed on engine {number:d}")
def step_gets(context, number):
    assert context.placement.entry.id == engine_entry(number).id


@then('policy "{policy}" places a short prompt and refuses without engines')
def step_policy(context, policy):
    assert place(context, SHORT, policy).entry.id.startswith("engine-")
    context.loads = {}
    assert place(context, SHORT, policy) is None


@given("a planned stop with {grace:d} seconds of grace")
def step_stop(context, grace):
    context.stop = PlannedStop(100.0, float(grace))


@given("a stream of {tokens:d} tokens with an objective of {objective:g} seconds")
def step_stream(context, tokens, objective):
    request = DeclaredRequest("a", b"POST", b"/", HOST, [], 10.0, None, 5000, tokens)
    streams = route("text", RouteKind.STREAM, objective=objective)
    context.duration = estimate_duration(streams, request, ENGINE)


@when("it arrives {seconds:g} seconds after the stop began")
def step_comes(context, seconds):
    context.now = context.stop.began_at + seconds


@then("it is {fate} by the stopping daemon")
def step_fate(context, fate):
    taken = context.stop.accepts(context.now, context.duration)
    assert taken == (fate == "taken"), context.duration


@then("the stream {waits} for less loaded engines")
def step_waits(context, waits):
    allowed = context.stop.may_wait(context.now, context.duration)
    assert allowed == (waits == "may wait"), context.duration


@given("a retry budget of ratio {ratio:g} and slack {slack:g} over {window:g} seconds")
def step_budget(context, ratio, slack, window):
    context.budget = SharedRetryBudget(ratio, slack, window)


@when("{count:d} requests and as many retries as allowed are recorded with {daemons:d} daemons")
def step_repeats(context, count, daemons):
    for number in range(count):
        context.budget.record_request(number / count)
    context.allowed = 0
    while context.budget.try_consume(1.0, daemons):
        context.allowed += 1


@then("at most {most:d} retries were allowed")
def step_allowed(context, most):
    assert 0 < context.allowed <= most, context.allowed


@then("after {seconds:d} seconds only the slack is left")
def step_slack(context, seconds):
    assert context.budget.remaining(1.0 + seconds, 3) == 30 / 3 * 0.7


@when("an endpoint fails once among successes")
def step_fail_once(context):
    context.suspicions = FailureDetector()
    context.now = 1.0
    context.suspicions.record_failure("a", context.now, certain=False)
    context.suspicions.record_success("a")


@when("it fails {times:d} times in a row")
def step_fail_row(context, times):
    for _ in range(times):
        context.suspicions.record_failure("a", context.now, certain=False)


@when("its connection fails")
def step_fail_connection(context):
    assert context.suspicions.record_failure("a", context.now, certain=True)


@when("a peer reports that an endpoint fails")
def step_peer_says(context):
    context.suspicions = FailureDetector()
    context.now = 1.0
    context.suspicions.apply_notice(FailureNotice("a", 0.8, 0.8), context.now)


@then("it is not suspect")
def step_not_suspect(context):
    assert not context.suspicions.is_suspect("a", context.now)


@then("it is suspect")
@then("it is suspect at once")
def step_is_suspect(context):
    assert context.suspicions.is_suspect("a", context.now)


@then("it is suspect but not reported to others")
def step_not_named(context):
    assert context.suspicions.is_suspect("a", context.now)
    assert context.suspicions.notices(context.now) == []


@then("it is healthy again later")
def step_sound_later(context):
    context.now += 10.0
    assert not context.suspicions.is_suspect("a", context.now)


@when("two peers and this daemon have load at an endpoint")
def step_three(context):
    context.load_table = LoadTable()
    context.load_table.start("own", [LoadShare("a", 100.0, 5000, 250)], 0.0, 200.0)
    row = LoadRow(endpoint_key("a"), EndpointLoad(50.0, 7000, 7000, 1, 0, {1000: 1}))
    context.load_table.merge("peer-1", [row], 0.0, 1)
    context.load_table.merge("peer-2", [row], 1.5, 1)


@then("its total is the sum of the three")
def step_sum(context):
    total = context.load_table.total("a")
    assert (total.pending_prefill_ms, total.memory, total.requests) == (200.0, 19000, 3)
    assert total.streams == 3
    assert total.shortest_max_pause() == 250


@when("one peer stops reporting")
def step_silent_peer(context):
    context.load_table.drop_publisher("peer-1")


@then("its load is dropped")
def step_dropped(context):
    assert context.load_table.total("a").memory == 12000


@when("this daemon's prefill finishes")
def step_prompt_read(context):
    context.load_table.prefill_finished("own")


@then("only the peer's pending prefill is left")
def step_left(context):
    assert context.load_table.total("a").pending_prefill_ms == 50.0
    context.load_table.end("own", 0.0)
    assert context.load_table.total("a").requests == 1


@then("each kind of peer message is decoded as it was encoded")
def step_message(context):
    rows = (
        LoadRow(7, EndpointLoad(50.0, 6400, 6400, 4, 0, {250: 1, 1000: 3})),
        LoadRow(8, EndpointLoad(50.0, 6400, 3200, 1, 2, {250: 1, 1000: 3}, 640)),
        LoadRow(9, EndpointLoad()),
    )
    leaving = (DrainNotice("c", 0.25), DrainNotice("d", 3.0))
    belief = PeerStatus(
        7, "digest", 0.25, 3, (FailureNotice("b", 0.5, 1.6),), leaving, ("e",), era=2
    )
    own, other = DaemonAddress("10.0.0.1", "zone-a", 21), DaemonAddress("10.0.0.2", "zone-b")
    sender = Sender("daemon-1", own, 1764630000000, 6, True)
    acknowledged = (Acknowledgement("10.0.0.2", 9),)
    digest = Digest(
        sender, belief, 39, 5, True, rows, 3, 25, acknowledged, (own, other), True, False
    )
    messages = (
        Hello(sender, (own, other), (other,), True),
        Report(sender, belief, rows, True),
        Report(sender, PeerStatus(-1, "", None, 0)),
        digest,
        Digest(sender, belief, 0, steps_down=True),
        ForwardedDigest(("10.0.0.2", "10.0.0.3"), encode_message(digest)),
    )
    for message in messages:
        data = encode_message(message)
        assert decode_message(data) == message, message
        for size in range(len(data)):
            try:
                decode_message(data[:size])
            except ValueError:
                continue
            raise AssertionError(f"{size} of {len(data)} bytes were taken as {message}")


@then("these are refused as peer messages: {texts}")
def step_garbage(context, texts):
    for text in re.findall(r'"([^"]*)"', texts):
        try:
            decode_message(text.encode().decode("unicode_escape").encode("latin-1"))
        except ValueError:
            continue
        raise AssertionError(f"{text!r} was taken as a message")
