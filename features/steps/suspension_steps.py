"""Steps for suspended hosts."""

import re
import time
from pathlib import Path
from unittest import mock

from behave import given, then, when

import brassdrum
import brassdrum.clock
from brassdrum.clock import SystemClock
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.leadership.holder import LeaseManager
from brassdrum.leadership.lease import Lease
from features.gateway_world import FakeStore, create_follower, engine_entry

# Parts of the package that are not used while serving requests.
NON_SERVING_PARTS = (
    "bench",
    "soak",
    "history",
    "standins",
    "cli",
    "caller.py",
    "demo.py",
    "standin.py",
)
PACKAGE_ROOT = Path(brassdrum.__file__).parent
DIRECT_CLOCK_READ = re.compile(r"time\.(monotonic|time|time_ns|perf_counter)\(|datetime\.now\(")


class SuspendableTime:
    """Replacement for the module ``time`` whose monotonic clock stops during suspensions."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME
    CLOCK_MONOTONIC = time.CLOCK_MONOTONIC

    def __init__(self):
        self.since_boot = 1000.0
        self.suspended_seconds = 0.0

    def monotonic(self):
        """Return the time without suspensions."""
        return self.since_boot - self.suspended_seconds

    def clock_gettime(self, clock):
        """Return the time since boot, with or without suspensions."""
        return self.since_boot if clock == self.CLOCK_BOOTTIME else self.monotonic()

    def suspend(self, seconds):
        """Advance the time since boot, but not the monotonic clock."""
        self.since_boot += seconds
        self.suspended_seconds += seconds


@given("a host whose monotonic clock stops while it is suspended")
def step_suspendable_host(context):
    context.host_time = SuspendableTime()
    patch = mock.patch.object(brassdrum.clock, "time", context.host_time)
    patch.start()
    context.stack.push(patch.stop)
    context.clock = SystemClock()
    context.started_at = context.clock.monotonic()


@when("it is suspended for {seconds:g} seconds")
def step_suspended(context, seconds):
    context.host_time.suspend(seconds)


@then("the daemon's clock has advanced by {seconds:g} seconds")
def step_clock_advanced(context, seconds):
    assert context.clock.monotonic() - context.started_at == seconds


class StubLog:
    """A log that accepts all lease records."""

    def append(self, _stream, _records):
        """Return a fixed offset."""
        return 7


@given("a daemon there holds a lease of {seconds:g} seconds")
def step_lease(context, seconds):
    context.lease = None
    context.holder = LeaseManager(
        "duty", "daemon-1", StubLog(), context.clock, lambda: context.lease, lambda: True, seconds
    )
    context.holder._append_record("claim", None)
    context.lease = Lease("duty", "daemon-1", 1, 7, seconds)
    assert context.holder.fencing_token() is not None


@then("the lease is no longer held")
def step_not_held(context):
    assert context.holder.fencing_token() is None


def follower_on(context, clock):
    store = FakeStore()
    routing_state = RoutingState()
    loop = EventLoop(clock)
    follower = create_follower(loop, store, routing_state, peer_port=0)
    context.stack.push(follower.close)
    return follower, routing_state


@given("a daemon there has just read the list of endpoints")
def step_list_read(context):
    context.follower, context.routing_state = follower_on(context, context.clock)
    context.routing_state.apply_store_list([engine_entry(1)], context.clock.monotonic())


@then("its list is {seconds:g} seconds old")
def step_list_age(context, seconds):
    assert context.follower.age() == seconds, context.follower.age()


@then("another daemon with a list of {seconds:g} seconds does not fetch it")
def step_not_fetched(context, seconds):
    other, routing_state = follower_on(context, context.clock)
    routing_state.apply_store_list(
        [engine_entry(1), engine_entry(2)], context.clock.monotonic() - seconds
    )
    fetches = []
    with mock.patch.object(other, "_begin_pull", lambda *arguments: fetches.append(arguments)):
        other._peers = mock.Mock(fetch_delay=lambda: 0.0)
        status = PeerStatus(-1, context.routing_state.digest, context.follower.age(), 9)
        other.compare_with_peer("10.0.0.1", status)
        timers = [timer for _, _, timer in other._loop._timers]
    assert not timers, "it would fetch the older list"


@then("only the clock module reads the operating system's clocks")
def step_direct_clock_reads(_context):
    violations = []
    for path in PACKAGE_ROOT.rglob("*.py"):
        name = path.relative_to(PACKAGE_ROOT).as_posix()
        if name == "clock.py" or any(part in NON_SERVING_PARTS for part in name.split("/")):
            continue
        violations += [
            f"{name}:{number}: {line.strip()}"
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if DIRECT_CLOCK_READ.search(line)
        ]
    assert not violations, violations
