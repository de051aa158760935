"""Steps on a host that is suspended."""

import re
import time
from pathlib import Path
from unittest import mock

from behave import given, then, when

import brassdrum
import brassdrum.clock
from brassdrum.clock import SystemClock
from brassdrum.gateway.following.follower import Follower
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.model import Bounds
from brassdrum.gateway.net.loop import EventLoop
from brassdrum.gateway.peering.peer_messages import PeerStatus
from brassdrum.leadership.holder import DutyHolder
from brassdrum.leadership.lease import Lease
from features.gateway_world import FakeStore, engine_entry

# Programs beside the serving path: they measure, play and call.
TOOLS = ("bench", "soak", "history", "standins", "cli", "caller.py", "demo.py", "standin.py")
SOURCE = Path(brassdrum.__file__).parent
OWN_CLOCK = re.compile(r"time\.(monotonic|time|time_ns|perf_counter)\(|datetime\.now\(")


class SuspendableTime:
    """Stand for the module ``time``; the steady clock leaves suspensions out."""

    CLOCK_BOOTTIME = time.CLOCK_BOOTTIME
    CLOCK_MONOTONIC = time.CLOCK_MONOTONIC

    def __init__(self):
        self.passed = 1000.0
        self.suspended = 0.0

    def monotonic(self):
        """Return the steady clock."""
        return self.passed - self.suspended

    def clock_gettime(self, clock):
        """Return the clock since boot, or the steady one."""
        return self.passed if clock == self.CLOCK_BOOTTIME else self.monotonic()

    def suspend(self, seconds):
        """Let time go by that the steady clock does not count."""
        self.passed += seconds
        self.suspended += seconds


@given("a host whose steady clock stands still while it is suspended")
def step_host(context):
    context.host_time = SuspendableTime()
    patch = mock.patch.object(brassdrum.clock, "time", context.host_time)
    patch.start()
    context.stack.push(patch.stop)
    context.clock = SystemClock()
    context.began = context.clock.monotonic()


@when("it is suspended for {seconds:g} seconds")
def step_suspended(context, seconds):
    context.host_time.suspend(seconds)


@then("its clock has gone on by {seconds:g} seconds")
def step_gone_on(context, seconds):
    assert context.clock.monotonic() - context.began == seconds


class OneLog:
    """Take lease records and number them."""

    def append(self, _stream, _records):
        """Return the offset of the first record."""
        return 7


@given("a lease of {seconds:g} seconds is held there")
def step_lease(context, seconds):
    context.lease = None
    context.holder = DutyHolder(
        "duty", "daemon-1", OneLog(), context.clock, lambda: context.lease, lambda: True, seconds
    )
    context.holder._append("claim", None)
    context.lease = Lease("duty", "daemon-1", 1, 7, seconds)
    assert context.holder.fence() is not None


@then("the lease is not held")
def step_not_held(context):
    assert context.holder.fence() is None


def follower(context, clock):
    store = FakeStore()
    knowledge = RoutingState()
    loop = EventLoop(clock)
    made = Follower(loop, store, knowledge, Bounds(), 0, *[lambda *_: None] * 3)
    context.stack.push(made.close)
    return made, knowledge


@given("a daemon there has just read the list of endpoints")
def step_read(context):
    context.follower, context.knowledge = follower(context, context.clock)
    context.knowledge.apply_store_list([engine_entry(1)], context.clock.monotonic())


@then("its list is {seconds:g} seconds old")
def step_list_age(context, seconds):
    assert context.follower.age() == seconds, context.follower.age()


@then("another daemon with a list of {seconds:g} seconds does not take it")
def step_not_taken(context, seconds):
    other, knowledge = follower(context, context.clock)
    knowledge.apply_store_list(
        [engine_entry(1), engine_entry(2)], context.clock.monotonic() - seconds
    )
    asked = []
    with mock.patch.object(other, "_begin_pull", lambda *each: asked.append(each)):
        other._peers = mock.Mock(fetch_delay=lambda: 0.0)
        told = PeerStatus(-1, context.knowledge.digest, context.follower.age(), 9)
        other.compare_with_peer("10.0.0.1", told)
        planned = [timer for _, _, timer in other._loop._timers]
    assert not planned, "it would fetch the older list"


@then("only the clock's module reads the operating system's clocks")
def step_own_clocks(_context):
    found = []
    for path in SOURCE.rglob("*.py"):
        name = path.relative_to(SOURCE).as_posix()
        if name == "clock.py" or any(part in TOOLS for part in name.split("/")):
            continue
        found += [
            f"{name}:{number}: {line.strip()}"
            for number, line in enumerate(path.read_text().splitlines(), 1)
            if OWN_CLOCK.search(line)
        ]
    assert not found, found
