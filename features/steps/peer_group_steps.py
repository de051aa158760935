"""Steps for peers in simulated time: aggregator selection and load counts."""

import itertools
import random
import statistics
from collections import Counter

from behave import given, then, when
from hypothesis import Phase, settings
from hypothesis import given as for_all
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.gateway.following.evacuations import newest_evacuations
from brassdrum.gateway.following.suspicion import FailureDetector
from brassdrum.gateway.forwarding.targets import ForwardTargets
from brassdrum.gateway.model import DaemonAddress
from brassdrum.gateway.peering.peer_messages import (
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.peering.row_publisher import RowPublisher
from brassdrum.gateway.peering.spreading import fanout_branches
from brassdrum.gateway.peering.wire import FieldWriter
from brassdrum.gateway.placing.load import EndpointLoad, LoadShare, LoadTable

ENGINE_COUNT = 20
REQUEST_TOKENS = 6400
# The number of a section that this release does not know.
LATER_SECTION = 255


class Daemon:
    """A daemon with its peers and its requests in flight."""

    def __init__(self, fleet, number, zones, incarnation=1):
        self.number = number
        self.incarnation = incarnation
        self.address = DaemonAddress(f"10.{number % zones}.0.{number}", f"zone-{number % zones}")
        self.loop = StoppableLoop(fleet.loop)
        self.table = LoadTable()
        self.suspicions = FailureDetector()
        self.evacuations = None
        self.notice_times = []
        self.requests = {}
        self.peers = Peers(
            self.loop,
            fleet.network.join(self.address.host),
            f"daemon-{number}",
            self.address,
            incarnation,
            self.table,
            lambda: PeerStatus(
                1,
                "abc",
                0.0,
                1,
                failing=tuple(self.suspicions.notices(self.loop.now())),
                evacuations=self.evacuations,
            ),
            lambda *_: None,
            self._handle_notices,
            random.Random(number),
        )
        self.peers.add_seed("10.0.0.0")

    def _handle_notices(self, _host, status):
        self.evacuations = newest_evacuations([self.evacuations, status.evacuations])
        for notice in status.failing:
            self.suspicions.apply_notice(notice, self.loop.now())
            self.notice_times.append(self.loop.now())

    def begin(self, name, engine):
        """Start a request at an engine."""
        share = LoadShare(engine, 0.0, REQUEST_TOKENS, 250)
        self.table.start(name, [share], self.loop.now(), 10.0)
        self.requests[name] = engine
        self.peers.load_changed()

    def end(self, name):
        """End a request."""
        self.table.end(name, self.loop.now())
        del self.requests[name]
        self.peers.load_changed()


class StoppableLoop:
    """Event loop of one daemon, which can be stopped to simulate a crash."""

    def __init__(self, loop):
        self._loop = loop
        self.stopped = False

    def now(self):
        """Return the simulated time in seconds."""
        return self._loop.now()

    def call_later(self, seconds, callback):
        """Schedule a callback that does nothing once the loop is stopped."""
        return self._loop.call_later(seconds, lambda: None if self.stopped else callback())


class Fleet:
    """The daemons of a scenario and their simulated network."""

    def __init__(self, count, zones, seconds=5.0):
        self.loop = SimulatedLoop()
        self.network = SimulatedNetwork(self.loop, random.Random(1))
        self.zones = zones
        self.daemons = [Daemon(self, number, zones) for number in range(count)]
        self.loop.advance(seconds)

    def expected_counts(self):
        """Return the number of requests in flight at each engine."""
        return Counter(engine for each in self.daemons for engine in each.requests.values())

    def counts_of(self, daemon):
        """Return the number of requests at each engine as counted by one daemon."""
        names = {f"engine-{number}" for number in range(ENGINE_COUNT)} | set(self.expected_counts())
        totals = {name: daemon.table.total(name) for name in names}
        return Counter({name: load.streams for name, load in totals.items() if load.streams})

    def right(self):
        """Return whether all daemons count the requests in flight and their memory."""
        expected = self.expected_counts()
        return all(self.counts_of(each) == expected for each in self.daemons) and all(
            each.table.total(name).memory == count * REQUEST_TOKENS
            for each in self.daemons
            for name, count in expected.items()
        )

    def within(self, seconds, holds):
        """Advance the time until a condition holds; return whether it does in time."""
        end = self.loop.now() + seconds
        while not holds():
            if self.loop.now() >= end:
                return False
            self.loop.advance(0.01)
        return True

    def aggregator_of(self, zone):
        """Return the aggregator of a zone."""
        (found,) = [
            each for each in self.daemons if each.peers.is_aggregator and each.address.zone == zone
        ]
        return found

    def has_converged(self, count):
        """Return whether all daemons see ``count`` live ones and each zone has one aggregator."""
        aggregators = Counter(
            each.address.zone for each in self.daemons if each.peers.is_aggregator
        )
        return (
            all(each.peers.live == count for each in self.daemons)
            and set(aggregators.values()) == {1}
            and len(aggregators) == self.zones
        )

    def crash(self, daemon):
        """Stop a daemon without any message."""
        daemon.loop.stopped = True
        self.network.leave(daemon.address.host)
        self.daemons.remove(daemon)

    def restart(self, daemon):
        """Start a daemon under the address of a crashed one."""
        restarted = Daemon(self, daemon.number, self.zones, daemon.incarnation + 1)
        self.daemons.append(restarted)
        return restarted


@given("{count:d} connected daemons in {zones:d} zones")
def step_fleet(context, count, zones):
    context.fleet = Fleet(count, zones)
    assert context.fleet.within(
        5.0, lambda: all(each.peers.live == count for each in context.fleet.daemons)
    ), Counter(each.peers.live for each in context.fleet.daemons)


@then("all daemons see {count:d} live ones and one aggregator per zone")
def step_live(context, count):
    assert context.fleet.has_converged(count)


@when("one of them starts a request")
def step_begin(context):
    context.one = context.fleet.daemons[-1]
    context.before = context.one.peers.sent_datagrams
    context.one.begin("request", "engine-3")


@then("all daemons count it once within {seconds:g} seconds")
def step_counted(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@then("that daemon sent at most {count:d} datagrams for it")
def step_max_datagrams(context, count):
    assert context.one.peers.sent_datagrams - context.before <= count


@when("that request ends")
def step_end(context):
    context.one.end("request")


@then("no daemon counts it after {seconds:g} seconds")
def step_not_counted(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@given("fleets of {small:d} and {large:d} daemons that each start a request a second for 4 seconds")
def step_two_fleets(context, small, large):
    context.fleets = [busy_fleet(small, 3), busy_fleet(large, 5)]


def busy_fleet(count, zones):
    """Return the traffic of each host per second, with one request a second per daemon."""
    fleet = Fleet(count, zones)
    before = {host: (t.got, t.got_bytes, t.sent_bytes) for host, t in traffic(fleet)}
    rng = random.Random(count)
    for second in range(4):
        for daemon in fleet.daemons:
            name = f"request-{second}"
            engine = f"engine-{rng.randrange(count)}"
            fleet.loop.call_later(
                second + rng.random(),
                lambda d=daemon, n=name, e=engine: (
                    d.begin(n, e),
                    fleet.loop.call_later(0.8, lambda: d.end(n)),
                ),
            )
    fleet.loop.advance(5.0)
    return {
        host: tuple(
            (a - b) / 5.0
            for a, b in zip((t.got, t.got_bytes, t.sent_bytes), before[host], strict=True)
        )
        for host, t in traffic(fleet)
    }


def traffic(fleet):
    """Return the traffic counters by host."""
    return list(fleet.network.traffic_by_host.items())


@then("the large fleet receives at most {times:g} times the median datagrams of the small one")
def step_median_datagrams(context, times):
    small, large = (
        statistics.median(got for got, _, _ in fleet.values()) for fleet in context.fleets
    )
    assert large <= times * small, (small, large)


@then("no daemon of the large fleet sends more than {times:g} times the median bytes")
def step_max_bytes(context, times):
    sent = [each[2] for each in context.fleets[1].values()]
    assert max(sent) <= times * statistics.median(sent), (max(sent), statistics.median(sent))


@then("the median daemon of the large fleet receives at most {kilobytes:g} KB per second")
def step_median_bytes(context, kilobytes):
    got = statistics.median(each[1] for each in context.fleets[1].values())
    assert got <= kilobytes * 1000, got


@given("each of them has a request in flight")
def step_all_busy(context):
    for daemon in context.fleet.daemons:
        daemon.begin("request", f"engine-{daemon.number % ENGINE_COUNT}")
    if not context.fleet.network.loss:
        assert context.fleet.within(1.0, context.fleet.right)


@when("the aggregator of the first zone {failure}")
def step_aggregator_failure(context, failure):
    fleet = context.fleet
    aggregator = context.aggregator = fleet.aggregator_of("zone-0")
    host = aggregator.address.host
    others = [each.address.host for each in fleet.daemons if each is not aggregator]
    if failure == "is partitioned":
        fleet.network.cut.add(host)
        fleet.daemons.remove(aggregator)
    elif failure == "crashes":
        fleet.crash(aggregator)
    elif failure == "begins its planned stop":
        aggregator.peers.leaving = True
        aggregator.peers.announce()
    elif failure == "cannot send to its members":
        local_hosts = [h for h in others if h.startswith("10.0.")]
        fleet.network.cut_ways |= {(host, other) for other in local_hosts}
        fleet.daemons.remove(aggregator)
    elif failure == "cannot receive from its members":
        local_hosts = [h for h in others if h.startswith("10.0.")]
        fleet.network.cut_ways |= {(other, host) for other in local_hosts}
        fleet.daemons.remove(aggregator)
    else:
        assert failure == "is partitioned for 6 seconds"
        fleet.network.cut.add(host)
        fleet.loop.advance(6.0)
        fleet.network.cut.remove(host)


@then("within {seconds:g} seconds the zone has another aggregator and all counts are correct")
def step_other_aggregator(context, seconds):
    fleet = context.fleet

    def holds():
        aggregators = [each for each in fleet.daemons if each.peers.is_aggregator]
        zones = {each.address.zone for each in aggregators if each is not context.aggregator}
        return zones == {"zone-0", "zone-1", "zone-2"} and counts_correct_without(
            fleet, context.aggregator
        )

    assert fleet.within(seconds, holds), [
        (each.address.host, fleet.counts_of(each) - fleet.expected_counts())
        for each in fleet.daemons
    ]


def counts_correct_without(fleet, aggregator):
    """Return whether all daemons count the load of all reachable daemons.

    Other zones may still hear from an aggregator that lost its members in one direction.
    """
    with_aggregator = fleet.expected_counts()
    with_aggregator.update(aggregator.requests.values() if aggregator not in fleet.daemons else ())
    allowed = (fleet.expected_counts(), with_aggregator)
    return all(fleet.counts_of(each) in allowed for each in fleet.daemons)


@then("within {seconds:g} seconds all counts are correct and all daemons see {count:d} live ones")
def step_correct_and_live(context, seconds, count):
    fleet = context.fleet
    assert fleet.within(seconds, lambda: fleet.right() and fleet.has_converged(count)), Counter(
        each.peers.live for each in fleet.daemons
    )


@then("within {seconds:g} seconds all counts are correct")
def step_correct(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@when("a group member avoids an endpoint for 0.8 seconds")
def step_member_avoids(context):
    fleet = context.fleet
    context.avoiding = next(each for each in fleet.daemons if not each.peers.is_aggregator)
    assert context.avoiding.suspicions.record_failure("a", fleet.loop.now(), certain=True)
    context.avoiding.begin("r", "b")


@then("all daemons avoid it within {seconds:g} seconds")
def step_all_avoid(context, seconds):
    fleet = context.fleet
    fleet.loop.advance(seconds)
    now = fleet.loop.now()
    unaware = [each for each in fleet.daemons if not each.suspicions.is_suspect("a", now)]
    assert not unaware, [each.address for each in unaware]


@then("no daemon receives reports of it after {seconds:g} seconds")
def step_no_reports_after(context, seconds):
    fleet = context.fleet
    fleet.loop.advance(seconds)
    now = fleet.loop.now()
    late = [
        each.address
        for each in fleet.daemons
        if each.notice_times and each.notice_times[-1] > now - 1
    ]
    assert not late, late


@when("a group member restarts")
def step_restart(context):
    fleet = context.fleet
    daemon = next(each for each in fleet.daemons if not each.peers.is_aggregator)
    fleet.crash(daemon)
    context.one = fleet.restart(daemon)
    fleet.loop.advance(0.5)
    context.one.begin("new", "engine-7")


@then("within {seconds:g} seconds its old request is not counted and its new one is counted once")
def step_new_counts(context, seconds):
    assert context.fleet.within(seconds, context.fleet.right)


@given("one datagram in {count:d} is lost")
def step_loss(context, count):
    context.fleet.network.loss = 1 / count


@given("{count:d} daemons that start at once with a list of {dead:d} dead ones")
def step_start_listed(context, count, dead):
    context.fleet = fleet = Fleet(count, 3, seconds=0.0)
    listed = [DaemonAddress(f"10.{n % 3}.9.{n}", f"zone-{n % 3}", 9) for n in range(dead)]
    listed += [each.address for each in fleet.daemons]
    for daemon in fleet.daemons:
        daemon.peers.add_addresses(listed)


@then("within {seconds:g} seconds all daemons see {count:d} live ones and one aggregator per zone")
def step_soon_live(context, seconds, count):
    fleet = context.fleet
    assert fleet.within(seconds, lambda: fleet.has_converged(count)), Counter(
        each.peers.live for each in fleet.daemons
    )


@when("the first zone is partitioned from the others for {seconds:g} seconds")
def step_zone_cut(context, seconds):
    fleet = context.fleet
    local_hosts = [each.address.host for each in fleet.daemons if each.address.zone == "zone-0"]
    remote_hosts = [each.address.host for each in fleet.daemons if each.address.zone != "zone-0"]
    links = {link for a in local_hosts for b in remote_hosts for link in ((a, b), (b, a))}
    fleet.network.cut_ways |= links
    fleet.loop.advance(seconds)
    fleet.network.cut_ways -= links


ACTIONS = st.lists(
    st.tuples(
        st.sampled_from(["begin", "end", "cut", "heal", "kill", "start", "stop", "lose"]),
        st.integers(0, 19),
        st.floats(0.01, 2.0),
    ),
    max_size=25,
)


@then("counts converge {seconds:g} seconds after random requests, failures, restarts and losses")
def step_random(context, seconds):
    phases = (Phase.explicit, Phase.generate)  # Shrinking would take minutes.

    @settings(max_examples=20, deadline=None, database=None, derandomize=True, phases=phases)
    @for_all(ACTIONS)
    def holds(actions):
        fleet = Fleet(20, 2, seconds=3.0)
        dead = []
        for number, (action, which, pause) in enumerate(actions):
            act(fleet, dead, action, which, number)
            fleet.loop.advance(pause)
        fleet.network.cut.clear()
        fleet.network.loss = 0.0
        live = [each for each in fleet.daemons if not each.peers.leaving]
        assert fleet.within(seconds, fleet.right), actions
        assert fleet.within(
            seconds, lambda: all(each.peers.live == len(live) for each in live)
        ), actions

    holds()


def act(fleet, dead, action, which, number):
    """Apply one random event to a fleet."""
    daemon = fleet.daemons[which % len(fleet.daemons)]
    if action == "begin":
        daemon.begin(f"request-{number}", f"engine-{which}")
    elif action == "end" and daemon.requests:
        daemon.end(next(iter(daemon.requests)))
    elif action == "cut":
        fleet.network.cut.add(daemon.address.host)
    elif action == "heal":
        fleet.network.cut.clear()
    elif action == "kill" and len(fleet.daemons) > 6:
        fleet.crash(daemon)
        dead.append(daemon)
    elif action == "start" and dead:
        fleet.restart(dead.pop())
    elif action == "stop":
        daemon.peers.leaving = True
        daemon.peers.announce()
    elif action == "lose":
        fleet.network.loss = 0.1


@then("a fan-out reaches {hosts:d} hosts once with at most {max_copies:d} copies per sender")
def step_fanout(context, hosts, max_copies):
    names = [f"10.0.0.{number}" for number in range(hosts)]
    rng = random.Random(1)
    for _ in range(50):
        found = list(fanout_branches(names, rng))
        reached = [each.host for each in found] + [h for each in found for h in each.forward_to]
        assert sorted(reached) == sorted(names)
        assert len(found) <= max_copies
        assert all(len(each.forward_to) <= max_copies for each in found)


@given("a publisher of the loads of {count:d} endpoints")
def step_publisher(context, count):
    context.publisher = RowPublisher(lambda _: EndpointLoad(memory=640, requests=1))
    context.publisher.mark_changed(range(count))
    for _ in range(2):
        context.publisher.take_changed(0.0, include_partition=False)
    context.sent_at = {row: [0.0] for row in range(count)}


@when("it fills {messages:d} messages a second for {seconds:g} seconds, in which nothing changes")
def step_fill(context, messages, seconds):
    context.seconds = seconds
    for number in range(1, int(messages * seconds) + 1):
        now = number / messages
        for row in context.publisher.take_changed(now, include_partition=True).rows:
            context.sent_at[row.key].append(now)


@then("it sends {least:g} to {most:g} rows a second, and each row at least every {age:g} seconds")
def step_row_pace(context, least, most, age):
    sent = sum(len(times) - 1 for times in context.sent_at.values()) / context.seconds
    assert least <= sent <= most, sent
    pauses = [b - a for times in context.sent_at.values() for a, b in itertools.pairwise(times)]
    assert max(pauses) <= age, max(pauses)


@when("all daemons of the first zone lose their path to the endpoints")
def step_zone_loses_path(context):
    fleet = context.fleet
    context.cut = [each for each in fleet.daemons if each.address.zone == "zone-0"]
    context.others = {each.address.host for each in fleet.daemons} - {
        each.address.host for each in context.cut
    }
    context.sent_before = sum(each.peers.sent_bytes for each in fleet.daemons)
    context.cut_at = fleet.loop.now()
    for daemon in context.cut:
        daemon.peers.set_path_lost(True)


@then("within {seconds:g} seconds each of them knows nine tenths of the other zones' daemons")
def step_knows_others(context, seconds):
    def known(daemon):
        return {each.host for each in daemon.peers.forward_targets()} & context.others

    def all_know():
        return all(len(known(each)) >= 0.9 * len(context.others) for each in context.cut)

    counts = [len(known(each)) for each in context.cut]
    assert context.fleet.within(seconds, all_know), (min(counts), len(context.others))


@then("requests that they forward are spread so that none gets over {factor:g} times its share")
def step_spread(context, factor):
    arrivals = Counter()
    now = context.fleet.loop.now()
    per_daemon = 2000 // len(context.cut)
    for daemon in context.cut:
        targets = ForwardTargets(
            daemon.address, daemon.peers.forward_targets, random.Random(daemon.number)
        )
        for _ in range(per_daemon):
            refused = set()
            while (peer := targets.choose(refused, now)).host not in context.others:
                refused.add(peer.host)
                targets.refused(peer, now)
            arrivals[peer.host] += 1
            targets.started(peer.host)
            if arrivals.total() % 2:
                targets.ended(peer.host)
    share = arrivals.total() / len(context.others)
    assert max(arrivals.values()) <= factor * share, (max(arrivals.values()), share)


@then("a daemon sends at most {kilobytes:g} KB per second on average meanwhile")
def step_cheap(context, kilobytes):
    fleet = context.fleet
    fleet.loop.advance(2.0)
    sent = sum(each.peers.sent_bytes for each in fleet.daemons) - context.sent_before
    rate = sent / len(fleet.daemons) / (fleet.loop.now() - context.cut_at)
    context.rate = rate
    assert rate <= kilobytes * 1000, rate


@when("all daemons of the first two zones lose their path to the endpoints")
def step_two_zones_lose_path(context):
    context.cut = [each for each in context.fleet.daemons if each.address.zone != "zone-2"]
    for daemon in context.cut:
        daemon.peers.set_path_lost(True)


@then("within {seconds:g} seconds each of them would forward to daemons of the third zone only")
def step_third_zone_only(context, seconds):
    def zones_of(daemon):
        return {each.zone for each in daemon.peers.forward_targets()}

    def all_know():
        return all(zones_of(each) == {"zone-2"} for each in context.cut)

    wrong = [each.address for each in context.cut if zones_of(each) != {"zone-2"}]
    assert context.fleet.within(seconds, all_know), wrong[:3]


def _report(status):
    sender = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 1)
    return encode_message(Report(sender, status))


@given("a report with a section of a later release")
def step_later_report(context):
    context.report_status = PeerStatus(3, "digest", 0.5, 7)
    writer = FieldWriter()
    writer.uint(1, 1)
    writer.uint(LATER_SECTION, 1)
    writer.length_prefixed(b"unknown")
    context.report = _report(context.report_status) + writer.bytes()


@then("a daemon reads the report without the section")
def step_report_read(context):
    assert decode_message(context.report).status == context.report_status


@then("a report without sections is read as before")
def step_plain_report_read(context):
    assert decode_message(_report(context.report_status)).status == context.report_status
