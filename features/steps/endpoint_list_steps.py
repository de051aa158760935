"""Steps for the endpoint list: invalid entries and restarting endpoints."""

import json
import logging
from concurrent.futures import Future

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.beliefs import EndpointMonitor
from brassdrum.gateway.following.routing_state import RoutingState
from brassdrum.gateway.following.snapshot import Snapshot
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import (
    AttemptParameters,
    DeclaredRequest,
    EndpointEntry,
    StoreRecord,
)
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow, LoadTable, endpoint_key
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.platform.documents import decode_endpoint
from brassdrum.registry import Registry
from features.gateway_world import SERVICE, create_follower

ENTRY = {
    "service": SERVICE,
    "address": "10.0.0.1:80",
    "zone": "zone-a",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "cold_left_ms": 0,
    "seq": 4,
    "born": 1764630000000,
}
faults = Registry("fault of an entry")
for name, text in {
    "an unknown state": json.dumps({**ENTRY, "state": "warming"}),
    "a number encoded as a string": json.dumps({**ENTRY, "slots": "8"}),
    "a start time that is no integer": json.dumps({**ENTRY, "born": 1764630000000.5}),
    "a missing field": json.dumps({k: v for k, v in ENTRY.items() if k != "zone"}),
    "an address without a port": json.dumps({**ENTRY, "address": "10.0.0.1"}),
    "a body that is not JSON": "\x00\x01",
}.items():
    faults.register(name)(text)


def entry(born, *, draining=False, name="engine-1"):
    """Return an incarnation of an endpoint."""
    return EndpointEntry(name, SERVICE, "10.0.0.1:80", "zone-a", 8, draining, born)


class PlatformDecoder:
    """Decode entries like the platform's adapter."""

    def decode_endpoint(self, record):
        """Return the decoded entry."""
        return decode_endpoint(record.key, record.value)


class LogMessages(logging.Handler):
    """Collect the messages of log records."""

    def __init__(self):
        super().__init__()
        self.messages = []

    def emit(self, record):
        """Append the message of one record."""
        self.messages.append(record.getMessage())


@given("a list of three entries, one of them with {fault}")
def step_invalid_entry(context, fault):
    good = json.dumps(ENTRY).encode()
    context.records = (
        StoreRecord("engine-1", good),
        StoreRecord("engine-2", faults.get(fault).encode("latin-1")),
        StoreRecord("engine-3", good),
    )


@when("the list is read twice")
def step_read_twice(context):
    context.routing_state = RoutingState()
    context.log = LogMessages()
    logger = logging.getLogger("brassdrum.gateway.following.follower")
    level = logger.level
    logger.addHandler(context.log)
    logger.setLevel(logging.INFO)
    context.stack.push(lambda: logger.removeHandler(context.log))
    context.stack.push(lambda: logger.setLevel(level))
    follower = create_follower(SimulatedLoop(), PlatformDecoder(), context.routing_state)
    for number in (1, 2):
        pulled = Future()
        pulled.set_result(Snapshot(None, context.records))
        follower._pull_done("10.1.0.1", 90.0 + number, number, pulled)


@then("the two other endpoints are used")
def step_others_used(context):
    used = [each.name for each in context.routing_state.usable(SERVICE)]
    assert used == ["engine-1", "engine-3"], used


@then("the entry is logged once")
def step_logged(context):
    refused = [message for message in context.log.messages if message == "endpoint entry refused"]
    assert len(refused) == 1, context.log.messages


@given('the record "{key}" has an unreadable body')
def step_unreadable(context, key):
    context.server.RequestHandlerClass.unreadable = key


@then('the records "{keys}" are read')
def step_records(context, keys):
    read = [record.key for record in context.client.endpoints().records]
    assert read == keys.split(), read


@given("an endpoint that is suspect, reported as draining and has requests in flight")
def step_loaded_endpoint(context):
    loop = SimulatedLoop()
    context.loop = loop
    context.routing_state = RoutingState()
    context.pool = EndpointPool(loop)
    context.closed_addresses = []
    context.pool.close_idle = context.closed_addresses.append
    guard = CrashGuard(loop, LoadTable())
    context.monitor = EndpointMonitor(
        loop, context.routing_state, context.pool, lambda: None, guard
    )
    context.routing_state.apply_store_list([entry(1)], 90.0)
    context.monitor.endpoint_failed("engine-1@1", certain=True, detail="silent")
    context.routing_state.mark_draining("engine-1@1", 95.0)
    context.loads = LoadTable()
    load = EndpointLoad(500.0, 5_000, 5_000, 1, 0, {250: 1}, 0)
    context.loads.merge("peer", [LoadRow(endpoint_key("engine-1@1"), load)], 95.0, 1)


@given("an endpoint whose entry {names} its start")
def step_endpoint_start(context, names):
    context.loop = SimulatedLoop()
    context.routing_state = RoutingState()
    guard = CrashGuard(context.loop, LoadTable())
    pool = EndpointPool(context.loop)
    context.monitor = EndpointMonitor(
        context.loop, context.routing_state, pool, lambda: None, guard
    )
    started = entry(1 if names == "names" else None)
    context.routing_state.apply_store_list([started], context.loop.now())
    context.endpoint_id = started.id


@when("its process is found to have exited twice")
def step_exited(context):
    context.monitor.endpoint_exited(context.endpoint_id)
    context.loop.advance(0.1)
    context.monitor.endpoint_exited(context.endpoint_id)


@when("its address is found to belong to another endpoint and the next list still shows it")
def step_address_reused(context):
    listed = context.routing_state.endpoints_by_id[context.endpoint_id]
    context.monitor.address_reused(context.endpoint_id)
    assert not context.routing_state.usable(SERVICE)
    context.loop.advance(0.1)
    changes = context.routing_state.apply_store_list([listed], context.loop.now())
    context.monitor.on_endpoints_changed(changes, "store")
    assert context.routing_state.usable(SERVICE) == [listed]


@then("peers are told that it fails")
def step_told(context):
    failing = [notice.endpoint for notice in context.monitor.build_peer_update().failing]
    assert failing == [context.endpoint_id], failing


@then("it is avoided for {seconds:g} seconds and not longer")
def step_avoided(context, seconds):
    context.loop.advance(seconds - 0.1 - 0.01)
    assert context.monitor.is_suspect(context.endpoint_id)
    context.loop.advance(0.02)
    assert not context.monitor.is_suspect(context.endpoint_id)


@when("the list shows that it restarted")
def step_restarted(context):
    changes = context.routing_state.apply_store_list([entry(2)], 96.0)
    context.monitor.on_endpoints_changed(changes, "store")


@then("it is used, not suspect and without load")
def step_clean_state(context):
    (used,) = context.routing_state.usable(SERVICE)
    assert used.name == "engine-1"
    assert not context.monitor.is_suspect(used.id)
    assert context.loads.total(used.id).is_empty()
    assert not context.routing_state.mark_draining("engine-1@1", 97.0)
    assert context.routing_state.usable(SERVICE) == [used]


@then("its earlier connections are closed")
def step_connections_closed(context):
    assert context.closed_addresses == ["10.0.0.1:80"], context.closed_addresses


@given("a store that was unavailable for 10 seconds")
def step_outage(context):
    context.routing_state = RoutingState()
    context.routing_state.apply_store_list([entry(1)], 90.0)
    context.routing_state.store_failed(99.0)


@when("the first list after the outage shows a restarted endpoint")
def step_restart_after_outage(context):
    context.routing_state.apply_store_list([entry(2)], 100.0)


@then("only its new incarnation is used")
def step_only_new(context):
    assert [each.id for each in context.routing_state.usable(SERVICE)] == ["engine-1@2"]


@then(
    "in any order of reports, lists and restarts only later reports on the same incarnation count"
)
def step_any_order(context):
    steps = st.lists(st.tuples(st.sampled_from(["restart", "report", "read", "old read"])))

    @settings(max_examples=200, deadline=None, database=None, derandomize=True)
    @for_all(steps)
    def holds(drawn):
        state, now, born, listed, left = RoutingState(), 10.0, 1, None, set()
        for (step,) in drawn:
            now += 1.0
            if step == "restart":
                born += 1
            elif step == "report":
                if state.mark_draining(f"engine-1@{born}", now):
                    left.add(born)
                else:
                    assert listed != born or born in left
            elif step == "read":
                state.apply_store_list([entry(born)], now)
                listed = born
                left.discard(born)
            else:
                if state.read_at is not None:
                    state.apply_store_list([entry(max(1, born - 1))], state.read_at - 0.5)
        used = {each.born for each in state.usable(SERVICE)}
        expected = set() if listed is None or listed in left else {listed}
        assert used == expected, (drawn, used, expected)

    holds()


@then("a request to a restarted endpoint carries the endpoint's name")
def step_wire_name(context):
    request = DeclaredRequest("r", b"POST", b"/", "host", [], 1.0)
    headers = PlatformDialect().endpoint_headers(
        request, AttemptParameters(entry(7), (), None, 1, 1.0, None)
    )
    assert (b"X-Expect-Replica", b"engine-1") in headers
