"""Steps on endpoints that are slower than the others of their service."""

import logging
import math
import random
from dataclasses import replace
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from hypothesis import given as drawn
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.bench.load.play import play
from brassdrum.bench.load.shapes import SHORT, draw
from brassdrum.cli.main import main
from brassdrum.gateway.following.slowdown_monitor import SlowdownMonitor
from brassdrum.gateway.model import DaemonAddress, EndpointEntry
from brassdrum.gateway.peering import sections
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.merged_status import MergedStatus
from brassdrum.gateway.peering.peer_messages import (
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.peering.publishers import Aggregators
from brassdrum.gateway.peering.slowdown_section import SlowdownSection
from brassdrum.gateway.placing.choosing import EndpointSelector, Selection
from brassdrum.gateway.placing.load import LoadShare, LoadTable, endpoint_key
from brassdrum.gateway.placing.placement import Helper, Placement
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.placing.slowdown import SlowdownReport, SlowdownRow, SlowdownTable
from brassdrum.gateway.request.attempt import Attempt
from brassdrum.gateway.sharing.turns import Turn
from brassdrum.gateway.throttling.cold import ColdTable
from brassdrum.gateway.throttling.rates import EndpointRates
from brassdrum.gateway.throttling.signals import EndpointSignalTable
from brassdrum.gateway.throttling.throttle import EndpointThrottle
from features.gateway_world import engine_entry
from features.steps.gateway_decision_steps import ENGINE, place
from features.steps.gateway_decision_steps import SHORT as SHORT_PROMPT

START = 100.0
ODD_KEY = 1000
SERVICE = "pool"


def table_of(service_by_key):
    return SlowdownTable(lambda: service_by_key)


def record(table, key, ratio, count, now=START):
    for _ in range(count):
        table.record(key, ratio, now)


def odd_rows(ratio=4.0):
    """Return the rows of three usual endpoints and a slow one."""
    usual = [SlowdownRow(key, 4, 0) for key in range(3)]
    return (*usual, SlowdownRow(ODD_KEY, 4, 4 * round(100 * math.log(ratio))))


def close(factor, expected):
    """Return whether a factor is as expected, within the hundredths of its logarithm."""
    return abs(math.log(factor / expected)) < 0.011


@given("{others:d} endpoints with {count:d} observations of a ratio of {ratio:g}")
def step_usual(context, others, count, ratio):
    context.services = dict.fromkeys(range(others), SERVICE)
    context.slowdown_table = table_of(context.services)
    context.observed = [(key, ratio, count) for key in range(others)]
    for each in context.observed:
        record(context.slowdown_table, *each)


@given("an endpoint with {count:d} observations of a ratio of {ratio:g}")
def step_odd(context, count, ratio):
    context.services[ODD_KEY] = SERVICE
    context.observed.append((ODD_KEY, ratio, count))
    record(context.slowdown_table, ODD_KEY, ratio, count)


@given(
    "{others:d} endpoints of another service with {count:d} observations of a ratio of {ratio:g}"
)
def step_other_service(context, others, count, ratio):
    for key in range(ODD_KEY, ODD_KEY + others):
        context.services[key] = "other"
        record(context.slowdown_table, key, ratio, count)


@then("its factor is {factor:g}")
def step_factor(context, factor):
    found = context.slowdown_table.factor(ODD_KEY, START)
    assert close(found, factor), found


@then("its factor is the same with all ratios doubled")
def step_doubled(context):
    doubled = table_of(context.services)
    for key, ratio, count in context.observed:
        record(doubled, key, 2 * ratio, count)
    factor = context.slowdown_table.factor(ODD_KEY, START)
    assert factor > 2 and close(doubled.factor(ODD_KEY, START), factor)


@then("no endpoint has a factor above 1")
def step_no_factor(context):
    assert not context.slowdown_table.slow_by_key(START), context.slowdown_table.slow_by_key(START)


@then("of 60 equal endpoints fewer than 1 in 200 has a factor, whatever the scatter")
def step_scatter(context):
    rng = random.Random(1)
    services = dict.fromkeys(range(60), SERVICE)
    for scatter in (0.2, 0.5, 1.0):
        slow = 0
        for _ in range(50):
            table = table_of(services)
            for key in services:
                for _ in range(rng.randrange(16)):
                    table.record(key, rng.lognormvariate(0.3, scatter), START)
            slow += len(table.slow_by_key(START))
        assert slow < 50 * 60 / 200, (scatter, slow)


@then("its factor is 4 after {before:g} s and 1 after {after:g} s")
def step_ends(context, before, after):
    assert close(context.slowdown_table.factor(ODD_KEY, START + before), 4.0)
    assert context.slowdown_table.factor(ODD_KEY, START + after) == 1.0


@then("its factor is 4 after {seconds:g} s")
def step_factor_later(context, seconds):
    assert close(context.slowdown_table.factor(ODD_KEY, START + seconds), 4.0)


@given("another daemon that reported 3 usual endpoints and one with a factor of 4")
def step_reported(context):
    context.services = dict.fromkeys((0, 1, 2, ODD_KEY), SERVICE)
    context.slowdown_table = table_of(context.services)
    context.slowdown_table.merge("10.0.0.2", odd_rows(), START)


@when("that endpoint is listed as another incarnation")
def step_incarnation(context):
    del context.services[ODD_KEY]
    context.services[ODD_KEY + 1] = SERVICE


@then("ratios that are not finite, not positive or out of range are not recorded")
def step_invalid_ratios(context):
    table = table_of({})
    for ratio in (math.nan, math.inf, -math.inf, 0.0, -1.0, 1e-9, 1e9):
        table.record(1, ratio, START)
    assert table.rows(START) == ()
    table.record(1, 1.0, START)
    assert table.rows(START) == (SlowdownRow(1, 1, 0),)


@then("rows without observations or with sums out of range are not merged")
def step_invalid_rows(context):
    table = table_of(dict.fromkeys((0, 1, 2, 3, ODD_KEY), SERVICE))
    invalid = [SlowdownRow(3, 0, 500), SlowdownRow(3, 4, 30000), SlowdownRow(3, 4, -30000)]
    table.merge("10.0.0.2", [*odd_rows(), *invalid], START)
    report = table.report(["10.0.0.2"], START, covers_fleet=False)
    assert report.rows == odd_rows(), report


@when("the aggregator reports the fleet without a slow endpoint")
def step_covers(context):
    context.slowdown_table.merge("10.0.0.1", (), START, covers_fleet=True)


RATIOS = st.floats(0.02, 50.0)
EVENTS = st.lists(
    st.tuples(st.sampled_from(["own", "a", "b", "c"]), st.integers(0, 6), RATIOS), max_size=60
)


@then("factors are 1 or from 1.3 to 8 and the same in any order of messages and observations")
def step_property(context):
    services = dict.fromkeys(range(6), SERVICE)

    def factors(events, publishers):
        table = table_of(services)
        received = {name: table_of(services) for name in publishers}
        for publisher, key, ratio in events:
            received.get(publisher, table).record(key, ratio, START)
        for name in publishers:
            table.merge(name, received[name].rows(START), START)
        return [table.factor(key, START) for key in range(7)]

    @settings(max_examples=300)
    @drawn(EVENTS, st.permutations(["a", "b", "c"]), st.randoms(use_true_random=False))
    def check(events, publishers, rng):
        expected = factors(events, ["a", "b", "c"])
        assert factors(rng.sample(events, len(events)), publishers) == expected
        assert all(each == 1.0 or 1.299 < each <= 8.0 for each in expected), expected
        assert expected[6] == 1.0

    check()


def message(report):
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 2)
    return Report(sender, PeerStatus(1, "", 0.5, 1, slowdown=report))


def sent(report):
    return decode_message(encode_message(message(report))).status.slowdown


@given("600 endpoints of which 5 are slow")
def step_many(context):
    rng = random.Random(1)
    context.services = dict.fromkeys(range(600), SERVICE)
    context.slowdown_table = table_of(context.services)
    for key in context.services:
        usual = 4.0 if key % 120 == 7 else 1.0
        for _ in range(6):
            context.slowdown_table.record(key, rng.lognormvariate(0.3, 0.2) * usual, START)


@then("a group's section of a message has {rows:d} rows, the fleet's has {slow:d}, of 7 bytes each")
def step_size(context, rows, slow):
    for covers_fleet, count in ((False, rows), (True, slow)):
        report = context.slowdown_table.report((), START, covers_fleet=covers_fleet)
        added = len(encode_message(message(report))) - len(encode_message(message(None)))
        # The number of sections, then number, length, scope and count of this one.
        assert added == 1 + 5 + count * 7, (covers_fleet, added)


@then("a daemon that reads the {scope}'s section finds the same 5 slow endpoints")
def step_found(context, scope):
    reader = table_of(context.services)
    report = sent(context.slowdown_table.report((), START, covers_fleet=scope == "fleet"))
    reader.merge("10.0.0.1", report.rows, START, covers_fleet=report.covers_fleet)
    slow = set(reader.slow_by_key(START))
    assert slow == set(context.slowdown_table.slow_by_key(START)) == {7, 127, 247, 367, 487}, slow


@when("{count:d} short prompts are placed while reports take {seconds:d} s")
def step_place_many(context, count, seconds):
    request = replace(SHORT_PROMPT, propagation_ms=seconds * 1000.0)
    context.chosen = [place(context, request, seed=seed).entry.name for seed in range(count)]
    assert len(set(context.chosen)) > 1, context.chosen


@then("none of them is placed on engine {number:d}")
def step_none_on(context, number):
    assert f"engine-{number}" not in context.chosen, context.chosen


@given(
    "{usual:d} daemons that reported {count:d} usual endpoints, and one that reported the first"
    " {factor:d} times as slow"
)
def step_one_outlier(context, usual, count, factor):
    services = dict.fromkeys(range(count), SERVICE)
    context.aggregator_table = table_of(services)
    for number in range(usual + 1):
        daemon = table_of(services)
        for key in services:
            record(daemon, key, factor if number == usual and not key else 1.1, 4)
        report = daemon.report((), START, covers_fleet=False)
        context.aggregator_table.merge(f"daemon-{number}", report.rows, START)


@then("the aggregator takes no endpoint for slow")
def step_aggregator_none(context):
    slow = context.aggregator_table.slow_by_key(START)
    assert slow == {}, slow


@then("a daemon reports nothing before its first observation, and all rows after it")
def step_quiet(context):
    table = table_of(dict.fromkeys(range(4), SERVICE))
    assert table.report((), START, covers_fleet=False) is None
    for key, ratio in ((0, 1.0), (1, 1.2), (2, 0.85), (3, 1.1)):
        table.record(key, ratio, START)
    assert [row.key for row in table.report((), START, covers_fleet=False).rows] == [0, 1, 2, 3]


@then("the status between two heartbeats reports nothing")
def step_heartbeats_only(context):
    table = table_of(dict.fromkeys(range(4), SERVICE))
    record(table, 0, 4.0, 4)
    status = MergedStatus(
        lambda: PeerStatus(1, "", 0.5, 1),
        Group(lambda _: None, lambda _: None),
        Aggregators(),
        SimpleNamespace(rows_to_send=lambda *_, **__: ()),
        table,
    )
    assert status.build(START).slowdown is None
    assert status.build(START, heartbeat=True).slowdown.rows[0].count == 4


@then("rows with negative sums and with large counts keep their means")
def step_fields(context):
    rows = (
        SlowdownRow(1, 4, -139),
        SlowdownRow(0xFFFFFFFF, 255, 0x7FFF),
        SlowdownRow(7, 255, -0x7FFF),
        SlowdownRow(8, 1000, 139_000),
        SlowdownRow(9, 200, -60_000),
    )
    found = sent(SlowdownReport(rows, covers_fleet=True))
    assert found.covers_fleet
    assert found.rows[:3] == rows[:3], found.rows
    for before, after in zip(rows, found.rows, strict=True):
        assert before.key == after.key and abs(before.mean - after.mean) < 0.5, (before, after)
    assert not sent(SlowdownReport(rows)).covers_fleet


@then("a daemon that does not know the section reads the rest of the report")
def step_previous_release(context):
    data = encode_message(message(SlowdownReport(odd_rows())))
    known = sections._section_by_number
    assert isinstance(known[4], SlowdownSection)
    previous = {number: each for number, each in known.items() if number != 4}
    with mock.patch.object(sections, "_section_by_number", previous):
        assert decode_message(data) == message(None)


@given("engine {number:d} is {factor:g} times as slow")
def step_slow_engine(context, number, factor):
    context.slowdowns[number] = factor


@when("engine {number:d} is {factor:g} times as slow and the prompt is placed again")
def step_slow_again(context, number, factor):
    context.earlier, context.factor = context.placement, factor
    context.slowdowns[number] = factor
    place(context, context.request)


@then("it is not placed on engine {number:d}")
def step_elsewhere(context, number):
    assert context.placement.entry.id != engine_entry(number).id


@then("the first event is predicted {factor:g} times as late with the same load")
def step_multiplied(context, factor):
    now, before = context.placement, context.earlier
    assert math.isclose(now.first_event_ms, factor * before.first_event_ms)
    assert now.shares == before.shares
    assert (now.slowdown, before.slowdown) == (factor, 1.0)


class LogLines(logging.Handler):
    """Collect the log lines of a monitor."""

    def __init__(self):
        super().__init__()
        self.records = []

    def emit(self, record):
        """Keep a line."""
        self.records.append(record)

    def take(self):
        """Return the lines since the last call."""
        records, self.records = self.records, []
        return records


@given("a daemon with {count:d} endpoints")
def step_daemon(context, count):
    context.loop = SimulatedLoop()
    context.suspects = set()
    entries = {
        f"i-{n}": EndpointEntry(f"i-{n}", SERVICE, f"i-{n}", "zone-a", 8, False)
        for n in range(count)
    }
    context.routing_state = SimpleNamespace(endpoints_by_id=entries)
    context.monitor = SlowdownMonitor(
        context.loop, context.routing_state, lambda each: each in context.suspects
    )
    context.monitor.enabled = True
    context.lines = LogLines()
    logger = logging.getLogger("brassdrum.gateway.following.slowdown_monitor")
    logger.addHandler(context.lines)
    logger.setLevel(logging.INFO)
    context.add_cleanup(logger.removeHandler, context.lines)


def placement(entry, predicted_ms=100.0, **fields):
    return Placement(entry, (), (), predicted_ms, "test", **fields)


def send_first_event(context, entry, seconds, *, predicted_ms=100.0, **fields):
    """Let the first event of a request arrive some seconds after it was sent."""
    sent_at = context.loop.now() - seconds
    context.monitor.first_event_received(placement(entry, predicted_ms, **fields), sent_at)


@when(
    "each endpoint sends {count:d} first events at the predicted time,"
    " one with a slowdown of {factor:g}"
)
def step_first_events(context, count, factor):
    entries = list(context.routing_state.endpoints_by_id.values())
    for number, entry in enumerate(entries):
        slowdown = factor if number == 0 else 1.0
        predicted_ms = 100.0 * slowdown
        for _ in range(count):
            send_first_event(
                context,
                entry,
                predicted_ms / 1000,
                predicted_ms=predicted_ms,
                slowdown=slowdown,
            )
    context.loop.advance(0.6)


@then("that endpoint is {factor:g} times as slow")
def step_monitor_factor(context, factor):
    assert close(context.monitor.factor("i-0"), factor), context.monitor.factor("i-0")
    assert context.monitor.factor("i-1") == 1.0


@when("first events come {case}")
def step_excluded(context, case):
    entries = list(context.routing_state.endpoints_by_id.values())
    fields = {"predicted_ms": 100.0}
    if case == "of requests with helpers":
        fields["helpers"] = (Helper(entries[1]),)
    elif case == "of a suspect endpoint":
        context.suspects.add(entries[0].id)
    elif case == "of a full endpoint":
        fields["endpoint_full"] = True
    elif case == "of requests that queue there":
        fields["queues"] = True
    elif case == "without a prediction":
        fields["predicted_ms"] = 0.0
    else:
        assert case == "while the switch is off", case
        context.monitor.enabled = False
    sent_at = context.loop.now() - 0.4
    context.case = replace(placement(entries[0]), first_event_ms=fields.pop("predicted_ms"))
    context.monitor.first_event_received(replace(context.case, **fields), sent_at)


@then("nothing is observed")
def step_nothing(context):
    now = context.loop.now()
    assert context.monitor.table.rows(now) == ()
    # The same event counts where none of this holds.
    context.monitor.enabled = True
    context.suspects.clear()
    context.monitor.first_event_received(
        replace(context.case, first_event_ms=100.0), context.loop.now() - 0.4
    )
    assert len(context.monitor.table.rows(now)) == 1


@given("an engine whose slots are all in use")
def step_slots_in_use(context):
    context.loop = SimulatedLoop()
    context.load_table = LoadTable()
    context.engine_entry = engine_entry(1)
    for number in range(ENGINE.slots):
        share = LoadShare(context.engine_entry.id, 0.0, 1000, 250)
        context.load_table.start(str(number), (share,), context.loop.now(), 0.0)


@when("a request that goes first is placed after half of its objective")
def step_goes_first(context):
    loop, signals = context.loop, EndpointSignalTable()
    rates = EndpointRates(loop.now, signals, ColdTable(), lambda _: None)
    throttle = EndpointThrottle(loop, signals, None, rates)
    selector = EndpointSelector(
        "daemon-1", context.load_table, throttle, random.Random(1), lambda: 0.0
    )
    request = replace(SHORT_PROMPT, waited_ms=SHORT_PROMPT.objective_ms / 2)
    policy = policies.get("least_harm")
    selection = Selection(
        policy, request, [context.engine_entry], lambda _: False, ENGINE, loop.now()
    )
    context.placement = selector.select(selection, late=False, turn=Turn(goes_first=True, ahead=1))


@then("its placement says that it queues there")
def step_queues(context):
    assert not context.placement.endpoint_full
    assert context.placement.queues


@then("an attempt that sends 0.3 s after its start records the time since then")
def step_attempt(context):
    loop = SimulatedLoop()
    observed = []
    slowdowns = SimpleNamespace(
        first_event_received=lambda placed, sent_at: observed.append((placed, sent_at))
    )
    host = SimpleNamespace(
        loop=loop,
        load_table=LoadTable(),
        endpoint_monitor=SimpleNamespace(slowdowns=slowdowns),
        next_attempt_number=lambda: 1,
        load_changed=lambda: None,
    )
    owner = SimpleNamespace(
        request=SimpleNamespace(id="a"), last_event_id=None, new_progress=lambda: None
    )
    placed = placement(engine_entry(1))
    attempt = Attempt(host, owner, placed)
    loop.advance(0.3)
    attempt.sent_at = loop.now()
    loop.advance(0.1)
    attempt.first_event_received()
    attempt.first_event_received()
    assert observed == [(placed, loop.now() - 0.1)], observed


@then("the log has no line and 0 endpoints count as slow")
def step_no_line(context):
    assert context.lines.take() == []
    assert context.monitor.slow_count == 0


@then('the log has "endpoint slow" with {count:d} observations and 1 endpoint counts as slow')
def step_slow_line(context, count):
    (line,) = context.lines.take()
    assert line.getMessage() == "endpoint slow"
    assert (line.endpoint, line.observations) == ("i-0", count), vars(line)
    assert 2.5 < line.factor < 4 and 0 <= line.age <= 1.2, vars(line)
    assert context.monitor.slow_count == 1


@when("{seconds:g} s go by")
def step_go_by(context, seconds):
    context.loop.advance(seconds)


@then('the log has "endpoint at usual speed" and 0 endpoints count as slow')
def step_usual_line(context):
    (line,) = context.lines.take()
    assert (line.getMessage(), line.endpoint) == ("endpoint at usual speed", "i-0")
    assert context.monitor.slow_count == 0


@given("its switch is off")
def step_off(context):
    context.monitor.enabled = False


@when("a member reports 3 usual endpoints and one with a factor of 4")
def step_member_reports(context):
    keys = [endpoint_key(each) for each in context.routing_state.endpoints_by_id]
    rows = [SlowdownRow(key, 4, 0) for key in keys[1:]]
    context.rows = tuple(sorted([*rows, SlowdownRow(keys[0], 4, 4 * 139)], key=lambda row: row.key))
    context.monitor.apply_report("10.0.0.2", SlowdownReport(context.rows))


@then("it uses no factor")
def step_unused(context):
    assert context.monitor.factor("i-0") == 1.0
    context.monitor.enabled = True
    assert context.monitor.factor("i-0") > 3.9


@then("it passes the rows of the member on")
def step_passed_on(context):
    report = context.monitor.table.report(["10.0.0.2"], context.loop.now(), covers_fleet=False)
    assert report.rows == context.rows, report


@then('"gateway --learn-slowdown" sets "learn_slowdown" to on and "gateway" to off')
def step_option(context):
    found = []
    with mock.patch(
        "brassdrum.platform.serve.serve", lambda _level, **options: found.append(options) or 0
    ):
        main(["gateway", "--learn-slowdown"])
        main(["gateway"])
    assert [each["learn_slowdown"] for each in found] == [True, False], found


class LearningDaemon:
    """A daemon with its peers that learns how slow endpoints are."""

    def __init__(self, loop, network, number, zones, endpoints):
        self.address = DaemonAddress(f"10.{number % zones}.0.{number}", f"zone-{number % zones}")
        entries = {name: SimpleNamespace(id=name, service=SERVICE) for name in endpoints}
        self.slowdowns = SlowdownMonitor(
            loop, SimpleNamespace(endpoints_by_id=entries), lambda _: False
        )
        self.slowdowns.enabled = True
        self.peers = Peers(
            loop,
            network.join(self.address.host),
            f"daemon-{number}",
            self.address,
            1,
            LoadTable(),
            lambda: PeerStatus(1, "abc", 0.0, 1),
            lambda *_: None,
            lambda host, status: self.slowdowns.apply_report(host, status.slowdown),
            random.Random(number),
            slowdowns=self.slowdowns.table,
        )
        self.peers.add_seed("10.0.0.0")


@given("{daemons:d} daemons in {zones:d} zones that share {endpoints:d} endpoints")
def step_learning_fleet(context, daemons, zones, endpoints):
    context.loop = SimulatedLoop()
    context.network = SimulatedNetwork(context.loop, random.Random(1))
    context.endpoints = [f"engine-{number}" for number in range(endpoints)]
    context.daemons = [
        LearningDaemon(context.loop, context.network, number, zones, context.endpoints)
        for number in range(daemons)
    ]
    context.loop.advance(5.0)
    assert all(each.peers.live == daemons for each in context.daemons)


def observe(context, daemons):
    """Let each daemon observe two endpoints, so that no one knows which of them is slow."""
    now = context.loop.now()
    for number, daemon in enumerate(daemons):
        for offset in (0, 1):
            index = (number + offset) % len(context.endpoints)
            key = endpoint_key(context.endpoints[index])
            daemon.slowdowns.table.record(key, 5.6 if index == 0 else 1.4, now)


def knows(daemon):
    return [
        close(daemon.slowdowns.factor(f"engine-{n}"), 4.0 if n == 0 else 1.0) for n in range(10)
    ]


@when("each daemon observes 2 endpoints, one of all being 4 times as slow")
def step_observe(context):
    # Half of the rows alone would be too few.
    observe(context, context.daemons * 2)
    assert not all(all(knows(each)) for each in context.daemons)


@when("each daemon of the first zone observes 2 endpoints, one of all being 4 times as slow")
def step_observe_zone(context):
    observe(context, [each for each in context.daemons if each.address.zone == "zone-0"] * 2)


@then("all daemons know a factor of 4 within {seconds:g} s")
def step_all_know(context, seconds):
    context.loop.advance(seconds)
    wrong = [each.address.host for each in context.daemons if not all(knows(each))]
    assert not wrong, wrong


@then("all of them have forgotten it {seconds:g} s later")
def step_forgotten(context, seconds):
    context.loop.advance(seconds)
    assert all(each.slowdowns.factor("engine-0") == 1.0 for each in context.daemons)
    assert all(each.slowdowns.table.is_empty(context.loop.now()) for each in context.daemons)


@when("all messages are lost for {seconds:g} s")
def step_lost(context, seconds):
    context.network.loss = 1.0
    context.loop.advance(seconds)
    context.network.loss = 0.0


@when("the zones lose each other")
def step_cut(context):
    hosts = [each.address.host for each in context.daemons]
    ways = {(one, other) for one in hosts for other in hosts if one[:5] != other[:5]}
    context.network.cut_ways.update(ways)


@then("all daemons of the first zone know a factor of 4 within {seconds:g} s, the others none")
def step_half_knows(context, seconds):
    context.loop.advance(seconds)
    for daemon in context.daemons:
        factor = daemon.slowdowns.factor("engine-0")
        expected = 4.0 if daemon.address.zone == "zone-0" else 1.0
        assert close(factor, expected), (daemon.address, factor)


@given("short prompts at 82 daemons and 60 engines, one of them {factor:g} times as slow")
def step_one_slow_engine(context, factor):
    context.load = {"slowdowns": (factor,)}
    context.change = None


@given("short prompts at 82 daemons and 60 engines that all become {factor:g} times as slow")
def step_all_slow(context, factor):
    context.load = {}
    context.change = factor


SEEDS = (1, 2, 3)
_SECONDS = 8.0
_CHANGE_AT_SECONDS = 4.0
_LOOK_SECONDS = 0.5
_SLOW_FACTOR = 1.5


def short_prompts(rng, load, seconds):
    """Draw short prompts only: of the others, first events with helpers are not observed."""
    return draw(rng, seconds, {SHORT: load})


def simulate(context, seed, *, learn):
    """Return the result of a run, and the engines that daemons took for slow with the times."""
    found = []

    def adjust(daemon):
        daemon.endpoint_monitor.slowdowns.enabled = learn

    def begin(fleet):
        if context.change is not None:
            for engine in fleet.engine_by_id.values():
                fleet.loop.call_later(
                    _CHANGE_AT_SECONDS,
                    lambda each=engine: setattr(each, "slowdown", context.change),
                )
        look(fleet, fleet.loop.now())

    def look(fleet, began_at):
        now = fleet.loop.now()
        for daemon in fleet.daemons:
            slow = daemon.endpoint_monitor.slowdowns.table.slow_by_key(now)
            found.extend((now - began_at, key) for key in slow if slow[key].factor >= _SLOW_FACTOR)
        fleet.loop.call_later(_LOOK_SECONDS, lambda: look(fleet, began_at))

    result = play(
        short_prompts,
        policies.get("least_harm"),
        load=1.0,
        seed=seed,
        seconds=_SECONDS,
        daemons=82,
        engines=60,
        adjust=adjust,
        begin=begin,
        **context.load,
    )
    return result, found


def late_prompts(results):
    counts = [result.by_kind["short"] for result, _ in results]
    return sum(count.asked - count.timely for count in counts)


@when("it is simulated with and without the correction")
def step_simulate_both(context):
    context.results = [simulate(context, seed, learn=True) for seed in SEEDS]
    context.others = [simulate(context, seed, learn=False) for seed in SEEDS]


@when("it is simulated with the correction")
def step_simulate(context):
    context.results = [simulate(context, seed, learn=True) for seed in SEEDS[:2]]


@then("at least a quarter fewer short prompts are late with the correction")
def step_fewer_late(context):
    on, off = late_prompts(context.results), late_prompts(context.others)
    assert off > 0 and on <= 0.75 * off, (on, off)


@then("no engine is taken for slow after the change")
def step_none_slow(context):
    for _, slow_at in context.results:
        before = {each for at, each in slow_at if at <= _CHANGE_AT_SECONDS}
        after = {each for at, each in slow_at if _CHANGE_AT_SECONDS < at <= _SECONDS}
        assert after <= before, (before, after)
