"""Steps on endpoints that were avoided as failing."""

import random
from types import SimpleNamespace

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.model import EndpointEntry, EngineModel
from brassdrum.gateway.placing.choosing import EndpointSelector, Selection
from brassdrum.gateway.placing.gradual_return import Recoveries
from brassdrum.gateway.placing.load import (
    EndpointLoad,
    LoadRow,
    LoadTable,
    endpoint_key,
)
from brassdrum.gateway.placing.placement import PlacementRequest
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.sharing.turns import Turn
from brassdrum.gateway.throttling.signals import EndpointSignalTable
from brassdrum.gateway.throttling.throttle import EndpointThrottle

SLOTS = 12
ENGINE = EngineModel(SLOTS, 400_000, 1.0, 0.002, 0.004, 200.0, 0.14, 2048, 48)
PAUSE_MS = 250
REVIEW_SECONDS = 0.02
SECONDS_PER_DAEMON = 0.004 / 9


class _Daemon:
    """A daemon whose requests wait; it reports what it sends after a delay."""

    def __init__(self, number, world, waiting, kinds):
        self.name = f"daemon-{number}"
        self.waiting = waiting
        self.sent = 0
        self.table = LoadTable()
        full = EndpointLoad(0.0, 1000, 1000, SLOTS, 0, {PAUSE_MS: SLOTS})
        rows = [LoadRow(endpoint_key(each.id), full) for each in world.entries[1:]]
        self.table.merge("before", rows, world.loop.now(), 1)
        self._world = world
        # Of two kinds one goes first, and the other yields to it.
        self._turn = Turn()
        if kinds == "two priorities":
            total = waiting * world.daemons
            self._turn = Turn(goes_first=number % 2 == 0, ahead=total // 2, waiting=total)
        loop = world.loop
        self._selector = EndpointSelector(
            self.name,
            self.table,
            EndpointThrottle(loop, EndpointSignalTable(), broker=None),
            random.Random(number),
            lambda: max(0.004, SECONDS_PER_DAEMON * world.daemons),
            live=lambda: world.daemons,
        )

    def place(self, turn, waited_ms=0.0):
        """Return where a request would go now."""
        world = self._world
        now = world.loop.now()
        selection = Selection(
            policies.get("least_harm"),
            PlacementRequest(2000, 200, 300.0, PAUSE_MS, waited_ms=waited_ms),
            world.entries,
            lambda each: each == world.suspect and now < world.suspect_until,
            ENGINE,
            now,
        )
        return self._selector.select(selection, late=False, turn=turn)

    def review(self):
        """Send what finds a slot, as the queue of waiting requests does."""
        world = self._world
        now = world.loop.now()
        while self.waiting:
            placement = self.place(self._turn)
            if placement is None or placement.endpoint_full:
                return
            self.waiting -= 1
            self.sent += 1
            name = f"{self.name}-{self.sent}"
            self.table.start(name, placement.shares, now, 60.0)
            world.sent_at.append(now)
            world.report(self)


class _World:
    """Daemons that hear of each other's requests two flushes later.

    ``simulated`` of them are part of the run.
    """

    def __init__(self, daemons, waiting, kinds, simulated=None):
        self.daemons = daemons
        self.loop = SimulatedLoop()
        self.suspect_until = self.loop.now() + 1.0
        self.sent_at = []
        self.entries = [
            EndpointEntry(f"engine-{number}", "pool", f"10.0.0.{number}:80", "a", SLOTS, False, 1)
            for number in range(6)
        ]
        self.suspect = self.entries[0].id
        self.members = [_Daemon(n, self, waiting, kinds) for n in range(simulated or daemons)]
        self._sequence = 1
        rng = random.Random(1)
        for member in self.members:
            self._review_later(member, rng.uniform(0.0, REVIEW_SECONDS))

    def report(self, sender):
        """Let all others hear of what a daemon has in flight."""
        self._sequence += 1
        key = endpoint_key(self.suspect)
        rows = [LoadRow(key, sender.table.own_row(key).load.copy())]
        delay = 2 * max(0.004, SECONDS_PER_DAEMON * self.daemons)
        sequence = self._sequence
        self.loop.call_later(delay, lambda: self._deliver(sender, rows, sequence))

    def _deliver(self, sender, rows, sequence):
        for member in self.members:
            if member is not sender:
                member.table.merge(sender.name, rows, self.loop.now(), sequence)

    def _review_later(self, member, seconds):
        def review():
            member.review()
            self._review_later(member, REVIEW_SECONDS)

        self.loop.call_later(seconds, review)


@given(
    "{daemons:d} daemons with {waiting:d} requests of {kinds} each that wait for 5 full engines "
    "and a suspect one"
)
def step_world(context, daemons, waiting, kinds):
    context.world = _World(daemons, waiting, kinds)
    context.world.loop.advance(0.99)
    assert context.world.sent_at == [], "a suspect engine is not avoided"


@when("all daemons stop avoiding that engine at the same moment")
def step_recovers(context):
    context.world.loop.advance(3.0)


@then("at most {most:d} requests are sent to its {slots:d} slots")
def step_not_overrun(context, most, slots):
    assert slots == SLOTS
    sent = len(context.world.sent_at)
    assert sent <= most, (sent, context.world.sent_at)


@then("all its slots are used within {seconds:g} s")
def step_used(context, seconds):
    limit = context.world.suspect_until + seconds
    sent = sum(at <= limit for at in context.world.sent_at)
    assert sent >= SLOTS, (sent, context.world.sent_at)


@given("a request that goes first, 5 full engines and one that recovered {seconds:g} s ago")
def step_goes_first(context, seconds):
    world = _World(58, 0, "one priority", simulated=1)
    world.suspect_until = world.loop.now() + 0.1
    world.loop.advance(0.09)
    (context.member,) = world.members
    context.member.place(Turn(goes_first=True, ahead=1, waiting=2), waited_ms=100.0)
    world.loop.advance(0.01 + seconds)
    context.world = world


@given("that engine has {count:d} requests")
def step_has_requests(context, count):
    load = EndpointLoad(0.0, 1000, 1000, count, 0, {PAUSE_MS: count})
    world = context.world
    rows = [LoadRow(endpoint_key(world.suspect), load)]
    context.member.table.merge("others", rows, world.loop.now(), 1)


@then("the request is placed at {where} engine")
def step_placed(context, where):
    turn = Turn(goes_first=True, ahead=1, waiting=2)
    placement = context.member.place(turn, waited_ms=100.0)
    assert (placement.entry.id == context.world.suspect) == (where == "that"), placement


@then("an endpoint that was never suspect is not among those that have recovered")
def step_never_suspect(_context):
    recoveries = Recoveries()
    names = [f"engine-{number}" for number in range(6)]
    assert recoveries.update(names, {"engine-1"}, 1.0) == {}
    assert recoveries.update(names, set(), 1.1) == {"engine-1": 1.0}


@given(
    "{count:d} of 6 endpoints that were suspect, {still:d} of which still are after {seconds:g} s"
)
def step_were_suspect(context, count, still, seconds):
    names = [f"engine-{number}" for number in range(6)]
    recoveries = Recoveries()
    recoveries.update(names, set(names[:count]), 10.0)
    context.recoveries = SimpleNamespace(
        names=names, table=recoveries, now=10.0 + seconds, suspects=set(names[:still])
    )


@then("{count:d} of them count as recovered")
def step_recovered(context, count):
    found = context.recoveries
    assert len(found.table.update(found.names, found.suspects, found.now)) == count


@given("{count:d} of 6 endpoints that recovered {seconds:g} s before another one")
def step_staggered(context, count, seconds):
    names = [f"engine-{number}" for number in range(6)]
    recoveries = Recoveries()
    recoveries.update(names, set(names[: count + 1]), 10.0)
    recoveries.update(names, {names[count]}, 10.0 + seconds)
    context.last = recoveries.update(names, set(), 10.1 + seconds), names[count]


@then("the last one offers its slots one after the other")
def step_last_withheld(context):
    found, last = context.last
    assert last in found, found


@then("{seconds:g} s later none of them counts as recovered")
def step_none_recovered(context, seconds):
    found = context.recoveries
    assert found.table.update(found.names, set(), found.now + seconds) == {}
