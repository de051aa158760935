"""Steps for the order of waiting requests across daemons: decisions, messages and floods."""

import itertools
import random
import re
from dataclasses import asdict, replace
from types import SimpleNamespace
from unittest import mock

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import strategies as st

from brassdrum.bench.load.flood import FloodPlan, play_flood
from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.bench.load.play import play
from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering import sections
from brassdrum.gateway.peering.demand_pacing import DemandPacing
from brassdrum.gateway.peering.fleet_demand import FleetDemand
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.peer_messages import (
    Acknowledgement,
    Digest,
    ForwardedDigest,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.peering.publishers import Aggregators
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow, LoadTable
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.request.patience import WaitDeadlines
from brassdrum.gateway.request.waiting import WaitQueue
from brassdrum.gateway.sharing.demand import DemandRow, add_rows, demand_key
from brassdrum.gateway.sharing.fair_order import FairOrder
from brassdrum.gateway.sharing.ledger import DemandLedger
from brassdrum.gateway.sharing.shares import max_min_shares
from brassdrum.gateway.sharing.turns import decide_turn

SERVICE = "pool"
_ROW = re.compile(r"(\d) (\w+) (\d+)\+(\d+)(?: at (\w+))?")


def key(priority=1, organisation="small", service=SERVICE):
    """Return the key of requests of an organisation."""
    return demand_key(service, priority, organisation)


def read_rows(text):
    """Return the rows that a scenario lists, as "1 large 70+80"."""
    return [
        DemandRow(key(int(priority), name, service or SERVICE), int(waiting), int(in_use))
        for priority, name, waiting, in_use, service in _ROW.findall(text)
    ]


@given("the fleet's demand is {rows}")
def step_demand(context, rows):
    context.rows = read_rows(rows)
    assert context.rows or rows == "nothing"


@then("a request of {priority:d} {name:w} yields to {other:d} {other_name:w}")
def step_yields(context, priority, name, other, other_name):
    turn = decide_turn(key(priority, name), context.rows)
    assert turn.yields_to == key(other, other_name), turn
    assert not turn.goes_first


@then("a request of {priority:d} {name:w} goes first")
def step_first(context, priority, name):
    turn = decide_turn(key(priority, name), context.rows)
    assert turn.goes_first and not turn.yields, turn


@then("a request of {priority:d} {name:w} keeps its daemon's turn")
def step_plain(context, priority, name):
    turn = decide_turn(key(priority, name), context.rows)
    assert not turn.goes_first and not turn.yields, turn


demands = st.dictionaries(st.integers(0, 300), st.integers(0, 500), min_size=1, max_size=40)


@then("shares of any demand add up to the slots, or to the demand if that is less")
def step_sum(context):
    @for_all(demands, st.integers(0, 5000))
    def check(demand_by_key, slots):
        shares = max_min_shares(demand_by_key, slots)
        expected = min(slots, sum(demand_by_key.values()))
        assert abs(sum(shares.values()) - expected) < 1e-6
        assert all(share <= demand_by_key[each] for each, share in shares.items())

    check()


@then("no organisation below its demand gets less than another one")
def step_max_min(context):
    @for_all(demands, st.integers(0, 5000))
    def check(demand_by_key, slots):
        shares = max_min_shares(demand_by_key, slots)
        largest = max(shares.values())
        for each, share in shares.items():
            assert share >= demand_by_key[each] - 1e-6 or share >= largest - 1e-6

    check()


# The ledger of one daemon.


@given("a daemon with {count:d} slots in use")
def step_ledger(context, count):
    context.told = []
    context.ledger = DemandLedger(lambda: context.told.append(context.ledger.waiting))
    for number in range(count):
        context.ledger.sent(f"attempt-{number}", key())
    context.waits_elsewhere = False


@then("it reports no demand")
def step_no_rows(context):
    assert context.ledger.rows(waits_elsewhere=context.waits_elsewhere) == ()


@when("a request waits elsewhere")
def step_elsewhere(context):
    context.waits_elsewhere = True


@when("{count:d} requests wait there")
def step_wait_there(context, count):
    context.waits_elsewhere = False
    for number in range(count):
        context.ledger.waits(number, key())


@then("it reports {waiting:d} waiting and {in_use:d} in use")
def step_rows(context, waiting, in_use):
    rows = context.ledger.rows(waits_elsewhere=context.waits_elsewhere)
    assert rows == (DemandRow(key(), waiting, in_use),), rows


@then("its peers were told at once of the first one only")
def step_told(context):
    assert context.told == [1], context.told


@given("a daemon on which requests of {count:d} organisations wait, 1 to {most:d} each")
def step_many_organisations(context, count, most):
    context.ledger = DemandLedger()
    numbers = itertools.count()
    for waiting in range(1, most + 1):
        for _ in range(waiting):
            context.ledger.waits(next(numbers), key(organisation=f"org-{waiting}"))


@then("it reports {count:d} rows, the least of them with {least:d} waiting")
def step_most(context, count, least):
    rows = context.ledger.rows(waits_elsewhere=False)
    assert len(rows) == count
    assert min(row.waiting for row in rows) == least


# The queue of one daemon.


class Waiter:
    """A request that waits for a slot and never gets one."""

    service = SERVICE
    priority = 1
    waits_for_slot = True

    def __init__(self, context, organisation, arrived=100.0):
        self.organisation_name = organisation
        self.demand_key = key(1, organisation)
        self.wait_deadlines = WaitDeadlines(arrived, 1.0, 10.0)
        self._context = context

    def retry_placement(self):
        """Record the review; other requests are reviewed too."""
        self._context.reviewed.append(self.organisation_name)
        return True


def make_queue(context, rows):
    """Make a queue on a daemon that knows the demand of other daemons."""
    context.loop = SimulatedLoop()
    context.reviewed = []
    ledger = DemandLedger()
    order = FairOrder(
        context.loop.now, ledger, lambda _: [*ledger.rows(waits_elsewhere=True), *read_rows(rows)]
    )
    context.queue = WaitQueue(context.loop, lambda seconds: seconds, order)


@given("a daemon where a request of the flood waits before one of another organisation")
def step_queue(context):
    make_queue(context, "1 large 0+80")
    context.queue.add(Waiter(context, "large"))
    context.queue.add(Waiter(context, "small"))


@then("its queue is reviewed in the order {names}")
def step_reviewed(context, names):
    context.loop.advance(0.021)
    assert context.reviewed[:2] == names.split(", "), context.reviewed


@given("a daemon where many late requests of the flood wait")
def step_late_queue(context):
    make_queue(context, "1 large 20+80")
    for _ in range(10):
        context.queue.add(Waiter(context, "large", arrived=90.0))


@then("a late request of the flood may not wait")
def step_late_flood(context):
    waiter = Waiter(context, "large", arrived=90.0)
    context.queue.add(Waiter(context, "small"))
    assert not context.queue.admits_late(waiter)


@then("a late request of the other organisation may wait")
def step_late_other(context):
    assert context.queue.admits_late(Waiter(context, "small", arrived=90.0))


@given("a {shape} of anonymous requests at twice the usual load for {seconds:g} seconds")
def step_burst(context, shape, seconds):
    context.load = {"shape": shape, "load": 2.0, "seconds": seconds, "seed": 1}


@when("it is simulated with at most {most:d} timers set in one moment")
def step_play_counted(context, most):
    call_later = SimulatedLoop.call_later
    moment, count = 0.0, 0

    def counted(loop, seconds, callback):
        nonlocal moment, count
        count = count + 1 if loop.now() == moment else 1
        moment = loop.now()
        assert count <= most, f"{count} timers were set at {moment}"
        return call_later(loop, seconds, callback)

    with mock.patch.object(SimulatedLoop, "call_later", counted):
        context.result = play(policy=policies.get("least_harm"), **context.load)


@then("it comes to its end")
def step_ended(context):
    assert sum(count.asked for count in context.result.by_kind.values()) > 0


# Demand between daemons.


class DemandDaemon:
    """A daemon that exchanges demand with others."""

    def __init__(self, fleet, number, zones):
        self.loop = fleet.loop
        self.ledger = DemandLedger(lambda: self.peers.load_changed())
        host = f"10.{number % zones}.{number // 250}.{number % 250}"
        self.address = DaemonAddress(host, f"zone-{number % zones}")
        self.peers = Peers(
            self.loop,
            fleet.network.join(self.address.host),
            f"daemon-{number:03}",
            self.address,
            1,
            LoadTable(),
            lambda: PeerStatus(1, "abc", 0.0, 1),
            lambda *_: None,
            lambda *_: None,
            random.Random(number),
            local_demand=lambda elsewhere: self.ledger.rows(waits_elsewhere=elsewhere),
        )
        self.peers.add_seed("10.0.0.0")

    def counts(self):
        """Return the waiting requests and the slots in use that this daemon counts."""
        rows = self.peers.demand.fleet_rows(self.loop.now())
        return sum(row.waiting for row in rows), sum(row.in_use for row in rows)


def within(context, seconds, holds):
    """Let time pass until a condition holds; return whether it does in time."""
    end = context.fleet.loop.now() + seconds
    while not holds() and context.fleet.loop.now() < end:
        context.fleet.loop.advance(0.02)
    return holds()


@given("{count:d} daemons in {zones:d} zones that exchange demand")
def step_fleet(context, count, zones):
    loop = SimulatedLoop()
    context.fleet = SimpleNamespace(loop=loop, network=SimulatedNetwork(loop, random.Random(1)))
    context.daemons = [DemandDaemon(context.fleet, number, zones) for number in range(count)]
    loop.advance(4.0)
    for number, daemon in enumerate(context.daemons):
        daemon.ledger.sent(f"attempt-{number}", key(organisation="large"))


@given("one of {count:d} datagrams between them is lost")
def step_loss(context, count):
    context.fleet.network.loss = 1 / count


@when("a request waits on the first and the last one")
def step_two_wait(context):
    for daemon in (context.daemons[0], context.daemons[-1]):
        daemon.ledger.waits("request", key())


@when("these requests wait no longer")
def step_served(context):
    for daemon in (context.daemons[0], context.daemons[-1]):
        daemon.ledger.stops_waiting("request")


@when("{seconds:g} s passes for them")
def step_pass(context, seconds):
    context.fleet.loop.advance(seconds)


@when("the last one is cut off")
def step_cut(context):
    context.fleet.network.cut.add(context.daemons[-1].address.host)


@when("the fleet is divided into the first {count:d} and the last {rest:d} daemons")
def step_divide(context, count, rest):
    assert count + rest == len(context.daemons)
    context.halves = [context.daemons[:count], context.daemons[count:]]
    hosts = [[each.address.host for each in half] for half in context.halves]
    for one, other in itertools.product(*hosts):
        context.fleet.network.cut_ways |= {(one, other), (other, one)}


@then(
    "within {seconds:g} second all of them count {waiting:d} waiting requests and the slots in use"
)
@then(
    "within {seconds:g} seconds all of them count {waiting:d} waiting requests and the slots in use"
)
def step_all_count(context, seconds, waiting):
    expected = (waiting, len(context.daemons))
    assert within(
        context, seconds, lambda: all(each.counts() == expected for each in context.daemons)
    ), [each.counts() for each in context.daemons]


@then("within {seconds:g} second none of them counts any demand")
@then("within {seconds:g} seconds none of them counts any demand")
def step_none_counts(context, seconds):
    assert within(
        context, seconds, lambda: all(each.counts() == (0, 0) for each in context.daemons)
    ), [each.counts() for each in context.daemons]


@then("within {seconds:g} seconds the others count {waiting:d} waiting request")
def step_others_count(context, seconds, waiting):
    others = context.daemons[:-1]
    expected = (waiting, len(others))
    assert within(context, seconds, lambda: all(each.counts() == expected for each in others)), [
        each.counts() for each in others
    ]


@then("within {seconds:g} seconds each half counts {waiting:d} waiting request")
def step_halves_count(context, seconds, waiting):
    expected = [(waiting, len(half)) for half in context.halves]
    assert within(
        context,
        seconds,
        lambda: all(
            each.counts() == counts
            for half, counts in zip(context.halves, expected, strict=True)
            for each in half
        ),
    ), [each.counts() for each in context.daemons]


@given("a report with demand")
def step_report(context):
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 1)
    context.demand = tuple(read_rows("1 large 70+80, 0 small 1+0"))
    context.report = Report(sender, PeerStatus(1, "abc", 0.0, 1, demand=context.demand))
    assert decode_message(encode_message(context.report)) == context.report


@then("a daemon of the previous release reads it without the demand")
def step_previous_reads(context):
    data = encode_message(context.report)
    with mock.patch.dict(sections._section_by_number):
        del sections._section_by_number[2]
        status = decode_message(data).status
    assert status == replace(context.report.status, demand=())


@then("a report of the previous release has no demand")
def step_previous_writes(context):
    with mock.patch.dict(sections._section_by_number):
        del sections._section_by_number[2]
        data = encode_message(context.report)
    assert decode_message(data).status.demand == ()


# Digests that leave the demand as it was.


@then("after any digests a receiver knows all keys that wait, and counts at most {age:g} s old")
def step_paced(context, age):
    counts = st.dictionaries(st.integers(0, 4), st.tuples(st.integers(0, 2), st.integers(0, 2)))

    @for_all(st.lists(st.tuples(st.floats(0.001, 0.2), counts), max_size=40))
    def check(digests):
        pacing = DemandPacing()
        now, held, told = 0.0, (), [((), -1.0)]
        for pause, counts in digests:
            now += pause
            rows = tuple(
                DemandRow(key(organisation=f"org-{number}"), *each)
                for number, each in counts.items()
                if any(each)
            )
            told.append((rows, now))
            if pacing.is_due(rows, now):
                held = rows
            assert waiting_keys(held) == waiting_keys(rows)
            assert any(each == held for each, at in told if now - at <= age)

    check()


def acknowledge(context, sequence, demand):
    """Let the member receive a digest that acknowledges a report."""
    status = PeerStatus(1, "abc", 0.0, 1, demand=demand)
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, sequence)
    acknowledgements = (Acknowledgement("10.0.0.2", sequence),)
    digest = Digest(sender, status, 2, covers_fleet=True, acknowledgements=acknowledgements)
    context.member.digest_received(digest, 1.0)


@given(
    "a member that reported {own:d} waiting request, and a digest with that one"
    " and {count:d} of others"
)
def step_member(context, own, count):
    context.own = (DemandRow(key(), own, 0),)
    group = Group(lambda row: LoadRow(row, EndpointLoad()), lambda _: None)
    context.member = FleetDemand("10.0.0.2", lambda _: context.own, group, Aggregators())
    context.member.reported(1, context.own)
    context.others = count
    acknowledge(context, 1, (DemandRow(key(), own + count, 0),))


@when("it reports {own:d} waiting requests, and a digest without rows acknowledges them")
def step_kept(context, own):
    context.own = (DemandRow(key(), own, 0),)
    context.member.reported(2, context.own)
    acknowledge(context, 2, None)


@when("a digest with these rows arrives")
def step_full(context):
    acknowledge(context, 2, (DemandRow(key(), context.own[0].waiting + context.others, 0),))


@then("it counts {count:d} waiting requests")
def step_counts(context, count):
    assert sum(row.waiting for row in context.member.fleet_rows(1.0)) == count


def waiting_keys(rows):
    """Return the keys of which a request waits."""
    return {row.key for row in rows if row.waiting}


@when(
    "requests of {count:d} organisations begin and stop to wait everywhere for {seconds:g} seconds"
)
def step_random_demand(context, count, seconds):
    rng = random.Random(7)
    names = [f"org-{number}" for number in range(count)]
    context.digests = []
    context.fleet.network.on_send = lambda _, data: context.digests.append(decode_message(data))
    waiting = []
    numbers = itertools.count()
    for _ in range(int(seconds / 0.01)):
        if waiting and rng.random() < 0.5:
            daemon, request, demand = waiting.pop(rng.randrange(len(waiting)))
            daemon.ledger.stops_waiting(request)
            daemon.ledger.sent(f"{request}", demand)
        else:
            daemon, demand = rng.choice(context.daemons), key(organisation=rng.choice(names))
            request = next(numbers)
            daemon.ledger.waits(request, demand)
            waiting.append((daemon, request, demand))
        daemon.peers.load_changed()
        context.fleet.loop.advance(0.01)


@then("within {seconds:g} seconds all of them know each row of the demand")
def step_all_rows(context, seconds):
    def rows(found):
        return {row.key: (row.waiting, row.in_use) for row in found}

    ledgers = [each.ledger.rows(waits_elsewhere=True) for each in context.daemons]
    expected = rows(add_rows([row for each in ledgers for row in each]))
    assert 20 < len(expected) <= 32, len(expected)

    def known():
        now = context.fleet.loop.now()
        return [rows(each.peers.demand.fleet_rows(now)) for each in context.daemons]

    assert within(context, seconds, lambda: all(each == expected for each in known())), [
        set(expected.items()) ^ set(each.items()) for each in known()
    ]


@given("a member of the first zone is of the previous release")
def step_previous_member(context):
    zone = [each for each in context.daemons if each.address.zone == "zone-0"]
    status = next(each for each in zone if not each.peers.is_aggregator).peers._status
    build = status.build
    status.build = lambda *args, **fields: replace(build(*args, **fields), keeps_demand=False)
    context.fleet.loop.advance(1.0)


@then("the digests for its zone all carry the demand, and those for another zone do not")
def step_whole_demand(context):
    inner = [
        decode_message(each.digest)
        for each in context.digests
        if isinstance(each, ForwardedDigest) and each.forward_to
    ]
    kept = {
        zone: [d.status.demand is None for d in inner if d.sender.address.zone == zone]
        for zone in ("zone-0", "zone-1")
    }
    assert kept["zone-0"] and not any(kept["zone-0"]), kept
    assert any(kept["zone-1"]), kept
    assert any(isinstance(each, Digest) and each.status.demand is None for each in context.digests)


# Floods.


def flood_plan(flood, others, daemons, **fields):
    """Return a plan that is short, since many daemons take long to simulate."""
    return FloodPlan(daemons, flood, others, quiet=3.0, seconds=10.0, **fields)


@given("a flood of {flood:g} a second beside {others:g} a second on {daemons:d} daemons")
def step_flood(context, flood, others, daemons):
    context.plan = flood_plan(flood, others, daemons)
    context.adjust = lambda _: None


@given(
    "a flood of {flood:g} less urgent requests a second beside {others:g} a second"
    " on {daemons:d} daemons"
)
def step_urgent_flood(context, flood, others, daemons):
    context.plan = flood_plan(flood, others, daemons, urgent=True)
    context.adjust = lambda _: None


@given(
    "a flood of {flood:g} a second of the same organisation beside {others:g} a second"
    " on {daemons:d} daemons"
)
def step_same_flood(context, flood, others, daemons):
    context.plan = flood_plan(flood, others, daemons, same=True)


@given("all daemons are told that {count:d} requests of a third organisation wait")
def step_ghost(context, count):
    ghost = DemandRow(key(organisation="third"), count, 0)

    def adjust(daemon):
        rows = daemon.fair_order._fleet_rows
        daemon.fair_order._fleet_rows = lambda now: [*rows(now), ghost]

    context.adjust = adjust


@when("the flood is simulated")
def step_play(context):
    context.result = play_flood(context.plan, context.adjust)


@when("the flood is simulated and its messages are counted")
def step_play_counted_messages(context):
    context.messages = []
    plan = replace(context.plan, quiet=1.0, seconds=1.5)
    context.result = play_flood(plan, on_messages=context.messages.extend)


@then("the parts of each kind of message add up to it, and the kinds to all that was sent")
def step_parts(context):
    whole = {each.kind: each for each in context.messages if each.part == "all"}
    assert {"report", "group digest"} <= set(whole), whole
    for kind, row in whole.items():
        parts = [each for each in context.messages if each.kind == kind and each.part != "all"]
        for name in ("busiest_bytes", "mean_bytes"):
            total = sum(getattr(each, name) for each in parts)
            assert abs(total - getattr(row, name)) <= len(parts), (row, parts)
    sent = sum(each.mean_bytes for each in whole.values())
    assert abs(sent - context.result.mean_sent_bytes_per_second) <= len(whole), (whole, sent)


@then("the mean daemon sends and receives at most {kilobytes:g} KB per second")
def step_mean_bytes(context, kilobytes):
    assert context.result.mean_bytes_per_second <= kilobytes * 1000, context.result


@when("it is simulated with and without the fair order")
def step_play_both(context):
    def switch_off(daemon):
        daemon.fair_shares = False

    context.results = [play_flood(context.plan), play_flood(context.plan, switch_off)]


@then("both results are the same but for bytes")
def step_same(context):
    no_bytes = {name: 0 for name in asdict(context.results[0]) if name.endswith("per_second")}
    bare = [replace(each, **no_bytes) for each in context.results]
    assert bare[0] == bare[1], bare


@then("the others' first tries in time are at least {share:g} of before")
def step_others(context, share):
    assert context.result.during >= share * context.result.before, context.result


@then("at least {share:g} of the others' first tries are in time")
def step_urgent(context, share):
    assert context.result.during >= share, context.result


@then("{least:g} to {most:g} requests a second are served")
def step_rate(context, least, most):
    assert least <= context.result.served <= most, context.result
