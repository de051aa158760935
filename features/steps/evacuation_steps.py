"""Steps for zones that the operator evacuates."""

import itertools
import random
import re
import zlib
from concurrent.futures import Future
from dataclasses import replace

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.evacuation_monitor import EvacuationMonitor
from brassdrum.gateway.following.evacuations import (
    Evacuations,
    EvacuationState,
    newest_evacuations,
)
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.snapshot import Snapshot
from brassdrum.gateway.model import (
    DaemonAddress,
    DeclaredRequest,
    EndpointEntry,
    RouteKind,
    StoreRecord,
)
from brassdrum.gateway.peering.fleet_demand import FleetDemand
from brassdrum.gateway.peering.group import Group
from brassdrum.gateway.peering.merged_status import MergedStatus
from brassdrum.gateway.peering.peer_messages import (
    Digest,
    Report,
    Sender,
    decode_message,
    encode_message,
)
from brassdrum.gateway.peering.peer_status import PeerStatus
from brassdrum.gateway.peering.publishers import Aggregators
from brassdrum.gateway.placing.choosing import EndpointSelector, Selection
from brassdrum.gateway.placing.gradual_return import withheld_slots
from brassdrum.gateway.placing.load import LoadRow, LoadShare, LoadTable
from brassdrum.gateway.placing.placement import Helper, Placement, PlacementRequest
from brassdrum.gateway.placing.policies import policies
from brassdrum.gateway.request.exchange import Exchange
from brassdrum.gateway.throttling.signals import EndpointSignalTable
from brassdrum.gateway.throttling.throttle import EndpointThrottle
from brassdrum.telemetry.trace import causes_of_loss
from features.gateway_world import (
    HOST,
    SERVICE,
    SHORT_BOUNDS,
    FakeEndpoint,
    FakeStore,
    RunningGateway,
    configuration,
    free_port,
    route,
)
from features.steps.exchange_steps import FakeCallerConnection, FakeDaemon
from features.steps.explaining_steps import lines
from features.steps.gateway_knowledge_steps import follower_that_pulled
from features.steps.gateway_steps import (
    ENGINE,
    RefusableStore,
    received_requests,
    send_in_background,
    send_request,
)
from features.steps.store_copy_steps import Fleet, endpoint
from features.support import eventually


def zones_in(text):
    """Return the names of the zones that a step lists by letter."""
    return [f"zone-{letter}" for letter in re.findall(r"\b([a-z]|nowhere)\b", text)]


# Running daemons.


def start(context, daemons, zones, engine=None):
    context.store = FakeStore()
    context.store.current = configuration(7, engine)
    context.endpoints = []
    for number, zone in enumerate(zones, 1):
        add_endpoint(context, f"endpoint-{number}", zone)
    context.peer_port = free_port()
    context.stores = [RefusableStore(context.store) for _ in range(daemons)]
    context.gateways = []
    for store in context.stores:
        start_gateway(context, store)
    eventually(
        lambda: all(each.daemon._peers.live == daemons for each in context.gateways),
        "the daemons have discovered each other",
    )


def add_endpoint(context, name, zone):
    added = FakeEndpoint(name, zone=zone)
    context.stack.push(added.close)
    context.endpoints.append(added)
    context.store.entries = [*context.store.entries, added.entry()]
    return added


def start_gateway(context, store, seeds=()):
    number = len(context.gateways) + 2
    gateway = RunningGateway(store, number, context.peer_port, SHORT_BOUNDS, seeds)
    context.gateways.append(gateway)
    context.stack.push(gateway.close)
    eventually(gateway.ready, f"{gateway.host} is ready")


def endpoints_in(context, zone):
    return [each for each in context.endpoints if each.zone == f"zone-{zone}"]


def used_zones(gateway):
    return {each.zone for each in gateway.daemon.routing_state.usable(SERVICE)}


@given("{daemons:d} gateways in front of endpoints in zones {zones}")
def step_start(context, daemons, zones):
    start(context, daemons, zones_in(zones.replace(" and ", " ")))


@given("a gateway in front of engines in zones {zones}")
def step_start_engines(context, zones):
    start(context, 1, zones_in(zones.replace(" and ", " ")), ENGINE)


@when("the operator evacuates zone {zones}")
@when("the operator evacuates zones {zones}")
def step_evacuate(context, zones):
    context.store.evacuate(*zones_in(zones.replace(" and ", " ")))


@when("the operator takes all zones back")
def step_take_back(context):
    context.store.evacuate()


@then("every daemon eventually uses only zone {zones}")
@then("every daemon eventually uses zones {zones}")
@then("every daemon eventually uses {zones} zone")
def step_used(context, zones):
    expected = set() if zones == "no" else set(zones_in(zones.replace(" and ", " ")))
    for gateway in context.gateways:
        eventually(
            lambda gateway=gateway: used_zones(gateway) == expected,
            f"{gateway.host} uses {expected}",
        )
    context.received_before = {each.name: len(each.requests) for each in context.endpoints}


@when("each daemon serves {count:d} requests outside the evacuated zones")
def step_serve(context, count):
    for number in range(len(context.gateways)):
        for _ in range(count):
            answer = send_request(context, "check", number)
            assert answer.status == 200, answer.status


@then("the endpoints of zone {zone:w} received no further request")
def step_no_request(context, zone):
    for each in endpoints_in(context, zone):
        assert len(each.requests) == context.received_before[each.name], each.name


@when("the store is unavailable for some reads")
def step_store_unavailable(context):
    context.store.down = True
    calls = context.store.calls
    eventually(lambda: context.store.calls > calls + 2, "the store was asked")


@when("another gateway starts")
def step_another(context):
    seeds = tuple(each.host for each in context.gateways)
    start_gateway(context, RefusableStore(context.store), seeds)


@then("the command why names zone {zone:w} as evacuated")
def step_why(context, zone):
    eventually(lambda: causes_of_loss(lines(context)), "the refusal is written")
    (cause,) = causes_of_loss(lines(context))
    assert f"the operator has evacuated zone-{zone}" in cause.detail, cause.detail
    events = [line for line in lines(context) if line.event == "zone evacuated"]
    assert [line.values["zone"] for line in events] == [f"zone-{zone}"], events
    assert events[0].values["source"] == "store"
    assert events[0].values["endpoints"] == len(context.endpoints)


@then("the metrics page counts {count:d} evacuated zone")
def step_gauge(context, count):
    page = context.gateways[0].daemon.metrics.page().decode()
    shown = [line for line in page.splitlines() if line.startswith("brassdrum_gateway_evacuated")]
    assert len(shown) == 1 and shown[0].endswith(f" {count}.0"), shown


@then("the log says once that zone {zone:w} is unknown, and how to mend it")
def step_unknown(context, zone):
    def found():
        return [line for line in lines(context) if line.event == "evacuated zone unknown"]

    eventually(found, "the zone is logged")
    calls = context.store.calls
    eventually(lambda: context.store.calls > calls + 4, "the store was read again")
    (line,) = found()
    assert line.values["zone"] == f"zone-{zone}"
    assert "Correct the zone's name" in line.values["error"], line.values


@when('a caller sends a "{kind:w}" and zone {zone:w} is evacuated meanwhile')
def step_stream_evacuated(context, kind, zone):
    context.caller = send_in_background(context, kind)
    eventually(lambda: received_requests(context), "the endpoint has the request")
    context.store.evacuate(f"zone-{zone}")
    step_used(context, "no")


@when("an endpoint in zone {zone:w} is listed")
def step_listed(context, zone):
    added = add_endpoint(context, "endpoint-listed-later", f"zone-{zone}")
    added.default_behaviour = "stream"
    gateway = context.gateways[0]
    eventually(lambda: used_zones(gateway) == {f"zone-{zone}"}, "the endpoint is usable")


@then("the request named helpers outside zone {zone:w}")
def step_helpers(context, zone):
    helpers = received_requests(context)[0].header_by_name["x-helpers"]
    assert "/" in helpers, helpers
    for each in endpoints_in(context, zone):
        assert each.address not in helpers, helpers
        assert not each.orders, each.orders


# One exchange without a network.


class HeldReservations:
    """Keep the callbacks of reservations until the test grants them."""

    def __init__(self):
        self.granted = []
        self.released = 0

    def acquire(self, reservations, consumer, on_done, on_consumer_lost):
        """Keep the callback."""
        self.granted.append(on_done)
        return self

    def release(self):
        """Count a release."""
        self.released += 1


class PlacingDaemon(FakeDaemon):
    """Place a request in the first usable zone, with a helper that stores a part."""

    def __init__(self):
        super().__init__()
        self.reservations = HeldReservations()
        self.entries[:] = [
            EndpointEntry(f"engine-{n}", SERVICE, f"10.0.0.{n}:80", f"zone-{zone}", 8, False)
            for n, zone in enumerate("bacc", 1)
        ]

    def place(self, exchange, need):
        """Return a placement at the first usable endpoint with the second as its helper."""
        usable = self.routing_state.usable(SERVICE)
        # Both endpoints of the second placement are in one zone.
        head, helper = usable[:2] if not self.routing_state.evacuated_zones else usable[-2:]
        return Placement(head, (Helper(helper, 100),), (), 50.0, "test", best_first_event_ms=10.0)


@given("a request that waits for memory reserved in zone a for an endpoint in zone b")
def step_reserving(context):
    context.daemon = PlacingDaemon()
    request = DeclaredRequest("a", b"POST", b"/text/x", HOST, [], 10.0, None, 50_000, 100)
    streams = route("text", RouteKind.STREAM, resumable=True, objective=1.0, max_attempts=3)
    now = context.daemon.loop.now()
    exchange = Exchange(context.daemon, FakeCallerConnection(), request, b"", streams, None, now)
    exchange.service = SERVICE
    exchange.start()
    assert len(context.daemon.reservations.granted) == 1


@when("zone {zone:w} is evacuated and the reservation is granted")
def step_granted_late(context, zone):
    context.daemon.routing_state.evacuated_zones = frozenset({f"zone-{zone}"})
    context.daemon.reservations.granted.pop()(True)


@then("the reservation is released and the request is placed in zone c")
def step_placed_elsewhere(context):
    assert context.daemon.reservations.released == 1
    assert not context.daemon.pool.calls, "the request was sent to the evacuated zone"
    context.daemon.reservations.granted.pop()(True)
    (call,) = context.daemon.pool.calls
    assert call.owner.endpoint == "engine-3", call.owner.endpoint


# Records without a network.

RECORDS = st.builds(
    Evacuations,
    st.frozensets(st.sampled_from(["zone-a", "zone-b", "zone-c"])),
    st.one_of(st.none(), st.integers(0, 3)),
    st.integers(0, 4),
)


@then("in any order and grouping the merged record of evacuations is the same and the newest")
def step_any_order(_context):
    @settings(max_examples=300, deadline=None)
    @for_all(st.lists(RECORDS, min_size=1, max_size=6), st.randoms(), st.integers(0, 6))
    def check(records, rng, cut):
        merged = newest_evacuations(records)
        newest = max(each.order for each in records)
        assert merged.order == newest
        # Records of one revision differ only by what was written during a read.
        assert merged.zones == frozenset().union(
            *(each.zones for each in records if each.order == newest)
        )
        shuffled = rng.sample(records, len(records))
        parts = [newest_evacuations(shuffled[:cut]), newest_evacuations(shuffled[cut:])]
        assert newest_evacuations(parts) == merged
        assert newest_evacuations([*shuffled, merged, *shuffled]) == merged

    check()


def state_at(context):
    return context.evacuation_state


@given("the evacuation of zone {zone:w} at revision {revision:d} in era {era:d}")
def step_state(context, zone, revision, era):
    context.evacuation_state = EvacuationState()
    context.now = 100.0
    record = Evacuations(frozenset({f"zone-{zone}"}), era, revision)
    changes = state_at(context).apply_read(record, context.now)
    assert [(each.zone, each.evacuated) for each in changes] == [(f"zone-{zone}", True)]


@when("zone {zone:w} is evacuated at revision {revision:d} in era {era:d}")
@when("{zone:w} zone is evacuated at revision {revision:d} in era {era:d}")
def step_apply_record(context, zone, revision, era):
    zones = frozenset() if zone == "no" else frozenset({f"zone-{zone}"})
    state_at(context).apply_read(Evacuations(zones, era, revision), context.now)


@then("zone {zone:w} is evacuated")
def step_is_evacuated(context, zone):
    # The hold that follows a restore is judged by its own scenario.
    assert state_at(context).record.zones == {f"zone-{zone}"}, state_at(context).record
    assert f"zone-{zone}" in state_at(context).zones


@then("zone {zone:w} is evacuated for {seconds:g} more seconds")
def step_held(context, zone, seconds):
    state = state_at(context)
    state.refresh(context.now + seconds - 0.01)
    assert state.zones == {f"zone-{zone}"}
    assert state.taken_back_at(f"zone-{zone}") is None
    later = EvacuationState()
    later.apply_read(Evacuations(state.zones, 1, 90), context.now)
    later.apply_read(Evacuations(frozenset(), 2, 40), context.now)
    later.refresh(context.now + seconds)
    assert not later.zones
    assert later.taken_back_at(f"zone-{zone}") == context.now + seconds


@then("no zone is evacuated")
def step_none_evacuated(context):
    assert not state_at(context).zones, state_at(context).zones


@then("after any order of events all daemons have the evacuated zones of the store")
def step_follow(_context):
    kinds = ("evacuate b", "evacuate c", "evacuate b c", "take back", "backup", "restore")
    kinds += ("down", "up", "start", "refuse")

    @settings(max_examples=25, deadline=None)
    @for_all(st.lists(st.sampled_from(kinds), max_size=10))
    def check(events):
        fleet = Fleet()
        fleet.store.entries = [
            replace(endpoint(number, born=2), zone=f"zone-{zone}")
            for number, zone in enumerate("abc", 1)
        ]
        fleet.advance(1.5)
        copy = frozenset(), fleet.store.operator_revision
        fleet.store.back_up()
        for kind in events:
            if kind.startswith("evacuate"):
                fleet.store.evacuate(*zones_in(kind.partition(" ")[2]))
            elif kind == "take back":
                fleet.store.evacuate()
            elif kind == "backup":
                fleet.store.back_up()
                copy = fleet.store.evacuated_zones, fleet.store.operator_revision
            elif kind == "restore":
                fleet.store.restore()
                fleet.store.evacuated_zones, fleet.store.operator_revision = copy
            elif kind in ("down", "up"):
                fleet.store.down = kind == "down"
            elif kind == "start":
                fleet.start(len(fleet.daemons))
            elif kind == "refuse":
                # Only peers tell this daemon from now on.
                fleet.daemons[-1].follower._read_not_before = float("inf")
            fleet.advance(0.7)
        fleet.store.down = False
        fleet.daemons[0].follower._read_not_before = 0.0
        fleet.advance(8.0)
        for daemon in fleet.daemons:
            found = daemon.routing_state.evacuated_zones
            assert found == fleet.store.evacuated_zones, (events, daemon.host, found)
            used = {entry.zone for entry in daemon.routing_state.usable(SERVICE)}
            assert used == {"zone-a", "zone-b", "zone-c"} - found, (events, used)

    check()


# Messages.

SENDER = Sender("daemon-1", DaemonAddress("10.0.0.1", "zone-a"), 1, 1)
STATUS = PeerStatus(3, "digest", 0.5, 7)


def record_of(*zones, revision=5):
    return Evacuations(frozenset(zones), 1, revision)


@given("a daemon that has evacuated zone {zone:w}")
def step_evacuated_daemon(context, zone):
    context.routing_state = RoutingState()
    context.monitor = EvacuationMonitor(SimulatedLoop(), context.routing_state)
    context.monitor.apply_read(record_of(f"zone-{zone}"))


@when("a daemon of the previous release sends its status")
def step_previous_release(context):
    # A message of the previous release is one without sections, byte for byte.
    status = decode_message(encode_message(Report(SENDER, STATUS))).status
    assert status.evacuations is None
    context.monitor.apply_report(status.evacuations, "10.0.0.1")


@then("zone {zone:w} is still evacuated")
def step_still_evacuated(context, zone):
    assert context.routing_state.evacuated_zones == {f"zone-{zone}"}


@then(
    "a status with {count:d} evacuated zones takes {size:d} bytes more than one of the previous "
    "release"
)
def step_section_bytes(_context, count, size):
    record = record_of(*(f"zone-{letter}" for letter in "abcdefgh"[:count]))
    messages = (
        lambda status: Report(SENDER, status),
        lambda status: Digest(SENDER, status, 1),
    )
    for message in messages:
        plain = encode_message(message(STATUS))
        told = encode_message(message(replace(STATUS, evacuations=record)))
        assert told.startswith(plain), "an earlier release would read other fields"
        assert len(told) - len(plain) == size, len(told) - len(plain)
        assert decode_message(told).status.evacuations == record


@given("a daemon whose snapshot was pulled before it evacuated zone {zone:w}")
def step_snapshot_before(context, zone):
    listed = Snapshot(None, (StoreRecord("engine-1", b""),))
    routing_state, context.sender = follower_that_pulled(listed.encode())
    context.earlier_snapshot = context.sender.snapshot()
    EvacuationMonitor(SimulatedLoop(), routing_state).apply_read(record_of(f"zone-{zone}"))


@when("another daemon pulls its snapshot")
def step_pull(context):
    context.pulled_state, context.receiver = follower_that_pulled(context.sender.snapshot())


@then("the other daemon has evacuated zone {zone:w}")
def step_pulled(context, zone):
    assert context.pulled_state.evacuation.announced == record_of(f"zone-{zone}")


@then("a snapshot of the previous release takes no zone back there")
def step_previous_snapshot(context):
    # The previous release sends no such field, as daemons do before the first evacuation.
    assert b"evacuations" not in zlib.decompress(context.earlier_snapshot)
    pulled = Future()
    pulled.set_result(Snapshot.decode(context.earlier_snapshot))
    context.receiver._pull_done("10.1.0.1", 91.0, 2, pulled)
    assert context.pulled_state.evacuated_zones == {"zone-b"}


def is_evacuated(fleet, zones):
    return all(
        each.evacuations is not None and each.evacuations.zones == zones for each in fleet.daemons
    )


@then("no message has a section")
def step_no_section(context):
    statuses = [each.peers._status.build(100.0, heartbeat=True) for each in context.fleet.daemons]
    assert {each.evacuations for each in statuses} == {None}


@when("a group member learns that zone {zone:w} is evacuated")
def step_member_learns(context, zone):
    member_learns(context, record_of(f"zone-{zone}"))


@when("a group member learns that all zones are taken back")
def step_member_learns_return(context):
    member_learns(context, record_of(revision=6))


def member_learns(context, record):
    member = next(each for each in context.fleet.daemons if not each.peers.is_aggregator)
    member.evacuations = newest_evacuations([member.evacuations, record])
    member.peers.announce()


@then("all daemons evacuate zone {zone:w} within {seconds:g} seconds")
def step_all_evacuate(context, zone, seconds):
    expected = {f"zone-{zone}"}
    assert context.fleet.within(seconds, lambda: is_evacuated(context.fleet, expected))


@then("all daemons evacuate no zone within {seconds:g} seconds")
def step_all_take_back(context, seconds):
    assert context.fleet.within(seconds, lambda: is_evacuated(context.fleet, set()))


@then("the merged status of a group and of the fleet carries the newest evacuations")
def step_merged_status(_context):
    records = [record_of("zone-a"), record_of("zone-b", revision=6), record_of(revision=7)]
    for own, member, other in itertools.permutations([*records, None], 3):
        group = Group(lambda key: LoadRow(key, None), lambda _: None)
        aggregators = Aggregators()
        demand = FleetDemand("10.0.0.9", lambda _waits: (), group, aggregators)
        merged = MergedStatus(
            lambda own=own: replace(STATUS, evacuations=own), group, aggregators, demand
        )
        for sequence, told in ((1, True), (2, False)):
            # The second message repeats nothing, as those between heartbeats.
            sender = replace(SENDER, sequence=sequence)
            reported = replace(STATUS, evacuations=member if told else None)
            group.apply_report(Report(sender, reported), 10.0)
            reported = replace(STATUS, evacuations=other if told else None)
            aggregators.apply_digest(Digest(sender, reported, 1), 10.0)
        expected = newest_evacuations([own, member, other])
        for fleet in (False, True):
            assert merged.build(10.0, fleet=fleet).evacuations == expected
            assert merged.build(10.4, fleet=fleet).evacuations == expected
            assert merged.build(10.6, fleet=fleet).evacuations is None
            assert merged.build(10.6, fleet=fleet, heartbeat=True).evacuations == expected


# The gradual return.


@then("an endpoint of {slots:d} slots offers these slots after its zone was taken back")
def step_offered(context, slots):
    for row in context.table:
        now = 100.0 + float(row["seconds"])
        offered = slots - withheld_slots(slots, 100.0, now)
        assert offered == int(row["slots"]), (row["seconds"], offered)


@then("the share never falls, and endpoints of other zones offer all slots")
def step_share(_context):
    @settings(max_examples=200, deadline=None)
    @for_all(st.integers(0, 64), st.floats(0.0, 100.0), st.floats(0.0, 100.0))
    def check(slots, earlier, later):
        first, second = sorted((earlier, later))
        withheld = withheld_slots(slots, 0.0, second)
        assert 0 <= withheld <= withheld_slots(slots, 0.0, first) <= max(0, slots - 1)
        assert withheld_slots(slots, None, later) == 0

    check()


@then("a request waits while the offered slots of the only endpoint are in use")
def step_waits(_context):
    loop, table, signals = SimulatedLoop(), LoadTable(), EndpointSignalTable()
    entry = EndpointEntry("engine-1", SERVICE, "10.0.0.1:80", "zone-b", 4, False)
    routing_state = RoutingState()
    routing_state.apply_store_list([entry], loop.now())
    monitor = EvacuationMonitor(loop, routing_state)
    monitor.apply_read(record_of("zone-b", revision=1))
    assert routing_state.usable(SERVICE) == []
    loop.advance(3.0)
    monitor.apply_read(record_of(revision=2))
    assert routing_state.usable(SERVICE) == [entry]
    selector = EndpointSelector(
        "daemon-1",
        table,
        EndpointThrottle(loop, signals, broker=None),
        random.Random(1),
        lambda: 0.004,
        taken_back_at=routing_state.evacuation.taken_back_at,
    )

    def is_full():
        need = PlacementRequest(100, 100, 1000.0, 250)
        usable, policy = routing_state.usable(SERVICE), policies.get("least_harm")
        selection = Selection(policy, need, usable, lambda _: False, ENGINE, loop.now())
        return selector.select(selection, late=False).endpoint_full

    assert not is_full()
    table.start("request-1", [LoadShare("engine-1", 0.0, 200, 250)], loop.now(), 1.0)
    assert is_full(), "a second request is sent though one slot is offered"
    loop.advance(2.0)
    assert not is_full(), "the second slot is not offered after 2 of 5 seconds"
    for number in (2, 3):
        table.start(f"request-{number}", [LoadShare("engine-1", 0.0, 200, 250)], loop.now(), 1.0)
    assert is_full()
    loop.advance(3.0)
    assert not is_full(), "not all slots are offered after 5 seconds"
