"""Steps on endpoints that are cold after a start."""

import json
import logging
import math
import random
from types import SimpleNamespace

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.cold import ColdPlan, allowed_in_a_second, cold_troubles, play_cold
from brassdrum.bench.limits import LimitPlan, play_limit
from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.errors import InvalidDocumentError
from brassdrum.gateway.following.cold_watch import ColdWatch
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.model import (
    DaemonAddress,
    EndpointEntry,
    EndpointSignals,
    FleetConfiguration,
    Service,
    StoreRecord,
)
from brassdrum.gateway.peering.peer_messages import (
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.placing.choosing import EndpointSelector, Selection
from brassdrum.gateway.placing.load import LoadShare, LoadTable, endpoint_key
from brassdrum.gateway.placing.placement import PlacementRequest
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.throttling.cold import ColdNotice, ColdTable, notices_to_send
from brassdrum.gateway.throttling.permits import Permit
from brassdrum.gateway.throttling.rates import EndpointRates
from brassdrum.gateway.throttling.schedule import SendSchedule
from brassdrum.gateway.throttling.signals import EndpointSignalTable
from brassdrum.gateway.throttling.throttle import EndpointThrottle
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.platform.documents import decode_configuration, decode_endpoint
from features.gateway_world import create_follower

SERVICE = "pool"
ENTRY = EndpointEntry("i-1", SERVICE, "10.0.0.1:80", "zone-a", 8, False, 1)


def configuration_text(**service):
    content = {"version": 1, "services": [{"name": SERVICE, **service}]}
    return json.dumps(content).encode()


@when("a configuration has {field:w} {value}")
def step_configuration(context, field, value):
    text = configuration_text().replace(
        b'"pool"', b'"pool", "%s": %s' % (field.encode(), value.encode())
    )
    try:
        context.configuration = decode_configuration(text)
        context.error = None
    except InvalidDocumentError as error:
        context.error = error


@then('it is refused with "{remedy}"')
def step_refused(context, remedy):
    assert context.error is not None
    assert remedy in context.error.message, context.error.message


@then("the service has {bound} while cold")
def step_bound(context, bound):
    assert context.error is None, context.error
    rate = context.configuration.services_by_name[SERVICE].cold_rate
    assert rate == (None if bound == "no bound" else float(bound)), rate


class _Decoder:
    """Decode documents as the store does."""

    era = None

    def decode_configuration(self, record):
        return decode_configuration(record.value)


@given("a follower with a configuration that bounds cold endpoints to {rate:g} a second")
def step_follower(context, rate):
    context.state = RoutingState()
    context.follower = create_follower(SimulatedLoop(), _Decoder(), context.state)
    text = configuration_text(cold_per_s=rate)
    context.follower._apply_configuration(StoreRecord("config", text), "store")


@when("a configuration with a rate of {rate:g} a second is published")
def step_published(context, rate):
    text = configuration_text(cold_per_s=rate).replace(b'"version": 1', b'"version": 2')
    context.follower._apply_configuration(StoreRecord("config", text), "store")


@then("the bound is still {rate:g} a second")
def step_still(context, rate):
    configuration = context.state.configuration
    assert configuration.version == 1
    assert configuration.services_by_name[SERVICE].cold_rate == rate


@then('a response with the header "X-Cold-Remaining: <value>" says <seconds>')
def step_header(context):
    for row in context.table:
        headers = [(b"X-Cold-Remaining", row["value"].encode())]
        signals = PlatformDialect().read_signals(200, headers)
        expected = None if row["seconds"] == "none" else float(row["seconds"])
        assert signals == EndpointSignals(cold_seconds=expected), (row["value"], signals)


@then("a list entry with cold_left_ms of {ms:g} shows {seconds:g} s, and one of -1 shows 0 s")
def step_entry(context, ms, seconds):
    content = {
        "service": SERVICE,
        "address": "10.0.0.1:80",
        "zone": "a",
        "version": "1",
        "slots": 8,
        "state": "ready",
        "seq": 0,
    }
    for value, expected in ((ms, seconds), (-1, 0.0)):
        text = json.dumps({**content, "cold_left_ms": value}).encode()
        assert decode_endpoint("i-1", text).cold_seconds == expected
    try:
        decode_endpoint("i-1", json.dumps({**content, "cold_left_ms": math.nan}).encode())
    except InvalidDocumentError:
        return
    raise AssertionError("a time that is no number was accepted")


@then("a response of another endpoint does not say that it is cold")
def step_other(context):
    assert PlatformDialect().read_signals(421, [(b"X-Cold-Remaining", b"900")]) is None


class _Lines(logging.Handler):
    """Collect the messages of log lines."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        self.messages.append(record.getMessage())


def knowledge(context, rate):
    """Let a daemon know one endpoint of a service with a bound."""
    context.loop = SimulatedLoop()
    state = RoutingState()
    service = Service(SERVICE, 0, cold_rate=rate)
    state.apply_configuration(FleetConfiguration(1, (), {SERVICE: service}, ()))
    state.apply_store_list([ENTRY], context.loop.now())
    context.watch = ColdWatch(context.loop, state)
    context.watch.list_read({ENTRY.id: 0.0}, context.loop.now())
    context.signals = EndpointSignalTable()
    context.rates = EndpointRates(
        context.loop.now, context.signals, context.watch.table, context.watch.rate
    )
    context.lines = _Lines()
    logger = logging.getLogger("brassdrum.gateway.following.cold_watch")
    logger.addHandler(context.lines)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.removeHandler, context.lines)


@given("a daemon that knows an endpoint and a bound of {rate:g} a second")
def step_knows(context, rate):
    knowledge(context, rate)


@given("a daemon that knows an endpoint and no bound")
def step_knows_unbound(context):
    knowledge(context, None)


@when("the list that is read now shows it cold for {seconds:g} s")
def step_listed(context, seconds):
    context.watch.list_read({ENTRY.id: seconds}, context.loop.now())


@when("the list shows that it is cold for {seconds:g} s")
def step_listed_again(context, seconds):
    step_listed(context, seconds)


@when("a response shows that it is cold for {seconds:g} s")
def step_said(context, seconds):
    context.watch.response_received(ENTRY.id, seconds)


@when(
    "a peer says that it stays cold for {seconds:g} s before the daemon noticed its end"
    " {late:g} s ago"
)
def step_late_notice(context, seconds, late):
    # Timers run after the datagrams that arrived before them.
    context.loop._now = context.watch.table.next_end() + late
    context.watch.apply_notices("daemon-2", [ColdNotice(endpoint_key(ENTRY.id), seconds)])
    context.loop.advance(0.0)


@given("a clock that advances by {milliseconds:d} ms each time it is read")
def step_ticking(context, milliseconds):
    def now():
        context.loop._now += milliseconds / 1000
        return context.loop._now

    context.loop.now = now


@when("it says {later:g} s later that it stays cold for {seconds:g} s")
def step_says_later(context, later, seconds):
    context.loop.advance(later)
    context.watch.response_received(ENTRY.id, seconds)


@when("the daemon runs for {seconds:g} s")
def step_pass(context, seconds):
    context.loop.advance(seconds)


@when("it is cold and names a limit of {limit:g} a second")
def step_two_limits(context, limit):
    now = context.loop.now()
    context.signals.record(ENTRY.id, EndpointSignals(limit), now, now)
    context.watch.response_received(ENTRY.id, 5.0)


@then("it is bound to {rate:g} a second")
def step_is_bound(context, rate):
    assert context.rates.limit(ENTRY.id) == rate, context.rates.limit(ENTRY.id)
    assert context.rates.scheduled_rate(ENTRY.id) == rate


@given("{count:d} requests in flight to that endpoint")
def step_in_flight(context, count):
    load_table = LoadTable()
    for number in range(count):
        load_table.start(f"r-{number}", [LoadShare(ENTRY.id, 0.0)], context.loop.now(), 10.0)
    context.watch.set_load_table(load_table)


class _GrantingBroker:
    """Grant each permit at once, as an owner with nothing booked does."""

    def __init__(self, loop):
        self._loop = loop

    def request(self, endpoint, _rate, _max_wait, on_decided):
        on_decided(Permit(endpoint, True, self._loop.now()))


@then("nothing is sent to it for {seconds:g} s")
def step_withheld(context, seconds):
    broker = _GrantingBroker(context.loop)
    throttle = EndpointThrottle(context.loop, context.signals, broker, context.rates)
    permits = []
    throttle.request_permit(ENTRY.id, 5.0, permits.append)
    (permit,) = permits
    assert permit.granted == (seconds == 0), permit
    found = permit.send_at - context.loop.now()
    assert math.isclose(found, seconds, abs_tol=1e-6), found


@then("it is not bound")
def step_not_bound(context):
    assert context.rates.limit(ENTRY.id) is None, context.rates.limit(ENTRY.id)


@then("{later:g} s later it is bound to {rate:g} a second")
def step_bound_later(context, later, rate):
    context.loop.advance(later)
    step_is_bound(context, rate)


@then("{later:g} s later it is not bound")
def step_unbound_later(context, later):
    context.loop.advance(later)
    step_not_bound(context)


@then('the log has one line "{first}" and one "{second}"')
def step_lines(context, first, second):
    assert context.lines.messages == [first, second], context.lines.messages


@then("the peers are told that it stays cold for {seconds:g} s")
def step_told(context, seconds):
    (notice,) = notices_to_send(context.watch.notices(), heartbeat=False)
    assert notice.key == endpoint_key(ENTRY.id)
    assert seconds <= notice.left <= seconds + 0.5, notice


@given("lists that show an endpoint cold, colder and warm")
def step_lists(context):
    context.digests = []
    state = RoutingState()
    for number, seconds in enumerate((0.0, 5.0, 9.0, 0.0)):
        entry = EndpointEntry("i-1", SERVICE, "10.0.0.1:80", "a", 8, False, 1, seconds)
        state.apply_store_list([entry], 10.0 + number)
        context.digests.append(state.digest)


@then("the digest differs between cold and warm alone")
def step_digests(context):
    warm, cold, colder, warm_again = context.digests
    assert warm == warm_again != cold == colder, context.digests


def report(cold):
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 2)
    return Report(sender, PeerStatus(1, "", 0.5, 1, cold=cold))


@then("a message with cold endpoints is decoded as it was sent, in 8 bytes an endpoint")
def step_round_trip(context):
    rows = tuple(ColdNotice(number, 1.5 + number, number % 4) for number in range(5))
    one, five = encode_message(report(rows[:1])), encode_message(report(rows))
    assert decode_message(five) == report(rows)
    assert len(five) - len(one) == 4 * 8


@then("a message without cold endpoints is as long as before")
def step_no_section(context):
    # The number of sections, then number, length and count of this one.
    with_row = encode_message(report((ColdNotice(1, 1.0),)))
    assert len(with_row) - len(encode_message(report(()))) == 1 + 1 + 2 + 1 + 8


@when("{count:d} daemons tell each other of a cold endpoint for {rounds:d} rounds with delays")
def step_circle(context, count, rounds):
    rng = random.Random(1)
    tables = [ColdTable() for _ in range(count)]
    tables[0].record_response(ENTRY.id, 60.0, 0.0)
    key_by_endpoint = {ENTRY.id: 1}
    now = 0.0
    for _ in range(rounds):
        for number, table in enumerate(tables):
            for notice in table.notices(key_by_endpoint, now):
                later = now + rng.choice([0.001, 0.4])
                tables[(number + 1) % count].apply_notice(ENTRY.id, notice, later)
        now += 0.4
    context.ends = [table.next_end() for table in tables]


@then("none holds it for cold longer than {seconds:g} s over its time")
def step_no_echo(context, seconds):
    # Three daemons pass it on, each after a delay of up to 0.4 s.
    most = 60.0 + 3 * 0.4 + seconds
    assert all(60.0 <= end <= most for end in context.ends), context.ends


def part_sends(share, rate, seed, seconds):
    """Return when one part of a split fleet sends, asked for more than it grants."""
    rates = EndpointRates(lambda: 0.0, EndpointSignalTable(), _always_cold(), lambda _: rate)
    rates.set_fleet_share(lambda: share, lambda: share)
    if rates.withheld_seconds(ENTRY.id) > 0:
        return []
    rng = random.Random(seed)
    granted = rates.scheduled_rate(ENTRY.id)
    schedule = SendSchedule(granted, 0.0)
    now, times = 0.0, []
    while now < seconds:
        slot = schedule.reserve(granted, rates.max_wait(ENTRY.id), now)
        if slot.granted:
            # A permit is used up to 0.2 s after its time.
            times.append(now + slot.wait + rng.uniform(0.0, 0.2))
        now += rng.expovariate(4 * rate + 4)
    return times


def _always_cold():
    table = ColdTable()
    table.record_list(ENTRY.id, 60.0, 0.0, 0.0, joined=True)
    return table


@then("no split of a fleet sends more than the bound to a cold endpoint in any second")
def step_splits(context):
    @settings(max_examples=150, deadline=None, derandomize=True)
    @drawn(
        st.lists(st.integers(1, 40), min_size=1, max_size=12),
        st.floats(0.1, 40.0),
        st.integers(0, 1000),
    )
    def check(parts, rate, seed):
        total = sum(parts)
        times = sorted(
            at
            for number, part in enumerate(parts)
            for at in part_sends(part / total, rate, seed + number, 6.0)
        )
        most = most_in_a_second(times)
        assert most <= allowed_in_a_second(rate), (parts, rate, seed, most)

    check()


def most_in_a_second(times):
    most = begin = 0
    for number, at in enumerate(times):
        while times[begin] <= at - 1.0:
            begin += 1
        most = max(most, number - begin + 1)
    return most


@then("{plays:d} plays of {daemons:d} daemons with drawn troubles keep to the bound")
def step_property(context, plays, daemons):
    @settings(max_examples=plays, deadline=None, derandomize=True, database=None)
    @drawn(
        st.sampled_from([name for name in cold_troubles if name != "none"]),
        st.sampled_from([1.0, 2.0, 5.0, 14.0]),
        st.integers(1, 6),
        st.integers(1, 1000),
    )
    def check(trouble, rate, cold, seed):
        plan = ColdPlan(daemons, rate, 40.0, cold=cold, trouble=trouble, seconds=9.0, seed=seed)
        result = play_cold(plan)
        assert result.most <= result.allowed, (plan, result)

    check()


@when(
    "{daemons:d} daemons get {requests:g} requests a second for {cold:d} of 6 cold engines that "
    "take {rate:g} with {trouble}"
)
def step_play(context, daemons, requests, cold, rate, trouble):
    context.result = play_cold(
        ColdPlan(daemons, rate, requests, cold=cold, trouble=trouble, seconds=9.0)
    )


@when(
    "{daemons:d} daemons get {requests:g} requests a second for {engines:d} engines that turn "
    "cold at {rate:g} a second unlisted"
)
def step_play_unlisted(context, daemons, requests, engines, rate):
    plan = ColdPlan(daemons, rate, requests, engines, engines, listed=False, seconds=6.0)
    context.result = play_cold(plan)


@then("no cold engine gets more than the bound in any second")
def step_keeps(context):
    assert context.result.most <= context.result.allowed, context.result


@then("every caller has its answer")
def step_answers(context):
    result = context.result
    assert result.served + result.refused == result.asked, result


@then("nobody is refused by the fleet")
def step_nobody(context):
    assert context.result.refused == 0, context.result


@then("the cold engines got less than a tenth of the requests")
def step_preferred(context):
    assert context.result.cold_share < 0.1, context.result


@when("callers use {engines:d} endpoints at three quarters of their limits of {limit:g} a second")
def step_permits(context, engines, limit):
    plan = SimpleNamespace(demand=0.75, seconds=8.0, engines=engines)
    context.spread, context.at_one = (
        play_limit(LimitPlan(limit, 12, **vars(plan), spread=spread)) for spread in (True, False)
    )


@then("the median first event spread over 12 daemons is at most {ms:g} ms after that at one")
def step_no_wait(context, ms):
    assert context.spread.median_ms <= context.at_one.median_ms + ms, (
        context.spread,
        context.at_one,
    )
    # An engine's first pass takes 47 ms; before, a request waited for 6 refused asks.
    assert context.spread.median_ms <= 47 + ms, context.spread


@then("no endpoint gets more than its limit allows")
def step_limits_kept(context):
    assert context.spread.most <= context.spread.allowed, context.spread


@given("a cold endpoint without requests and a warm one that serves {requests:d} of {slots:d}")
def step_two_endpoints(context, requests, slots):
    loop = SimulatedLoop()
    entries = [
        EndpointEntry(name, SERVICE, name, "zone-a", slots, False) for name in ("cold", "warm")
    ]
    cold = ColdTable()
    cold.record_response("cold", 60.0, loop.now())
    signals = EndpointSignalTable()
    rates = EndpointRates(loop.now, signals, cold, lambda _: 2.0)
    throttle = EndpointThrottle(loop, signals, None, rates)
    table = LoadTable()
    for number in range(requests):
        table.start(str(number), (LoadShare("warm", 0.0, 0, None),), loop.now(), 0.0)
    selector = EndpointSelector("daemon-1", table, throttle, random.Random(1), lambda: 0.004)
    request, policy = PlacementRequest(0, 0, 1000.0, None), policies.get("least_outstanding")
    context.chosen = [
        selector.select(
            Selection(policy, request, entries, lambda _: False, None, loop.now()), late=False
        ).entry.id
        for _ in range(100)
    ]


@then("at least {least:d} of 100 requests are placed at the {name:w} one")
def step_placed_at(context, least, name):
    assert context.chosen.count(name) >= least, context.chosen.count(name)
