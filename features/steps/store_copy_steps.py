"""Steps on a store that comes back from a copy some seconds old."""

import copy
import re
from concurrent.futures import Future
from dataclasses import replace
from http.server import BaseHTTPRequestHandler, ThreadingHTTPServer
from threading import Thread

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.clock import ManualClock
from brassdrum.errors import BrassdrumError
from brassdrum.gateway.following.endpoint_monitor import EndpointMonitor
from brassdrum.gateway.following.follower import Follower, Snapshot
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.guards.endings import AffectedRequest
from brassdrum.gateway.model import Bounds, DaemonAddress, EndpointEntry, FleetConfiguration
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.placing.load import LoadTable
from brassdrum.platform.store import PlatformStore
from features.gateway_world import SERVICE, FakeStore

CONTENT = f"{7:016x}"
ENDS = 3
TOLD_SECONDS = 0.1


def endpoint(number, born=1, *, draining=False):
    """Return an incarnation of an endpoint."""
    address = f"10.0.0.{number}:80"
    return EndpointEntry(f"engine-{number}", SERVICE, address, "zone-a", 8, draining, born)


def configuration(version):
    """Return a configuration without routes."""
    return FleetConfiguration(version, (), {}, ())


class CopyingStore(FakeStore):
    """Come back from a copy on command."""

    def __init__(self):
        super().__init__()
        self.era = 1
        self._kept = None

    def keep_copy(self):
        """Make a copy of all that lies here."""
        parts = (self.current, self.entries, self.hosts, self.quarantine_by_content)
        self._kept = copy.deepcopy(parts)

    def come_back(self):
        """Lose what was written since the copy was made."""
        parts = copy.deepcopy(self._kept)
        self.current, self.entries, self.hosts, self.quarantine_by_content = parts
        self.era += 1

    def put(self, entry):
        """Write an entry in place of the one with its name."""
        others = [each for each in self.entries if each.name != entry.name]
        self.entries = [*others, entry]

    def drop(self, name):
        """Let an entry lapse."""
        self.entries = [each for each in self.entries if each.name != name]


class FewPeers:
    """Answer what a follower asks of the other daemons."""

    speaks = True
    group_size = 1
    live = 2

    def __init__(self, rank):
        self.rank = rank

    def fetch_delay(self):
        """Fetch at once."""
        return 0.0

    def learn(self, addresses):
        """Know the daemons already."""

    def announce(self):
        """Tell nobody; the fleet of this file tells each time."""


class InlineFollower(Follower):
    """Make blocking calls at once, and fetch from the other daemons of this file."""

    def submit(self, work, done):
        """Run the call and what follows it."""
        future = Future()
        try:
            future.set_result(work())
        except BrassdrumError as error:
            future.set_exception(error)
        done(future)

    def _pull(self, host):
        return Snapshot.decode(self.follower_by_host[host].snapshot())


class FollowingDaemon:
    """Hold what one daemon knows and believes."""

    def __init__(self, fleet, host, rank):
        self.host = host
        self.fleet = fleet
        loop = fleet.loop
        self.knowledge = RoutingState()
        self.guard = CrashGuard(loop, LoadTable())
        self.beliefs = EndpointMonitor(
            loop, self.knowledge, EndpointPool(loop), lambda: None, self.guard
        )
        self.follower = InlineFollower(
            loop,
            fleet.store,
            self.knowledge,
            Bounds(),
            1,
            self.beliefs.on_endpoints_changed,
            self.beliefs.on_configuration_changed,
            self._write_again,
        )
        self.follower.follower_by_host = fleet.follower_by_host
        fleet.follower_by_host[host] = self.follower
        self.beliefs.set_follower(self.follower)
        self.follower.start(FewPeers(rank), self._announce)
        self.guard.start(fleet.store, self.follower.submit, lambda: rank == 0)

    def names(self):
        """Return the numbers of the endpoints in use."""
        return sorted(int(each.name.split("-")[1]) for each in self.knowledge.usable(SERVICE))

    def _announce(self):
        self.fleet.store.announce(self.host, DaemonAddress(self.host, "zone-a"))
        return []

    def _write_again(self):
        self.follower.submit(self._announce, lambda future: future.result())
        self.guard.rewrite_records()


class Fleet:
    """Hold daemons before one store, who tell each other ten times a second."""

    def __init__(self):
        self.loop = SimulatedLoop()
        self.loop.clock = ManualClock()
        self.store = CopyingStore()
        self.store.entries = [endpoint(1), endpoint(2), endpoint(3)]
        self.store.current = configuration(5)
        self.follower_by_host = {}
        self.daemons = []
        self.start(0)
        self.start(1)
        self.loop.call_later(TOLD_SECONDS, self._tell)
        # Longer ago than a daemon that starts takes any list for a restored one.
        self.loop.advance(10.0)

    def start(self, rank):
        """Start a daemon that reads the store after ``rank`` others."""
        made = FollowingDaemon(self, f"10.1.0.{len(self.daemons) + 1}", rank)
        self.daemons.append(made)
        return made

    def pass_time(self, seconds):
        """Let time pass."""
        self.loop.advance(seconds)

    def _tell(self):
        for teller in self.daemons:
            belief = teller.beliefs.build_peer_update()
            for other in self.daemons:
                if other is teller:
                    continue
                other.beliefs.apply_peer_update(teller.host, belief)
                other.beliefs.compare_with_peer(teller.host, belief)
        self.loop.call_later(TOLD_SECONDS, self._tell)


@given("two daemons that follow a store with endpoints 1, 2 and 3 and configuration 5")
def step_fleet(context):
    context.fleet = Fleet()
    assert_use(context.fleet.daemons, [1, 2, 3])


@when("the store makes a copy")
def step_copy(context):
    context.fleet.store.keep_copy()


@when("the store makes a copy without daemons")
def step_copy_without(context):
    context.fleet.store.hosts = {}
    context.fleet.store.keep_copy()


@when("the store comes back from its copy")
def step_back(context):
    context.fleet.pass_time(1.5)
    context.fleet.store.come_back()
    context.fleet.pass_time(0.7)


@when("endpoint {number:d} begins to leave")
def step_leaves(context, number):
    context.fleet.store.put(endpoint(number, draining=True))
    context.fleet.pass_time(1.5)


@when("endpoint {number:d} goes")
@when("endpoint {number:d} lapses")
def step_goes(context, number):
    context.fleet.store.drop(f"engine-{number}")
    context.fleet.pass_time(1.5)


@when("endpoint {number:d} starts again")
@when("endpoint {number:d} is written again")
def step_starts_again(context, number):
    born = 1 if number == 4 else 2
    context.fleet.store.put(endpoint(number, born))
    context.fleet.pass_time(1.5)


@when("endpoint {number:d} is written again as it was")
@when("endpoint {number:d} joins")
def step_joins(context, number):
    context.fleet.store.put(endpoint(number))
    context.fleet.pass_time(1.5)


@when("configuration {version:d} is published")
def step_publish(context, version):
    context.fleet.store.current = configuration(version)
    context.fleet.pass_time(1.5)


@when("the daemons run for {seconds:g} s")
def step_run(context, seconds):
    context.fleet.pass_time(seconds)


@when("a third daemon starts")
def step_third(context):
    context.fleet.start(2)


@when("a third daemon starts and alone reads the store")
def step_third_reads(context):
    for each in context.fleet.daemons:
        each.follower._read_not_before = float("inf")
    context.fleet.start(0)


@when("a content is quarantined")
def step_quarantined(context):
    for number in range(1, ENDS + 1):
        entry = replace(endpoint(number), name=f"ended-{number}")
        witness = AffectedRequest("r", CONTENT, began=True, lived=True)
        context.fleet.daemons[1].guard.endpoint_ended(entry, [witness])
        context.fleet.pass_time(0.5)
    assert CONTENT in context.fleet.store.quarantine_by_content


@when("the content is answered whole")
def step_released(context):
    context.fleet.daemons[1].guard.request_served(CONTENT)
    context.fleet.pass_time(0.5)
    assert CONTENT not in context.fleet.store.quarantine_by_content


@then("both daemons use endpoints {numbers}")
def step_both_use(context, numbers):
    assert_use(context.fleet.daemons[:2], [int(each) for each in re.findall(r"\d+", numbers)])


@then("all daemons use endpoints {numbers}")
def step_all_use(context, numbers):
    assert_use(context.fleet.daemons, [int(each) for each in re.findall(r"\d+", numbers)])


def assert_use(daemons, numbers):
    found = [each.names() for each in daemons]
    assert found == [numbers] * len(daemons), found


@then("both daemons use incarnation {born:d} of endpoint {number:d}")
def step_incarnation(context, born, number):
    for each in context.fleet.daemons[:2]:
        used = {entry.id for entry in each.knowledge.usable(SERVICE)}
        assert f"engine-{number}@{born}" in used, used


@then("both daemons have configuration {version:d}")
@then("all daemons have configuration {version:d}")
def step_version(context, version):
    found = [each.knowledge.version for each in context.fleet.daemons]
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


@then("whatever happens in whatever order, no daemon goes back to what it knew to be over")
def step_any_order(_context):
    kinds = ("copy", "back", "leave", "restart", "publish", "start", "wait", "cut", "heal")
    steps = st.lists(st.tuples(st.sampled_from(kinds), st.integers(1, 3)), max_size=14)

    @settings(max_examples=60, deadline=None, database=None, derandomize=True)
    @for_all(steps)
    def holds(drawn):
        fleet = Fleet()
        fleet.store.keep_copy()
        over, version, back_at = set(), 5, -100.0
        born_by_number = {1: 1, 2: 1, 3: 1}
        for kind, number in drawn:
            if kind == "copy":
                fleet.store.keep_copy()
            elif kind == "back":
                fleet.store.come_back()
                back_at = fleet.loop.now()
            elif kind == "leave":
                fleet.store.put(endpoint(number, born_by_number[number], draining=True))
                over.add(f"engine-{number}@{born_by_number[number]}")
            elif kind == "restart":
                over.add(f"engine-{number}@{born_by_number[number]}")
                born_by_number[number] += 1
                fleet.store.put(endpoint(number, born_by_number[number]))
            elif kind == "publish":
                version += 1
                fleet.store.current = configuration(version)
            elif kind == "start" and len(fleet.daemons) < 5:
                fleet.start(len(fleet.daemons))
            elif kind in ("cut", "heal"):
                fleet.store.down = kind == "cut"
            fleet.pass_time(0.8)
            if fleet.loop.now() - back_at > 5.0:
                # The endpoints and the operator have written again by now.
                fleet.store.current = configuration(version)
                for each, born in born_by_number.items():
                    leaves = f"engine-{each}@{born}" in over
                    fleet.store.put(endpoint(each, born, draining=leaves))
            for daemon in fleet.daemons[:2]:
                used = {each.id for each in daemon.knowledge.usable(SERVICE)}
                known_over = {each for each in over if each in daemon.knew_over}
                assert not used & known_over, (drawn, used, known_over)
                assert daemon.knowledge.version >= daemon.knew_version, drawn
                daemon.knew_over |= over - used
                daemon.knew_version = daemon.knowledge.version

    FollowingDaemon.knew_over = frozenset()
    FollowingDaemon.knew_version = -1
    holds()


class _EraHandler(BaseHTTPRequestHandler):
    def do_GET(self):
        """Answer an empty page in the next era."""
        body = b'{"items": [], "has_more": false}'
        self.send_response(200)
        era = self.server.eras.pop(0)
        if era != "none":
            self.send_header("Store-Era", era)
        self.send_header("Content-Length", str(len(body)))
        self.end_headers()
        self.wfile.write(body)

    def log_message(self, *_arguments):
        """Write nothing."""


@given("a store on the platform that answers in eras {eras}")
def step_eras(context, eras):
    context.era_server = ThreadingHTTPServer(("127.0.0.1", 0), _EraHandler)
    context.era_server.eras = eras.split(", ")
    Thread(target=context.era_server.serve_forever, daemon=True).start()
    context.stack.push(context.era_server.server_close)
    context.stack.push(context.era_server.shutdown)


@when("its list is read {times:d} times")
def step_read_eras(context, times):
    context.platform = PlatformStore(f"127.0.0.1:{context.era_server.server_port}")
    for _ in range(times):
        context.platform.endpoints()


@then("the newest era is {newest}")
def step_newest_era(context, newest):
    found = "none" if context.platform.era is None else str(context.platform.era)
    assert found == newest, found
