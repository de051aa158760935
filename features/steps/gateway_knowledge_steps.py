"""Steps on what daemons know of endpoints and tell each other."""

from concurrent.futures import Future

from behave import given, then, when

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.follower import Follower, Snapshot
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.model import (
    Bounds,
    EndpointEntry,
    SharedRecord,
)
from features.gateway_world import engine_entry


@when("the list is read, the store is away for 5 seconds, and the list comes back empty")
def step_lapse(context):
    context.knowledge = RoutingState()
    context.knowledge.apply_store_list([engine_entry(1), engine_entry(2)], 10.0)
    context.knowledge.store_failed(14.5)
    context.knowledge.apply_store_list([], 15.0)


@then("the endpoints are kept for 2 seconds and dropped after that")
def step_kept(context):
    assert len(context.knowledge.usable("pool")) == 2
    context.knowledge.apply_store_list([], 17.0)
    assert len(context.knowledge.usable("pool")) == 2
    changes = context.knowledge.apply_store_list([], 17.3)
    assert [change.change for change in changes] == ["gone", "gone"]
    assert context.knowledge.usable("pool") == []


@when("an entry leaves the list in a steady time")
def step_leaves(context):
    context.knowledge.apply_store_list([engine_entry(1), engine_entry(2)], 18.0)
    context.knowledge.apply_store_list([engine_entry(2)], 18.5)


@then("it is dropped at once")
def step_at_once(context):
    assert [each.id for each in context.knowledge.usable("pool")] == ["engine-2"]


_ON_THE_WAY_SECONDS = 0.002


def _tell(teller, hearer, now):
    """Pass on how old a daemon's knowledge is; return the time of arrival."""
    age = now - teller.read_at
    arrival = now + _ON_THE_WAY_SECONDS
    hearer.confirm_read(teller.digest, arrival - age, teller.reads)
    return arrival


@given("2 daemons of which one read the list at 10 s")
def step_two(context):
    context.pair = RoutingState(), RoutingState()
    reader, other = context.pair
    reader.apply_store_list([engine_entry(1)], 10.0)
    other.apply_peer_list([engine_entry(1)], 10.0, reader.reads)


@when("each tells the other how old its knowledge is, {count:d} times, 2 ms on the way")
def step_to_and_fro(context, count):
    reader, other = context.pair
    now = 10.0
    for _ in range(count):
        now = _tell(reader, other, now)
        now = _tell(other, reader, now)


@when("the one reads the list again at 20 s and tells the other")
def step_read_again(context):
    reader, other = context.pair
    reader.apply_store_list([engine_entry(1)], 20.0)
    _tell(reader, other, 20.0)


@then("both hold it to be read between {start:g} and {end:g} s")
def step_read_between(context, start, end):
    for knowledge in context.pair:
        assert start <= knowledge.read_at <= end, knowledge.read_at


@when("a list is read and an older one arrives from a peer")
def step_older_list(context):
    context.knowledge = RoutingState()
    context.knowledge.apply_store_list([engine_entry(2)], 10.0)
    context.knowledge.apply_peer_list([engine_entry(1), engine_entry(2)], 9.0, 1)


@then("the newer one stays")
def step_newer(context):
    assert list(context.knowledge.endpoints_by_id) == ["engine-2"]


@when("a peer says that a listed endpoint leaves")
def step_word(context):
    context.knowledge = RoutingState()
    context.knowledge.apply_store_list([engine_entry(1), engine_entry(2)], 10.0)
    assert context.knowledge.mark_draining("engine-1", 11.0)
    assert not context.knowledge.mark_draining("engine-1", 11.1)


@then("it gets no new work, also after an older list")
def step_word_stays(context):
    context.knowledge.apply_store_list([engine_entry(1), engine_entry(2)], 10.9)
    assert [each.id for each in context.knowledge.usable("pool")] == ["engine-2"]


@then("it is told to others for a while")
def step_word_told(context):
    assert list(context.knowledge.recently_left(12.0)) == ["engine-1"]
    assert context.knowledge.recently_left(16.0) == {}


@then("a list that was read later and shows it ready brings it back")
def step_word_back(context):
    context.knowledge.apply_store_list([engine_entry(1), engine_entry(2)], 16.5)
    assert len(context.knowledge.usable("pool")) == 2


class ListedEntries:
    """Decode entries as they are named here; the list itself comes from peers."""

    def decode_endpoint(self, record):
        """Return an entry that takes new work."""
        return EndpointEntry(record.key, "pool", "10.0.0.1:80", "zone-a", 8, False)


def follower_that_pulled(snapshot):
    """Return a daemon's knowledge and follower after it took a peer's snapshot."""
    knowledge = RoutingState()
    ignored = [lambda *_: None] * 3
    follower = Follower(SimulatedLoop(), ListedEntries(), knowledge, Bounds(), 1, *ignored)
    pulled = Future()
    pulled.set_result(Snapshot.decode(snapshot))
    follower._pull_done("10.1.0.1", 90.0, 1, pulled)
    return knowledge, follower


@given("a daemon that read a list and then heard that an endpoint leaves")
def step_heard_leaving(context):
    listed = Snapshot(None, (SharedRecord("engine-1", b""), SharedRecord("engine-2", b"")))
    knowledge, context.teller = follower_that_pulled(listed.encode())
    assert knowledge.mark_draining("engine-1", 95.0)


@when("a new daemon takes its snapshot")
def step_take_snapshot(context):
    context.knowledge, _ = follower_that_pulled(context.teller.snapshot())


@then("the new daemon does not use that endpoint")
def step_not_used(context):
    assert [entry.id for entry in context.knowledge.usable("pool")] == ["engine-2"]
