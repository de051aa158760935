"""Steps for the routing state of daemons and the updates they send each other."""

from concurrent.futures import Future

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.snapshot import Snapshot
from brassdrum.gateway.model import (
    EndpointEntry,
    StoreRecord,
)
from features.gateway_world import create_follower, engine_entry


@when("the list is read, the store is unavailable for 5 seconds, and the next list is empty")
def step_outage(context):
    context.routing_state = RoutingState()
    context.routing_state.apply_store_list([engine_entry(1), engine_entry(2)], 10.0)
    context.routing_state.store_failed(14.5)
    context.routing_state.apply_store_list([], 15.0)


@then("the endpoints are kept for 2 seconds and removed after that")
def step_kept_then_removed(context):
    assert len(context.routing_state.usable("pool")) == 2
    context.routing_state.apply_store_list([], 17.0)
    assert len(context.routing_state.usable("pool")) == 2
    changes = context.routing_state.apply_store_list([], 17.3)
    assert [change.change for change in changes] == ["gone", "gone"]
    assert context.routing_state.usable("pool") == []


@when("an entry disappears from the list without an outage")
def step_entry_disappears(context):
    context.routing_state.apply_store_list([engine_entry(1), engine_entry(2)], 18.0)
    context.routing_state.apply_store_list([engine_entry(2)], 18.5)


@then("its endpoint is removed at once")
def step_removed_at_once(context):
    assert [each.id for each in context.routing_state.usable("pool")] == ["engine-2"]


_NETWORK_DELAY_SECONDS = 0.002


def _send_age(sender, receiver, now):
    """Send the age of a daemon's list to another one; return the time of arrival."""
    age = now - sender.read_at
    arrival = now + _NETWORK_DELAY_SECONDS
    receiver.confirm_read(sender.digest, arrival - age, sender.reads)
    return arrival


@given("2 daemons of which the first read the list at 10 s")
def step_two_daemons(context):
    context.pair = RoutingState(), RoutingState()
    reader, other = context.pair
    reader.apply_store_list([engine_entry(1)], 10.0)
    other.apply_peer_list([engine_entry(1)], 10.0, reader.reads)


@when("they send each other the age of their lists, {count:d} times, with a delay of 2 ms")
def step_exchange_ages(context, count):
    reader, other = context.pair
    now = 10.0
    for _ in range(count):
        now = _send_age(reader, other, now)
        now = _send_age(other, reader, now)


@when("the first reads the list again at 20 s and sends an update")
def step_read_again(context):
    reader, other = context.pair
    reader.apply_store_list([engine_entry(1)], 20.0)
    _send_age(reader, other, 20.0)


@then("both date the read between {start:g} and {end:g} s")
def step_read_between(context, start, end):
    for routing_state in context.pair:
        assert start <= routing_state.read_at <= end, routing_state.read_at


@when("a list is read and an older one is received from a peer")
def step_older_list(context):
    context.routing_state = RoutingState()
    context.routing_state.apply_store_list([engine_entry(2)], 10.0)
    context.routing_state.apply_peer_list([engine_entry(1), engine_entry(2)], 9.0, 1)


@then("the newer list is kept")
def step_newer(context):
    assert list(context.routing_state.endpoints_by_id) == ["engine-2"]


@when("a peer reports that a listed endpoint is draining")
def step_drain_report(context):
    context.routing_state = RoutingState()
    context.routing_state.apply_store_list([engine_entry(1), engine_entry(2)], 10.0)
    assert context.routing_state.mark_draining("engine-1", 11.0)
    assert not context.routing_state.mark_draining("engine-1", 11.1)


@then("it gets no new requests, even after an older list")
def step_drain_kept(context):
    context.routing_state.apply_store_list([engine_entry(1), engine_entry(2)], 10.9)
    assert [each.id for each in context.routing_state.usable("pool")] == ["engine-2"]


@then("it is reported to peers for a while")
def step_drain_reported(context):
    assert list(context.routing_state.recently_left(12.0)) == ["engine-1"]
    assert context.routing_state.recently_left(16.0) == {}


@then("a later list that shows it ready restores it")
def step_drain_ended(context):
    context.routing_state.apply_store_list([engine_entry(1), engine_entry(2)], 16.5)
    assert len(context.routing_state.usable("pool")) == 2


class StubDecoder:
    """Decode any record to an entry with its key as the name."""

    def decode_endpoint(self, record):
        """Return an entry that accepts new requests."""
        return EndpointEntry(record.key, "pool", "10.0.0.1:80", "zone-a", 8, False)


def follower_that_pulled(snapshot):
    """Return the routing state and follower of a daemon that pulled a peer's snapshot."""
    routing_state = RoutingState()
    follower = create_follower(SimulatedLoop(), StubDecoder(), routing_state)
    pulled = Future()
    pulled.set_result(Snapshot.decode(snapshot))
    follower._pull_done("10.1.0.1", 90.0, 1, pulled)
    return routing_state, follower


@given("a daemon that read a list and then got a report that an endpoint is draining")
def step_received_report(context):
    listed = Snapshot(None, (StoreRecord("engine-1", b""), StoreRecord("engine-2", b"")))
    routing_state, context.sender = follower_that_pulled(listed.encode())
    assert routing_state.mark_draining("engine-1", 95.0)


@when("a new daemon pulls its snapshot")
def step_pull_snapshot(context):
    context.routing_state, _ = follower_that_pulled(context.sender.snapshot())


@then("the new daemon does not use that endpoint")
def step_not_used(context):
    assert [entry.id for entry in context.routing_state.usable("pool")] == ["engine-2"]
