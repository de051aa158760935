"""Steps for a store that is restored from a backup."""

import copy
import random
import re
from concurrent.futures import Future
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.clock import ManualClock
from brassdrum.errors import BrassdrumError
from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.follower import Follower
from brassdrum.gateway.following.registration import Registration
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.snapshot import Snapshot
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.guards.endings import AffectedRequest
from brassdrum.gateway.model import Bounds, DaemonAddress, EndpointEntry, FleetConfiguration
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.outcomes.fingerprint import RequestTraits
from brassdrum.platform.store import PlatformStore
from features.gateway_world import SERVICE, FakeStore
from features.support import StepThread

CONTENT = f"{7:016x}"
QUARANTINE_EXITS = 3
UPDATE_INTERVAL_SECONDS = 0.1


def endpoint(number, born=1, *, draining=False):
    """Return an incarnation of an endpoint."""
    address = f"10.0.0.{number}:80"
    return EndpointEntry(f"engine-{number}", SERVICE, address, "zone-a", 8, draining, born)


def configuration(version):
    """Return a configuration without routes."""
    return FleetConfiguration(version, (), {}, ())


class RestorableStore(FakeStore):
    """A fake store that can be backed up and restored."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self._backup = None

    def back_up(self):
        """Back up all records."""
        parts = (self.current, self.entries, self.hosts, self.quarantine_by_content)
        self._backup = copy.deepcopy(parts)

    def restore(self):
        """Restore the backup, which loses all later writes."""
        parts = copy.deepcopy(self._backup)
        self.current, self.entries, self.hosts, self.quarantine_by_content = parts
        self.era += 1

    def put(self, entry):
        """Replace the entry with the same name."""
        others = [each for each in self.entries if each.name != entry.name]
        self.entries = [*others, entry]

    def drop(self, name):
        """Remove an entry."""
        self.entries = [each for each in self.entries if each.name != name]


class StubPeers:
    """Stand in for the peers that a follower consults."""

    is_aggregator = True
    report_target = None
    live = 2

    def __init__(self, rank):
        self.rank = rank

    def fetch_delay(self):
        """Return no delay."""
        return 0.0

    def add_addresses(self, addresses):
        """Ignore addresses; all daemons are known."""

    def forward_targets(self):
        """Return another daemon; all are known."""
        return [DaemonAddress("10.1.0.99", "zone-a")]

    def announce(self):
        """Do nothing; the fleet distributes updates periodically."""


class InlineFollower(Follower):
    """Run blocking calls synchronously and pull snapshots in memory."""

    def submit(self, work, done):
        """Run the call and its callback."""
        future = Future()
        try:
            future.set_result(work())
        except BrassdrumError as error:
            future.set_exception(error)
        done(future)

    def _pull(self, host):
        return Snapshot.decode(self.follower_by_host[host].snapshot())


class FollowingDaemon:
    """The store-following part of one daemon."""

    def __init__(self, fleet, host, rank):
        self.host = host
        self.fleet = fleet
        loop = fleet.loop
        self.routing_state = RoutingState()
        self.guard = CrashGuard(loop, LoadTable())
        self.monitor = EndpointMonitor(
            loop, self.routing_state, EndpointPool(loop), lambda: None, self.guard
        )
        self.follower = InlineFollower(
            loop,
            fleet.store,
            self.routing_state,
            Bounds(),
            1,
            self.monitor.observers(on_restored=self._rewrite),
        )
        self.follower.follower_by_host = fleet.follower_by_host
        fleet.follower_by_host[host] = self.follower
        self.monitor.set_follower(self.follower)
        peers = StubPeers(rank)
        self.follower.start(peers)
        self.registration = Registration(
            loop,
            fleet.store,
            host,
            DaemonAddress(host, "zone-a"),
            random.Random(rank),
            self.follower.submit,
            self.follower.fetch,
            self.follower.store_failing,
        )
        self.registration.start(peers, has_seeds=False)
        self.guard.start(fleet.store, self.follower.submit, lambda: rank == 0)

    def usable_numbers(self):
        """Return the numbers of the usable endpoints."""
        return sorted(int(each.name.split("-")[1]) for each in self.routing_state.usable(SERVICE))

    def _rewrite(self):
        self.registration.look_again()
        self.guard.rewrite_records()


class Fleet:
    """Daemons that share a store and exchange updates periodically."""

    def __init__(self):
        self.loop = SimulatedLoop()
        self.loop.clock = ManualClock()
        self.store = RestorableStore()
        self.store.entries = [endpoint(1), endpoint(2), endpoint(3)]
        self.store.current = configuration(5)
        self.follower_by_host = {}
        self.daemons = []
        self.start(0)
        self.start(1)
        self.loop.call_later(UPDATE_INTERVAL_SECONDS, self._exchange_updates)
        # Wait until new daemons no longer treat the first list as restored.
        self.loop.advance(10.0)

    def start(self, rank):
        """Start a daemon of the given rank in the order of reads."""
        daemon = FollowingDaemon(self, f"10.1.0.{len(self.daemons) + 1}", rank)
        self.daemons.append(daemon)
        return daemon

    def advance(self, seconds):
        """Advance the simulated time."""
        self.loop.advance(seconds)

    def _exchange_updates(self):
        for sender in self.daemons:
            update = sender.monitor.build_peer_update()
            for other in self.daemons:
                if other is sender:
                    continue
                other.monitor.apply_peer_update(sender.host, update)
                other.monitor.compare_with_peer(sender.host, update)
        self.loop.call_later(UPDATE_INTERVAL_SECONDS, self._exchange_updates)


@given("two daemons that follow a store with endpoints 1, 2 and 3 and configuration 5")
def step_fleet(context):
    context.fleet = Fleet()
    assert_use(context.fleet.daemons, [1, 2, 3])


@when("the store is backed up")
def step_back_up(context):
    context.fleet.store.back_up()


@when("the store is backed up without daemons")
def step_back_up_without_daemons(context):
    context.fleet.store.hosts = {}
    context.fleet.store.back_up()


@when("the store is restored from the backup")
def step_restore(context):
    context.fleet.advance(1.5)
    context.fleet.store.restore()
    context.fleet.advance(0.7)


@when("endpoint {number:d} starts draining")
def step_drain(context, number):
    context.fleet.store.put(endpoint(number, draining=True))
    context.fleet.advance(1.5)


@when("endpoint {number:d} is removed")
@when("the entry of endpoint {number:d} expires")
def step_remove(context, number):
    context.fleet.store.drop(f"engine-{number}")
    context.fleet.advance(1.5)


@when("endpoint {number:d} restarts")
@when("endpoint {number:d} rewrites its entry")
def step_restart(context, number):
    born = 1 if number == 4 else 2
    context.fleet.store.put(endpoint(number, born))
    context.fleet.advance(1.5)


@when("endpoint {number:d} writes its earlier entry")
@when("endpoint {number:d} joins")
def step_joins(context, number):
    context.fleet.store.put(endpoint(number))
    context.fleet.advance(1.5)


@when("configuration {version:d} is published")
def step_publish(context, version):
    context.fleet.store.current = configuration(version)
    context.fleet.advance(1.5)


@when("the daemons run for {seconds:g} s")
def step_run(context, seconds):
    context.fleet.advance(seconds)


@when("a third daemon starts")
def step_third_daemon(context):
    context.fleet.start(2)


@when("a third daemon starts and is the only one to read the store")
def step_third_daemon_reads(context):
    for each in context.fleet.daemons:
        each.follower._read_not_before = float("inf")
    context.fleet.start(0)


@when("a content is quarantined")
def step_quarantined(context):
    for number in range(1, QUARANTINE_EXITS + 1):
        entry = replace(endpoint(number), name=f"ended-{number}")
        request = AffectedRequest("r", RequestTraits(CONTENT), began=True, lived=True)
        context.fleet.daemons[1].guard.endpoint_ended(entry, [request])
        context.fleet.advance(0.5)
    assert CONTENT in context.fleet.store.quarantine_by_content


@when("a request with the content succeeds")
def step_succeeded(context):
    context.fleet.daemons[1].guard.request_served(RequestTraits(CONTENT))
    context.fleet.advance(0.5)
    assert CONTENT not in context.fleet.store.quarantine_by_content


@then("both daemons use endpoints {numbers}")
def step_both_use(context, numbers):
    assert_use(context.fleet.daemons[:2], [int(each) for each in re.findall(r"\d+", numbers)])


@then("all daemons use endpoints {numbers}")
def step_all_use(context, numbers):
    assert_use(context.fleet.daemons, [int(each) for each in re.findall(r"\d+", numbers)])


def assert_use(daemons, numbers):
    found = [each.usable_numbers() for each in daemons]
    assert found == [numbers] * len(daemons), found


@then("both daemons use incarnation {born:d} of endpoint {number:d}")
def step_incarnation(context, born, number):
    for each in context.fleet.daemons[:2]:
        used = {entry.id for entry in each.routing_state.usable(SERVICE)}
        assert f"engine-{number}@{born}" in used, used


@then("both daemons have configuration {version:d}")
@then("all daemons have configuration {version:d}")
def step_version(context, version):
    found = [each.routing_state.version for each in context.fleet.daemons]
    assert found == [version] * len(found), found


@then("the store has the addresses of both daemons")
def step_addresses(context):
    assert len(context.fleet.store.hosts) == len(context.fleet.daemons)


@then("the store has the record of the content")
def step_record(context):
    assert CONTENT in context.fleet.store.quarantine_by_content


@then("the store has no record of the content")
def step_no_record(context):
    assert CONTENT not in context.fleet.store.quarantine_by_content


@then("in any order of events no daemon returns to state that it knew to be obsolete")
def step_any_order(_context):
    kinds = (
        "backup",
        "restore",
        "drain",
        "restart",
        "publish",
        "start",
        "wait",
        "outage",
        "recovery",
    )
    steps = st.lists(st.tuples(st.sampled_from(kinds), st.integers(1, 3)), max_size=14)

    @settings(max_examples=60, deadline=None, database=None, derandomize=True)
    @for_all(steps)
    def holds(drawn):
        fleet = Fleet()
        fleet.store.back_up()
        obsolete, version, restored_at = set(), 5, -100.0
        born_by_number = {1: 1, 2: 1, 3: 1}
        for kind, number in drawn:
            if kind == "backup":
                fleet.store.back_up()
            elif kind == "restore":
                fleet.store.restore()
                restored_at = fleet.loop.now()
            elif kind == "drain":
                fleet.store.put(endpoint(number, born_by_number[number], draining=True))
                obsolete.add(f"engine-{number}@{born_by_number[number]}")
            elif kind == "restart":
                obsolete.add(f"engine-{number}@{born_by_number[number]}")
                born_by_number[number] += 1
                fleet.store.put(endpoint(number, born_by_number[number]))
            elif kind == "publish":
                version += 1
                fleet.store.current = configuration(version)
            elif kind == "start" and len(fleet.daemons) < 5:
                fleet.start(len(fleet.daemons))
            elif kind in ("outage", "recovery"):
                fleet.store.down = kind == "outage"
            fleet.advance(0.8)
            if fleet.loop.now() - restored_at > 5.0:
                # The endpoints and the operator have rewritten their records by now.
                fleet.store.current = configuration(version)
                for each, born in born_by_number.items():
                    leaves = f"engine-{each}@{born}" in obsolete
                    fleet.store.put(endpoint(each, born, draining=leaves))
            for daemon in fleet.daemons[:2]:
                used = {each.id for each in daemon.routing_state.usable(SERVICE)}
                known_obsolete = {each for each in obsolete if each in daemon.known_obsolete_ids}
                assert not used & known_obsolete, (drawn, used, known_obsolete)
                assert daemon.routing_state.version >= daemon.known_version, drawn
                daemon.known_obsolete_ids |= obsolete - used
                daemon.known_version = daemon.routing_state.version

    FollowingDaemon.known_obsolete_ids = frozenset()
    FollowingDaemon.known_version = -1
    holds()


class _EraHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        """Respond with an empty page in the next era."""
        body = b'{"items": [], "has_more": false}'
        self.send_response(200)
        era = self.server.eras.pop(0)
        if era != "none":
            self.send_header("Store-Era", era)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments):
        """Suppress the log."""


@given("a store on the platform that responds in eras {eras}")
def step_eras(context, eras):
    context.era_server = ThreadingHTTPServer(("127.0.0.1", 0), _EraHandler)
    context.era_server.eras = eras.split(", ")
    context.stack.push(context.era_server.server_close)
    StepThread(context, context.era_server.serve_forever, 0.01, unblock=context.era_server.shutdown)


@when("its list is read {times:d} times")
def step_read_eras(context, times):
    context.platform = PlatformStore(f"127.0.0.1:{context.era_server.server_port}")
    for _ in range(times):
        context.platform.endpoints()


@then("the newest era is {newest}")
def step_newest_era(context, newest):
    found = "none" if context.platform.era is None else str(context.platform.era)
    assert found == newest, found
