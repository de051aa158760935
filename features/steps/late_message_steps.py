"""Steps for messages that are read long after they were sent, in simulated time."""

import random
from dataclasses import replace
from unittest import mock

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.bench.load.network import SimulatedNetwork
from brassdrum.clock import ManualClock
from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.suspicion import FailureNotice
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import Bounds, DaemonAddress
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.peering.peer_messages import Report, Sender, decode_message, encode_message
from brassdrum.gateway.peering.peer_status import DrainNotice, PeerStatus
from brassdrum.gateway.peering.peers import Peers
from brassdrum.gateway.peering.transit import TransitTimes
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.gateway.throttling.cold import ColdNotice
from brassdrum.gateway.throttling.signals import SignalNotice
from brassdrum.outcomes.crash_reports import CrashReport, ObservedCrash
from features.gateway_world import SERVICE
from features.steps.store_copy_steps import (
    InlineFollower,
    RestorableStore,
    configuration,
    endpoint,
)
from features.steps.suspension_steps import follower_on

ENDPOINTS = 4
SUSPENDED_SECONDS = 4.0
LEAVES_AFTER_SECONDS = 1.7
SETTLING_SECONDS = 8.0
WATCHED_SECONDS = 2.0
STEP_SECONDS = 0.01
CYCLE_SECONDS = 120.0
# A receive buffer is full after the messages of about a second: so many of each other daemon.
BUFFERED_PER_DAEMON = 3


class VersionedStore(RestorableStore):
    """A store whose list has a revision."""

    def __init__(self):
        super().__init__()
        self.list_revision = 1

    def put(self, entry):
        """Replace the entry with the same name."""
        super().put(entry)
        self.list_revision += 1


class SuspendableHost:
    """The loop and the socket of a daemon whose process may be suspended."""

    def __init__(self, loop, datagrams, buffered):
        self.clock = loop.clock
        self._buffered = buffered
        self._loop = loop
        self._datagrams = datagrams
        self._suspended = False
        self._timers = []
        self._received = []

    def now(self):
        """Return the simulated time in seconds."""
        return self._loop.now()

    def call_later(self, seconds, callback):
        """Schedule a callback, which runs after the suspension if it is due meanwhile."""
        return self._loop.call_later(seconds, lambda: self._fire(callback))

    def post(self, callback):
        """Run a callback in the next round."""
        self.call_later(0.0, callback)

    def listen(self, received):
        """Hand over datagrams, those of a suspension after it."""
        self._datagrams.listen(lambda data, host: self._receive(received, data, host))

    def send(self, host, data):
        """Send a datagram."""
        self._datagrams.send(host, data)

    def close(self):
        """Close the socket."""
        self._datagrams.close()

    def suspend(self):
        """Stop the process."""
        self._suspended = True

    def wake(self):
        """Let the process go on: it reads its sockets first, then its timers are due."""
        self._suspended = False
        received, self._received = self._received, []
        timers, self._timers = self._timers, []
        for action in received + timers:
            action()

    def _fire(self, callback):
        if self._suspended:
            self._timers.append(callback)
        else:
            callback()

    def _receive(self, received, data, host):
        if not self._suspended:
            received(data, host)
        elif len(self._received) < self._buffered:
            self._received.append(lambda: received(data, host))


class Daemon:
    """What a daemon knows of endpoints, and tells its peers."""

    def __init__(self, fleet, number):
        zone = number % fleet.zones
        self.address = DaemonAddress(f"10.{zone}.0.{number}", f"zone-{zone}")
        datagrams = fleet.network.join(self.address.host)
        self.host = SuspendableHost(fleet.loop, datagrams, BUFFERED_PER_DAEMON * fleet.count)
        self.routing_state = RoutingState()
        table = LoadTable()
        monitor = EndpointMonitor(
            self.host,
            self.routing_state,
            EndpointPool(self.host),
            lambda: None,
            CrashGuard(self.host, table),
        )
        self.follower = InlineFollower(
            self.host,
            fleet.store,
            self.routing_state,
            Bounds(),
            1,
            monitor.observers(on_restored=lambda: None),
        )
        self.follower.follower_by_host = fleet.follower_by_host
        fleet.follower_by_host[self.address.host] = self.follower
        monitor.set_follower(self.follower)
        self.peers = Peers(
            self.host,
            self.host,
            f"daemon-{number:03}",
            self.address,
            1,
            table,
            monitor.build_peer_update,
            monitor.compare_with_peer,
            monitor.apply_peer_update,
            random.Random(number),
        )
        self.peers.add_seed("10.0.0.0")
        self.follower.start(self.peers)

    def uses(self, name):
        """Return whether it sends requests to an endpoint."""
        return any(each.name == name for each in self.routing_state.usable(SERVICE))


class Fleet:
    """Daemons that follow one store."""

    def __init__(self, count, zones):
        self.loop = SimulatedLoop()
        self.loop.clock = ManualClock()
        self.network = SimulatedNetwork(self.loop, random.Random(1))
        self.count = count
        self.zones = zones
        self.store = VersionedStore()
        self.store.entries = [endpoint(number) for number in range(1, ENDPOINTS + 1)]
        self.store.current = configuration(5)
        self.follower_by_host = {}
        self.daemons = [Daemon(self, number) for number in range(count)]
        self.uses_again = []
        self.loop.advance(SETTLING_SECONDS)

    def play(self, suspended, number):
        """Suspend daemons while an endpoint leaves, and watch the others after it."""
        name = f"engine-{number}"
        for each in suspended:
            each.host.suspend()
        self.loop.advance(LEAVES_AFTER_SECONDS)
        self.store.put(endpoint(number, draining=True))
        self.loop.advance(SUSPENDED_SECONDS - LEAVES_AFTER_SECONDS)
        others = [each for each in self.daemons if each not in suspended]
        assert not any(each.uses(name) for each in others), "the others know in time"
        for each in suspended:
            each.host.wake()
        for _ in range(round(WATCHED_SECONDS / STEP_SECONDS)):
            self.loop.advance(STEP_SECONDS)
            self.uses_again += [each.address.host for each in others if each.uses(name)]


@given("{count:d} daemons in {zones:d} zones that follow a store with 4 endpoints")
def step_fleet(context, count, zones):
    context.fleet = Fleet(count, zones)
    assert all(each.uses("engine-1") for each in context.fleet.daemons)


@when("{paused:d} daemons are suspended, by {which:w}, while an endpoint leaves")
def step_suspend(context, paused, which):
    def order(daemon):
        # Peers order aggregators by name, so that the first by name reads the store.
        return daemon.address.zone if which == "zone" else daemon.peers._name

    context.suspended = sorted(context.fleet.daemons, key=order)[:paused]
    known_at = []

    def watch():
        known_at.append(not any(each.uses("engine-1") for each in context.suspended))

    context.fleet.loop.call_later(SUSPENDED_SECONDS + 0.1, watch)
    context.fleet.play(context.suspended, 1)
    context.woken_know = known_at


@when("the first daemon is suspended {times:d} times while an endpoint leaves each time")
def step_suspend_often(context, times):
    first = min(context.fleet.daemons, key=lambda each: each.peers._name)
    for number in range(1, times + 1):
        context.fleet.play([first], number)


@then("no other daemon uses that endpoint again")
@then("no other daemon uses those endpoints again")
def step_not_used(context):
    assert context.fleet.uses_again == [], context.fleet.uses_again[:5]


@then("those that woke know of it within 0.1 s")
def step_woken_know(context):
    assert context.woken_know == [True]


@given("a daemon whose list has revision {revision:d}")
def step_revision(context, revision):
    clock = ManualClock()
    context.follower, context.state = follower_on(context, clock)
    context.now = clock.monotonic()
    context.state.apply_store_list([endpoint(1)], context.now - 1.0, 1, revision)


def tell(context, revision, age, era=1):
    with mock.patch.object(context.follower, "_begin_pull"):
        context.follower._peers = mock.Mock(fetch_delay=lambda: 0.0)
        status = PeerStatus(-1, "another", age, 9, era=era, revision=revision)
        context.follower.compare_with_peer("10.0.0.1", status)
        fetches = [timer for _, _, timer in context.follower._loop._timers]
    changes = context.state.apply_peer_list(
        [endpoint(1), endpoint(2)], context.now - age, 9, era, revision
    )
    context.taken = bool(fetches), bool(changes)


@when("a peer tells a list of revision {revision:d} that it read later")
def step_read_later(context, revision):
    tell(context, revision, 0.2)


@when("a peer tells a list of revision {revision:d} that it read earlier")
def step_read_earlier(context, revision):
    tell(context, revision, 1.8)


@when("a peer tells a list of revision {revision:d} from a later era")
def step_later_era(context, revision):
    context.state.update_era(2, context.now)
    tell(context, revision, 0.2, era=2)


@then("the list is neither fetched nor applied")
def step_refused(context):
    assert context.taken == (False, False), context.taken


@then("the list is fetched and applied")
def step_taken(context):
    assert context.taken == (True, True), context.taken


@given("a status with each kind of age")
def step_status(context):
    context.status = PeerStatus(
        1,
        "abc",
        1.0,
        7,
        failing=(FailureNotice("engine-1", 2.0, 4.0), FailureNotice("engine-2", 0.3, 0.8)),
        draining=(DrainNotice("engine-3", 1.0),),
        recent_failures=("engine-1",),
        endings=(CrashReport("00" * 8, (ObservedCrash(5, 1.0),), 1.0),),
        signals=(SignalNotice("engine-1", 3.0, 1.0),),
        cold=(ColdNotice(9, 2.0), ColdNotice(10, 0.3)),
    )


@when("it is read {seconds:g} s late")
def step_read_late(context, seconds):
    heard = []
    loop = SimulatedLoop()
    network = SimulatedNetwork(loop, random.Random(1))
    own, other = DaemonAddress("10.0.0.1", "zone-0"), DaemonAddress("10.0.0.2", "zone-0")
    Peers(
        loop,
        network.join(own.host),
        "daemon-1",
        own,
        1,
        LoadTable(),
        lambda: PeerStatus(1, "", None, 0),
        lambda *_: None,
        lambda _host, status: heard.append(status),
        random.Random(1),
    )
    sender = network.join(other.host)

    def send(sequence, sent_at):
        status = replace(context.status, sent_at=sent_at)
        report = Report(Sender("daemon-2", other, 1, sequence), status)
        assert decode_message(encode_message(report)).status.sent_at == sent_at
        sender.send(own.host, encode_message(report))

    send(1, 50.0)
    loop.advance(1.0)
    send(2, 51.0 - seconds)
    loop.advance(0.1)
    context.on_time, context.late = heard[0], heard[-1]


@then("each age has grown by {seconds:g} s and each time left has shrunk by it")
def step_aged(context, seconds):
    on_time, late = context.on_time, context.late

    def grown(before, after):
        return round(after - before, 3) == seconds

    assert grown(on_time.age, late.age), (on_time.age, late.age)
    assert grown(on_time.draining[0].age, late.draining[0].age)
    assert grown(on_time.endings[0].crashes[0].age, late.endings[0].crashes[0].age)
    assert grown(on_time.endings[0].served_age, late.endings[0].served_age)
    assert grown(on_time.signals[0].age, late.signals[0].age)
    assert [each.endpoint for each in late.failing] == ["engine-1"]
    assert grown(late.failing[0].left, on_time.failing[0].left)
    assert [each.key for each in late.cold] == [9]
    assert grown(late.cold[0].left, on_time.cold[0].left)


@given("messages of a peer that take 1 ms")
def step_usual(context):
    context.times, context.at = TransitTimes(CYCLE_SECONDS), 100.0
    for _ in range(30):
        context.at += 0.4
        sent_at = (context.at - 0.001) % CYCLE_SECONDS
        assert context.times.excess("10.0.0.1", 1, sent_at, context.at) == 0.0


@when("they take 2 s from now on")
def step_slower(context):
    context.excess = []
    for _ in range(90):
        context.at += 0.4
        sent_at = (context.at - 2.0) % CYCLE_SECONDS
        context.excess.append(context.times.excess("10.0.0.1", 1, sent_at, context.at))


@then("they count as 2 s late at first, and after 30 s as usual")
def step_followed(context):
    assert round(context.excess[0], 2) == 2.0, context.excess[0]
    assert context.excess[-1] == 0.0, context.excess
