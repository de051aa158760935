"""Steps on the list of endpoints: entries of other writers, endpoints that start again."""

import json
import logging
from concurrent.futures import Future

from behave import given, then, when
from hypothesis import given as for_all
from hypothesis import settings
from hypothesis import strategies as st

from brassdrum.bench.load.loop import SimulatedLoop
from brassdrum.gateway.following.beliefs import Beliefs
from brassdrum.gateway.following.follower import Follower, Snapshot
from brassdrum.gateway.following.knowledge import Knowledge
from brassdrum.gateway.guards.crash_guard import CrashGuard
from brassdrum.gateway.model import Bounds, DeclaredRequest, EndpointEntry, Sending, SharedRecord
from brassdrum.gateway.net.upstream import EndpointPool
from brassdrum.gateway.placing.load import EndpointLoad, LoadRow, LoadTable, endpoint_key
from brassdrum.platform.dialect import PlatformDialect
from brassdrum.platform.documents import decode_endpoint
from brassdrum.registry import Registry
from features.gateway_world import SERVICE

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
    "a state that is unknown": json.dumps({**ENTRY, "state": "warming"}),
    "a number written as text": json.dumps({**ENTRY, "slots": "8"}),
    "a start that is no whole number": json.dumps({**ENTRY, "born": 1764630000000.5}),
    "a field that is missing": json.dumps({k: v for k, v in ENTRY.items() if k != "zone"}),
    "an address without port": json.dumps({**ENTRY, "address": "10.0.0.1"}),
    "bytes that are no JSON": "\x00\x01",
}.items():
    faults.register(name)(text)


def entry(born, *, draining=False, name="engine-1"):
    """Return an incarnation of an endpoint."""
    return EndpointEntry(name, SERVICE, "10.0.0.1:80", "zone-a", 8, draining, born)


class PlatformEntries:
    """Decode entries as the adapter does."""

    def decode_endpoint(self, record):
        """Return an entry of the platform."""
        return decode_endpoint(record.key, record.value)


class KeptLines(logging.Handler):
    """Keep the names of log lines."""

    def __init__(self):
        super().__init__()
        self.lines = []

    def emit(self, record):
        """Keep one line."""
        self.lines.append(record.getMessage())


@given("a list of three entries, one of them with {fault}")
def step_faulty(context, fault):
    good = json.dumps(ENTRY).encode()
    context.records = (
        SharedRecord("engine-1", good),
        SharedRecord("engine-2", faults.get(fault).encode("latin-1")),
        SharedRecord("engine-3", good),
    )


@when("the list is read twice")
def step_read_twice(context):
    context.knowledge = Knowledge()
    context.kept = KeptLines()
    logger = logging.getLogger("brassdrum.gateway.following.follower")
    level = logger.level
    logger.addHandler(context.kept)
    logger.setLevel(logging.INFO)
    context.stack.push(lambda: logger.removeHandler(context.kept))
    context.stack.push(lambda: logger.setLevel(level))
    follower = Follower(
        SimulatedLoop(),
        PlatformEntries(),
        context.knowledge,
        Bounds(),
        1,
        *[lambda *_: None] * 3,
    )
    for number in (1, 2):
        pulled = Future()
        pulled.set_result(Snapshot(None, context.records))
        follower._pulled("10.1.0.1", 90.0 + number, number, pulled)


@then("the two other endpoints are used")
def step_others(context):
    used = [each.name for each in context.knowledge.usable(SERVICE)]
    assert used == ["engine-1", "engine-3"], used


@then("the log names the entry once")
def step_logged(context):
    refused = [line for line in context.kept.lines if line == "endpoint entry refused"]
    assert len(refused) == 1, context.kept.lines


@given('the record "{key}" holds bytes that cannot be read')
def step_unreadable(context, key):
    context.server.RequestHandlerClass.unreadable = key


@then('the records "{keys}" are read')
def step_records(context, keys):
    read = [record.key for record in context.client.endpoints()]
    assert read == keys.split(), read


@given("an endpoint that is suspected, called leaving and has work in flight")
def step_burdened(context):
    loop = SimulatedLoop()
    context.loop = loop
    context.knowledge = Knowledge()
    context.pool = EndpointPool(loop)
    context.forgotten = []
    context.pool.close_idle = context.forgotten.append
    guard = CrashGuard(loop, LoadTable())
    context.beliefs = Beliefs(loop, context.knowledge, context.pool, lambda: None, guard)
    context.knowledge.read([entry(1)], 90.0)
    context.beliefs.endpoint_failed("engine-1@1", certain=True, detail="silent")
    context.knowledge.leaves("engine-1@1", 95.0)
    context.loads = LoadTable()
    load = EndpointLoad(500.0, 5_000, 5_000, 1, 0, {250: 1}, 0)
    context.loads.merge("peer", [LoadRow(endpoint_key("engine-1@1"), load)], 95.0, 1)


@when("the list shows that it started again")
def step_started_again(context):
    changes = context.knowledge.read([entry(2)], 96.0)
    context.beliefs.endpoints_changed(changes, "store")


@then("it is used, free of suspicion and without work")
def step_fresh(context):
    (used,) = context.knowledge.usable(SERVICE)
    assert used.name == "engine-1"
    assert not context.beliefs.suspect(used.id)
    assert context.loads.total(used.id).empty()
    assert not context.knowledge.leaves("engine-1@1", 97.0)
    assert context.knowledge.usable(SERVICE) == [used]


@then("its earlier connections are closed")
def step_forgotten(context):
    assert context.forgotten == ["10.0.0.1:80"], context.forgotten


@given("a store that was away for 10 seconds")
def step_was_away(context):
    context.knowledge = Knowledge()
    context.knowledge.read([entry(1)], 90.0)
    context.knowledge.store_failed(99.0)


@when("the first list after it shows that an endpoint started again")
def step_again_after(context):
    context.knowledge.read([entry(2)], 100.0)


@then("only its new incarnation is used")
def step_only_new(context):
    assert [each.id for each in context.knowledge.usable(SERVICE)] == ["engine-1@2"]


@then(
    "whatever order words, lists and restarts come in, only later words about the same start count"
)
def step_any_order(context):
    steps = st.lists(st.tuples(st.sampled_from(["restart", "word", "read", "old read"])))

    @settings(max_examples=200, deadline=None, database=None, derandomize=True)
    @for_all(steps)
    def holds(drawn):
        knowledge, now, born, listed, left = Knowledge(), 10.0, 1, None, set()
        for (step,) in drawn:
            now += 1.0
            if step == "restart":
                born += 1
            elif step == "word":
                if knowledge.leaves(f"engine-1@{born}", now):
                    left.add(born)
                else:
                    assert listed != born or born in left
            elif step == "read":
                knowledge.read([entry(born)], now)
                listed = born
                left.discard(born)
            else:
                if knowledge.read_at is not None:
                    knowledge.read([entry(max(1, born - 1))], knowledge.read_at - 0.5)
        used = {each.born for each in knowledge.usable(SERVICE)}
        expected = set() if listed is None or listed in left else {listed}
        assert used == expected, (drawn, used, expected)

    holds()


@then("a request to an endpoint that started again expects it by its name")
def step_wire_name(context):
    request = DeclaredRequest("r", b"POST", b"/", "host", [], 1.0)
    headers = PlatformDialect().endpoint_headers(request, Sending(entry(7), (), None, 1, 1.0, None))
    assert (b"X-Expect-Replica", b"engine-1") in headers
